//! Decoders and encoders of the platform adapter, and the policies built on its settings.

use std::slice;
use std::time::{Duration, Instant};

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use plantainnotch::fleet::feed::LogPosition;
use plantainnotch::ids::{DomainName, PartName, TargetName, TeamName};
use plantainnotch::platform::callers::{
    NamedRate, SplitHelper, TargetHeaders, decode_caller_headers, decode_response_headers,
    encode_target_headers,
};
use plantainnotch::platform::settings::parse_settings;
use plantainnotch::platform::store::{decode_newest_page, decode_records_after, encode_item};
use plantainnotch::policy::retry_share::RetryShare;
use plantainnotch::policy::target_choice::{TargetCandidate, TargetHealth, rank_targets};

use crate::fixtures::check;

const SETTINGS: &str = r#"
node = "vm-1"
zone = "a"
seeds = ["10.0.0.1:1"]
new_field = "is ignored"
[listen_addrs]
front = "10.0.0.1:2"
ready = "10.0.0.1:3"
control = "10.0.0.1:1"
directory = "10.0.0.1:4"
[limits]
cpu_share = 0.25
cores = 1
max_fds = 4200
[bounds]
grace_s = 8
retry_budget_ratio = 0.2
budget_window_s = 10
retry_slack = 102
stall_ms = 1500
hold_max_ms = 20000
ttl_max_s = 5
[platform]
address = "10.0.0.9:1"
"#;

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in pairs {
        map.append(
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        );
    }
    map
}

#[test]
fn settings_are_parsed_and_unknown_fields_ignored() {
    let settings = parse_settings(SETTINGS).expect("the settings are valid");

    assert_eq!(settings.domain, DomainName::new("a"));
    assert_eq!(settings.bounds.stop_grace, Duration::from_secs(8));
    assert_eq!(settings.bounds.stable_after, Duration::from_secs(3));
    assert_eq!(settings.addresses.peers.port(), 1);
}

#[test]
fn all_invalid_settings_are_reported_at_once() {
    let invalid = SETTINGS
        .replace("10.0.0.1:2", "nowhere")
        .replace("cpu_share = 0.25", "cpu_share = -1")
        .replace("node = \"vm-1\"", "node = \"\"");

    let error = parse_settings(&invalid)
        .expect_err("three mistakes")
        .to_string();

    for part in ["listen_addrs.front", "limits.cpu_share", "node is empty"] {
        assert!(error.contains(part), "{part} is missing in {error}");
    }
}

/// The decoder must not panic on any bytes from the network.
#[test]
fn any_bytes_decode_to_records_or_an_error() {
    fn property(bytes: Vec<u8>) -> bool {
        let mut framed = vec![0; 16];
        framed.extend_from_slice(&bytes);
        decode_records_after(&framed, LogPosition::default()).map_or(true, |decoded| {
            decoded.end.next_offset <= bytes.len() as u64
        })
    }
    check(45, property as fn(Vec<u8>) -> bool);
}

/// Encoded records decode to the same keys and values, in order and with consecutive offsets.
#[test]
fn encoded_records_decode_unchanged() {
    fn property(records: Vec<(u8, Vec<u8>)>) -> bool {
        let mut bytes = vec![0; 16];
        for (key, value) in &records {
            bytes.extend(encode_item(&format!("k{key}"), value));
        }
        let decoded =
            decode_records_after(&bytes, LogPosition::after(2, 4)).expect("whole records");
        let all_equal = decoded
            .items
            .iter()
            .zip(&records)
            .all(|(item, (key, value))| {
                item.key == format!("k{key}") && item.value.clone().unwrap_or_default() == *value
            });
        all_equal
            && decoded.items.len() == records.len()
            && decoded.end == LogPosition::after(2, 4 + records.len() as u64)
    }
    check(46, property as fn(Vec<(u8, Vec<u8>)>) -> bool);
}

#[test]
fn forged_headers_and_keys_are_not_forwarded() {
    let caller = headers(&[
        ("x-plantainnotch-request-id", "id-1"),
        ("x-plantainnotch-key", "secret"),
        ("x-plantainnotch-tenant", "forged"),
        ("x-plantainnotch-helpers", "10.9.9.9:1"),
        ("x-plantainnotch-request-priority", "0"),
        ("x-plantainnotch-target-replica", "forged"),
        ("x-plantainnotch-model", "m"),
        ("connection", "keep-alive, x-hop"),
        ("x-hop", "1"),
        ("x-other", "kept"),
    ]);
    let (target, team) = (TargetName::new("i-1"), TeamName::new("team-a"));

    let sent = encode_target_headers(
        &caller,
        &TargetHeaders {
            target: &target,
            team: Some(&team),
            deadline: Duration::from_millis(700),
            priority: None,
            helpers: &[],
            last_event: None,
        },
    );

    let value = |name: &str| sent.get(name).and_then(|value| value.to_str().ok());
    assert_eq!(value("x-plantainnotch-tenant"), Some("team-a"));
    assert_eq!(value("x-plantainnotch-target-replica"), Some("i-1"));
    assert_eq!(value("x-plantainnotch-deadline"), Some("700"));
    assert_eq!(value("x-plantainnotch-model"), Some("m"));
    assert_eq!(value("x-other"), Some("kept"));
    for removed_name in [
        "x-plantainnotch-key",
        "x-plantainnotch-helpers",
        "x-plantainnotch-request-priority",
        "x-hop",
        "connection",
    ] {
        assert_eq!(value(removed_name), None, "{removed_name} was forwarded");
    }
}

