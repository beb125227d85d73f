//! The calling side: one connection to a steward, made anew when it fails.

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

use super::codec::{self, MESSAGE_LIMIT};
use super::liveness::watch_pings;
use super::message::{PeerCall, PeerReply};

const CONNECT_WITHIN: Duration = Duration::from_secs(1);
const WINDOW_BYTES: u32 = 1 << 20;

/// Result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection.
    #[error("cannot connect to {address}: {reason}; check that the steward there runs")]
    Connect {
        /// Host and port.
        address: String,
        /// What the system said.
        reason: String,
    },
    /// The connection failed during the call.
    #[error("connection failed: {0}; the call may or may not have taken effect, so retry it")]
    Broken(#[from] h2::Error),
    /// No answer in time.
    #[error("no answer within {0:?}; the call may or may not have taken effect, so retry it")]
    Timeout(Duration),
    /// The message could not be encoded or decoded.
    #[error(transparent)]
    Codec(#[from] codec::CodecError),
    /// The steward answered with an error status.
    #[error("the steward answered {0}; see its log for the reason")]
    Status(StatusCode),
    /// The message is too large.
    #[error("message over {MESSAGE_LIMIT} bytes; shorten the table")]
    TooLarge,
}

impl CallError {
    /// Whether the call certainly did not reach the steward.
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// A steward's address and the connection to it.
#[derive(Debug)]
pub struct PeerClient {
    address: String,
    connection: Mutex<Option<SendRequest<Bytes>>>,
}

impl PeerClient {
    /// A client that connects at its first call.
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            address: address.into(),
            connection: Mutex::new(None),
        }
    }

    /// Host and port of the steward.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Calls the steward and waits for its answer, `within` at most.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails, or no answer comes in time.
    pub async fn call(&self, call: &PeerCall, within: Duration) -> Result<PeerReply> {
        match timeout(within, self.exchange(call)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Timeout(within)),
        }
    }

    /// Calls a process that speaks other messages, and waits `within` at most until it has
    /// taken the call up. The connection is not used again after a failure.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails, or the call is not taken up in time.
    pub async fn start<C: Serialize>(&self, call: &C, within: Duration) -> Result<PendingReply> {
        match timeout(within, self.send(call)).await {
            Ok(result) => result,
            Err(_) => {
                self.connection.lock().await.take();
                Err(CallError::Timeout(within))
            }
        }
    }

    async fn exchange(&self, call: &PeerCall) -> Result<PeerReply> {
        self.send(call).await?.read().await
    }

    async fn send<C: Serialize>(&self, call: &C) -> Result<PendingReply> {
        let body = Bytes::from(codec::encode(call)?);
        let sent = self.send_bytes(body).await;
        if matches!(sent, Err(CallError::Broken(_))) {
            self.connection.lock().await.take();
        }
        sent
    }

    async fn send_bytes(&self, body: Bytes) -> Result<PendingReply> {
        let mut sender = self.ready_sender().await?;
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
        let refused = |reason: String| CallError::Connect {
            address: self.address.clone(),
            reason,
        };
        let stream = timeout(CONNECT_WITHIN, TcpStream::connect(&self.address))
            .await
            .map_err(|_| refused("no answer in time".into()))?
            .map_err(|error| refused(error.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| refused(error.to_string()))?;
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
                () = watch_pings(pings) => {}
            }
        });
        Ok(sender)
    }
}

/// A call that was taken up and is not answered yet; dropping it takes the call back.
#[derive(Debug)]
pub struct PendingReply {
    stream: RecvStream,
}

impl PendingReply {
    /// Waits for the answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub async fn read<R: DeserializeOwned>(self) -> Result<R> {
        let bytes = read_body(self.stream).await?;
        Ok(codec::decode(&bytes)?)
    }
}

/// Sends all of `body` as the peer's window allows.
pub(super) async fn send_body(
    stream: &mut h2::SendStream<Bytes>,
    mut body: Bytes,
) -> std::result::Result<(), h2::Error> {
    while !body.is_empty() {
        stream.reserve_capacity(body.len());
        let room = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        let Some(room) = room.transpose()? else {
            return Err(h2::Reason::CANCEL.into());
        };
        let part = body.split_to(room.min(body.len()));
        stream.send_data(part, false)?;
    }
    stream.send_data(Bytes::new(), true)
}

/// Reads a whole body, up to the message limit.
pub(super) async fn read_body(mut stream: RecvStream) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    while let Some(part) = stream.data().await {
        let part = part?;
        stream.flow_control().release_capacity(part.len())?;
        if bytes.len() + part.len() > MESSAGE_LIMIT {
            return Err(CallError::TooLarge);
        }
        bytes.extend_from_slice(&part);
    }
    Ok(bytes)
}
