//! Times at which prompts that were refused for overload may return, and who kept to them.
//!
//! Under overload all refused callers would return together and race with new arrivals. Each is told
//! when the engines are predicted to have capacity for its prompt behind those refused before it, and
//! has precedence over new arrivals if it returns then. No capacity is reserved.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::account_shares::Account;
use super::dispatch::JobId;
use crate::ids::RequestDigest;

/// Time after the promised one in which a caller can be expected. A caller that rounds `Retry-After` up
/// to whole seconds is up to 1 s late, and a VM that passes over a lost owner takes up to 450 ms.
pub const RETURN_WINDOW: Duration = Duration::from_millis(1_500);
/// Most promises of a service, which take less than 1 MB: about ten seconds of refusals at the peak rate.
pub const MAX_PROMISES: usize = 4_096;
/// Time by which an imported promise is valid earlier than announced, since a throttled VM reads the
/// announcement up to 75 ms late.
const IMPORT_MARGIN: Duration = Duration::from_millis(100);
/// Longest time that an imported promise may state, so that sums of times stay valid.
const MAX_IMPORTED_TIME: Duration = Duration::from_secs(3_600);

/// What is known of a prompt by which it is recognised when its caller returns.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CallerPrompt {
    /// Hash of the prompt's content.
    pub digest: RequestDigest,
    /// Time until the deadline of its caller, after which it does not return.
    pub caller_time_left: Duration,
}

/// Whether a prompt returns after a refusal, and when.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReturnState {
    /// No promise is known.
    #[default]
    New,
    /// It returns within the window of its promise.
    Kept,
    /// It returns before the promised time.
    Early,
    /// It returns after the window.
    Missed,
}

impl ReturnState {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::New => "new",
            Self::Kept => "kept",
            Self::Early => "early",
            Self::Missed => "missed",
        }
    }
}

/// Order in which refused prompts get capacity: by rank, then accounts within their share first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReturnClass {
    /// Rank, `None` for the most urgent or if ranks do not count.
    pub rank: Option<i64>,
    /// Whether the account was over its share.
    pub is_over_share: bool,
}

/// A prompt that is refused for overload.
#[derive(Debug, Clone)]
pub struct RefusedPrompt {
    /// Job of the refused placement.
    pub job: JobId,
    /// Hash of the prompt's content.
    pub digest: RequestDigest,
    /// Account of its caller.
    pub account: Account,
    /// Its place among the refused prompts.
    pub class: ReturnClass,
    /// What it takes of the engines, in seconds of one engine.
    pub engine_seconds: f64,
    /// Time until engines are predicted to have capacity for it if no refused prompt is ahead.
    pub soonest: Duration,
    /// Shortest time from its return to its first event.
    pub first_event: Duration,
    /// Deadline of its caller.
    pub caller_deadline_at: Instant,
}

/// What a refused caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReturnTime {
    /// Time after which it may return.
    pub wait: Duration,
    /// Whether it then has precedence over new arrivals.
    pub is_promised: bool,
}

/// A promise as the owner of placement announces it to its successor, with times from the sending on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReturnPromise {
    /// Hash of the prompt's content.
    pub digest: RequestDigest,
    /// Account of its caller.
    pub account: Account,
    /// Its place among the refused prompts.
    pub class: ReturnClass,
    /// What it takes of the engines, in seconds of one engine.
    pub engine_seconds: f64,
    /// Time until the promised one.
    pub due_in: Duration,
    /// Time until the caller's deadline.
    pub caller_time_left: Duration,
}

/// Events since the last [`ReturnPromises::take_counts`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReturnCounts {
    /// Promises made.
    pub made: u64,
    /// Prompts that returned within their window.
    pub kept: u64,
    /// Returns before the promised time.
    pub early: u64,
    /// Promises whose window passed without a return.
    pub expired: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PromiseState {
    /// The caller is expected.
    Open,
    /// The prompt has returned and waits for its placement.
    Returned(JobId),
    /// The window has passed; kept until the caller's deadline to tell a missed time from a new prompt.
    Expired,
}

#[derive(Debug)]
struct HeldPromise {
    account: Account,
    class: ReturnClass,
    engine_seconds: f64,
    promised_at: Instant,
    caller_deadline_at: Instant,
    serial: u64,
    state: PromiseState,
}

impl HeldPromise {
    fn ends_at(&self) -> Instant {
        (self.promised_at + RETURN_WINDOW).min(self.caller_deadline_at)
    }

    /// When the state has to be looked at again.
    fn checked_at(&self) -> Instant {
        match self.state {
            PromiseState::Open => self.ends_at(),
            PromiseState::Returned(_) | PromiseState::Expired => self.caller_deadline_at,
        }
    }
}

