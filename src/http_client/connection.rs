//! HTTP/1.1 connections: one request at a time, pooled only if no unread bytes can be left.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{self, HeaderMap};
use actix_http::{RequestHead, RequestHeadType, ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder};
use xxhash_rust::xxh3::xxh3_64;

use crate::node::body_budget::{BodyBudget, BudgetShare};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300); // domains are a few ms apart; a dead host never answers
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4); // for targets that send no keep-alive limit
const IDLE_LIMIT_MARGIN: Duration = Duration::from_millis(700); // a target may close before the limit that it sent
const MAX_IDLE_PER_TARGET: usize = 6;
const MAX_REQUESTS_PER_CONNECTION: usize = 4_096; // whose ids it remembers
const INITIAL_BUFFER_BYTES: usize = 16 * 1024;
const MAX_HEAD_BYTES: usize = 32 * 1024; // of one response, interim heads included
const MAX_FIELDS: usize = 96; // of one head, like the codec
const MAX_INTERIM_HEADS: usize = 8; // of one response; each takes as much time to decode as a final one
const STATUS_CODES: RangeInclusive<u16> = 100..=599; // RFC 9110, section 15; the codec takes any up to 999
const MAX_FRAMING_BYTES: usize = 16 * 1024; // of a chunked body, beyond as much as its content
const MAX_COPIED_BODY_BYTES: usize = 16 * 1024; // of a request, up to which head and body are sent in one write

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, ExchangeError>;

/// Why an exchange failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection was not established, so nothing was sent.
    #[error("cannot connect to {address}: {reason}; check that the process there runs")]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// The operating system's error.
        reason: String,
        /// Whether the connection was refused: the host is up and nothing listens there.
        refused: bool,
    },
    /// The connection failed after it was established.
    #[error("connection failed: {0}; the request may have run")]
    Broken(#[from] std::io::Error),
    /// The connection was closed before the response was complete.
    #[error("the answer ended early; the request may have run")]
    Truncated,
    /// The received bytes are not an HTTP response.
    #[error("not an HTTP answer: {0}; the request may have run")]
    Malformed(String),
    /// A part of the response is longer than responses are, so that it may have no end.
    #[error("response exceeds {limit} bytes in its {part}; the request may have run")]
    Oversized {
        /// The part that is too long: `head`, `framing` or `body`.
        part: &'static str,
        /// Limit that it exceeds, in bytes.
        limit: usize,
    },
    /// More interim heads than any response has, so that they may have no end.
    #[error("response exceeds {MAX_INTERIM_HEADS} interim heads; the request may have run")]
    TooManyInterimHeads,
}

impl ExchangeError {
    /// Whether the target's address refused the connection.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { refused: true, .. })
    }

    /// Whether an established connection was lost.
    pub fn is_lost_connection(&self) -> bool {
        matches!(self, Self::Broken(_) | Self::Truncated)
    }

    /// Whether the target was not reached, or the connection to it was lost.
    pub fn is_path_failure(&self) -> bool {
        matches!(self, Self::Connect { .. }) || self.is_lost_connection()
    }

    /// The part of the response that is too long, if that is the error.
    pub fn oversized_part(&self) -> Option<&'static str> {
        match self {
            Self::Oversized { part, .. } => Some(part),
            Self::TooManyInterimHeads => Some("head"),
            _ => None,
        }
    }
}

/// What is read next from the connection.
enum ResponseState {
    Head,
    Body(ClientPayloadCodec),
    UntilClose,
    Done,
}

/// A connection with at most one request in flight.
pub struct HttpConnection {
    address: SocketAddr,
    stream: TcpStream,
    received: BytesMut,
    state: ResponseState,
    /// Hashes of the ids of all requests that were sent on it. A faulty target may send an earlier
    /// response again, which only the id tells from the response to a later request.
    sent_ids: HashSet<u64>,
    /// Bytes of the body's content returned so far.
    content_bytes: usize,
    /// Bytes of the body as received, with its framing.
    body_bytes: usize,
    until_close: bool,
    request_fully_sent: bool,
    /// Whether writing the request failed. The system reports the reset of a connection once only: if
    /// the write takes it, the reads end as if the peer had closed the connection in order.
    write_failed: bool,
    idle_limit: Option<Duration>,
    idle_since: Instant,
}

impl std::fmt::Debug for HttpConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "HttpConnection({})", self.address)
    }
}