#[test]
fn a_resumed_stream_sends_the_nodes_last_event_id() {
    let caller = headers(&[("last-event-id", "3")]);
    let target = TargetName::new("i-1");
    let helper = SplitHelper {
        address: "10.0.0.2:8".parse().expect("an address"),
        reservation: Some("t".to_owned()),
    };

    let sent = encode_target_headers(
        &caller,
        &TargetHeaders {
            target: &target,
            team: None,
            deadline: Duration::from_secs(1),
            priority: Some(3),
            helpers: &[helper],
            last_event: Some(9),
        },
    );

    let all: Vec<_> = sent.get_all("last-event-id").collect();
    assert_eq!(all, [&HeaderValue::from_static("9")]);
    let split = sent
        .get("x-plantainnotch-helpers")
        .expect("the helpers header is set");
    assert_eq!(split, "10.0.0.2:8/t");
}

#[test]
fn pauses_are_seconds_and_malformed_ones_are_ignored() {
    let pause_of = |text: &'static str| {
        let response = headers(&[("retry-after", text)]);
        decode_response_headers(&response).pause
    };

    assert_eq!(pause_of("2"), Some(Duration::from_secs(2)));
    assert_eq!(pause_of("0.25"), Some(Duration::from_millis(250)));
    assert_eq!(pause_of("0"), Some(Duration::ZERO));
    assert_eq!(pause_of("1e300"), Some(Duration::from_secs(86_400)));
    for malformed in ["", "-1", "soon", "NaN", "Fri, 04 Dec 2026 12:00:00 GMT"] {
        assert_eq!(pause_of(malformed), None, "{malformed}");
    }
}

#[test]
fn rate_limits_are_decimal_numbers_and_unreadable_ones_are_told_from_none() {
    let limit_of = |text: &'static str| {
        let response = headers(&[("server-limit", text)]);
        decode_response_headers(&response).rate_limit
    };

    assert_eq!(limit_of("2.3"), NamedRate::PerSecond(2.3));
    assert_eq!(limit_of("0"), NamedRate::PerSecond(0.0));
    for unreadable in ["", "-1", "few", "NaN", "inf"] {
        assert_eq!(limit_of(unreadable), NamedRate::Unreadable, "{unreadable}");
    }
    let without = decode_response_headers(&headers(&[]));
    assert_eq!(without.rate_limit, NamedRate::Unlimited);
}

#[test]
fn shared_parts_are_those_before_the_last() {
    let parts_of = |list: &'static str| {
        let caller = decode_caller_headers(&headers(&[("x-plantainnotch-prefix-hash", list)]));
        let names: Vec<String> = caller
            .shared_parts
            .iter()
            .map(PartName::to_string)
            .collect();
        names.join(" ")
    };

    assert_eq!(
        parts_of("5c1e07a2:800, 91bd3f06:410,e4402b7d:250"),
        "5c1e07a2 91bd3f06"
    );
    assert_eq!(parts_of("e4402b7d:250"), "");
    assert_eq!(parts_of(",,:7,a,b:"), "a");
    assert_eq!(parts_of(""), "");
}

#[test]
fn headers_of_callers_and_targets_are_decoded() {
    let caller = decode_caller_headers(&headers(&[
        ("x-plantainnotch-request-id", "id-1"),
        ("x-plantainnotch-deadline", "1500"),
        ("x-plantainnotch-token-count", "1460, 80"),
    ]));
    let response = decode_response_headers(&headers(&[
        ("x-plantainnotch-request-id", "id-1"),
        ("x-plantainnotch-replica-load", "3,1,8"),
        ("content-encoding", "gzip"),
    ]));

    assert_eq!(caller.deadline, Some(Duration::from_millis(1_500)));
    assert_eq!((caller.prompt_tokens, caller.output_tokens), (1_460, 80));
    assert_eq!(
        response.load.map(|load| load.running + load.waiting),
        Some(4)
    );
    assert!(response.encoded && !response.has_seal && !response.not_run);
}

