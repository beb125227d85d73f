//! Minimal HTTP/1.1 server whose handlers control each byte of a response and its timing.

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

/// A request as the server received it.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Number of the connection that it came on, unique in the process.
    pub connection: u64,
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }
}

#[derive(Debug, Clone)]
pub enum ResponseStep {
    Write(Vec<u8>),
    /// Writes these bytes, or resets the connection if the peer does not take them in this time.
    WriteWithin(Vec<u8>, Duration),
    Wait(Duration),
    /// Resets the connection.
    Reset,
    /// Closes the connection in order.
    Close,
    /// Sends nothing more and keeps the connection open until the peer closes it.
    Silence,
}

/// Channel for the steps of a handler's response; closed once the peer has closed the connection.
pub type StepSender = mpsc::Sender<ResponseStep>;

/// Encodes a complete response with a `content-length`.
pub fn encode_response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut response = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        response.push_str(&format!("{name}: {value}\r\n"));
    }
    response.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut response = response.into_bytes();
    response.extend_from_slice(body);
    response
}

/// Whether a server's process is stopped, as by SIGSTOP: the kernel still accepts its connections and
/// bytes, and it reads them once it goes on.
pub type StoppedFlag = watch::Receiver<bool>;

async fn wait_until_running(stopped: &StoppedFlag) {
    let mut stopped = stopped.clone();
    // A flag whose sender is gone keeps its last value.
    stopped.wait_for(|stopped| !stopped).await.ok();
}

/// Serves connections until the listener fails.
pub async fn serve<H, F>(listener: TcpListener, stopped: StoppedFlag, handler: H)
where
    H: Fn(ReceivedRequest, StepSender) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let handler = Arc::new(handler);
    while let Ok((stream, _)) = listener.accept().await {
        wait_until_running(&stopped).await;
        let (handler, stopped) = (handler.clone(), stopped.clone());
        tokio::spawn(async move { serve_connection(stream, &stopped, handler).await });
    }
}

async fn serve_connection<H, F>(mut stream: TcpStream, stopped: &StoppedFlag, handler: Arc<H>)
where
    H: Fn(ReceivedRequest, StepSender) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    stream.set_nodelay(true).ok();
    let connection = NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed);
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, connection, &mut buffer).await {
        wait_until_running(stopped).await;
        let (sender, mut steps) = mpsc::channel(1);
        let task = tokio::spawn(handler(request, sender));
        // A request that was read runs, also if its sender has closed the connection.
        tokio::task::yield_now().await;
        loop {
            let step = tokio::select! {
                step = steps.recv() => step,
                closed = peer_closed(&mut stream, stopped, &mut buffer) => {
                    if closed {
                        task.abort();
                        return;
                    }
                    continue;
                }
            };
            wait_until_running(stopped).await;
            match step {
                Some(ResponseStep::Write(bytes)) => {
                    if stream.write_all(&bytes).await.is_err() {
                        task.abort();
                        return;
                    }
                }
                Some(ResponseStep::WriteWithin(bytes, limit)) => {
                    let written = tokio::time::timeout(limit, stream.write_all(&bytes)).await;
                    if !matches!(written, Ok(Ok(()))) {
                        stream.set_zero_linger().ok();
                        task.abort();
                        return;
                    }
                }
                Some(ResponseStep::Wait(time)) => {
                    let sleep = tokio::time::sleep(time);
                    tokio::pin!(sleep);
                    loop {
                        tokio::select! {
                            () = &mut sleep => break,
                            closed = peer_closed(&mut stream, stopped, &mut buffer) => {
                                if closed {
                                    task.abort();
                                    return;
                                }
                            }
                        }
                    }
                }
                Some(ResponseStep::Reset) => {
                    stream.set_zero_linger().ok();
                    return;
                }
                Some(ResponseStep::Close) => return,
                Some(ResponseStep::Silence) => {
                    while !peer_closed(&mut stream, stopped, &mut buffer).await {}
                    return;
                }
                None => break,
            }
        }
    }
}

async fn peer_closed(stream: &mut TcpStream, stopped: &StoppedFlag, buffer: &mut Vec<u8>) -> bool {
    let read = stream.read_buf(buffer).await;
    wait_until_running(stopped).await;
    matches!(read, Ok(0) | Err(_))
}

/// Reads the head of a request; returns it without its body, and the length of that.
pub async fn read_request_head(
    stream: &mut TcpStream,
    connection: u64,
    buffer: &mut Vec<u8>,
) -> Option<(ReceivedRequest, usize)> {
    let head_end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end);
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers
        .get("content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let request = ReceivedRequest {
        connection,
        method,
        path,
        headers,
        body: Vec::new(),
    };
    Some((request, length))
}

/// Reads a request with its body.
pub async fn read_request(
    stream: &mut TcpStream,
    connection: u64,
    buffer: &mut Vec<u8>,
) -> Option<ReceivedRequest> {
    let (mut request, length) = read_request_head(stream, connection, buffer).await?;
    while buffer.len() < length {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    request.body = buffer.drain(..length).collect();
    Some(request)
}