impl HttpConnection {
    /// Opens a connection, from the address `source` if there is one.
    ///
    /// # Errors
    ///
    /// Fails when the address refuses the connection or it is not established within `time_limit`.
    pub async fn connect(
        address: SocketAddr,
        source: Option<IpAddr>,
        time_limit: Duration,
        now: Instant,
    ) -> Result<Self> {
        let failed = |error: std::io::Error| ExchangeError::Connect {
            address,
            reason: error.to_string(),
            refused: error.kind() == std::io::ErrorKind::ConnectionRefused,
        };
        let connect = async {
            let Some(source) = source else {
                return TcpStream::connect(address).await;
            };
            let socket = match source {
                IpAddr::V4(_) => TcpSocket::new_v4()?,
                IpAddr::V6(_) => TcpSocket::new_v6()?,
            };
            socket.bind(SocketAddr::new(source, 0))?;
            socket.connect(address).await
        };
        let stream = timeout(time_limit, connect)
            .await
            .map_err(|_| failed(std::io::ErrorKind::TimedOut.into()))?
            .map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        Ok(Self {
            address,
            stream,
            received: BytesMut::with_capacity(INITIAL_BUFFER_BYTES),
            state: ResponseState::Done,
            sent_ids: HashSet::new(),
            content_bytes: 0,
            body_bytes: 0,
            until_close: false,
            request_fully_sent: true,
            write_failed: false,
            idle_limit: None,
            idle_since: now,
        })
    }

    /// Whether the connection is open with nothing to read, neither surplus bytes nor its end.
    fn has_no_input(&self) -> bool {
        let mut byte = [0; 1];
        matches!(
            self.stream.try_read(&mut byte),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock
        )
    }

    /// Sends a request and reads the head of its response. `request_id` is the id that the response
    /// must have, or `None` for requests without one.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the bytes are not an HTTP response; the request may
    /// have been executed.
    pub async fn exchange(
        &mut self,
        request_id: Option<&str>,
        head: RequestHead,
        body: &Bytes,
    ) -> Result<ResponseHead> {
        if let Some(id) = request_id {
            self.sent_ids.insert(xxh3_64(id.as_bytes()));
        }
        let mut codec = ClientCodec::default();
        let is_bodiless = head.method == actix_http::Method::HEAD;
        let is_copied = body.len() <= MAX_COPIED_BODY_BYTES;
        let mut out = BytesMut::with_capacity(1024 + if is_copied { body.len() } else { 0 });
        let size = match body.len() {
            0 if matches!(
                head.method,
                actix_http::Method::GET | actix_http::Method::HEAD
            ) =>
            {
                BodySize::None
            }
            length => BodySize::Sized(length as u64),
        };
        codec.encode(
            Message::Item((RequestHeadType::Owned(head), size)),
            &mut out,
        )?;
        let rest = if is_copied {
            out.extend_from_slice(body);
            &[]
        } else {
            body.as_ref()
        };
        self.state = ResponseState::Head;
        self.until_close = false;
        self.request_fully_sent = false;
        self.write_failed = false;
        self.idle_limit = None;
        let head = self.send_and_read_head(&out, rest, &mut codec).await?;
        self.idle_limit = idle_limit(&head, codec.keep_alive());
        self.until_close = !is_bodiless && !is_framed(&head);
        self.content_bytes = 0;
        self.body_bytes = self.received.len();
        self.state = match codec.message_type() {
            _ if self.until_close => ResponseState::UntilClose,
            // The codec ignores the length beside `Upgrade: websocket`.
            MessageType::None if !is_bodiless && has_length(&head) => {
                let reason = "a length beside `upgrade: websocket`".to_owned();
                return Err(ExchangeError::Malformed(reason));
            }
            MessageType::None => ResponseState::Done,
            _ => ResponseState::Body(codec.into_payload_codec()),
        };
        Ok(head)
    }

    /// Writes the request, `out` and then `rest`, while reading, since a target may respond before it
    /// has read it all.
    async fn send_and_read_head(
        &mut self,
        out: &[u8],
        rest: &[u8],
        codec: &mut ClientCodec,
    ) -> Result<ResponseHead> {
        let (mut reader, mut writer) = self.stream.split();
        let write = async {
            writer.write_all(out).await?;
            writer.write_all(rest).await
        };
        tokio::pin!(write);
        let mut writing = true;
        let mut head_bytes = 0;
        let mut interim_heads = 0;
        loop {
            let head = decode_final_head(codec, &mut self.received, &mut interim_heads)?;
            if let Some(head) = head {
                // After an early response, the rest of the request is not written.
                self.request_fully_sent = !writing && self.request_fully_sent;
                return Ok(head);
            }
            check_size("head", head_bytes, MAX_HEAD_BYTES)?;
            tokio::select! {
                written = &mut write, if writing => {
                    writing = false;
                    // The response may be in the socket's buffer although the write failed.
                    self.request_fully_sent = written.is_ok();
                    self.write_failed = written.is_err();
                }
                count = reader.read_buf(&mut self.received) => {
                    let count = count?;
                    if count == 0 {
                        return Err(ExchangeError::Truncated);
                    }
                    head_bytes += count;
                }
            }
        }
    }

