//! Headers of callers' requests, of requests forwarded to targets, and of their responses.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};

use crate::ids::{PartName, TargetName, TeamName};

const REQUEST_ID: HeaderName = HeaderName::from_static("x-plantainnotch-request-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-plantainnotch-deadline");
const TEAM_KEY: HeaderName = HeaderName::from_static("x-plantainnotch-key");
const TEAM: HeaderName = HeaderName::from_static("x-plantainnotch-tenant");
const TARGET: HeaderName = HeaderName::from_static("x-plantainnotch-target-replica");
const TOKEN_COUNT: HeaderName = HeaderName::from_static("x-plantainnotch-token-count");
const TARGET_PRIORITY: HeaderName = HeaderName::from_static("x-plantainnotch-request-priority");
const PROMPT_PARTS: HeaderName = HeaderName::from_static("x-plantainnotch-prefix-hash");
const HELPERS: HeaderName = HeaderName::from_static("x-plantainnotch-helpers");
const SEAL: HeaderName = HeaderName::from_static("x-plantainnotch-replica-seal");
const NOT_RUN: HeaderName = HeaderName::from_static("x-plantainnotch-not-executed");
const TARGET_LOAD: HeaderName = HeaderName::from_static("x-plantainnotch-replica-load");
const FAILED_TARGET: HeaderName = HeaderName::from_static("at-server");
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
const RATE_LIMIT: HeaderName = HeaderName::from_static("server-limit");
const CARRIED_RUNS: HeaderName = HeaderName::from_static("x-notch-carried-runs");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

const MAX_SECONDS: f64 = 86_400.0;
/// Most parts of a prompt that are recorded, so that one request's parts take bounded memory.
const MAX_SHARED_PARTS: usize = 32;

/// Headers dropped in both directions: hop-by-hop headers, and headers that only this system sets.
const UNFORWARDED_HEADERS: [&str; 15] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
    "expect",
    "x-plantainnotch-deadline",
    "x-plantainnotch-key",
    "x-plantainnotch-tenant",
    "x-plantainnotch-target-replica",
    "x-plantainnotch-helpers",
    "x-notch-carried-runs",
];

/// Decoded headers of a caller's request.
#[derive(Debug, Clone)]
pub struct CallerHeaders {
    /// Id that the caller gave the attempt; empty if it sent none.
    pub id: String,
    /// Time for which the caller waits.
    pub deadline: Option<Duration>,
    /// Key that authenticates the caller's team.
    pub key: Option<String>,
    /// Length of the prompt in tokens; 0 if not given.
    pub prompt_tokens: u64,
    /// Largest number of tokens to generate; 0 if not given.
    pub output_tokens: u64,
    /// Parts of the prompt in order, without the last one, which no other request has.
    pub shared_parts: Vec<PartName>,
    /// Id of the last event that the caller received of this stream.
    pub last_event: Option<u64>,
    /// How often the request may have run already, if another VM sends it because it reaches no target.
    pub carried_runs: Option<u32>,
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::trim)
}

/// Decodes the headers of a caller's request; malformed values count as missing.
pub fn decode_caller_headers(headers: &HeaderMap) -> CallerHeaders {
    let mut tokens = header_text(headers, &TOKEN_COUNT)
        .unwrap_or_default()
        .split(',')
        .map(|part| part.trim().parse().unwrap_or(0));
    CallerHeaders {
        id: header_text(headers, &REQUEST_ID)
            .unwrap_or_default()
            .to_owned(),
        deadline: header_text(headers, &DEADLINE)
            .and_then(|value| value.parse().ok())
            .map(Duration::from_millis),
        key: header_text(headers, &TEAM_KEY).map(str::to_owned),
        prompt_tokens: tokens.next().unwrap_or(0),
        output_tokens: tokens.next().unwrap_or(0),
        shared_parts: decode_shared_parts(headers),
        last_event: header_text(headers, &LAST_EVENT).and_then(|value| value.parse().ok()),
        carried_runs: header_text(headers, &CARRIED_RUNS)
            .and_then(|value| value.parse::<u8>().ok())
            .map(u32::from),
    }
}

