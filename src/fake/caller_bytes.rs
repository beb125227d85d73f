//! Bytes of callers, valid and not, from a seeded generator.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

const MAX_PIPELINED: usize = 200;
const MAX_OVERSIZED_HEAD_BYTES: usize = 300_000; // the HTTP server's own limit is 131,072
const MAX_OVERSIZED_BODY_BYTES: usize = 20_000_000; // over the largest default limit, 16 MiB
const MAX_ODD_BODY_BYTES: usize = 400_000;

/// What is unusual about the bytes of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum InputKind {
    /// One ordinary request.
    Valid,
    /// A request without its end.
    Truncated,
    /// Parts of requests that follow each other without regard to their lengths.
    Concatenated,
    /// Many requests, sent without waiting for a response.
    Pipelined,
    /// Heads or bodies over any limit.
    Oversized,
    /// Bytes that no HTTP request has.
    Malformed,
    /// Valid or nearly valid framing that callers hardly ever use.
    Unusual,
}

impl InputKind {
    /// All kinds.
    pub const ALL: [Self; 7] = [
        Self::Valid,
        Self::Truncated,
        Self::Concatenated,
        Self::Pipelined,
        Self::Oversized,
        Self::Malformed,
        Self::Unusual,
    ];
}

/// What one connection sends.
#[derive(Debug, Clone)]
pub struct CallerInput {
    /// What is unusual about it.
    pub kind: InputKind,
    /// The bytes, in the pieces in which they are written.
    pub pieces: Vec<Vec<u8>>,
    /// Whether the caller reads the response before it closes the connection.
    pub reads: bool,
}

/// An ordinary request, from which the others are derived.
#[derive(Debug, Clone)]
pub struct RequestTemplate {
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Header lines without their line ends, such as `name: value`.
    pub headers: Vec<String>,
    /// Body; a request with an empty one has no length.
    pub body: String,
}

impl RequestTemplate {
    /// The request, with more header lines, of which each ends in `\r\n`.
    pub fn encode(&self, more_headers: &str) -> Vec<u8> {
        let mut head = self.open_head(&self.method, &self.path, "HTTP/1.1");
        head.push_str(more_headers);
        if !self.body.is_empty() {
            head.push_str(&format!("content-length: {}\r\n", self.body.len()));
        }
        format!("{head}\r\n{}", self.body).into_bytes()
    }

    fn open_head(&self, method: &str, path: &str, version: &str) -> String {
        let mut head = format!("{method} {path} {version}\r\nhost: callers.example\r\n");
        for line in &self.headers {
            head.push_str(line);
            head.push_str("\r\n");
        }
        head
    }

    fn with_body(&self, framing: &str, body: impl AsRef<[u8]>) -> Vec<u8> {
        let head = self.open_head("POST", &self.path, "HTTP/1.1");
        let mut bytes = format!("{head}{framing}\r\n").into_bytes();
        bytes.extend_from_slice(body.as_ref());
        bytes
    }

    fn with_sized_body(&self, body: &[u8]) -> Vec<u8> {
        self.with_body(&format!("content-length: {}\r\n", body.len()), body)
    }
}

/// The input number `number` under `seed`, the same each time.
///
/// ```
/// use plantainnotch::fake::caller_bytes::{InputKind, RequestTemplate, caller_input};
/// let template = RequestTemplate {
///     method: "GET".into(), path: "/".into(), headers: vec![], body: String::new(),
/// };
/// let inputs: Vec<_> = (0..200).map(|number| caller_input(&template, 1, number)).collect();
/// assert!(InputKind::ALL.iter().all(|kind| inputs.iter().any(|input| input.kind == *kind)));
/// assert_eq!(inputs[7].pieces, caller_input(&template, 1, 7).pieces);
/// ```
pub fn caller_input(template: &RequestTemplate, seed: u64, number: u64) -> CallerInput {
    let mut input_seed = [0; 32];
    input_seed[..8].copy_from_slice(&seed.to_le_bytes());
    input_seed[8..16].copy_from_slice(&number.to_le_bytes());
    let mut rng = StdRng::from_seed(input_seed);
    let kind = *InputKind::ALL.choose(&mut rng).unwrap_or(&InputKind::Valid);
    let bytes = match kind {
        InputKind::Valid => template.encode(""),
        InputKind::Truncated => truncated(template, &mut rng),
        InputKind::Concatenated => concatenated(template, &mut rng),
        InputKind::Pipelined => {
            let count = rng.random_range(2..=MAX_PIPELINED);
            template.encode("").repeat(count)
        }
        InputKind::Oversized => oversized(template, &mut rng),
        InputKind::Malformed => malformed(template, &mut rng),
        InputKind::Unusual => unusual(template, &mut rng),
    };
    CallerInput {
        kind,
        pieces: split(bytes, &mut rng),
        reads: rng.random_bool(0.6),
    }
}