    /// Whether the body of the current response has neither a length nor chunks, so that its end
    /// does not show that it is complete.
    pub fn ends_with_connection(&self) -> bool {
        self.until_close
    }

    /// Reads the next bytes of the response's body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails when the connection closes before the end of the body, or the framing is invalid or
    /// out of proportion to the content.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>> {
        loop {
            let codec = match &mut self.state {
                ResponseState::Body(codec) => codec,
                ResponseState::UntilClose => return self.next_unframed().await,
                ResponseState::Head | ResponseState::Done => return Ok(None),
            };
            match codec.decode(&mut self.received) {
                Ok(Some(Some(chunk))) if chunk.is_empty() => {}
                Ok(Some(Some(chunk))) => {
                    self.content_bytes += chunk.len();
                    self.check_framing()?;
                    return Ok(Some(chunk));
                }
                Ok(Some(None)) => {
                    self.state = ResponseState::Done;
                    return Ok(None);
                }
                Ok(None) => {
                    self.check_framing()?;
                    let count = self.stream.read_buf(&mut self.received).await?;
                    if count == 0 {
                        return Err(ExchangeError::Truncated);
                    }
                    self.body_bytes += count;
                }
                Err(error) => return Err(ExchangeError::Malformed(error.to_string())),
            }
        }
    }

    /// Checks that the framing of the body so far is not much longer than its content: a chunk
    /// extension may have no end, and chunks of one byte cost as much time as long ones.
    fn check_framing(&self) -> Result<()> {
        let decoded_bytes = self.body_bytes - self.received.len();
        let framing_bytes = decoded_bytes.saturating_sub(self.content_bytes);
        check_size(
            "framing",
            framing_bytes,
            MAX_FRAMING_BYTES + self.content_bytes,
        )
    }

    /// Reads the response's body to its end, with memory from `budget`.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::next_chunk`], and when the body is over 256 KiB or the budget is used up.
    pub async fn read_body(&mut self, budget: &Arc<BodyBudget>) -> Result<Bytes> {
        let mut share = BudgetShare::new(budget);
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            if !share.grow_to(body.len() + chunk.len()) {
                let limit = body.len();
                return Err(ExchangeError::Oversized {
                    part: "body",
                    limit,
                });
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }

    /// Reads the response's body to its end.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::next_chunk`], and when the body is over `max_bytes`.
    pub async fn read_to_end(&mut self, max_bytes: usize) -> Result<Bytes> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            check_size("body", body.len() + chunk.len(), max_bytes)?;
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }

    /// Reads the next bytes of a body that ends when the connection closes; a reset is an error, also
    /// if it only showed as a failed write.
    async fn next_unframed(&mut self) -> Result<Option<Bytes>> {
        if self.received.is_empty() && self.stream.read_buf(&mut self.received).await? == 0 {
            if self.write_failed {
                return Err(ExchangeError::Truncated);
            }
            self.state = ResponseState::Done;
            return Ok(None);
        }
        Ok(Some(self.received.split().freeze()))
    }

    /// Whether another request may be sent on this connection.
    fn is_reusable(&self) -> bool {
        matches!(self.state, ResponseState::Done)
            && self.request_fully_sent
            && !self.until_close
            && self.idle_limit.is_some()
            && self.sent_ids.len() < MAX_REQUESTS_PER_CONNECTION
            && self.received.is_empty()
            && self.has_no_input()
    }
}

fn check_size(part: &'static str, bytes: usize, limit: usize) -> Result<()> {
    if bytes > limit {
        return Err(ExchangeError::Oversized { part, limit });
    }
    Ok(())
}

/// Whether the head defines the body's length. The codec would take any other body for empty.
fn is_framed(head: &ResponseHead) -> bool {
    let bodiless = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    // Of transfer encodings, the codec takes `chunked` and `identity`, which defines no length.
    let encoding = head.headers.get(header::TRANSFER_ENCODING);
    let is_encoded = encoding.is_some_and(|encoding| {
        let encoding = encoding.as_bytes().trim_ascii();
        !encoding.eq_ignore_ascii_case(b"identity")
    });
    bodiless || is_encoded || head.headers.contains_key(header::CONTENT_LENGTH)
}

/// Whether the head announces a body by its length.
fn has_length(head: &ResponseHead) -> bool {
    let value = head.headers.get(header::CONTENT_LENGTH);
    let length = value.and_then(|value| value.to_str().ok()?.trim().parse::<u64>().ok());
    length.is_some_and(|length| length > 0)
}

