//! Ranks of requests: what each rank of a load gets, when ranks count, and how they are sent.

use std::time::{Duration, Instant};

use plantainnotch::ids::TeamName;
use plantainnotch::node::messages::{NodeCall, NodeReply, RankedAnswer, RankedPlacementRequest};
use plantainnotch::platform::records::decode_routes;
use plantainnotch::policy::dispatch::{
    DispatchAnswer, EngineDispatcher, JobId, QueueRules, RefusalReason, RequestRank, ShareState,
};
use plantainnotch::policy::engine_model::example_spec;
use plantainnotch::wire::codec::{decode, encode};
use serde_json::{Value, json};

use crate::queued_load::{LoadSource, QueuedLoad, engine_target, short_prompt};

const OVERLOAD: f64 = 1.3;
const RANKS: QueueRules = QueueRules {
    ranks: true,
    shares: false,
};

fn rank(number: i64) -> RequestRank {
    RequestRank::among(number, &[0, 1, 2]).expect("three ranks count")
}

fn three_ranks() -> Vec<LoadSource> {
    let source = |number: i64| LoadSource {
        account: TeamName::new("account"),
        rank: Some(rank(number)),
        weight: 1.0,
    };
    (0..3).map(source).collect()
}

// Guards against urgent requests that wait behind less urgent ones while engines are scarce, against
// capacity that is lost to the order, and against a rank that gets nothing.
#[test]
fn under_contention_more_urgent_ranks_are_on_time_and_the_last_one_gets_the_rest() {
    for seed in 1..=3 {
        let sources = three_ranks();
        let ranked = QueuedLoad::new(&sources, OVERLOAD, seed).run(RANKS);
        let unranked = QueuedLoad::new(&sources, OVERLOAD, seed).run(QueueRules::default());

        let (first, second) = (ranked.on_time_share(0..1), ranked.on_time_share(1..2));
        assert!(first > 0.95, "seed {seed}: {first:.3}");
        assert!(second > 0.9, "seed {seed}: {second:.3}");
        let unprotected = unranked.on_time_share(0..1);
        assert!(unprotected < 0.85, "seed {seed}: {unprotected:.3}");
        let last = ranked.placed(2..3) as f64 / unranked.placed(2..3) as f64;
        assert!(last > 0.2, "seed {seed}: {last:.3}");
        let (all, before) = (ranked.placed(0..3), unranked.placed(0..3));
        assert!(
            all as f64 > before as f64 * 0.98,
            "seed {seed}: {all} and {before}"
        );
    }
}

/// A dispatcher of one engine that generates for five short prompts of the most urgent rank.
fn streaming_dispatcher(now: Instant) -> EngineDispatcher {
    let spec = example_spec();
    let mut dispatcher = EngineDispatcher::new(spec.clone(), 0.0);
    dispatcher.set_engines(&spec, 0.0, &[engine_target(0)]);
    dispatcher.set_queue_rules(RANKS);
    for job in 0..5 {
        let mut request = short_prompt(job, &TeamName::new("account"));
        request.prompt_tokens = 5_000;
        dispatcher.enqueue_ranked(request, Some(rank(0)), now);
    }
    assert_eq!(dispatcher.decide(now).len(), 5);
    for job in 0..5 {
        dispatcher.record_first_event(JobId(job), now + Duration::from_millis(200));
    }
    dispatcher
}

// Guards against a long prompt of a less urgent rank that makes streams of a more urgent one late.
#[test]
fn a_long_prompt_interrupts_streams_of_its_own_rank_but_not_of_a_more_urgent_one() {
    let now = Instant::now();
    let later = now + Duration::from_millis(400);
    for (number, is_placed) in [(0, true), (2, false)] {
        let mut dispatcher = streaming_dispatcher(now);
        let mut long = short_prompt(9, &TeamName::new("account"));
        long.prompt_tokens = 60_000;
        long.objective = Duration::from_secs(3);
        long.give_up_after = Duration::from_secs(12);
        dispatcher.enqueue_ranked(long, Some(rank(number)), later);

        let decisions = dispatcher.decide(later);

        assert_eq!(decisions.len(), usize::from(is_placed), "rank {number}");
    }
}

/// A configuration of two routes with the given ranks to one service, and of accounts.
fn table(ranks: [i64; 2], accounts: Value) -> plantainnotch::fleet::routes::RouteTable {
    let route = |index: usize| {
        json!({
            "name": format!("route-{index}"), "host": "callers.example",
            "path_prefix": format!("/{index}/"), "route_type": "stream", "timeout_ms": 6000,
            "latency_target_ms": 300, "priority": ranks[index], "service": "engines",
            "max_attempts": 2, "public": false, "session_affinity": false, "stream_resume": true,
        })
    };
    let config = json!({
        "version": 1, "routes": [route(0), route(1)],
        "services": [{"name": "engines", "health_path": "/health", "max_conns": 100,
            "warmup_per_s": 0.0}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 100_000,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": accounts,
    });
    decode_routes(config.to_string().as_bytes()).expect("the configuration is valid")
}

// Guards against ranks that count in a deployment whose requests all have the same one.
#[test]
fn ranks_count_only_if_requests_of_different_ranks_reach_a_service() {
    let without_rank = json!([{"name": "a", "api_keys": ["k"]}]);
    let with_rank = json!([{"name": "a", "api_keys": ["k"], "priority": 1}]);
    let mixed = json!([
        {"name": "a", "api_keys": ["k"], "priority": 1},
        {"name": "b", "api_keys": ["l"]},
    ]);
    let cases = [
        ([0, 0], &without_rank, vec![0]),
        ([0, 2], &without_rank, vec![0, 2]),
        // The rank of the only key replaces those of the routes.
        ([0, 2], &with_rank, vec![1]),
        ([2, 2], &mixed, vec![1, 2]),
    ];
    for (ranks, accounts, expected) in cases {
        let table = table(ranks, accounts.clone());

        assert_eq!(table.ranks_of("engines"), expected);
        let counted = RequestRank::among(expected[0], table.ranks_of("engines"));
        assert_eq!(counted.is_some(), expected.len() > 1);
        assert_eq!(table.has_several_accounts(), *accounts == mixed);
    }
}

// Guards against a variant that takes the place of one that earlier builds know.
#[test]
fn ranked_messages_come_after_all_that_earlier_builds_know() {
    let call = NodeCall::PlaceRanked(RankedPlacementRequest {
        request: short_prompt(1, &TeamName::new("account")),
        rank: rank(1),
    });
    let reply = NodeReply::PlacedRanked(RankedAnswer {
        answer: DispatchAnswer::Refused {
            reason: RefusalReason::Overload,
            retry_after: Duration::from_millis(300),
        },
        share: ShareState::Over,
    });

    let call_bytes = encode(&call).expect("the call has an encoding");
    let reply_bytes = encode(&reply).expect("the reply has an encoding");

    assert_eq!((call_bytes[0], reply_bytes[0]), (11, 7));
    let decoded: NodeCall = decode(&call_bytes).expect("the call can be decoded");
    assert!(matches!(decoded, NodeCall::PlaceRanked(request) if request.rank == rank(1)));
}
