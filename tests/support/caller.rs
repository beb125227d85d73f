//! Caller that looks up addresses in the directory, sends one request per connection and
//! records whether the response was complete.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request to send.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub key: Option<String>,
    pub deadline: Duration,
    pub body: Vec<u8>,
    pub tokens: Option<String>,
    pub extra_headers: Vec<(String, String)>,
}

impl CallerRequest {
    pub fn new(id: &str, method: &'static str, path: &str) -> Self {
        Self {
            id: id.to_owned(),
            method,
            path: path.to_owned(),
            key: Some("key-a".to_owned()),
            deadline: Duration::from_secs(5),
            body: Vec::new(),
            tokens: None,
            extra_headers: Vec::new(),
        }
    }

    pub fn encode(&self, connection: &str) -> Vec<u8> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nhost: callers.example\r\nx-plantainnotch-request-id: {}\r\nx-plantainnotch-deadline: {}\r\ncontent-length: {}\r\n",
            self.method,
            self.path,
            self.id,
            self.deadline.as_millis(),
            self.body.len(),
        );
        if let Some(key) = &self.key {
            head.push_str(&format!("x-plantainnotch-key: {key}\r\n"));
        }
        if let Some(tokens) = &self.tokens {
            head.push_str(&format!("x-plantainnotch-token-count: {tokens}\r\n"));
        }
        for (name, value) in &self.extra_headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("connection: {connection}\r\n\r\n"));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// A response as the caller received it.
#[derive(Debug, Clone)]
pub struct CallerResponse {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body is complete according to its framing.
    pub complete: bool,
}

impl CallerResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Ids of the received events, in order.
    pub fn event_ids(&self) -> Vec<u64> {
        String::from_utf8_lossy(&self.body)
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect()
    }
}

/// Sends a request to `address`; `None` if no complete head of a response arrives.
pub fn send(address: SocketAddr, request: &CallerRequest) -> Option<CallerResponse> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(request.deadline)).ok()?;
    stream.write_all(&request.encode("close")).ok()?;
    let mut bytes = Vec::new();
    let closed_cleanly = stream.read_to_end(&mut bytes).is_ok();
    parse_response(&bytes, closed_cleanly)
}

/// A connection that a caller keeps for several requests to plain services.
pub struct KeptConnection {
    stream: TcpStream,
}

/// What a caller sees of one request on a kept connection.
#[derive(Debug, Clone)]
pub enum KeptOutcome {
    Answered(CallerResponse),
    /// The connection ended without a complete response.
    Closed,
}

impl KeptConnection {
    /// Connects to `address`; `None` if nothing listens there.
    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        Some(Self { stream })
    }

    /// Sends a request, pausing for `pause` in the middle of its body unless an answer comes before, and
    /// reads the response.
    pub fn exchange(&mut self, request: &CallerRequest, pause: Duration) -> KeptOutcome {
        let bytes = request.encode("keep-alive");
        let (start, rest) = bytes.split_at(bytes.len() - request.body.len() / 2);
        let limit = Some(request.deadline + Duration::from_secs(1));
        let stream = &mut self.stream;
        let mut send = || {
            stream.write_all(start)?;
            if !pause.is_zero() {
                stream.set_read_timeout(Some(pause))?;
                let is_answered = stream.peek(&mut [0]).is_ok();
                if is_answered {
                    return stream.set_read_timeout(limit);
                }
            }
            stream.set_read_timeout(limit)?;
            stream.write_all(rest)
        };
        let sent: std::io::Result<()> = send();
        // The node may have answered although not all could be sent.
        sent.ok();
        match self.read_response() {
            Some(response) => KeptOutcome::Answered(response),
            None => KeptOutcome::Closed,
        }
    }

    fn read_response(&mut self) -> Option<CallerResponse> {
        let mut received = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            if let Some(response) = parse_response(&received, false)
                && response.complete
            {
                return Some(response);
            }
            match self.stream.read(&mut chunk) {
                Ok(count) if count > 0 => received.extend_from_slice(&chunk[..count]),
                _ => return None,
            }
        }
    }
}

/// Looks up addresses in a node's directory.
pub fn resolve(directory: SocketAddr) -> Option<Vec<SocketAddr>> {
    let path = "/api/resolve?name=callers.example&region=r&zone=domain-0";
    let response = send(directory, &CallerRequest::new("", "GET", path))?;
    let body: Value = serde_json::from_slice(&response.body).ok()?;
    let list = body["addresses"].as_array()?;
    list.iter()
        .map(|text| text.as_str()?.parse().ok())
        .collect()
}

/// Whether a node's readiness check succeeds.
pub fn is_ready(readiness: SocketAddr) -> bool {
    let mut request = CallerRequest::new("", "GET", "/api/ready");
    request.deadline = Duration::from_secs(1);
    send(readiness, &request).is_some_and(|response| response.status == 200)
}

pub fn parse_response(bytes: &[u8], closed_cleanly: bool) -> Option<CallerResponse> {
    let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let raw = &bytes[head_end..];
    let chunked = headers
        .get("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"));
    let (body, complete) = if chunked {
        decode_chunks(raw)
    } else if let Some(length) = headers.get("content-length") {
        (raw.to_vec(), length.parse() == Ok(raw.len()))
    } else {
        (raw.to_vec(), closed_cleanly)
    };
    Some(CallerResponse {
        status,
        headers,
        body,
        complete,
    })
}

fn decode_chunks(mut raw: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = raw.windows(2).position(|window| window == b"\r\n") else {
            return (body, false);
        };
        let size = std::str::from_utf8(&raw[..end])
            .ok()
            .and_then(|text| usize::from_str_radix(text.trim(), 16).ok());
        let Some(size) = size else {
            return (body, false);
        };
        raw = &raw[end + 2..];
        if size == 0 {
            return (body, true);
        }
        if raw.len() < size + 2 {
            body.extend_from_slice(&raw[..size.min(raw.len())]);
            return (body, false);
        }
        body.extend_from_slice(&raw[..size]);
        raw = &raw[size + 2..];
    }
}