/// Splits bytes into up to five pieces.
fn split(mut bytes: Vec<u8>, rng: &mut StdRng) -> Vec<Vec<u8>> {
    let mut pieces = Vec::new();
    for _ in 0..rng.random_range(0..5) {
        let rest = bytes.split_off(rng.random_range(0..=bytes.len()));
        pieces.push(std::mem::replace(&mut bytes, rest));
    }
    pieces.push(bytes);
    pieces
}

fn truncated(template: &RequestTemplate, rng: &mut StdRng) -> Vec<u8> {
    let mut bytes = template.encode("");
    bytes.truncate(rng.random_range(0..bytes.len()));
    bytes
}

fn concatenated(template: &RequestTemplate, rng: &mut StdRng) -> Vec<u8> {
    let mut bytes = Vec::new();
    for _ in 0..rng.random_range(2..6) {
        bytes.extend(match rng.random_range(0..3) {
            0 => template.encode(""),
            1 => truncated(template, rng),
            _ => random_bytes(rng, 2_000),
        });
    }
    bytes
}

fn random_bytes(rng: &mut StdRng, max_bytes: usize) -> Vec<u8> {
    let mut bytes = vec![0; rng.random_range(0..max_bytes)];
    rng.fill(&mut bytes[..]);
    bytes
}

fn oversized(template: &RequestTemplate, rng: &mut StdRng) -> Vec<u8> {
    let head_bytes = rng.random_range(10_000..MAX_OVERSIZED_HEAD_BYTES);
    let body_bytes = rng.random_range(100_000..MAX_OVERSIZED_BODY_BYTES);
    match rng.random_range(0..6) {
        0 => template.encode(&format!("x-long: {}\r\n", "v".repeat(head_bytes))),
        1 => template.encode(&"x-many: v\r\n".repeat(head_bytes / 11)),
        2 => {
            let path = "/p".repeat(head_bytes / 2);
            template.open_head("GET", &path, "HTTP/1.1").into_bytes()
        }
        3 => template.with_sized_body(&vec![b'p'; body_bytes]),
        4 => {
            let chunk = format!("10000\r\n{}\r\n", "p".repeat(0x10000));
            let chunks = chunk.repeat(body_bytes / chunk.len() + 1);
            template.with_body("transfer-encoding: chunked\r\n", chunks)
        }
        _ => {
            // Within no limit of the length, and less is sent.
            let length = rng.random::<u64>();
            let framing = format!("content-length: {length}\r\n");
            template.with_body(&framing, vec![b'p'; body_bytes / 100])
        }
    }
}

