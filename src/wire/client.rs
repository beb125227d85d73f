//! Client for calls to a peer, a steward or node, over one connection that is reopened when it fails.

use std::time::Duration;

use bytes::Bytes;
use h2::RecvStream;
use h2::client::SendRequest;
use http::{Method, Request, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;

use super::codec::{self, MAX_MESSAGE_BYTES};
use super::liveness::ping_until_dead;
use super::message::{PeerCall, PeerReply};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const WINDOW_BYTES: u32 = 1 << 20;

/// Result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection could not be opened; the call was not sent.
    #[error("cannot connect to {address}: {reason}; check that the process there runs")]
    Connect {
        /// Host and port.
        address: String,
        /// The operating system's error, or that the connection timed out.
        reason: String,
    },
    /// The connection failed during the call.
    #[error("connection failed: {0}; the call may or may not have taken effect, so retry it")]
    ConnectionLost(#[from] h2::Error),
    /// No reply within the caller's time limit.
    #[error("no answer within {0:?}; the call may or may not have taken effect, so retry it")]
    Timeout(Duration),
    /// The message could not be encoded or decoded.
    #[error(transparent)]
    Codec(#[from] codec::CodecError),
    /// Compressed bytes in a reply are malformed.
    #[error("reply cannot be decompressed: {0}; run the same release on all VMs")]
    Compression(String),
    /// The peer answered with an error status.
    #[error("the peer answered {0}; see its log for the reason")]
    Status(StatusCode),
    /// A call or reply is over the size limit.
    #[error("message over {MAX_MESSAGE_BYTES} bytes; shorten the table")]
    TooLarge,
}

impl CallError {
    /// Whether the call cannot have reached the peer, so that another one may be called safely.
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// A client of one peer; its calls are multiplexed over one connection.
#[derive(Debug)]
pub struct PeerClient {
    address: String,
    connection: Mutex<Option<SendRequest<Bytes>>>,
}

impl PeerClient {
    /// A client that connects on its first call.
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            address: address.into(),
            connection: Mutex::new(None),
        }
    }

    /// Host and port of the peer.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Calls a steward and waits for its reply for at most `reply_timeout`.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails, or no reply comes in time.
    pub async fn call(&self, call: &PeerCall, reply_timeout: Duration) -> Result<PeerReply> {
        match timeout(reply_timeout, self.send_and_read(call)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Timeout(reply_timeout)),
        }
    }

    /// Sends a call of any message type and waits for at most `accept_timeout` until the peer accepts
    /// it; the reply to it may take any time. The connection is closed on timeout, so that the next
    /// call opens a new one.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails, or the call is not accepted in time.
    pub async fn send<C: Serialize>(
        &self,
        call: &C,
        accept_timeout: Duration,
    ) -> Result<PendingReply> {
        match timeout(accept_timeout, self.send_call(call)).await {
            Ok(result) => result,
            Err(_) => {
                self.connection.lock().await.take();
                Err(CallError::Timeout(accept_timeout))
            }
        }
    }

    async fn send_and_read(&self, call: &PeerCall) -> Result<PeerReply> {
        self.send_call(call).await?.read().await
    }

    async fn send_call<C: Serialize>(&self, call: &C) -> Result<PendingReply> {
        let body = Bytes::from(codec::encode(call)?);
        let sent = self.send_encoded(body).await;
        if matches!(sent, Err(CallError::ConnectionLost(_))) {
            self.connection.lock().await.take();
        }
        sent
    }

    async fn send_encoded(&self, body: Bytes) -> Result<PendingReply> {
        let mut sender = self.ready_sender().await?;
        let sent_bytes = body.len();
        let request = Request::builder()
            .method(Method::POST)
            .uri("http://steward/call")
            .body(())
            .expect("a constant request is valid");
        let (response, mut stream) = sender.send_request(request, false)?;
        send_body(&mut stream, body).await?;
        let response = response.await?;
        if response.status() != StatusCode::OK {
            return Err(CallError::Status(response.status()));
        }
        Ok(PendingReply {
            stream: response.into_body(),
            sent_bytes,
        })
    }

    async fn ready_sender(&self) -> Result<SendRequest<Bytes>> {
        let mut connection = self.connection.lock().await;
        if let Some(sender) = connection.clone()
            && let Ok(ready) = sender.ready().await
        {
            return Ok(ready);
        }
        let sender = self.connect().await?;
        *connection = Some(sender.clone());
        Ok(sender.ready().await?)
    }

    async fn connect(&self) -> Result<SendRequest<Bytes>> {
        let connect_error = |reason: String| CallError::Connect {
            address: self.address.clone(),
            reason,
        };
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(&self.address))
            .await
            .map_err(|_| connect_error("no answer in time".into()))?
            .map_err(|error| connect_error(error.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| connect_error(error.to_string()))?;
        let (sender, mut connection) = h2::client::Builder::new()
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .handshake(stream)
            .await?;
        let pings = connection.ping_pong();
        actix_rt::spawn(async move {
            let Some(pings) = pings else { return };
            tokio::select! {
                _ = connection => {}
                () = ping_until_dead(pings) => {}
            }
        });
        Ok(sender)
    }
}

/// An accepted call whose reply has not arrived. Dropping it cancels the call.
#[derive(Debug)]
pub struct PendingReply {
    stream: RecvStream,
    sent_bytes: usize,
}

impl PendingReply {
    /// Bytes of the call's body.
    pub fn sent_bytes(&self) -> usize {
        self.sent_bytes
    }

    /// Waits for the reply, without a time limit.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the reply cannot be decoded.
    pub async fn read<R: DeserializeOwned>(self) -> Result<R> {
        let (reply, _) = self.read_sized().await?;
        Ok(reply)
    }

    /// Waits for the reply like [`Self::read`], and returns the bytes of its body with it.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or the reply cannot be decoded.
    pub async fn read_sized<R: DeserializeOwned>(self) -> Result<(R, usize)> {
        let bytes = read_body(self.stream).await?;
        Ok((codec::decode(&bytes)?, bytes.len()))
    }
}

/// Sends all of `body`, as the peer's flow control window allows.
pub(super) async fn send_body(
    stream: &mut h2::SendStream<Bytes>,
    mut body: Bytes,
) -> std::result::Result<(), h2::Error> {
    while !body.is_empty() {
        stream.reserve_capacity(body.len());
        let capacity = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        let Some(capacity) = capacity.transpose()? else {
            return Err(h2::Reason::CANCEL.into());
        };
        let chunk = body.split_to(capacity.min(body.len()));
        stream.send_data(chunk, false)?;
    }
    stream.send_data(Bytes::new(), true)
}

/// Reads a body to its end, and lets the peer send further bytes as it does so.
///
/// # Errors
///
/// Fails when the connection fails or the body is over the message limit.
pub(super) async fn read_body(mut stream: RecvStream) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk?;
        stream.flow_control().release_capacity(chunk.len())?;
        if bytes.len() + chunk.len() > MAX_MESSAGE_BYTES {
            return Err(CallError::TooLarge);
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}
