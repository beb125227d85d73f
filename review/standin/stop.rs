//! A node gets SIGTERM while a prompt waits there for an engine with room.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::bed::{Route, Store, loopback, publish, put_config, record, start_nodes};
use crate::tickets::{ENGINE_TOKENS, Engines, start_engine, stream};

const GRACE: Duration = Duration::from_secs(8); // `grace_s`
const LIMIT_S: u64 = 15; // time limit and timeout of archive-match

pub fn play(trouble: bool) -> Result<bool, String> {
    let failed = |error: std::io::Error| error.to_string();
    let (store, store_address) = Store::start(loopback(8)).map_err(failed)?;
    let route = Route {
        name: "review",
        path: "/review/",
        kind: "stream",
        service: "engines",
        timeout_ms: 15_000,
        latency_ms: 3_000,
        attempts: 2,
        resume: true,
        gap_ms: 1_000,
    };
    put_config(&store, &[route], ENGINE_TOKENS);
    let engines = Arc::new(Engines::default());
    for zone in 0..3 {
        let address = start_engine(&engines, zone).map_err(failed)?;
        publish(&store, &format!("e-{zone}"), "engines", address, zone);
    }
    let nodes = start_nodes(3, store_address)?;
    std::thread::sleep(Duration::from_millis(3_500));
    let waiting: Mutex<Option<(Duration, Option<(u16, Vec<u64>, bool)>)>> = Mutex::default();
    let stopped_at: Mutex<Option<Instant>> = Mutex::default();
    std::thread::scope(|scope| {
        // Streams through the other nodes fill the engines' memory.
        for index in 0..3 {
            let front = nodes[1 + index % 2].front;
            scope.spawn(move || stream(front, &format!("f1{index}"), 76_000, 10_000, LIMIT_S));
            std::thread::sleep(Duration::from_millis(700));
        }
        let (front, waiting) = (nodes[0].front, &waiting);
        scope.spawn(move || {
            let sent_at = Instant::now();
            let seen = stream(front, "a2c417e", 100_000, 400, LIMIT_S);
            *waiting.lock().unwrap() = Some((sent_at.elapsed(), seen));
        });
        std::thread::sleep(Duration::from_millis(500));
        if trouble {
            nodes[0].signal("TERM");
            *stopped_at.lock().unwrap() = Some(Instant::now());
            let node = &nodes[0];
            scope.spawn(move || {
                std::thread::sleep(GRACE);
                // Only if the process has not ended by itself.
                if node.memory() > 0 {
                    node.signal("KILL");
                }
            });
        }
    });
    let Some((after, seen)) = waiting.lock().unwrap().take() else {
        return Err("the waiting client failed".to_owned());
    };
    let reached = engines.has_run("a2c417e");
    let answered = seen.as_ref().is_some_and(|(_, _, complete)| *complete);
    record(&format!(
        "LOST: the request that waited {} after {:.1} s; a replica got it: {reached}",
        match &seen {
            Some((status, _, complete)) => format!("was answered {status}, complete: {complete},"),
            None => "had its connection closed without an answer".to_owned(),
        },
        after.as_secs_f64()
    ));
    if after >= Duration::from_secs(LIMIT_S) {
        return Err("the request's time limit was reached".to_owned());
    }
    Ok(answered)
}