fn malformed(template: &RequestTemplate, rng: &mut StdRng) -> Vec<u8> {
    let framings = [
        "content-length: -1\r\n",
        "content-length: 5\r\ncontent-length: 6\r\n",
        "content-length: 5\r\ntransfer-encoding: chunked\r\n",
        "content-length: 18446744073709551616\r\n",
        "content-length: +5\r\n",
        "content-length : 5\r\n",
        "transfer-encoding: chunked, chunked\r\n",
        "transfer-encoding: xchunked\r\n",
        "x-folded: a\r\n b\r\n",
        "x-nul: a\0b\r\n",
        ": no name\r\n",
        "no colon\r\n",
        "x-return: a\rb\r\n",
    ];
    let chunks = [
        "ffffffffffffffff\r\np",
        "fffffffffffffffff\r\np",
        "-1\r\np\r\n0\r\n\r\n",
        "g\r\np\r\n0\r\n\r\n",
        "1\r\npp\r\n0\r\n\r\n",
        "\r\n\r\n",
        "1;\0\r\np\r\n0\r\n\r\n",
        "0\r\n\0\r\n",
    ];
    match rng.random_range(0..5) {
        0 => random_bytes(rng, 5_000),
        1 => {
            let framing = framings.choose(rng).copied().unwrap_or_default();
            template.with_body(framing, "hello")
        }
        2 => {
            let chunk = chunks.choose(rng).copied().unwrap_or_default();
            template.with_body("transfer-encoding: chunked\r\n", chunk)
        }
        3 => {
            let lines = [
                "GET\r\n\r\n",
                "GET / HTTP/9.9\r\n\r\n",
                "\r\n",
                "GET  / HTTP/1.1\r\n\r\n",
            ];
            let line = lines.choose(rng).copied().unwrap_or_default();
            line.repeat(rng.random_range(1..50)).into_bytes()
        }
        _ => {
            let mut bytes = template.encode("");
            for _ in 0..rng.random_range(1..20) {
                let at = rng.random_range(0..bytes.len());
                match rng.random_range(0..3) {
                    0 => bytes[at] = rng.random(),
                    1 => bytes.insert(at, rng.random()),
                    _ if bytes.len() > 1 => {
                        bytes.remove(at);
                    }
                    _ => {}
                }
            }
            bytes
        }
    }
}

fn unusual(template: &RequestTemplate, rng: &mut StdRng) -> Vec<u8> {
    let headers = [
        "expect: 100-continue\r\n",
        "connection: close\r\n",
        "connection: upgrade\r\nupgrade: h2c\r\nhttp2-settings: AAMAAABkAAQAAP__\r\n",
        "connection: upgrade\r\nupgrade: websocket\r\nsec-websocket-key: dGhlIHNhbXBsZQ==\r\n",
        "transfer-encoding: identity\r\n",
        "content-encoding: gzip\r\n",
        "x-empty:\r\n",
        "x-utf8: \u{e9}\r\n",
    ];
    let count = rng.random_range(1..MAX_ODD_BODY_BYTES / 10);
    match rng.random_range(0..9) {
        0 => template.encode(headers.choose(rng).copied().unwrap_or_default()),
        1 => {
            let methods = ["HEAD", "OPTIONS", "CONNECT", "TRACE", "get", "A"];
            let paths = [
                "*",
                "http://callers.example/",
                "//",
                "/%00",
                "/../..",
                "callers.example:80",
            ];
            let method = methods.choose(rng).copied().unwrap_or_default();
            let path = paths.choose(rng).copied().unwrap_or_default();
            let version = if rng.random() { "HTTP/1.0" } else { "HTTP/1.1" };
            let head = template.open_head(method, path, version);
            format!("{head}\r\n").into_bytes()
        }
        2 => [
            b"\r\n".repeat(rng.random_range(1..500)),
            template.encode(""),
        ]
        .concat(),
        3 => {
            let body = &template.body;
            let mut chunks: String = body.chars().map(|c| chunk(&c.to_string())).collect();
            chunks.push_str("0;last=yes\r\nx-trailer: v\r\n\r\n");
            template.with_body("transfer-encoding: chunked\r\n", chunks)
        }
        4 => [
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(),
            random_bytes(rng, 500),
        ]
        .concat(),
        5 => [
            vec![0x16, 3, 1, 2, 0, 1, 0, 1, 0xfc, 3, 3],
            random_bytes(rng, 500),
        ]
        .concat(),
        6 => template.with_sized_body(&b"[".repeat(count)),
        7 => template.with_sized_body(&odd_fields(template, "\"x\":[1", ",1", count, "]")),
        _ => template.with_sized_body(&odd_fields(template, "\"y\":0", ",\"y\":0", count, "")),
    }
}

fn chunk(text: &str) -> String {
    format!("{:x};e=1\r\n{text}\r\n", text.len())
}

/// The template's body, an object, with more fields that hold many small values.
fn odd_fields(
    template: &RequestTemplate,
    start: &str,
    more: &str,
    count: usize,
    end: &str,
) -> Vec<u8> {
    let rest = template.body.strip_prefix('{').unwrap_or("}");
    let comma = if rest == "}" { "" } else { "," };
    format!("{{{start}{}{end}{comma}{rest}", more.repeat(count)).into_bytes()
}
