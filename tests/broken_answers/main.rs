//! Clients of HTTP servers, which must take no answer that is broken in its head, or that ends early.

mod peers;
#[path = "../support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use bytes::Bytes;
use plantainnotch::clock::TimeSource;
use plantainnotch::cmd::ctl::fleet::FleetClient;
use plantainnotch::fake::load::{self, LoadClass, LoadPlan, LoadTeam, ObservedOutcome};
use plantainnotch::fleet::feed::LogPosition;
use plantainnotch::http_client::client::{ClientOptions, ClientRequest, HttpClient};
use plantainnotch::http_client::connection::{open_connection, target_request_head};
use plantainnotch::ids::{Offset, RequestId, TargetName};
use plantainnotch::logstore::log::LogClient;
use plantainnotch::logstore::vms::fetch_vms;
use plantainnotch::platform::store::StoreClient;
use plantainnotch::steward::orders::VersionOrder;
use plantainnotch::target::control::{cancel_stream, list_streams, send_order};

use crate::support::BackgroundRuntime;
use crate::support::broken_heads::{BROKEN_NAMES, BROKEN_STATUS_LINES};
use crate::support::raw_server::{AnswerEnd, RawAnswer, start_raw_server};

const OK: &str = "HTTP/1.1 200 X\r\n";
const NEWEST_PAGE: &[u8] = br#"{"items":[],"has_more":false,"end":9}"#;
const RECORDS: &[u8] = &[0; 16]; // the header of a read without records
const LOG_PAGE: &[u8] = br#"{"head":1,"end":0,"records":[]}"#;
const VM_LIST: &[u8] = br#"{"vms":["vm-0"]}"#;
const STREAMS: &[u8] = br#"{"instance":"a","streams":[]}"#;
const STATUS_PAGE: &[u8] = br#"{"offset":7,"fresh":true}"#;

/// How an answer's body is framed, and where it ends.
#[derive(Debug, Clone, Copy, PartialEq)]
enum BodyEnd {
    Whole,
    WholeChunked,
    /// Neither a length nor chunks; the connection closes in order.
    WholeUnframed,
    /// A length that the closed connection does not reach.
    CutLength,
    /// Chunks of which the last is missing.
    CutChunks,
    /// Neither a length nor chunks; the connection is reset.
    ResetUnframed,
}

const WHOLE: [BodyEnd; 3] = [
    BodyEnd::Whole,
    BodyEnd::WholeChunked,
    BodyEnd::WholeUnframed,
];
const CUT: [BodyEnd; 3] = [
    BodyEnd::CutLength,
    BodyEnd::CutChunks,
    BodyEnd::ResetUnframed,
];

/// Encodes an answer whose head begins with `start`. A cut one has all of `body`, so that only the
/// framing shows that it ends early.
fn answer(start: &str, body: &[u8], end: BodyEnd) -> RawAnswer {
    let length = body.len();
    let framing = match end {
        BodyEnd::Whole => format!("content-length: {length}\r\n"),
        BodyEnd::CutLength => format!("content-length: {}\r\n", length + 1),
        BodyEnd::WholeChunked | BodyEnd::CutChunks => "transfer-encoding: chunked\r\n".to_owned(),
        BodyEnd::WholeUnframed | BodyEnd::ResetUnframed => String::new(),
    };
    let mut bytes =
        format!("{start}store-era: 1\r\ncontent-type: application/json\r\n{framing}\r\n")
            .into_bytes();
    match end {
        BodyEnd::WholeChunked | BodyEnd::CutChunks => {
            bytes.extend_from_slice(format!("{length:x}\r\n").as_bytes());
            bytes.extend_from_slice(body);
            bytes.extend_from_slice(b"\r\n");
            if end == BodyEnd::WholeChunked {
                bytes.extend_from_slice(b"0\r\n\r\n");
            }
        }
        _ => bytes.extend_from_slice(body),
    }
    let end = match end {
        BodyEnd::Whole | BodyEnd::WholeChunked => AnswerEnd::Keep,
        BodyEnd::WholeUnframed | BodyEnd::CutLength | BodyEnd::CutChunks => AnswerEnd::Close,
        BodyEnd::ResetUnframed => AnswerEnd::Reset,
    };
    RawAnswer { bytes, end }
}