/// Reads the names from a list of `NAME:TOKENS`.
fn decode_shared_parts(headers: &HeaderMap) -> Vec<PartName> {
    let list = header_text(headers, &PROMPT_PARTS).unwrap_or_default();
    let Some((shared, _own)) = list.rsplit_once(',') else {
        return Vec::new();
    };
    shared
        .split(',')
        .map(|part| part.split_once(':').map_or(part, |(name, _)| name).trim())
        .filter(|name| !name.is_empty())
        .take(MAX_SHARED_PARTS)
        .map(PartName::new)
        .collect()
}

/// A target that prefills a part of a prompt, and the memory reservation for it.
#[derive(Debug, Clone, PartialEq)]
pub struct SplitHelper {
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Id of the reservation at that target.
    pub reservation: Option<String>,
}

/// Values of the headers that this system sets on a request to a target.
#[derive(Debug)]
pub struct TargetHeaders<'a> {
    /// The target that must respond; any other rejects the request.
    pub target: &'a TargetName,
    /// Team that the caller's key belongs to.
    pub team: Option<&'a TeamName>,
    /// Time left until the caller's deadline.
    pub deadline: Duration,
    /// Priority at the target, 0 is the highest; the target's default if `None`.
    pub priority: Option<u8>,
    /// Targets that prefill parts of the prompt.
    pub helpers: &'a [SplitHelper],
    /// Id of the event after which the target resumes a stream.
    pub last_event: Option<u64>,
}

/// Builds the headers of a request to a target from those of the caller.
pub fn encode_target_headers(caller: &HeaderMap, target_headers: &TargetHeaders<'_>) -> HeaderMap {
    let mut headers = end_to_end_headers(caller);
    headers.remove(&TARGET_PRIORITY);
    let deadline_ms = u64::try_from(target_headers.deadline.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE, HeaderValue::from(deadline_ms));
    insert_header(&mut headers, TARGET, target_headers.target.as_str());
    if let Some(team) = target_headers.team {
        insert_header(&mut headers, TEAM, team.as_str());
    }
    if let Some(priority) = target_headers.priority {
        headers.insert(TARGET_PRIORITY, HeaderValue::from(u16::from(priority)));
    }
    if let Some(last_event_id) = target_headers.last_event {
        headers.insert(LAST_EVENT, HeaderValue::from(last_event_id));
    }
    if !target_headers.helpers.is_empty() {
        let helper_list: Vec<String> = target_headers
            .helpers
            .iter()
            .map(|helper| match &helper.reservation {
                Some(id) => format!("{}/{id}", helper.address),
                None => helper.address.to_string(),
            })
            .collect();
        insert_header(&mut headers, HELPERS, &helper_list.join(","));
    }
    headers
}

/// Values of the headers that this system sets on a request to a VM that carries it.
#[derive(Debug)]
pub struct CarrierHeaders<'a> {
    /// Key that the caller sent.
    pub key: Option<&'a str>,
    /// Time left until the caller's deadline.
    pub deadline: Duration,
    /// How often the request may have run already.
    pub runs: u32,
    /// Id of the event after which a stream is resumed.
    pub last_event: Option<u64>,
}

/// Builds the headers of a request to another VM, which serves it like a caller's own, from those of
/// the caller.
pub fn encode_carrier_headers(
    caller: &HeaderMap,
    carrier_headers: &CarrierHeaders<'_>,
) -> HeaderMap {
    let mut headers = end_to_end_headers(caller);
    let deadline_ms = u64::try_from(carrier_headers.deadline.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE, HeaderValue::from(deadline_ms));
    headers.insert(CARRIED_RUNS, HeaderValue::from(carrier_headers.runs));
    if let Some(key) = carrier_headers.key {
        insert_header(&mut headers, TEAM_KEY, key);
    }
    if let Some(last_event_id) = carrier_headers.last_event {
        headers.insert(LAST_EVENT, HeaderValue::from(last_event_id));
    }
    headers
}

