//! Server for calls of peers.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};

use super::client::{CallError, read_body, send_body};
use super::codec;
use super::liveness::ping_until_dead;
use super::message::{PeerCall, PeerReply};

const WINDOW_BYTES: u32 = 1 << 20;
const MAX_CALLS_PER_CONNECTION: u32 = 10_000;

/// Replies to a call. The future is dropped when the caller cancels the call.
pub type CallHandler<C = PeerCall, R = PeerReply> = Rc<dyn Fn(C) -> LocalBoxFuture<'static, R>>;

/// Accepts connections until the task is dropped; waits 100 ms after a failed accept.
pub async fn serve<C, R>(listener: TcpListener, handler: CallHandler<C, R>)
where
    C: DeserializeOwned + 'static,
    R: Serialize + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = handler.clone();
                actix_rt::spawn(async move {
                    if let Err(error) = serve_connection(stream, handler).await {
                        tracing::debug!(%error, "peer connection failed");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a peer connection; raise the limit on open files");
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_connection<C, R>(
    stream: TcpStream,
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
        .max_concurrent_streams(MAX_CALLS_PER_CONNECTION)
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
        let (request, respond) = accepted?;
        let handler = handler.clone();
        actix_rt::spawn(async move {
            if let Err(error) = handle_call(request, respond, handler).await {
                tracing::debug!(%error, "peer call failed");
            }
        });
    }
}

async fn handle_call<C: DeserializeOwned, R: Serialize>(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    handler: CallHandler<C, R>,
) -> Result<(), CallError> {
    let bytes = read_body(request.into_body()).await?;
    let call: C = match codec::decode(&bytes) {
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