/// Starts a server that sends one answer to every request, and returns whether `call` takes it.
fn takes(answer: &RawAnswer, call: &impl AsyncFn(SocketAddr) -> bool) -> bool {
    let runtime = BackgroundRuntime::start();
    let sent = answer.clone();
    let address = start_raw_server(&runtime, move |_| sent.clone());
    actix::System::new().block_on(call(address))
}

/// Checks that `call` takes sound answers with `body` and none with a broken head.
fn check_heads(name: &str, body: &[u8], call: impl AsyncFn(SocketAddr) -> bool) {
    let sound = answer(OK, body, BodyEnd::Whole);
    let interim = answer(
        "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 X\r\n",
        body,
        BodyEnd::Whole,
    );
    let broken: Vec<&str> = BROKEN_STATUS_LINES
        .into_iter()
        .chain(BROKEN_NAMES)
        .filter(|start| takes(&answer(start, body, BodyEnd::Whole), &call))
        .collect();

    assert!(takes(&sound, &call), "{name}: sound answer");
    assert!(broken.is_empty(), "{name} takes {broken:?}");
    assert!(
        takes(&interim, &call),
        "{name}: sound answer after an interim one"
    );
}

/// Checks that `call` takes answers that are whole, and none that ends early.
fn check_bodies(name: &str, body: &[u8], call: impl AsyncFn(SocketAddr) -> bool) {
    let is_taken = |end: &BodyEnd| takes(&answer(OK, body, *end), &call);

    let refused: Vec<BodyEnd> = WHOLE.into_iter().filter(|end| !is_taken(end)).collect();
    let taken: Vec<BodyEnd> = CUT.into_iter().filter(is_taken).collect();

    assert!(
        refused.is_empty() && taken.is_empty(),
        "{name} refuses {refused:?} and takes {taken:?}"
    );
}

fn client() -> HttpClient {
    HttpClient::new(ClientOptions::default(), TimeSource::system())
}

/// Reads the body of a target's answer; `None` if that is refused.
async fn read_target(address: SocketAddr) -> Option<Vec<u8>> {
    let now = Instant::now();
    let mut connection = open_connection(address, None, now)
        .await
        .expect("it listens");
    let headers = HeaderMap::new();
    let head = target_request_head(Method::GET, Uri::from_static("/"), headers);
    let exchanged = connection.exchange(None, head, &Bytes::new()).await;
    exchanged.ok()?;
    let mut body = Vec::new();
    while let Some(chunk) = connection.next_chunk().await.ok()? {
        body.extend_from_slice(&chunk);
    }
    Some(body)
}

async fn reads_target(address: SocketAddr) -> bool {
    read_target(address).await.is_some()
}

async fn reads_newest(address: SocketAddr) -> bool {
    let store = StoreClient::new(&address.to_string(), TimeSource::system());
    store.read_newest("keyed.op", 0).await.is_ok()
}

async fn reads_after(address: SocketAddr) -> bool {
    let store = StoreClient::new(&address.to_string(), TimeSource::system());
    let (position, wait) = (LogPosition::after(1, 6), Duration::ZERO);
    let read = store.read_after("keyed.op", position, wait, Duration::from_secs(2));
    read.await.is_ok()
}

async fn appends_item(address: SocketAddr) -> bool {
    let store = StoreClient::new(&address.to_string(), TimeSource::system());
    store.append_item("keyed.status", "k", b"v").await.is_ok()
}

async fn reads_log(address: SocketAddr) -> bool {
    let log = LogClient::new(&format!("http://{address}"), TimeSource::system());
    log.read(Offset(0)).await.is_ok()
}