/// The retries of all VMs together stay under the budget for any sequence of requests and
/// retries on any of the VMs.
#[test]
fn retries_of_all_vms_stay_under_the_budget() {
    fn property(events: Vec<(u8, bool)>) -> bool {
        const VMS: usize = 7;
        const RETRIES_AT_ONCE: usize = 20; // a lost target fails many requests at the same time
        let settings = parse_settings(SETTINGS).expect("the settings are valid");
        let now = Instant::now();
        let mut shares: Vec<RetryShare> = (0..VMS)
            .map(|_| RetryShare::new(&settings.bounds))
            .collect();
        let (mut requests, mut retries) = (0, 0);
        for (vm, retry) in events {
            let share = &mut shares[usize::from(vm) % VMS];
            if retry {
                retries += (0..RETRIES_AT_ONCE)
                    .filter(|_| share.try_take(VMS, now))
                    .count();
            } else {
                share.count_request(now);
                requests += 1;
            }
        }
        let bounds = &settings.bounds;
        retries as f64 <= bounds.retry_ratio * f64::from(requests) + bounds.retry_slack
    }
    check(47, property as fn(Vec<(u8, bool)>) -> bool);
}

#[test]
fn failing_targets_are_skipped_and_tried_again() {
    let now = Instant::now();
    let (target_a, target_b, own_domain) = (
        TargetName::new("a"),
        TargetName::new("b"),
        DomainName::new("d"),
    );
    let mut health = TargetHealth::default();
    let pause = health.record_failure(false, now);
    let rank = |at: Instant, health: &TargetHealth| {
        let options = [
            TargetCandidate {
                name: &target_a,
                domain: &own_domain,
                health: Some(health),
            },
            TargetCandidate {
                name: &target_b,
                domain: &own_domain,
                health: None,
            },
        ];
        let ranked = rank_targets(&options, &own_domain, 0, at);
        ranked.into_iter().cloned().collect::<Vec<TargetName>>()
    };
    let choose = |at: Instant, health: &TargetHealth| rank(at, health).first().cloned();

    assert_eq!(choose(now, &health), Some(target_b.clone()));
    assert_eq!(
        rank(now, &health),
        slice::from_ref(&target_b),
        "a suspended target with unused permits would attract requests"
    );
    assert_eq!(
        health.record_failure(false, now),
        None,
        "the same failure seen a second time"
    );
    let longer_pause = health.record_failure(false, now + Duration::from_secs(1));
    assert!(
        longer_pause > pause,
        "the pause grows with consecutive failures"
    );
    health.record_success();
    (0..40).for_each(|_| health.record_success());
    health.in_flight = 0;
    let mut busy_health = TargetHealth::default();
    busy_health.in_flight = 1;
    let options = [
        TargetCandidate {
            name: &target_a,
            domain: &own_domain,
            health: Some(&health),
        },
        TargetCandidate {
            name: &target_b,
            domain: &own_domain,
            health: Some(&busy_health),
        },
    ];
    assert_eq!(
        rank_targets(&options, &own_domain, 0, now).first(),
        Some(&&target_a)
    );
}

#[test]
fn a_malformed_record_on_a_page_of_the_store_hides_no_other_record() {
    let deep = format!("{}0{}", "[".repeat(100_000), "]".repeat(100_000));
    let odd_items = [
        deep.clone(),
        format!("{{\"key\":\"x\",\"value\":\"eA==\",\"offset\":1,\"more\":{deep}}}"),
        "{\"key\":\"x\",\"value\":\"not base64!\",\"offset\":1}".to_owned(),
        "{\"key\":\"\\ud800\",\"value\":\"eA==\",\"offset\":1}".to_owned(),
        "{\"key\":\"x\",\"value\":\"eA==\",\"offset\":1e400}".to_owned(),
        "{\"key\":\"x\",\"value\":\"eA==\",\"offset\":-1}".to_owned(),
        "null".to_owned(),
    ];
    for odd in odd_items {
        let body = format!(
            "{{\"items\":[{{\"key\":\"a\",\"value\":\"eA==\",\"offset\":3}},{odd},{{\"key\":\"b\",\"value\":\"\",\"offset\":4}}],\"has_more\":false,\"end\":5}}"
        );
        let page = decode_newest_page(body.as_bytes()).expect("the page is readable");
        let keys: Vec<&str> = page
            .records
            .iter()
            .map(|record| record.key.as_str())
            .collect();
        assert!(
            keys.starts_with(&["a"]) && keys.ends_with(&["b"]),
            "{keys:?}"
        );
    }
    let mut bytes = b"{\"items\":[{\"key\":\"a".to_vec();
    bytes.push(0xff);
    bytes.extend(b"\",\"value\":\"eA==\",\"offset\":3}],\"has_more\":false,\"end\":5}");
    assert_eq!(
        decode_newest_page(&bytes).expect("readable").records.len(),
        1
    );

    // Without a key to go on from, the pages that follow would be taken for empty.
    let unreadable = b"{\"items\":[null],\"has_more\":true,\"end\":5}";
    assert!(decode_newest_page(unreadable).is_err());
}
