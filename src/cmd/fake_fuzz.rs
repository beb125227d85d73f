//! `notch-fake fuzz`: sends seeded bytes, valid and not, and checks that an ordinary request is answered
//! afterwards.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bpaf::{Parser, construct, long};
use eyre::{Result, WrapErr, bail, eyre};
use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::fake::caller_bytes::{CallerInput, InputKind, RequestTemplate, caller_input};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const WRITE_TIMEOUT: Duration = Duration::from_secs(1); // a listener may stop reading
const READ_TIMEOUT: Duration = Duration::from_secs(1); // for all responses on a connection
const QUIET_TIME: Duration = Duration::from_millis(200); // after which no more of them is expected
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
const PIECE_PAUSE: Duration = Duration::from_millis(2);
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Flags of `notch-fake fuzz`.
#[derive(Debug, Clone)]
pub struct FuzzOptions {
    address: SocketAddr,
    method: String,
    path: String,
    header: Vec<String>,
    body: String,
    connections: usize,
    seconds: f64,
    seed: u64,
    first: u64,
    inputs: Option<u64>,
}

/// The command line of `notch-fake fuzz`.
pub fn options() -> impl Parser<FuzzOptions> {
    let address = long("address")
        .help("IP and port of the listener")
        .argument::<SocketAddr>("ADDRESS");
    let method = long("method")
        .help("Method of the ordinary request, which is answered with 200")
        .argument::<String>("METHOD")
        .fallback("GET".into());
    let path = long("path").argument::<String>("PATH").fallback("/".into());
    let header = long("header")
        .help("Header line of the ordinary request, such as \"name: value\"; may be repeated")
        .argument::<String>("LINE")
        .many();
    let body = long("body")
        .argument::<String>("TEXT")
        .fallback(String::new());
    let connections = long("connections")
        .help("Connections at a time")
        .argument::<usize>("COUNT")
        .fallback(16);
    let seconds = long("seconds").argument::<f64>("SECONDS").fallback(60.0);
    let seed = long("seed").argument::<u64>("SEED").fallback(1);
    let first = long("first")
        .help("Number of the first input, to send one again")
        .argument::<u64>("NUMBER")
        .fallback(0);
    let inputs = long("inputs")
        .help("Send no more inputs than these")
        .argument::<u64>("COUNT")
        .optional();
    construct!(FuzzOptions {
        address,
        method,
        path,
        header,
        body,
        connections,
        seconds,
        seed,
        first,
        inputs
    })
}

/// What was sent of one kind, and the responses to it.
#[derive(Debug, Default)]
struct KindCount {
    inputs: usize,
    bytes: usize,
    /// Connections by the status of their first response.
    statuses: BTreeMap<u16, usize>,
}

struct FuzzRun {
    options: FuzzOptions,
    template: RequestTemplate,
    ends_at: Instant,
    next_number: Cell<u64>,
    counts: RefCell<BTreeMap<InputKind, KindCount>>,
    refused_connections: Cell<usize>,
}

/// Sends inputs for the given time, prints what was sent by kind, and sends an ordinary request.
///
/// # Errors
///
/// Fails when the ordinary request is not answered with 200 in time, before or after the others.
pub fn run(options: FuzzOptions) -> Result<()> {
    let template = RequestTemplate {
        method: options.method.clone(),
        path: options.path.clone(),
        headers: options.header.clone(),
        body: options.body.clone(),
    };
    let fuzz_run = Rc::new(FuzzRun {
        template,
        ends_at: Instant::now() + Duration::from_secs_f64(options.seconds),
        next_number: Cell::new(options.first),
        counts: RefCell::default(),
        refused_connections: Cell::new(0),
        options,
    });
    actix::System::new().block_on(async move {
        fuzz_run
            .check_served()
            .await
            .wrap_err("before the first input; correct the flags of the ordinary request")?;
        let senders = (0..fuzz_run.options.connections).map(|_| fuzz_run.send_inputs());
        join_all(senders).await;
        fuzz_run.print_counts();
        let last = fuzz_run.next_number.get();
        let reproduction = format!("after input {last} of seed {}", fuzz_run.options.seed);
        fuzz_run.check_served().await.wrap_err(reproduction)
    })
}

