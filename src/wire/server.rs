//! Server for calls of peers.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::client::{CallError, send_body};
use super::codec::{self, MAX_MESSAGE_BYTES};
use super::liveness::ping_until_dead;
use super::message::{PeerCall, PeerReply};

const WINDOW_BYTES: u32 = 1 << 20;
const MAX_HEADER_BYTES: u32 = 16 * 1024;
/// For the body of a call; a peer sends it at once.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// In which a connection makes its first call before another may take its place.
const MIN_FIRST_CALL_TIME: Duration = Duration::from_millis(500);

/// Replies to a call. The future is dropped when the caller cancels the call.
pub type CallHandler<C = PeerCall, R = PeerReply> = Rc<dyn Fn(C) -> LocalBoxFuture<'static, R>>;

/// Bounds of what a server holds for its callers.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Connections that are open at a time.
    pub connections: usize,
    /// Calls under way on one connection.
    pub calls_per_connection: u32,
    /// Bytes of one call.
    pub call_bytes: usize,
    /// Bytes of all calls that are not yet complete.
    pub unfinished_bytes: usize,
}

impl ServerLimits {
    /// Bounds of a server whose address only peers reach.
    pub const TRUSTED: Self = Self {
        connections: usize::MAX,
        calls_per_connection: 10_000,
        call_bytes: MAX_MESSAGE_BYTES,
        unfinished_bytes: usize::MAX,
    };
}

/// A limit that a caller reached, as [`serve_limited`] reports it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ReachedLimit {
    /// More connections than allowed.
    Connections,
    /// A call, or all that are not complete, over the allowed bytes.
    CallBytes,
}

/// Called when a caller reaches a limit.
pub type LimitReporter = Rc<dyn Fn(ReachedLimit, SocketAddr)>;

#[derive(Debug)]
struct PeerConnection {
    opened_at: Instant,
    has_called: Cell<bool>,
    closed: Notify,
}

/// What the connections of one server share.
struct ServerState {
    limits: ServerLimits,
    unfinished_bytes: Cell<usize>,
    connections: RefCell<Vec<Rc<PeerConnection>>>,
    report: LimitReporter,
}

impl ServerState {
    /// Takes a connection in, if need be in place of the oldest that has made no call.
    fn admit(&self) -> Option<Rc<PeerConnection>> {
        let mut connections = self.connections.borrow_mut();
        if connections.len() >= self.limits.connections {
            let replaced = connections.iter().position(|connection| {
                !connection.has_called.get()
                    && connection.opened_at.elapsed() >= MIN_FIRST_CALL_TIME
            })?;
            connections.remove(replaced).closed.notify_one();
        }
        let connection = Rc::new(PeerConnection {
            opened_at: Instant::now(),
            has_called: Cell::new(false),
            closed: Notify::new(),
        });
        connections.push(connection.clone());
        Some(connection)
    }

    fn remove(&self, connection: &Rc<PeerConnection>) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|other| !Rc::ptr_eq(other, connection));
    }
}

/// Accepts connections until the task is dropped; waits 100 ms after a failed accept.
pub async fn serve<C, R>(listener: TcpListener, handler: CallHandler<C, R>)
where
    C: DeserializeOwned + 'static,
    R: Serialize + 'static,
{
    let report: LimitReporter = Rc::new(|_, _| {});
    serve_limited(listener, handler, ServerLimits::TRUSTED, report).await;
}

