//! The answering side of calls between processes.

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
use super::liveness::watch_pings;
use super::message::{PeerCall, PeerReply};

const WINDOW_BYTES: u32 = 1 << 20;
const MAX_CALLS_PER_CONNECTION: u32 = 10_000;

/// Answers a call. The future is dropped when the caller gives up.
pub type CallHandler<C = PeerCall, R = PeerReply> = Rc<dyn Fn(C) -> LocalBoxFuture<'static, R>>;

/// Accepts connections for as long as the listener works.
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
                        tracing::debug!(%error, "peer connection ended");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a peer; raise the limit of open files");
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
    let silent = async move {
        match pings {
            Some(pings) => watch_pings(pings).await,
            None => std::future::pending().await,
        }
    };
    tokio::pin!(silent);
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = &mut silent => return Ok(()),
        };
        let Some(accepted) = accepted else {
            return Ok(());
        };
        let (request, respond) = accepted?;
        let handler = handler.clone();
        actix_rt::spawn(async move {
            if let Err(error) = answer_call(request, respond, handler).await {
                tracing::debug!(%error, "peer call failed");
            }
        });
    }
}

async fn answer_call<C: DeserializeOwned, R: Serialize>(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    handler: CallHandler<C, R>,
) -> Result<(), CallError> {
    let bytes = read_body(request.into_body()).await?;
    let call: C = match codec::decode(&bytes) {
        Ok(call) => call,
        Err(error) => {
            tracing::warn!(%error, "peer sent a call that is not one of ours");
            let response = status_response(StatusCode::BAD_REQUEST);
            respond.send_response(response, true)?;
            return Ok(());
        }
    };
    let mut answer = handler(call);
    let ready = futures_util::poll!(&mut answer);
    // The head alone tells the caller that the call was taken up.
    let mut stream = respond.send_response(status_response(StatusCode::OK), false)?;
    let reply = match ready {
        std::task::Poll::Ready(reply) => reply,
        std::task::Poll::Pending => tokio::select! {
            reply = answer => reply,
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
