//! Server that sends raw bytes as soon as it has the head of a request, whether or not the body has come.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use super::BackgroundRuntime;
use super::http::{ReceivedRequest, read_request_head};

/// Of the server's sockets, so that a long upload is still being written when the server answers.
const RECEIVE_BUFFER_BYTES: u32 = 4096;

/// Bytes to send to a request, and what becomes of the connection after them.
#[derive(Debug, Clone)]
pub struct RawAnswer {
    pub bytes: Vec<u8>,
    pub end: AnswerEnd,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AnswerEnd {
    /// Reads the request's body, and the next request.
    Keep,
    /// Ends the answer in order, and discards what still comes.
    Close,
    /// Resets the connection.
    Reset,
}

/// Starts a server that sends what `answer` returns for each head, with an empty body; returns its
/// address.
pub fn start_raw_server(
    runtime: &BackgroundRuntime,
    answer: impl Fn(&ReceivedRequest) -> RawAnswer + Send + Sync + 'static,
) -> SocketAddr {
    start_raw_server_at(runtime, SocketAddr::from(([127, 0, 0, 1], 0)), answer)
}

/// Like [`start_raw_server`], at an address that a process may have used before.
pub fn start_raw_server_at(
    runtime: &BackgroundRuntime,
    address: SocketAddr,
    answer: impl Fn(&ReceivedRequest) -> RawAnswer + Send + Sync + 'static,
) -> SocketAddr {
    let _guard = runtime.enter();
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("the size is valid");
    socket.set_reuseaddr(true).expect("the option is known");
    socket.bind(address).expect("the port is free");
    let listener = socket.listen(128).expect("the socket is bound");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    let answer = Arc::new(answer);
    runtime.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move { serve_connection(stream, &*answer).await });
        }
    });
    address
}

async fn serve_connection(
    mut stream: TcpStream,
    answer: &(impl Fn(&ReceivedRequest) -> RawAnswer + Send + Sync),
) {
    let mut buffer = Vec::new();
    while let Some((request, length)) = read_request_head(&mut stream, 0, &mut buffer).await {
        let RawAnswer { bytes, end } = answer(&request);
        stream.write_all(&bytes).await.ok();
        match end {
            AnswerEnd::Reset => {
                stream.set_zero_linger().ok();
                return;
            }
            AnswerEnd::Close => {
                stream.shutdown().await.ok();
                while stream
                    .read(&mut [0; 4096])
                    .await
                    .is_ok_and(|count| count > 0)
                {}
                return;
            }
            AnswerEnd::Keep => {
                while buffer.len() < length {
                    if !matches!(stream.read_buf(&mut buffer).await, Ok(count) if count > 0) {
                        return;
                    }
                }
                buffer.drain(..length);
            }
        }
    }
}