/// The promises of one service; each operation takes time logarithmic in their number.
///
/// ```
/// use std::time::{Duration, Instant};
/// use plantainnotch::ids::RequestDigest;
/// use plantainnotch::policy::dispatch::JobId;
/// use plantainnotch::policy::return_promises::*;
/// let (mut promises, now) = (ReturnPromises::default(), Instant::now());
/// let digest = RequestDigest::of("POST", "/prompts", Some("team-a"), &[], b"text");
/// let told = promises.promise(&RefusedPrompt {
///     job: JobId(1), digest, account: None,
///     class: ReturnClass { rank: None, is_over_share: false },
///     engine_seconds: 2.0, soonest: Duration::from_secs(1),
///     first_event: Duration::from_millis(200), caller_deadline_at: now + Duration::from_secs(9),
/// }, 4.0, now);
/// assert_eq!((told.wait, told.is_promised), (Duration::from_secs(1), true));
/// let (state, _) = promises.record_arrival(digest, &None, JobId(2), now + told.wait);
/// assert_eq!(state, ReturnState::Kept);
/// ```
#[derive(Debug, Default)]
pub struct ReturnPromises {
    held: BTreeMap<RequestDigest, HeldPromise>,
    /// Digests by the order in which their promises were made.
    by_age: BTreeMap<u64, RequestDigest>,
    checks: BTreeSet<(Instant, RequestDigest)>,
    returned: HashMap<JobId, RequestDigest>,
    /// Number and engine seconds of the open promises of each class.
    expected: BTreeMap<ReturnClass, (usize, f64)>,
    next_serial: u64,
    unannounced: Vec<RequestDigest>,
    counts: ReturnCounts,
}

impl ReturnPromises {
    /// Number of promises, with those that are kept to recognise late returns.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Recognises a prompt; an early one also gets the time left until the promised one. Of several
    /// placements of the same prompt at a time, only the first has precedence.
    pub fn record_arrival(
        &mut self,
        digest: RequestDigest,
        account: &Account,
        job: JobId,
        now: Instant,
    ) -> (ReturnState, Duration) {
        self.expire(now);
        let held = self.held.get(&digest);
        let Some(held) = held.filter(|held| held.account == *account) else {
            return (ReturnState::New, Duration::ZERO);
        };
        match held.state {
            PromiseState::Returned(_) => (ReturnState::New, Duration::ZERO),
            PromiseState::Expired => (ReturnState::Missed, Duration::ZERO),
            PromiseState::Open if now < held.promised_at => {
                self.counts.early += 1;
                (ReturnState::Early, held.promised_at - now)
            }
            PromiseState::Open => {
                self.counts.kept += 1;
                self.set_state(digest, PromiseState::Returned(job));
                self.returned.insert(job, digest);
                (ReturnState::Kept, Duration::ZERO)
            }
        }
    }

    /// Determines when a refused prompt may return: behind the expected prompts of its class and of those
    /// before it, at the rate of `engines` engines of the declared speed. A prompt that returned in time
    /// and is refused again is ahead of its class.
    ///
    /// The time is promised if the prompt can then be served before its caller's deadline.
    pub fn promise(&mut self, refused: &RefusedPrompt, engines: f64, now: Instant) -> ReturnTime {
        self.expire(now);
        let has_returned = self.returned.get(&refused.job) == Some(&refused.digest);
        let ahead: f64 = self
            .expected
            .range(..=refused.class)
            .filter(|(class, _)| !has_returned || **class < refused.class)
            .map(|(_, (_, engine_seconds))| engine_seconds)
            .sum();
        let spread = Duration::try_from_secs_f64(ahead / engines).unwrap_or_default();
        let wait = refused.soonest.saturating_add(spread);
        let promised_at = now.checked_add(wait);
        let serves_in_time = |at: &Instant| *at + refused.first_event <= refused.caller_deadline_at;
        let is_other_waiting = !has_returned
            && self
                .held
                .get(&refused.digest)
                .is_some_and(|held| matches!(held.state, PromiseState::Returned(_)));
        let promised_at = promised_at.filter(|at| serves_in_time(at) && !is_other_waiting);
        let Some(promised_at) = promised_at else {
            if !is_other_waiting {
                self.end(refused.digest);
            }
            return ReturnTime {
                wait,
                is_promised: false,
            };
        };
        let promise = HeldPromise {
            account: refused.account.clone(),
            class: refused.class,
            engine_seconds: refused.engine_seconds,
            promised_at,
            caller_deadline_at: refused.caller_deadline_at,
            serial: 0,
            state: PromiseState::Open,
        };
        self.insert(refused.digest, promise);
        self.unannounced.push(refused.digest);
        self.counts.made += 1;
        ReturnTime {
            wait,
            is_promised: true,
        }
    }