impl FuzzRun {
    async fn send_inputs(&self) {
        let options = &self.options;
        let end = options.inputs.map(|inputs| options.first + inputs);
        while Instant::now() < self.ends_at {
            let number = self.next_number.get();
            if end.is_some_and(|end| number >= end) {
                return;
            }
            let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(options.address)).await;
            let Ok(Ok(stream)) = connected else {
                self.refused_connections
                    .set(self.refused_connections.get() + 1);
                sleep(RETRY_PAUSE).await;
                continue;
            };
            self.next_number.set(number + 1);
            let input = caller_input(&self.template, options.seed, number);
            let (sent_bytes, status) = send_input(stream, &input).await;
            let mut counts = self.counts.borrow_mut();
            let count = counts.entry(input.kind).or_default();
            count.inputs += 1;
            count.bytes += sent_bytes;
            if let Some(status) = status {
                *count.statuses.entry(status).or_default() += 1;
            }
        }
    }

    fn print_counts(&self) {
        println!(
            "{:<14} {:>9} {:>14}  first responses",
            "kind", "inputs", "bytes"
        );
        for (kind, count) in self.counts.borrow().iter() {
            let statuses: Vec<String> = count
                .statuses
                .iter()
                .map(|(status, responses)| format!("{status}: {responses}"))
                .collect();
            let kind = format!("{kind:?}").to_lowercase();
            println!(
                "{kind:<14} {:>9} {:>14}  {}",
                count.inputs,
                count.bytes,
                statuses.join(", ")
            );
        }
        println!("connections not taken: {}", self.refused_connections.get());
    }

    /// Sends the ordinary request until it is answered with 200.
    async fn check_served(&self) -> Result<()> {
        let request = self.template.encode("connection: close\r\n");
        let started_at = Instant::now();
        loop {
            let last = match self.send_ordinary(&request).await {
                Ok(200) => return Ok(()),
                Ok(status) => eyre!("it was answered with {status}"),
                Err(error) => error,
            };
            if started_at.elapsed() > RECOVERY_TIMEOUT {
                bail!("no ordinary request is answered with 200: {last}");
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn send_ordinary(&self, request: &[u8]) -> Result<u16> {
        let exchange = async {
            let mut stream = TcpStream::connect(self.options.address).await?;
            stream.write_all(request).await?;
            let mut response = [0; 512];
            let received = stream.read(&mut response).await?;
            status_of(&response[..received]).ok_or_else(|| eyre!("the connection was closed"))
        };
        timeout(RECOVERY_TIMEOUT, exchange)
            .await
            .wrap_err("no response")?
    }
}

/// Sends an input, and returns the bytes that were taken and the status of the first response, if it is read.
async fn send_input(mut stream: TcpStream, input: &CallerInput) -> (usize, Option<u16>) {
    let mut sent_bytes = 0;
    for piece in &input.pieces {
        let written = timeout(WRITE_TIMEOUT, stream.write_all(piece)).await;
        if !matches!(written, Ok(Ok(()))) {
            break;
        }
        sent_bytes += piece.len();
        sleep(PIECE_PAUSE).await;
    }
    let mut status = None;
    let read_until = Instant::now() + READ_TIMEOUT;
    let mut response = [0; 4096];
    while input.reads && Instant::now() < read_until {
        let Ok(Ok(received @ 1..)) = timeout(QUIET_TIME, stream.read(&mut response)).await else {
            break;
        };
        status = status.or_else(|| status_of(&response[..received]));
    }
    (sent_bytes, status)
}

fn status_of(response: &[u8]) -> Option<u16> {
    let digits = response.strip_prefix(b"HTTP/1.")?.get(2..5)?;
    std::str::from_utf8(digits).ok()?.parse().ok()
}
