//! Pool and target ledgers: capacity is never exceeded, a gang gets all its targets or none, and
//! each request gets one reply.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use plantainnotch::chart;
use plantainnotch::ids::{GrantId, InstanceId, Offset, RequestId, TargetName, TeamName};
use plantainnotch::ledger::grant::{GrantOutcome, PoolRefusal, PoolReply, TicketId};
use plantainnotch::ledger::pool::PoolLedger;
use plantainnotch::ledger::slow_start::{ConcurrencyWindow, TargetEvent};
use plantainnotch::ledger::target_ledger::{REPORT_LAG, StreamReport};
use plantainnotch::policy::placement::PlacementPolicy;
use plantainnotch::view::View;

use crate::fixtures::*;

const MEMORY: u64 = 10_000;

fn pool_of(view: &View, policy: PlacementPolicy) -> PoolLedger {
    let chart = chart::target_chart().expect("the built-in chart is valid");
    let mut pool = PoolLedger::new(chart, policy, Offset(1));
    pool.set_targets(view.targets(), |target| view.in_service(target.row));
    pool
}

fn all_approved(_: &TeamName, _: &TargetName) -> bool {
    true
}

/// A pool driven by random steps, with the replies that it gave.
struct DrivenPool {
    pool: PoolLedger,
    now: Instant,
    next_ticket: u64,
    replies: BTreeMap<TicketId, usize>,
    open_grants: Vec<Vec<GrantId>>,
    within_capacity: bool,
}

impl DrivenPool {
    fn new(policy: PlacementPolicy) -> Self {
        Self {
            pool: pool_of(&view_of(small_table(3, MEMORY)), policy),
            now: Instant::now(),
            next_ticket: 0,
            replies: BTreeMap::new(),
            open_grants: Vec::new(),
            within_capacity: true,
        }
    }

    fn step(&mut self, random: (u8, u8, u16)) {
        let (action, choice, size) = random;
        match action % 6 {
            0 | 1 => {
                let ticket = TicketId(self.next_ticket);
                self.next_ticket += 1;
                let deadline = self.now + Duration::from_millis(u64::from(size) * 2);
                let prompt = u64::from(size) % 30_000;
                let team = if choice % 2 == 0 { "kigali" } else { "zharyq" };
                let request = pool_request(ticket.0, team, prompt, deadline);
                self.pool.acquire(ticket, request, &all_approved, self.now);
            }
            2 if !self.open_grants.is_empty() => {
                let grants = self
                    .open_grants
                    .swap_remove(usize::from(choice) % self.open_grants.len());
                let outcome = match size % 3 {
                    0 => GrantOutcome::Failed,
                    1 => GrantOutcome::Disconnected,
                    _ => GrantOutcome::Completed {
                        output_tokens: 5,
                        max_output_tokens: 10,
                        decode_ms: 50,
                    },
                };
                for grant in grants {
                    self.pool.release(grant, outcome, self.now);
                }
            }
            3 => self.now += Duration::from_millis(u64::from(size) % 3_000),
            4 => {
                let name = TargetName::new(format!("app-{}", choice % 3));
                let instance = InstanceId::new(format!("i{}", size % 4));
                self.pool
                    .reconcile(&name, &instance, &[], self.now, self.now);
            }
            _ => {}
        }
        self.pool.dispatch(&all_approved, self.now);
        self.count_replies();
    }

    fn count_replies(&mut self) {
        for (ticket, reply) in self.pool.take_replies() {
            *self.replies.entry(ticket).or_default() += 1;
            if let PoolReply::Granted { parts, .. } = reply {
                self.check_capacity(&parts);
                self.open_grants
                    .push(parts.iter().map(|part| part.grant).collect());
            }
        }
    }

    /// Checks that a grant keeps within each target's memory and window, and that its targets
    /// differ.
    fn check_capacity(&mut self, parts: &[plantainnotch::ledger::grant::GrantPart]) {
        for part in parts {
            let ledger = &self.pool.targets()[&part.target];
            self.within_capacity &= ledger.used() <= MEMORY;
            self.within_capacity &= ledger.running() <= ledger.window.limit() as usize;
        }
        let mut names: Vec<&TargetName> = parts.iter().map(|part| &part.target).collect();
        names.dedup();
        self.within_capacity &= names.len() == parts.len();
    }
}

fn keeps_limits(policy: PlacementPolicy, steps: Vec<(u8, u8, u16)>) -> bool {
    let mut driven = DrivenPool::new(policy);
    for step in steps {
        driven.step(step);
    }
    driven.now += Duration::from_secs(200);
    driven.pool.dispatch(&all_approved, driven.now);
    driven.count_replies();
    let replied_once =
        (0..driven.next_ticket).all(|ticket| driven.replies.get(&TicketId(ticket)) == Some(&1));
    driven.within_capacity && replied_once
}

#[test]
fn lanes_never_exceed_capacity_and_reply_to_each_request_once() {
    fn property(steps: Vec<(u8, u8, u16)>) -> bool {
        keeps_limits(PlacementPolicy::Lanes, steps)
    }
    check(61, property as fn(Vec<(u8, u8, u16)>) -> bool);
}