    /// Ends the promise of a prompt that was placed.
    pub fn end(&mut self, digest: RequestDigest) {
        let Some(held) = self.held.remove(&digest) else {
            return;
        };
        self.checks.remove(&(held.checked_at(), digest));
        self.by_age.remove(&held.serial);
        match held.state {
            PromiseState::Open => self.expect(held.class, -1, -held.engine_seconds),
            PromiseState::Returned(job) => {
                self.returned.remove(&job);
            }
            PromiseState::Expired => {}
        }
    }

    /// Expects a prompt again whose returned placement was withdrawn before a decision.
    pub fn withdraw(&mut self, job: JobId) {
        if let Some(digest) = self.returned.remove(&job) {
            self.set_state(digest, PromiseState::Open);
        }
    }

    /// The open promises that [`Self::take_unannounced`] has not returned yet, oldest first.
    pub fn take_unannounced(&mut self, now: Instant) -> Vec<ReturnPromise> {
        let digests = std::mem::take(&mut self.unannounced);
        let open = digests.iter().filter_map(|digest| self.export(digest, now));
        open.collect()
    }

    /// All open promises, oldest first.
    pub fn open_promises(&self, now: Instant) -> Vec<ReturnPromise> {
        let digests = self.by_age.values();
        digests
            .filter_map(|digest| self.export(digest, now))
            .collect()
    }

    /// Takes over a promise that the owner of placement made.
    pub fn import(&mut self, promise: &ReturnPromise, now: Instant) {
        self.expire(now);
        if !(promise.engine_seconds.is_finite() && promise.engine_seconds >= 0.0) {
            return;
        }
        let due_in = promise.due_in.saturating_sub(IMPORT_MARGIN);
        let held = HeldPromise {
            account: promise.account.clone(),
            class: promise.class,
            engine_seconds: promise.engine_seconds,
            promised_at: now + due_in.min(MAX_IMPORTED_TIME),
            caller_deadline_at: now + promise.caller_time_left.min(MAX_IMPORTED_TIME),
            serial: 0,
            state: PromiseState::Open,
        };
        self.insert(promise.digest, held);
    }

    /// The events since the last call.
    pub fn take_counts(&mut self) -> ReturnCounts {
        std::mem::take(&mut self.counts)
    }

    /// Ends the windows that have passed, and forgets promises whose callers have given up.
    pub fn expire(&mut self, now: Instant) {
        while let Some((at, digest)) = self.checks.first().copied()
            && at <= now
        {
            let Some(held) = self.held.get(&digest) else {
                self.checks.pop_first();
                continue;
            };
            let (state, deadline) = (held.state, held.caller_deadline_at);
            if state == PromiseState::Open {
                self.counts.expired += 1;
            }
            if state == PromiseState::Open && deadline > now {
                self.set_state(digest, PromiseState::Expired);
            } else {
                self.end(digest);
            }
        }
    }

    fn export(&self, digest: &RequestDigest, now: Instant) -> Option<ReturnPromise> {
        let held = self.held.get(digest)?;
        (held.state == PromiseState::Open).then(|| ReturnPromise {
            digest: *digest,
            account: held.account.clone(),
            class: held.class,
            engine_seconds: held.engine_seconds,
            due_in: held.promised_at.saturating_duration_since(now),
            caller_time_left: held.caller_deadline_at.saturating_duration_since(now),
        })
    }

    fn insert(&mut self, digest: RequestDigest, mut promise: HeldPromise) {
        self.end(digest);
        if self.held.len() >= MAX_PROMISES
            && let Some((_, oldest)) = self.by_age.first_key_value()
        {
            self.end(*oldest);
        }
        promise.serial = self.next_serial;
        self.next_serial += 1;
        self.by_age.insert(promise.serial, digest);
        self.checks.insert((promise.checked_at(), digest));
        self.expect(promise.class, 1, promise.engine_seconds);
        self.held.insert(digest, promise);
    }

    fn set_state(&mut self, digest: RequestDigest, state: PromiseState) {
        let Some(held) = self.held.get_mut(&digest) else {
            return;
        };
        let (class, cost) = (held.class, held.engine_seconds);
        let (was_open, is_open) = (
            held.state == PromiseState::Open,
            state == PromiseState::Open,
        );
        self.checks.remove(&(held.checked_at(), digest));
        held.state = state;
        self.checks.insert((held.checked_at(), digest));
        match (was_open, is_open) {
            (true, false) => self.expect(class, -1, -cost),
            (false, true) => self.expect(class, 1, cost),
            _ => {}
        }
    }

    fn expect(&mut self, class: ReturnClass, count: isize, engine_seconds: f64) {
        let expected = self.expected.entry(class).or_default();
        expected.0 = expected.0.saturating_add_signed(count);
        expected.1 += engine_seconds;
        // Drops what rounding leaves of the sum.
        if expected.0 == 0 {
            self.expected.remove(&class);
        }
    }
}
