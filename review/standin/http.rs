//! HTTP/1.1 as far as the stand-ins need it.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request as a server received it.
pub struct Request {
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }
}

/// One connection that a server has accepted, with the bytes read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// Bytes a second at which bodies are read, if the server reads slowly.
    pub read_rate: Option<usize>,
    /// Called with a request's headers before its body is read.
    pub on_head: Option<Box<dyn Fn(&BTreeMap<String, String>) + Send>>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            buffer: Vec::new(),
            read_rate: None,
            on_head: None,
        }
    }

    fn fill(&mut self, limit: usize) -> Option<()> {
        let mut chunk = vec![0; limit];
        let count = self.stream.read(&mut chunk).ok()?;
        if count == 0 {
            return None;
        }
        self.buffer.extend_from_slice(&chunk[..count]);
        Some(())
    }

    /// Reads the next request; `None` when the peer has closed the connection.
    pub fn read_request(&mut self) -> Option<Request> {
        let head_end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end + 4;
            }
            self.fill(4_096)?;
        };
        let (first, headers) = parse_head(&self.buffer[..head_end]);
        if let Some(on_head) = &self.on_head {
            on_head(&headers);
        }
        let mut words = first.split(' ');
        words.next()?;
        let path = words.next()?.to_owned();
        let length: usize = headers
            .get("content-length")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        while self.buffer.len() < head_end + length {
            match self.read_rate {
                Some(rate) => {
                    self.fill(rate / 20)?;
                    std::thread::sleep(Duration::from_millis(50));
                }
                None => self.fill(65_536)?,
            }
        }
        let body = self.buffer[head_end..head_end + length].to_vec();
        self.buffer.drain(..head_end + length);
        Some(Request {
            path,
            headers,
            body,
        })
    }

    /// Whether the peer has closed or reset the connection; bytes that it sent are kept.
    pub fn is_closed(&mut self) -> bool {
        self.stream.set_nonblocking(true).ok();
        let mut chunk = [0; 4_096];
        let result = self.stream.read(&mut chunk);
        self.stream.set_nonblocking(false).ok();
        match result {
            Ok(0) => true,
            Ok(count) => {
                self.buffer.extend_from_slice(&chunk[..count]);
                false
            }
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn respond(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
        let mut bytes = format!("HTTP/1.1 {status} X\r\n");
        for (name, value) in headers {
            bytes.push_str(&format!("{name}: {value}\r\n"));
        }
        bytes.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
        let mut bytes = bytes.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}

pub fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

/// The first line of a head and its headers, with names in lower case.
pub fn parse_head(head: &[u8]) -> (String, BTreeMap<String, String>) {
    let text = String::from_utf8_lossy(head).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    (first, headers)
}

/// Accepts connections on a free port of `ip` and serves each on a thread of its own.
pub fn serve(
    ip: std::net::IpAddr,
    handler: impl Fn(Connection) + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || handler(Connection::new(stream)));
        }
    });
    Ok(address)
}

/// A response as a client received it.
#[derive(Debug, Default, Clone)]
pub struct Response {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body is complete by its framing.
    pub complete: bool,
}

/// Reads one response with a length or in chunks; `None` if the connection ends before its head does.
/// `pace` is called after each read with the number of bytes.
pub fn read_response(stream: &mut TcpStream, mut pace: impl FnMut(usize)) -> Option<Response> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4_096];
    let head_end = loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            break end + 4;
        }
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&chunk[..count]);
        pace(count);
    };
    let (first, headers) = parse_head(&bytes[..head_end]);
    let mut response = Response {
        status: first.split(' ').nth(1)?.parse().ok()?,
        headers,
        ..Response::default()
    };
    let length: Option<usize> = response
        .headers
        .get("content-length")
        .and_then(|value| value.parse().ok());
    let mut raw = bytes.split_off(head_end);
    loop {
        match length {
            Some(length) if raw.len() >= length => {
                response.complete = true;
                break;
            }
            None if raw.ends_with(b"0\r\n\r\n") => {
                response.complete = true;
                break;
            }
            _ => {}
        }
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => {
                raw.extend_from_slice(&chunk[..count]);
                pace(count);
            }
            _ => break,
        }
    }
    response.body = raw;
    Some(response)
}
