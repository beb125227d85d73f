//! Targets of plain services that come back cold get no more requests than they bear.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::support::bed::{TestBed, config, wait_until};

const WARMUP: Duration = Duration::from_secs(3);
const REQUESTS_PER_S: f64 = 28.0;
/// `cold_over` and `cold_slack` of the users' rules.
const MAX_IN_A_SECOND: usize = (REQUESTS_PER_S * 1.5) as usize + 5;
const SENDERS: usize = 30;
const SEND_INTERVAL: Duration = Duration::from_millis(140);

#[test]
fn a_plain_target_that_comes_back_cold_gets_no_more_than_its_limit() {
    let bed = TestBed::start(3);
    let mut table = config(2);
    table["services"][0]["warmup_per_s"] = json!(REQUESTS_PER_S);
    bed.put_config(&table);
    bed.store.put("keyed.servers", "replica-0", b"");
    wait_until(Duration::from_secs(3), "all nodes know both", || {
        bed.nodes.iter().all(|node| {
            let log = node.log();
            log.contains("\"version\":2") && log.contains("\"gone\"")
        })
    });

    let cold_from = Instant::now();
    std::thread::scope(|scope| {
        for sender in 0..SENDERS {
            let bed = &bed;
            scope.spawn(move || {
                std::thread::sleep(SEND_INTERVAL.mul_f64(sender as f64 / SENDERS as f64));
                let mut unserved = Vec::new();
                for request in 0.. {
                    if cold_from.elapsed() > WARMUP {
                        break;
                    }
                    let id = format!("cold-{sender}-{request}");
                    let response = bed.lookup((sender + request) % 3, &id);
                    if response
                        .as_ref()
                        .is_none_or(|response| response.status != 200)
                    {
                        unserved.push((cold_from.elapsed(), id, response));
                    }
                    std::thread::sleep(SEND_INTERVAL);
                }
                assert!(unserved.is_empty(), "sender {sender}: {unserved:?}");
            });
        }
        let replica = &bed.replicas[0];
        let mut record = replica.record(bed.target_proxies[3].address, "ready");
        record["warmup_left_ms"] = json!(WARMUP.as_millis() as u64);
        record["born"] = json!(2);
        let value = record.to_string();
        bed.store
            .put("keyed.servers", "replica-0", value.as_bytes());
    });

    let mut at_cold: Vec<Instant> = bed
        .ledger()
        .runs
        .iter()
        .filter(|run| run.target == "replica-0" && run.started_at > cold_from)
        .map(|run| run.started_at)
        .collect();
    at_cold.sort();
    let most_in_a_second = at_cold
        .iter()
        .map(|start| {
            let end = *start + Duration::from_secs(1);
            at_cold
                .iter()
                .filter(|at| (*start..end).contains(at))
                .count()
        })
        .max()
        .unwrap_or(0);
    assert!(most_in_a_second > 0, "the cold target got no request");
    assert!(
        most_in_a_second <= MAX_IN_A_SECOND,
        "{most_in_a_second} in a second"
    );
}
