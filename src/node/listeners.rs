//! The HTTP server, also of `notch-entry`, and the handlers of the directory, readiness and metrics listeners.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::DispatchError;
use actix_http::{HttpMessage, HttpService, Request, Response, StatusCode, header};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, apply_fn_factory, fn_service};
use bytes::Bytes;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::caller_stream::{CallerStream, ReadWaker};
use super::connection_budget::{CallerConnection, ConnectionBudget, ListenerKind};
use super::request_framing::BodyFraming;
use super::state::NodeState;
use crate::platform::directory::{
    DIRECTORY_PATH, MAX_ADDRESSES, READINESS_PATH, caller_domain, encode_addresses,
};

const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(60); // longer than any caller keeps an idle connection
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(6); // above the limit within which callers send the head
/// Of one connection; holds what the smallest link brings in 25 ms.
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;
const ACCEPT_QUEUE: u32 = 1024;
const OVERDUE_INTERVAL: Duration = Duration::from_millis(250);
/// To a connection that is not admitted. Nothing of its requests has run or will.
const CONNECTION_REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
const DIRECTORY_TTL: Duration = Duration::from_secs(2); // a lost VM stays in cached responses this long after it is noticed

/// Listens at `address` with small receive buffers, since unread bytes count toward the VM's memory.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)
}

/// Timeouts of an HTTP server, beside those of the connections' budget.
#[derive(Debug, Clone, Copy)]
pub struct HttpTimeouts {
    /// After which an idle connection is closed.
    pub keep_alive: Duration,
    /// For the first head of a connection.
    pub request_head: Duration,
}

/// Creates the service of callers' streams, whose requests `handler` serves; `None` if `handler` cannot be
/// created.
///
/// A caller that closes its connection, or its sending side, drops the request that is being served.
pub async fn caller_service<F, S>(
    timeouts: HttpTimeouts,
    handler: F,
) -> Option<impl Service<(CallerStream, Option<SocketAddr>), Response = (), Error = DispatchError>>
where
    F: IntoServiceFactory<S, Request>,
    S: ServiceFactory<Request, Config = ()> + 'static,
    S::Response: Into<Response<BoxBody>>,
    S::Error: Into<Response<BoxBody>> + 'static,
    S::InitError: std::fmt::Debug,
{
    let counted_handler = apply_fn_factory(handler, |request: Request, handler: &S::Service| {
        let progress = request.conn_data::<ConnectionProgress>().cloned();
        let exchange = progress.map(|progress| ExchangeGuard::begin(progress, &request));
        let response = handler.call(request);
        async move {
            let response = response.await?.into();
            Ok::<_, S::Error>(match exchange {
                Some(exchange) => count_response(response, exchange),
                None => response,
            })
        }
    });
    let service = HttpService::build()
        .keep_alive(timeouts.keep_alive)
        .client_request_timeout(timeouts.request_head)
        .client_disconnect_timeout(Duration::from_secs(1))
        .h1_allow_half_closed(false)
        .on_connect_ext(|stream: &CallerStream, data| {
            data.insert(ConnectionProgress::new(stream));
        })
        .h1(counted_handler);
    service.new_service(()).await.ok()
}

/// Counts a connection that was accepted; `None` if `connections` does not admit it. It is then refused with
/// 503 before anything of it is read.
pub fn admit_stream(
    connections: &Rc<ConnectionBudget>,
    kind: ListenerKind,
    stream: TcpStream,
    peer: SocketAddr,
) -> Option<CallerStream> {
    let Some(connection) = connections.admit(kind, peer) else {
        // Fails only if the caller has left.
        stream.try_write(CONNECTION_REFUSAL).ok();
        return None;
    };
    stream.set_nodelay(true).ok();
    Some(CallerStream::new(stream, connection))
}

/// Serves a connection until it ends, with a [`caller_service`].
pub async fn serve_stream<S>(service: Rc<S>, stream: CallerStream, peer: SocketAddr)
where
    S: Service<(CallerStream, Option<SocketAddr>), Response = (), Error = DispatchError>,
{
    let connection = stream.connection().clone();
    tokio::select! {
        served = service.call((stream, Some(peer))) => {
            if let Err(error) = served {
                tracing::debug!(%error, "connection ended early");
            }
        }
        () = connection.closed() => {}
    }
    connection.release();
}

