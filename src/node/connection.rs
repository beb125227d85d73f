//! Connections to targets: one request at a time, reused only when beyond doubt.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::HeaderMap;
use actix_http::{RequestHead, RequestHeadType, ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300); // domains are a few ms apart; a dead target never answers
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4); // for targets that name no limit of their own
const IDLE_LIMIT_MARGIN: Duration = Duration::from_millis(700); // a target may close before the limit that it names
const MAX_IDLE_PER_TARGET: usize = 6;
const READ_BYTES: usize = 16 * 1024;

/// Result of an exchange with a target.
pub type Result<T> = std::result::Result<T, ExchangeError>;

/// Why an exchange with a target failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No connection: nothing was sent.
    #[error("cannot connect to {address}: {reason}; the target is passed over for a moment")]
    Connect {
        /// The target's address.
        address: SocketAddr,
        /// What the system said.
        reason: String,
        /// Whether nothing listens there.
        refused: bool,
    },
    /// The connection failed after something was sent.
    #[error("connection failed: {0}; the request may have run")]
    Broken(#[from] std::io::Error),
    /// The connection ended before the answer did.
    #[error("the answer ended early; the request may have run")]
    Truncated,
    /// The bytes are no answer.
    #[error("not an HTTP answer: {0}; the request may have run")]
    Malformed(String),
}

impl ExchangeError {
    /// Whether nothing listens at the target's address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { refused: true, .. })
    }
}

enum ResponseState {
    Head,
    Body(ClientPayloadCodec),
    UntilClose,
    Done,
}

/// A connection with at most one request under way.
pub struct TargetConnection {
    address: SocketAddr,
    stream: TcpStream,
    read: BytesMut,
    state: ResponseState,
    until_close: bool,
    whole_request_sent: bool,
    keep: Option<Duration>,
    idle_since: Instant,
}

impl std::fmt::Debug for TargetConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "TargetConnection({})", self.address)
    }
}

impl TargetConnection {
    async fn connect(address: SocketAddr, now: Instant) -> Result<Self> {
        let failed = |error: std::io::Error| ExchangeError::Connect {
            address,
            reason: error.to_string(),
            refused: error.kind() == std::io::ErrorKind::ConnectionRefused,
        };
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| failed(std::io::ErrorKind::TimedOut.into()))?
            .map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        Ok(Self {
            address,
            stream,
            read: BytesMut::with_capacity(READ_BYTES),
            state: ResponseState::Done,
            until_close: false,
            whole_request_sent: true,
            keep: None,
            idle_since: now,
        })
    }

    /// Whether nothing came on the idle connection, not even its end.
    fn has_no_input(&self) -> bool {
        let mut byte = [0; 1];
        matches!(
            self.stream.try_read(&mut byte),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock
        )
    }

    /// Sends a request and reads the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the bytes are no answer; the request may have run.
    pub async fn exchange(&mut self, head: RequestHead, body: &Bytes) -> Result<ResponseHead> {
        let mut codec = ClientCodec::default();
        let mut out = BytesMut::with_capacity(1024 + body.len());
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
        out.extend_from_slice(body);
        self.state = ResponseState::Head;
        self.until_close = false;
        self.whole_request_sent = false;
        self.keep = None;
        let head = self.send_and_read_head(&out, &mut codec).await?;
        self.keep = idle_limit(&head, codec.keep_alive());
        self.until_close = !is_framed(&head);
        self.state = match codec.message_type() {
            _ if self.until_close => ResponseState::UntilClose,
            MessageType::None => ResponseState::Done,
            _ => ResponseState::Body(codec.into_payload_codec()),
        };
        Ok(head)
    }

    /// Writes the request while reading: a target may answer before it has read all.
    async fn send_and_read_head(
        &mut self,
        out: &[u8],
        codec: &mut ClientCodec,
    ) -> Result<ResponseHead> {
        let (mut reader, mut writer) = self.stream.split();
        let write = writer.write_all(out);
        tokio::pin!(write);
        let mut writing = true;
        loop {
            if let Some(head) = decode_head(codec, &mut self.read)? {
                self.whole_request_sent = !writing && self.whole_request_sent;
                return Ok(head);
            }
            tokio::select! {
                written = &mut write, if writing => {
                    writing = false;
                    // An answer may stand in the buffer although the target took no more.
                    self.whole_request_sent = written.is_ok();
                }
                count = reader.read_buf(&mut self.read) => {
                    if count? == 0 {
                        return Err(ExchangeError::Truncated);
                    }
                }
            }
        }
    }

    /// The next bytes of the answer's body; none at its end.
    ///
    /// # Errors
    ///
    /// Fails when the answer ends early or its framing is broken.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>> {
        loop {
            let codec = match &mut self.state {
                ResponseState::Body(codec) => codec,
                ResponseState::UntilClose => return self.next_unframed().await,
                ResponseState::Head | ResponseState::Done => return Ok(None),
            };
            match codec.decode(&mut self.read) {
                Ok(Some(Some(chunk))) if chunk.is_empty() => {}
                Ok(Some(Some(chunk))) => return Ok(Some(chunk)),
                Ok(Some(None)) => {
                    self.state = ResponseState::Done;
                    return Ok(None);
                }
                Ok(None) => {
                    if self.stream.read_buf(&mut self.read).await? == 0 {
                        return Err(ExchangeError::Truncated);
                    }
                }
                Err(error) => return Err(ExchangeError::Malformed(error.to_string())),
            }
        }
    }

    /// The next bytes of a body that ends with its connection; a reset is an error.
    async fn next_unframed(&mut self) -> Result<Option<Bytes>> {
        if self.read.is_empty() && self.stream.read_buf(&mut self.read).await? == 0 {
            self.state = ResponseState::Done;
            return Ok(None);
        }
        Ok(Some(self.read.split().freeze()))
    }

    /// Whether another request may follow on this connection.
    fn is_reusable(&self) -> bool {
        matches!(self.state, ResponseState::Done)
            && self.whole_request_sent
            && !self.until_close
            && self.keep.is_some()
            && self.read.is_empty()
            && self.has_no_input()
    }
}