/// Whether `received` begins with a complete head; fails if that is malformed. The codec itself strips
/// blanks before the colon of a field, and so takes `content-length : 5` for a length.
fn has_whole_head(received: &[u8]) -> Result<bool> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let parsed = httparse::Response::new(&mut fields).parse(received);
    match parsed {
        Ok(status) => Ok(status.is_complete()),
        Err(error) => Err(ExchangeError::Malformed(error.to_string())),
    }
}

/// Decodes the final head, after interim (1xx) ones, which are counted in `interim_heads`.
fn decode_final_head(
    codec: &mut ClientCodec,
    received: &mut BytesMut,
    interim_heads: &mut usize,
) -> Result<Option<ResponseHead>> {
    loop {
        if !has_whole_head(received)? {
            return Ok(None);
        }
        let head = codec
            .decode(received)
            .map_err(|error| ExchangeError::Malformed(error.to_string()))?;
        match head {
            Some(head) if head.status.is_informational() => {
                *interim_heads += 1;
                if *interim_heads > MAX_INTERIM_HEADS {
                    return Err(ExchangeError::TooManyInterimHeads);
                }
                *codec = ClientCodec::default();
            }
            Some(head) if !STATUS_CODES.contains(&head.status.as_u16()) => {
                let status = head.status.as_u16();
                return Err(ExchangeError::Malformed(format!("status {status}")));
            }
            other => return Ok(other),
        }
    }
}

/// How long the connection may stay idle after this response; `None` if it must be closed.
fn idle_limit(head: &ResponseHead, keep_alive: bool) -> Option<Duration> {
    let header = |name: &str| {
        head.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(str::to_ascii_lowercase)
    };
    let closes = header("connection").is_some_and(|value| value.contains("close"));
    if closes || !keep_alive || head.status == StatusCode::SWITCHING_PROTOCOLS {
        return None;
    }
    let announced_seconds = header("keep-alive").and_then(|value| {
        let part = value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout=").map(str::to_owned))?;
        part.trim().parse::<u64>().ok()
    });
    match announced_seconds {
        Some(seconds) => Duration::from_secs(seconds).checked_sub(IDLE_LIMIT_MARGIN),
        None => Some(DEFAULT_IDLE_LIMIT),
    }
}

/// Idle connections by target address, newest last.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<SocketAddr, Vec<HttpConnection>>,
}

impl ConnectionPool {
    /// Takes the newest connection that was idle for less than `max_idle` and its own limit, and on
    /// which no request with `request_id` was sent before.
    pub fn take(
        &mut self,
        address: SocketAddr,
        request_id: Option<&str>,
        max_idle: Duration,
        now: Instant,
    ) -> Option<HttpConnection> {
        let idle_connections = self.idle.get_mut(&address)?;
        let id = request_id.map(|id| xxh3_64(id.as_bytes()));
        let is_unused =
            |connection: &HttpConnection| id.is_none_or(|id| !connection.sent_ids.contains(&id));
        while let Some(index) = idle_connections.iter().rposition(is_unused) {
            let connection = idle_connections.remove(index);
            let idle_for = now.saturating_duration_since(connection.idle_since);
            let idle_limit = connection.idle_limit.unwrap_or_default().min(max_idle);
            if idle_for < idle_limit && connection.has_no_input() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection after its response was read; one that cannot be reused is closed.
    pub fn put(&mut self, mut connection: HttpConnection, now: Instant) {
        if !connection.is_reusable() {
            return;
        }
        connection.idle_since = now;
        let idle_connections = self.idle.entry(connection.address).or_default();
        if idle_connections.len() >= MAX_IDLE_PER_TARGET {
            idle_connections.remove(0);
        }
        idle_connections.push(connection);
    }

    /// Closes all idle connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }

    /// Closes connections that were idle for longer than their limit.
    pub fn prune(&mut self, now: Instant) {
        for idle_connections in self.idle.values_mut() {
            idle_connections.retain(|connection| {
                let idle_for = now.saturating_duration_since(connection.idle_since);
                idle_for < connection.idle_limit.unwrap_or_default()
            });
        }
        self.idle
            .retain(|_, idle_connections| !idle_connections.is_empty());
    }
}

/// Opens a new connection to a target, without the pool, from the address `source` if there is one.
///
/// # Errors
///
/// Fails when the address refuses the connection or it is not established within 300 ms.
pub async fn open_connection(
    address: SocketAddr,
    source: Option<IpAddr>,
    now: Instant,
) -> Result<HttpConnection> {
    HttpConnection::connect(address, source, CONNECT_TIMEOUT, now).await
}

/// Builds a request's head; `headers` are complete, as made by `encode_target_headers`.
pub fn target_request_head(
    method: actix_http::Method,
    uri: actix_http::Uri,
    headers: HeaderMap,
) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = uri;
    head.headers = headers;
    head
}