#[test]
fn baselines_never_exceed_capacity_and_reply_to_each_request_once() {
    fn property(steps: Vec<(u8, u8, u16)>) -> bool {
        let policies = [
            PlacementPolicy::RoundRobin,
            PlacementPolicy::LeastLoaded,
            PlacementPolicy::SharedQueue,
        ];
        policies
            .into_iter()
            .all(|policy| keeps_limits(policy, steps.clone()))
    }
    check(62, property as fn(Vec<(u8, u8, u16)>) -> bool);
}

#[test]
fn a_window_is_reset_by_a_restart_and_stays_within_its_limits() {
    fn property(events: Vec<u8>) -> bool {
        let chart = chart::target_chart().expect("the built-in chart is valid");
        let mut window = ConcurrencyWindow::new(&chart, 2, 9);
        events.iter().all(|event| {
            let event = match event % 4 {
                0 => TargetEvent::Failed,
                1 => TargetEvent::Restarted,
                _ => TargetEvent::Completed,
            };
            window.apply(&chart, event);
            let reset = event != TargetEvent::Restarted
                || (window.limit() == 2 && window.state() == "cold");
            reset && (2..=9).contains(&window.limit())
        })
    }
    check(63, property as fn(Vec<u8>) -> bool);
}

/// Requests a short prompt and returns its grant and target.
fn grant_one(pool: &mut PoolLedger, number: u64, now: Instant) -> (TargetName, GrantId) {
    let request = pool_request(number, "kigali", 100, now + seconds(30.0));
    pool.acquire(TicketId(number), request, &all_approved, now);
    pool.dispatch(&all_approved, now);
    match pool.take_replies().pop() {
        Some((_, PoolReply::Granted { parts, .. })) => (parts[0].target.clone(), parts[0].grant),
        other => panic!("expected a grant, got {other:?}"),
    }
}

#[test]
fn memory_comes_back_only_when_the_target_no_longer_lists_the_stream() {
    // Arrange: a grant past its deadline whose entry died after it sent the request.
    let view = view_of(small_table(1, MEMORY));
    let mut pool = pool_of(&view, PlacementPolicy::Lanes);
    let start = Instant::now();
    let (target, _) = grant_one(&mut pool, 1, start);
    let instance = InstanceId::new("i");
    let listed = [StreamReport {
        request: RequestId(1),
        tokens: 110,
    }];
    let late = start + seconds(31.0);

    // Act
    let cancels = pool.reconcile(&target, &instance, &listed, late, late);
    let held = pool.targets()[&target].used();
    pool.reconcile(&target, &instance, &[], late, late);
    let freed = pool.targets()[&target].used();

    // Assert
    assert_eq!(cancels, [RequestId(1)]);
    assert_eq!((held, freed), (110, 0));
}

#[test]
fn a_grant_ends_if_its_request_was_never_sent() {
    let view = view_of(small_table(1, MEMORY));
    let mut pool = pool_of(&view, PlacementPolicy::Lanes);
    let start = Instant::now();
    let (target, _) = grant_one(&mut pool, 1, start);
    let instance = InstanceId::new("i");
    let soon = start + seconds(1.0);
    let late = start + seconds(1.6) + REPORT_LAG;
    pool.reconcile(&target, &instance, &[], soon, soon);
    assert_eq!(pool.targets()[&target].running(), 1);
    pool.reconcile(&target, &instance, &[], late, late);
    assert_eq!(pool.targets()[&target].running(), 0);
}

#[test]
fn a_stream_without_a_grant_counts_as_used_memory_and_is_cancelled_after_a_timeout() {
    let view = view_of(small_table(1, MEMORY));
    let mut pool = pool_of(&view, PlacementPolicy::Lanes);
    let start = Instant::now();
    let target = TargetName::new("app-0");
    let instance = InstanceId::new("i");
    let listed = [StreamReport {
        request: RequestId(5),
        tokens: 9_990,
    }];
    let first = pool.reconcile(&target, &instance, &listed, start, start);
    let used = pool.targets()[&target].used();
    let later = start + seconds(11.0);
    let second = pool.reconcile(&target, &instance, &listed, later, later);
    assert!(first.is_empty());
    assert_eq!(used, 9_990);
    assert_eq!(second, [RequestId(5)]);
}