/// The headers of a caller's request that are forwarded unchanged.
fn end_to_end_headers(caller: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<String> = caller
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut headers = HeaderMap::with_capacity(caller.len() + 4);
    for (name, value) in caller {
        let is_dropped = UNFORWARDED_HEADERS.contains(&name.as_str())
            || (connection_options
                .iter()
                .any(|option| option == name.as_str())
                && *name != "host");
        if !is_dropped {
            headers.append(name.clone(), value.clone());
        }
    }
    headers
}

fn insert_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(error) => tracing::warn!(%name, value, %error, "header omitted: correct the record"),
    }
}

/// Decoded headers of a target's response.
#[derive(Debug, Clone, Default)]
pub struct TargetResponseHeaders {
    /// The attempt's id, echoed by the target; empty if it sent none.
    pub id: String,
    /// Whether it has the seal, a header that targets set on responses of their own.
    pub has_seal: bool,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Whether the body has a content encoding, which targets' own responses never have.
    pub encoded: bool,
    /// Load that the target reports.
    pub load: Option<TargetLoad>,
    /// Name of the target that failed to prefill its part of a split prompt.
    pub failed_target: Option<String>,
    /// Whether the target is shutting down and takes no new requests.
    pub leaving: bool,
    /// How long the target wants nothing more from this VM, if it refused the request.
    pub pause: Option<Duration>,
    /// The rate limit that the target names.
    pub rate_limit: NamedRate,
}

/// Rate limit that a response names.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum NamedRate {
    /// The response has no limit.
    #[default]
    Unlimited,
    /// The limit is no number of requests.
    Unreadable,
    /// Requests a second that the target takes from all VMs together.
    PerSecond(f64),
}

/// Load that a target reports with its responses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetLoad {
    /// Requests running.
    pub running: u32,
    /// Requests queued at the target.
    pub waiting: u32,
    /// Requests that it runs at a time.
    pub slots: u32,
}

/// Decodes the headers of a target's response.
pub fn decode_response_headers(headers: &HeaderMap) -> TargetResponseHeaders {
    let load = header_text(headers, &TARGET_LOAD).and_then(|value| {
        let mut parts = value.split(',').map(|part| part.trim().parse().ok());
        Some(TargetLoad {
            running: parts.next()??,
            waiting: parts.next()??,
            slots: parts.next()??,
        })
    });
    TargetResponseHeaders {
        id: header_text(headers, &REQUEST_ID)
            .unwrap_or_default()
            .to_owned(),
        has_seal: headers.contains_key(&SEAL),
        not_run: headers.contains_key(&NOT_RUN),
        encoded: header_text(headers, &HeaderName::from_static("content-encoding"))
            .is_some_and(|value| !value.eq_ignore_ascii_case("identity")),
        load,
        failed_target: header_text(headers, &FAILED_TARGET).map(str::to_owned),
        leaving: header_text(headers, &LEAVING) == Some("1"),
        pause: header_text(headers, &RETRY_AFTER).and_then(decode_seconds),
        rate_limit: decode_rate_limit(headers),
    }
}

fn decode_rate_limit(headers: &HeaderMap) -> NamedRate {
    if !headers.contains_key(&RATE_LIMIT) {
        return NamedRate::Unlimited;
    }
    let rate = header_text(headers, &RATE_LIMIT).and_then(|text| text.parse().ok());
    match rate {
        Some(rate) if rate >= 0.0 && f64::is_finite(rate) => NamedRate::PerSecond(rate),
        _ => NamedRate::Unreadable,
    }
}

/// Decodes a number of seconds; a malformed or negative one counts as missing, a huge one as a day.
fn decode_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.parse().ok()?;
    (seconds >= 0.0).then(|| Duration::from_secs_f64(seconds.min(MAX_SECONDS)))
}

/// Selects the headers of a target's response that are forwarded to the caller.
pub fn forwarded_headers(response: &HeaderMap) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(response.len());
    for (name, value) in response {
        if !UNFORWARDED_HEADERS.contains(&name.as_str()) && *name != TARGET_LOAD {
            headers.append(name.clone(), value.clone());
        }
    }
    headers
}

/// Builds the headers of a response that this node generates itself.
pub fn node_response_headers(id: &str) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(3);
    if !id.is_empty() {
        insert_header(&mut headers, REQUEST_ID, id);
    }
    headers
}