async fn appends_to_log(address: SocketAddr) -> bool {
    let log = LogClient::new(&format!("http://{address}"), TimeSource::system());
    log.append(&[]).await.is_ok()
}

async fn reads_vms(address: SocketAddr) -> bool {
    let list = fetch_vms(&client(), &format!("http://{address}")).await;
    list.is_some_and(|list| !list.vms.is_empty())
}

async fn lists_streams(address: SocketAddr) -> bool {
    let listing = list_streams(&client(), &address.to_string()).await;
    listing.is_some()
}

async fn cancels_stream(address: SocketAddr) -> bool {
    cancel_stream(&client(), &address.to_string(), RequestId::random()).await
}

async fn orders_version(address: SocketAddr) -> bool {
    let order = VersionOrder {
        target: TargetName::new("app-0"),
        address: address.to_string(),
        number: Offset(1),
        version: "v".to_owned(),
    };
    send_order(&client(), &order).await.is_some()
}

async fn reads_status_page(address: SocketAddr) -> bool {
    let fleet = FleetClient::new(&format!("http://{address}"));
    let page = fleet.fetch_page(&address.to_string(), "/v1/status").await;
    page.is_some()
}

/// Whether `notch-fake load` counts a service call at `address` as finished.
async fn finishes_call(address: SocketAddr) -> bool {
    let class = LoadClass {
        name: "certificates".to_owned(),
        prompt_tokens: 0,
        output_tokens: 0,
        arrivals_per_s: 1_000.0,
        timeout: Duration::from_millis(200), // too short to try again
    };
    let team = LoadTeam {
        key: "key-a".to_owned(),
        share: 1.0,
    };
    let samples = load::run(LoadPlan {
        entry: address.to_string(),
        direct_target: None,
        audited_targets: Vec::new(),
        model: String::new(),
        service: "registry".to_owned(),
        classes: vec![class],
        teams: vec![team],
        duration: Duration::from_millis(5),
        seed: 1,
    })
    .await;
    assert!(!samples.is_empty());
    let is_finished = |outcome| outcome == ObservedOutcome::Finished;
    samples.iter().any(|sample| is_finished(sample.outcome))
}

#[test]
fn connections_to_targets_take_no_broken_head() {
    check_heads("target", b"body", reads_target);
}

#[test]
fn connections_to_targets_take_no_answer_that_ends_early() {
    check_bodies("target", b"body", reads_target);
}

/// Heads that frame a body of four bytes in rare ways, and what becomes of the connection after it.
const RARE_WHOLE: [(&str, AnswerEnd); 4] = [
    (
        "HTTP/1.1 200 X\r\ntransfer-encoding: identity",
        AnswerEnd::Close,
    ),
    ("HTTP/1.1 200 X\r\nupgrade: websocket", AnswerEnd::Close),
    (
        "HTTP/1.1 200 X\r\nupgrade: websocket\r\ncontent-length: 4",
        AnswerEnd::Keep,
    ),
    ("HTTP/1.0 200 X", AnswerEnd::Close),
];
/// Like [`RARE_WHOLE`], but the body is cut off after four bytes.
const RARE_CUT: [(&str, AnswerEnd); 4] = [
    (
        "HTTP/1.1 200 X\r\ntransfer-encoding: identity",
        AnswerEnd::Reset,
    ),
    ("HTTP/1.1 200 X\r\nupgrade: websocket", AnswerEnd::Reset),
    (
        "HTTP/1.1 200 X\r\nupgrade: websocket\r\ncontent-length: 5",
        AnswerEnd::Close,
    ),
    ("HTTP/1.0 200 X", AnswerEnd::Reset),
];