#[test]
fn a_gang_reserves_all_its_targets_or_none() {
    // Arrange: a prompt that needs all three targets while one of them is in use.
    let view = view_of(small_table(3, MEMORY));
    let mut pool = pool_of(&view, PlacementPolicy::Lanes);
    let now = Instant::now();
    let (_, short_grant) = grant_one(&mut pool, 1, now);
    let request = pool_request(2, "kigali", 25_000, now + seconds(120.0));

    // Act
    pool.acquire(TicketId(2), request, &all_approved, now);
    pool.dispatch(&all_approved, now);
    let before = pool.take_replies();
    let running: usize = pool.targets().values().map(|ledger| ledger.running()).sum();
    pool.release(short_grant, GrantOutcome::Withdrawn, now);
    pool.dispatch(&all_approved, now);
    let after = pool.take_replies();

    // Assert
    assert!(before.is_empty());
    assert_eq!(running, 1);
    match &after[..] {
        [(_, PoolReply::Granted { parts, .. })] => {
            let names: Vec<&str> = parts.iter().map(|part| part.target.as_str()).collect();
            assert_eq!(names, ["app-0", "app-1", "app-2"]);
        }
        other => panic!("expected one grant, got {other:?}"),
    }
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once_with_a_retry_delay() {
    let view = view_of(small_table(1, MEMORY));
    let mut pool = pool_of(&view, PlacementPolicy::Lanes);
    let now = Instant::now();
    let request = pool_request(1, "kigali", 9_000, now + seconds(0.01));
    pool.acquire(TicketId(1), request, &all_approved, now);
    match &pool.take_replies()[..] {
        [(_, PoolReply::Refused { retry_after, .. })] => assert!(*retry_after >= seconds(1.0)),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[test]
fn a_target_out_of_service_gets_no_new_requests() {
    // Arrange
    let view = view_of(small_table(1, MEMORY));
    let mut pool = pool_of(&view, PlacementPolicy::Lanes);
    let now = Instant::now();

    // Act: the only target goes out of service before the request arrives.
    pool.set_targets(view.targets(), |_| false);
    let request = pool_request(1, "kigali", 100, now + seconds(30.0));
    pool.acquire(TicketId(1), request, &all_approved, now);
    pool.dispatch(&all_approved, now);

    // Assert
    assert!(matches!(
        &pool.take_replies()[..],
        [(_, PoolReply::Refused { .. })]
    ));
}

#[test]
fn a_pool_without_reachable_targets_refuses_at_once_and_tries_them_again_later() {
    // Arrange: a request is queued when the only target becomes unreachable.
    let view = view_of(small_table(1, MEMORY));
    let mut pool = pool_of(&view, PlacementPolicy::Lanes);
    let now = Instant::now();
    grant_one(&mut pool, 1, now);
    let request = |number| pool_request(number, "kigali", 100, now + seconds(30.0));
    pool.acquire(TicketId(2), request(2), &all_approved, now);

    // Act
    pool.mark_unreachable(&TargetName::new("app-0"), now);
    pool.dispatch(&all_approved, now);
    let queued = pool.take_replies();
    pool.acquire(TicketId(3), request(3), &all_approved, now);
    let arriving = pool.take_replies();
    let later = now + seconds(1.1);
    pool.reconcile(
        &TargetName::new("app-0"),
        &InstanceId::new("i"),
        &[],
        later + seconds(60.0),
        later,
    );
    pool.acquire(TicketId(4), request(4), &all_approved, later);
    pool.dispatch(&all_approved, later);
    let retried = pool.take_replies();

    // Assert
    for replies in [&queued, &arriving] {
        match &replies[..] {
            [(_, PoolReply::Refused { refusal, .. })] => {
                assert_eq!(*refusal, PoolRefusal::Unreachable);
            }
            other => panic!("expected a refusal, got {other:?}"),
        }
    }
    assert!(matches!(&retried[..], [(_, PoolReply::Granted { .. })]));
}

#[test]
fn a_busy_target_does_not_lower_the_prefill_estimate() {
    // Arrange: rounds of eight prompts of 3,000 tokens at the same time, on a target that
    // prefills 20,000 tokens per second.
    let view = view_of(small_table(1, 1_000_000));
    let mut pool = pool_of(&view, PlacementPolicy::Lanes);
    let now = Instant::now();
    for number in 0..20 {
        let (_, grant) = grant_one(&mut pool, number, now);
        let outcome = GrantOutcome::Completed {
            output_tokens: 5,
            max_output_tokens: 10,
            decode_ms: 50,
        };
        pool.release(grant, outcome, now);
    }
    for round in 0..50 {
        for number in 0..8 {
            let ticket = TicketId(1_000 + round * 8 + number);
            let request = pool_request(ticket.0, "kigali", 3_000, now + seconds(300.0));
            pool.acquire(ticket, request, &all_approved, now);
        }
        pool.dispatch(&all_approved, now);

        // Act: their first tokens come one after another.
        for (index, (_, reply)) in pool.take_replies().into_iter().enumerate() {
            let PoolReply::Granted { parts, .. } = reply else {
                panic!("expected a grant, got {reply:?}");
            };
            pool.record_first_token(parts[0].grant, seconds(0.15 * (index + 1) as f64));
            pool.release(parts[0].grant, GrantOutcome::Withdrawn, now);
        }
    }

    // Assert: a prompt whose prefill takes 0.5 s is still granted with a deadline of 0.8 s.
    let request = pool_request(9_999, "kigali", 10_000, now + seconds(0.8));
    pool.acquire(TicketId(9_999), request, &all_approved, now);
    pool.dispatch(&all_approved, now);
    assert!(matches!(
        &pool.take_replies()[..],
        [(_, PoolReply::Granted { .. })]
    ));
}