/// Whether the head tells where the body ends; the codec takes other bodies for empty.
fn is_framed(head: &ResponseHead) -> bool {
    let bodiless = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    bodiless
        || head.headers.contains_key("content-length")
        || head.headers.contains_key("transfer-encoding")
}

fn decode_head(codec: &mut ClientCodec, read: &mut BytesMut) -> Result<Option<ResponseHead>> {
    loop {
        let head = codec
            .decode(read)
            .map_err(|error| ExchangeError::Malformed(error.to_string()))?;
        match head {
            // An interim answer precedes the final one.
            Some(head) if head.status.is_informational() => *codec = ClientCodec::default(),
            other => return Ok(other),
        }
    }
}

/// How long the connection may stay idle after this answer; none if it may not.
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
    let named = header("keep-alive").and_then(|value| {
        let part = value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout=").map(str::to_owned))?;
        part.trim().parse::<u64>().ok()
    });
    match named {
        Some(seconds) => Duration::from_secs(seconds).checked_sub(IDLE_LIMIT_MARGIN),
        None => Some(DEFAULT_IDLE_LIMIT),
    }
}

/// Idle connections by target address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<SocketAddr, Vec<TargetConnection>>,
}

impl ConnectionPool {
    /// Takes an idle connection that was used within `max_idle`, newest first.
    pub fn take(
        &mut self,
        address: SocketAddr,
        max_idle: Duration,
        now: Instant,
    ) -> Option<TargetConnection> {
        let kept = self.idle.get_mut(&address)?;
        while let Some(connection) = kept.pop() {
            let idle = now.saturating_duration_since(connection.idle_since);
            let keep = connection.keep.unwrap_or_default().min(max_idle);
            if idle < keep && connection.has_no_input() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection after its answer, if it may be used again.
    pub fn put(&mut self, mut connection: TargetConnection, now: Instant) {
        if !connection.is_reusable() {
            return;
        }
        connection.idle_since = now;
        let kept = self.idle.entry(connection.address).or_default();
        if kept.len() >= MAX_IDLE_PER_TARGET {
            kept.remove(0);
        }
        kept.push(connection);
    }

    /// Closes connections that were idle for too long.
    pub fn prune(&mut self, now: Instant) {
        for kept in self.idle.values_mut() {
            kept.retain(|connection| {
                let idle = now.saturating_duration_since(connection.idle_since);
                idle < connection.keep.unwrap_or_default()
            });
        }
        self.idle.retain(|_, kept| !kept.is_empty());
    }
}

/// Opens a connection to a target.
///
/// # Errors
///
/// Fails when the target does not take the connection in time.
pub async fn open_connection(address: SocketAddr, now: Instant) -> Result<TargetConnection> {
    TargetConnection::connect(address, now).await
}

/// A request's head for a target.
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