/// Accepts HTTP connections on `listener` until `close_signal` completes; open ones stay open.
///
/// All connections share one thread, since a node has only a fraction of a core.
pub async fn serve_http<H, F>(
    listener: TcpListener,
    kind: ListenerKind,
    connections: Rc<ConnectionBudget>,
    close_signal: impl Future<Output = ()>,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let handler = fn_service(move |request: Request| {
        let response = handler(request);
        async move { Ok::<_, Response<BoxBody>>(response.await) }
    });
    let timeouts = HttpTimeouts {
        keep_alive: KEEP_ALIVE_TIMEOUT,
        request_head: REQUEST_HEAD_TIMEOUT,
    };
    let Some(service) = caller_service(timeouts, handler).await else {
        tracing::error!("HTTP service could not be built; report this as a fault");
        return;
    };
    let service = Rc::new(service);
    tokio::pin!(close_signal);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut close_signal => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                if let Some(stream) = admit_stream(&connections, kind, stream, peer) {
                    actix_rt::spawn(serve_stream(service.clone(), stream, peer));
                }
            }
            Err(error) => {
                tracing::warn!(%error, "connection not accepted; raise the limit of open files");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Closes connections whose callers take too long, for as long as the process runs.
pub async fn close_overdue_loop(connections: Rc<ConnectionBudget>) {
    loop {
        tokio::time::sleep(OVERDUE_INTERVAL).await;
        connections.close_overdue();
    }
}

/// What a handler tells the stream that its request came on.
#[derive(Clone)]
struct ConnectionProgress {
    connection: Rc<CallerConnection>,
    read_waker: Rc<ReadWaker>,
}

impl ConnectionProgress {
    fn new(stream: &CallerStream) -> Self {
        Self {
            connection: stream.connection().clone(),
            read_waker: stream.read_waker().clone(),
        }
    }
}

/// One request and its response, which ends when this is dropped.
struct ExchangeGuard(ConnectionProgress);

impl ExchangeGuard {
    fn begin(progress: ConnectionProgress, request: &Request) -> Self {
        progress.connection.begin_request(body_framing(request));
        progress.read_waker.wake();
        Self(progress)
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.0.connection.end_response();
    }
}

/// How long a request's body is. A request without a length has none, also if it asks for an upgrade.
fn body_framing(request: &Request) -> BodyFraming {
    if request.chunked().unwrap_or(false) {
        return BodyFraming::Chunked;
    }
    let length = request.headers().get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.trim().parse().ok());
    BodyFraming::Sized(length.unwrap_or(0))
}

/// The body of a response, whose bytes count as held until the caller's socket takes them.
struct UnsentBody {
    body: BoxBody,
    exchange: ExchangeGuard,
}

fn count_response(response: Response<BoxBody>, exchange: ExchangeGuard) -> Response<BoxBody> {
    response.map_body(|_, body| UnsentBody { body, exchange }.boxed())
}

impl MessageBody for UnsentBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let next = Pin::new(&mut self.body).poll_next(cx);
        if let Poll::Ready(Some(Ok(bytes))) = &next {
            self.exchange.0.connection.add_unsent(bytes.len());
        }
        next
    }
}

/// Builds a response with a text body.
pub fn text_response(
    status: StatusCode,
    content_type: &'static str,
    text: String,
) -> Response<BoxBody> {
    Response::build(status)
        .insert_header(("content-type", content_type))
        .message_body(text.boxed())
        .unwrap_or_else(|_| Response::new(StatusCode::INTERNAL_SERVER_ERROR))
}

/// Responds to callers that look up the addresses of ready nodes.
pub fn directory_response(node: &NodeState, request: &Request) -> Response<BoxBody> {
    if request.path() != DIRECTORY_PATH {
        return text_response(StatusCode::NOT_FOUND, "text/plain", String::new());
    }
    let now = node.now();
    let members = node.members.borrow();
    let mut addresses = members.caller_addresses(now);
    if addresses.is_empty() {
        let text = "no VM takes callers yet".to_owned();
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", text);
    }
    if addresses.len() > MAX_ADDRESSES {
        let domain = caller_domain(request.uri().query().unwrap_or_default());
        addresses = members.nearest_addresses(domain, MAX_ADDRESSES, now);
    }
    let ttl = DIRECTORY_TTL.min(node.settings.bounds.max_directory_ttl);
    let body = encode_addresses(&addresses, ttl);
    text_response(StatusCode::OK, "application/json", body)
}

/// Responds to the platform's readiness check.
pub fn readiness_response(node: &NodeState, request: &Request) -> Response<BoxBody> {
    let ready = is_ready(node);
    let status = match request.path() {
        READINESS_PATH if ready => StatusCode::OK,
        READINESS_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    text_response(status, "text/plain", String::new())
}

/// Whether this node accepts callers' requests: it has a configuration and is not stopping.
pub fn is_ready(node: &NodeState) -> bool {
    !node.stop.has_begun() && node.catalog.borrow().table().is_some()
}

/// Responds with all metrics in the `OpenMetrics` text format, on any path.
pub fn metrics_response(node: &NodeState, _request: &Request) -> Response<BoxBody> {
    let text = node.metrics.render();
    text_response(
        StatusCode::OK,
        "application/openmetrics-text; version=1.0.0; charset=utf-8",
        text,
    )
}