/// Like [`serve`], and holds no more for callers than `limits`; calls `report` when one reaches them.
pub async fn serve_limited<C, R>(
    listener: TcpListener,
    handler: CallHandler<C, R>,
    limits: ServerLimits,
    report: LimitReporter,
) where
    C: DeserializeOwned + 'static,
    R: Serialize + 'static,
{
    let server = Rc::new(ServerState {
        limits,
        unfinished_bytes: Cell::new(0),
        connections: RefCell::default(),
        report,
    });
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let Some(connection) = server.admit() else {
                    (server.report)(ReachedLimit::Connections, peer);
                    continue;
                };
                let (handler, server) = (handler.clone(), server.clone());
                actix_rt::spawn(async move {
                    let served = serve_connection(stream, peer, &connection, &server, handler);
                    tokio::select! {
                        served = served => {
                            if let Err(error) = served {
                                tracing::debug!(%error, "peer connection failed");
                            }
                        }
                        () = connection.closed.notified() => {
                            (server.report)(ReachedLimit::Connections, peer);
                        }
                    }
                    server.remove(&connection);
                });
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a peer connection; raise the limit on open files");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_connection<C, R>(
    stream: TcpStream,
    peer: SocketAddr,
    peer_connection: &Rc<PeerConnection>,
    server: &Rc<ServerState>,
    handler: CallHandler<C, R>,
) -> Result<(), h2::Error>
where
    C: DeserializeOwned + 'static,
    R: Serialize + 'static,
{
    stream.set_nodelay(true).ok();
    let mut connection = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(server.limits.calls_per_connection)
        .max_header_list_size(MAX_HEADER_BYTES)
        .handshake::<_, Bytes>(stream)
        .await?;
    let pings = connection.ping_pong();
    let connection_dead = async move {
        match pings {
            Some(pings) => ping_until_dead(pings).await,
            None => std::future::pending().await,
        }
    };
    tokio::pin!(connection_dead);
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = &mut connection_dead => return Ok(()),
        };
        let Some(accepted) = accepted else {
            return Ok(());
        };
        let (request, mut respond) = accepted?;
        let handler = handler.clone();
        let (server, peer_connection) = (server.clone(), peer_connection.clone());
        actix_rt::spawn(async move {
            let body =
                tokio::time::timeout(CALL_TIMEOUT, read_call(request.into_body(), &server, peer));
            let called = match body.await {
                Ok(Ok(bytes)) => {
                    peer_connection.has_called.set(true);
                    handle_call(&bytes, respond, handler).await
                }
                Ok(Err(error)) => {
                    respond.send_reset(h2::Reason::ENHANCE_YOUR_CALM);
                    Err(error)
                }
                Err(_) => {
                    respond.send_reset(h2::Reason::CANCEL);
                    Err(CallError::Timeout(CALL_TIMEOUT))
                }
            };
            if let Err(error) = called {
                tracing::debug!(%error, "peer call failed");
            }
        });
    }
}

/// The bytes of one call that is not complete.
struct UnfinishedBytes<'a> {
    server: &'a ServerState,
    bytes: usize,
}

impl UnfinishedBytes<'_> {
    fn grow_by(&mut self, bytes: usize) -> bool {
        let limits = &self.server.limits;
        let used = self.server.unfinished_bytes.get() + bytes;
        if self.bytes + bytes > limits.call_bytes || used > limits.unfinished_bytes {
            return false;
        }
        self.bytes += bytes;
        self.server.unfinished_bytes.set(used);
        true
    }
}

impl Drop for UnfinishedBytes<'_> {
    fn drop(&mut self) {
        let used = self.server.unfinished_bytes.get();
        self.server.unfinished_bytes.set(used - self.bytes);
    }
}

async fn read_call(
    mut stream: RecvStream,
    server: &ServerState,
    peer: SocketAddr,
) -> Result<Vec<u8>, CallError> {
    let mut unfinished = UnfinishedBytes { server, bytes: 0 };
    let mut bytes = Vec::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk?;
        stream.flow_control().release_capacity(chunk.len())?;
        if !unfinished.grow_by(chunk.len()) {
            (server.report)(ReachedLimit::CallBytes, peer);
            return Err(CallError::TooLarge);
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}

async fn handle_call<C: DeserializeOwned, R: Serialize>(
    bytes: &[u8],
    mut respond: SendResponse<Bytes>,
    handler: CallHandler<C, R>,
) -> Result<(), CallError> {
    let call: C = match codec::decode(bytes) {
        Ok(call) => call,
        Err(error) => {
            tracing::warn!(%error, "cannot decode a peer's call");
            let response = status_response(StatusCode::BAD_REQUEST);
            respond.send_response(response, true)?;
            return Ok(());
        }
    };
    let mut reply_future = handler(call);
    // The response head reports to the caller that the call was accepted. It is sent before the
    // reply is ready, but after the handler has run up to its first await.
    let first_poll = futures_util::poll!(&mut reply_future);
    let mut stream = respond.send_response(status_response(StatusCode::OK), false)?;
    let reply = match first_poll {
        std::task::Poll::Ready(reply) => reply,
        std::task::Poll::Pending => tokio::select! {
            reply = reply_future => reply,
            _ = std::future::poll_fn(|cx| stream.poll_reset(cx)) => return Ok(()),
        },
    };
    let body = Bytes::from(codec::encode(&reply)?);
    send_body(&mut stream, body).await?;
    Ok(())
}

fn status_response(status: StatusCode) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    response
}