// Guards against a body that is taken for empty because the codec does not apply its framing.
#[test]
fn connections_to_targets_take_no_other_body_than_the_answers() {
    let read = |(head, end): (&str, AnswerEnd)| {
        let runtime = BackgroundRuntime::start();
        let bytes = format!("{head}\r\n\r\nbody").into_bytes();
        let address = start_raw_server(&runtime, move |_| RawAnswer {
            bytes: bytes.clone(),
            end,
        });
        actix::System::new().block_on(read_target(address))
    };

    let whole = RARE_WHOLE.map(read);
    let cut = RARE_CUT.map(read);

    // An answer that is not understood may also be refused.
    let is_own = |body: &Option<Vec<u8>>| body.as_deref().is_none_or(|body| body == b"body");
    assert!(
        whole.iter().all(is_own) && cut.iter().all(Option::is_none),
        "whole: {whole:?}, cut off: {cut:?}"
    );
}

#[test]
fn the_store_client_takes_no_broken_head() {
    check_heads("newest", NEWEST_PAGE, reads_newest);
    check_heads("after", RECORDS, reads_after);
    check_heads("append", b"{}", appends_item);
}

#[test]
fn the_store_client_takes_no_answer_that_ends_early() {
    check_bodies("newest", NEWEST_PAGE, reads_newest);
    check_bodies("after", RECORDS, reads_after);
}

#[test]
fn the_clients_of_the_log_and_the_list_of_vms_take_no_broken_head() {
    check_heads("log", LOG_PAGE, reads_log);
    check_heads("append", b"{}", appends_to_log);
    check_heads("vms", VM_LIST, reads_vms);
}

#[test]
fn the_clients_of_the_log_and_the_list_of_vms_take_no_answer_that_ends_early() {
    check_bodies("log", LOG_PAGE, reads_log);
    check_bodies("vms", VM_LIST, reads_vms);
}

#[test]
fn the_stewards_calls_to_targets_take_no_broken_head() {
    check_heads("list", STREAMS, lists_streams);
    check_heads("cancel", b"", cancels_stream);
    check_heads("order", b"", orders_version);
}

#[test]
fn the_stewards_list_of_streams_takes_no_answer_that_ends_early() {
    check_bodies("list", STREAMS, lists_streams);
}

#[test]
fn notchctl_takes_no_status_page_with_a_broken_head_or_that_ends_early() {
    check_heads("page", STATUS_PAGE, reads_status_page);
    check_bodies("page", STATUS_PAGE, reads_status_page);
}

// Guards against figures that hide broken answers of entries.
#[test]
fn the_load_generator_counts_no_call_as_finished_whose_answer_is_broken_or_ends_early() {
    check_heads("load", b"{}", finishes_call);
    check_bodies("load", b"{}", finishes_call);
}

// Guards against a wait for the end of the connection, as after the head of any other response without a
// length.
#[test]
fn a_response_to_head_without_a_length_ends_with_its_head() {
    let runtime = BackgroundRuntime::start();
    let address = start_raw_server(&runtime, |_| RawAnswer {
        bytes: format!("{OK}\r\n").into_bytes(),
        end: AnswerEnd::Keep,
    });
    let request = ClientRequest::new(Method::HEAD, format!("http://{address}/"));

    let fetched = actix::System::new().block_on(async {
        let limit = Duration::from_secs(2);
        client().fetch(request, limit, 100).await
    });

    let (status, body) = fetched.expect("a response");
    assert_eq!((status.as_u16(), body.len()), (200, 0));
}

#[test]
fn requests_to_urls_that_are_not_http_are_not_sent() {
    let runtime = BackgroundRuntime::start();
    let address = start_raw_server(&runtime, |_| answer(OK, b"", BodyEnd::Whole));
    let urls = [
        format!("https://{address}/"),
        format!("{address}/"),
        "/v1/vms".to_owned(),
        "http://".to_owned(),
    ];
    for url in urls {
        let request = ClientRequest::new(Method::GET, &url);

        let sent = actix::System::new().block_on(async { client().send(request).await });

        let is_not_sent = sent.is_err_and(|error| error.is_not_sent());
        assert!(is_not_sent, "{url}");
    }
}
