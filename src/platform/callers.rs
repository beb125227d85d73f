//! Headers of callers' requests, and of what is sent to targets in their stead.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};

use crate::ids::{TargetName, TeamName};

const REQUEST_ID: HeaderName = HeaderName::from_static("x-plantainnotch-request-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-plantainnotch-deadline");
const KEY: HeaderName = HeaderName::from_static("x-plantainnotch-key");
const TEAM: HeaderName = HeaderName::from_static("x-plantainnotch-tenant");
const TARGET: HeaderName = HeaderName::from_static("x-plantainnotch-target-replica");
const TOKENS: HeaderName = HeaderName::from_static("x-plantainnotch-token-count");
const URGENCY: HeaderName = HeaderName::from_static("x-plantainnotch-request-priority");
const SPLIT: HeaderName = HeaderName::from_static("x-plantainnotch-helpers");
const SEAL: HeaderName = HeaderName::from_static("x-plantainnotch-replica-seal");
const NOT_RUN: HeaderName = HeaderName::from_static("x-plantainnotch-not-executed");
const LOAD: HeaderName = HeaderName::from_static("x-plantainnotch-replica-load");
const FAULTY: HeaderName = HeaderName::from_static("at-server");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

/// Headers that concern one connection only, or that this system sets itself.
const NOT_FORWARDED: [&str; 14] = [
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
];

/// What a caller's headers say.
#[derive(Debug, Clone)]
pub struct CallerHeaders {
    /// The attempt's id; empty if there is none.
    pub id: String,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that may be generated.
    pub output_tokens: u64,
    /// The last event that the caller has of this stream.
    pub last_event: Option<u64>,
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::trim)
}

/// Decodes a caller's headers.
pub fn decode_caller(headers: &HeaderMap) -> CallerHeaders {
    let mut tokens = text(headers, &TOKENS)
        .unwrap_or_default()
        .split(',')
        .map(|part| part.trim().parse().unwrap_or(0));
    CallerHeaders {
        id: text(headers, &REQUEST_ID).unwrap_or_default().to_owned(),
        deadline: text(headers, &DEADLINE)
            .and_then(|value| value.parse().ok())
            .map(Duration::from_millis),
        key: text(headers, &KEY).map(str::to_owned),
        prompt_tokens: tokens.next().unwrap_or(0),
        output_tokens: tokens.next().unwrap_or(0),
        last_event: text(headers, &LAST_EVENT).and_then(|value| value.parse().ok()),
    }
}

/// A target that reads a part of a prompt, and the reservation that its part uses.
#[derive(Debug, Clone, PartialEq)]
pub struct SplitHelper {
    /// Where it listens.
    pub address: SocketAddr,
    /// Id of a reservation there.
    pub reservation: Option<String>,
}

/// What this system tells a target besides the caller's own headers.
#[derive(Debug)]
pub struct TargetHeaders<'a> {
    /// The target that must answer.
    pub target: &'a TargetName,
    /// The caller's team.
    pub team: Option<&'a TeamName>,
    /// What is left of the caller's time.
    pub deadline: Duration,
    /// Rank at the target, 0 first; its default when none.
    pub urgency: Option<u8>,
    /// Targets that read parts of the prompt.
    pub helpers: &'a [SplitHelper],
    /// The event after which a stream goes on.
    pub last_event: Option<u64>,
}

/// Headers of a request to a target.
pub fn encode_target(caller: &HeaderMap, set: &TargetHeaders<'_>) -> HeaderMap {
    let named: Vec<String> = caller
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut out = HeaderMap::with_capacity(caller.len() + 4);
    for (name, value) in caller {
        let skip = NOT_FORWARDED.contains(&name.as_str())
            || *name == URGENCY
            || (*name == LAST_EVENT && set.last_event.is_some())
            || (named.iter().any(|hop| hop == name.as_str()) && *name != "host");
        if !skip {
            out.append(name.clone(), value.clone());
        }
    }
    let millis = u64::try_from(set.deadline.as_millis()).unwrap_or(u64::MAX);
    out.insert(DEADLINE, HeaderValue::from(millis));
    insert(&mut out, TARGET, set.target.as_str());
    if let Some(team) = set.team {
        insert(&mut out, TEAM, team.as_str());
    }
    if let Some(urgency) = set.urgency {
        out.insert(URGENCY, HeaderValue::from(u16::from(urgency)));
    }
    if let Some(event) = set.last_event {
        out.insert(LAST_EVENT, HeaderValue::from(event));
    }
    if !set.helpers.is_empty() {
        let list: Vec<String> = set
            .helpers
            .iter()
            .map(|helper| match &helper.reservation {
                Some(id) => format!("{}/{id}", helper.address),
                None => helper.address.to_string(),
            })
            .collect();
        insert(&mut out, SPLIT, &list.join(","));
    }
    out
}

fn insert(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(error) => tracing::warn!(%name, value, %error, "header left out: mend the record"),
    }
}

/// What a target's headers say of an answer.
#[derive(Debug, Clone, Default)]
pub struct TargetAnswer {
    /// The id that it echoes.
    pub id: String,
    /// Whether it bears the mark of a target's own answer.
    pub sealed: bool,
    /// Whether the target says that it did not run the request.
    pub not_run: bool,
    /// Whether the body is encoded, and so not the target's own.
    pub encoded: bool,
    /// Requests running and waiting there, and its slots.
    pub load: Option<TargetLoad>,
    /// The target at fault, when a part of a split prompt failed.
    pub faulty: Option<String>,
}

/// Load that a target tells with its answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it runs at once at most.
    pub slots: u32,
}

/// Decodes an answer's headers.
pub fn decode_answer(headers: &HeaderMap) -> TargetAnswer {
    let load = text(headers, &LOAD).and_then(|value| {
        let mut parts = value.split(',').map(|part| part.trim().parse().ok());
        Some(TargetLoad {
            running: parts.next()??,
            waiting: parts.next()??,
            slots: parts.next()??,
        })
    });
    TargetAnswer {
        id: text(headers, &REQUEST_ID).unwrap_or_default().to_owned(),
        sealed: headers.contains_key(&SEAL),
        not_run: headers.contains_key(&NOT_RUN),
        encoded: text(headers, &HeaderName::from_static("content-encoding"))
            .is_some_and(|value| !value.eq_ignore_ascii_case("identity")),
        load,
        faulty: text(headers, &FAULTY).map(str::to_owned),
    }
}

/// Headers of a target's answer that are passed on to the caller.
pub fn passed_on(answer: &HeaderMap) -> HeaderMap {
    let mut out = HeaderMap::with_capacity(answer.len());
    for (name, value) in answer {
        if !NOT_FORWARDED.contains(&name.as_str()) && *name != LOAD {
            out.append(name.clone(), value.clone());
        }
    }
    out
}

/// Headers of an answer of this system's own.
pub fn own_answer(id: &str) -> HeaderMap {
    let mut out = HeaderMap::with_capacity(3);
    if !id.is_empty() {
        insert(&mut out, REQUEST_ID, id);
    }
    out
}
