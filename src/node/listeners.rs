//! The HTTP server, and the handlers of the directory, readiness and metrics listeners.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{HttpService, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory, fn_service};
use tokio::net::TcpListener;

use super::state::NodeState;
use crate::platform::directory::{
    DIRECTORY_PATH, MAX_ADDRESSES, READINESS_PATH, caller_domain, encode_addresses,
};

const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(60); // longer than any caller keeps an idle connection
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(6); // above the limit within which callers send the head
const DIRECTORY_TTL: Duration = Duration::from_secs(2); // a lost VM stays in cached responses this long after it is noticed

/// Accepts HTTP connections on `listener` until `close_signal` completes; open ones stay open.
///
/// All connections share one thread, since a node has only a fraction of a core.
pub async fn serve_http<H, F>(
    listener: TcpListener,
    close_signal: impl Future<Output = ()>,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let service = HttpService::build()
        .keep_alive(KEEP_ALIVE_TIMEOUT)
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        .client_disconnect_timeout(Duration::from_secs(1))
        .h1_allow_half_closed(false)
        .h1(fn_service(move |request: Request| {
            let response = handler(request);
            async move { Ok::<_, Response<BoxBody>>(response.await) }
        }))
        .tcp();
    let service = match service.new_service(()).await {
        Ok(service) => Rc::new(service),
        Err(()) => {
            tracing::error!("HTTP service could not be built; report this as a fault");
            return;
        }
    };
    tokio::pin!(close_signal);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut close_signal => return,
        };
        match accepted {
            Ok((stream, _)) => {
                stream.set_nodelay(true).ok();
                let service = service.clone();
                actix_rt::spawn(async move {
                    if let Err(error) = service.call(stream).await {
                        tracing::debug!(%error, "connection ended early");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "connection not accepted; raise the limit of open files");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
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
