//! Tracks appended records, and resends them until they are read back from the log or
//! [`GIVE_UP_AFTER`] has passed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::ids::RecordId;
use crate::view::FoldOutcome;
use crate::view::record::{ClaimEvent, LogRecord, RecordBody};

const RESEND_INTERVAL: Duration = Duration::from_millis(1500);
const WAITER_TIMEOUT: Duration = Duration::from_secs(4);
const GIVE_UP_AFTER: Duration = Duration::from_secs(600);

/// State of a record that was appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteState {
    /// Read back from the log and folded as [`FoldOutcome::Accepted`], as claims always are.
    Accepted,
    /// Read back from the log, with any other outcome: it changed nothing.
    Ignored,
    /// Not read back yet; it may still be appended.
    Unknown,
}

#[derive(Debug)]
struct PendingRecord {
    record: LogRecord,
    first_sent: Instant,
    last_sent: Instant,
    waiters: Vec<oneshot::Sender<WriteState>>,
}

/// Records that have not been read back, and claim events that are not sent yet.
#[derive(Debug, Default)]
pub struct LogWriter {
    pending: BTreeMap<RecordId, PendingRecord>,
    queued_claims: Vec<ClaimEvent>,
    claim_waiters: Vec<oneshot::Sender<WriteState>>,
}

impl LogWriter {
    /// Starts to track a new record, and returns it for the caller to send.
    pub fn start(
        &mut self,
        body: RecordBody,
        waiters: Vec<oneshot::Sender<WriteState>>,
        now: Instant,
    ) -> LogRecord {
        let record = LogRecord::new(body);
        let pending = PendingRecord {
            record: record.clone(),
            first_sent: now,
            last_sent: now,
            waiters,
        };
        self.pending.insert(record.id, pending);
        record
    }

    /// Queues claim events for the next batch.
    pub fn add_claims(&mut self, events: Vec<ClaimEvent>, waiter: oneshot::Sender<WriteState>) {
        self.queued_claims.extend(events);
        self.claim_waiters.push(waiter);
    }

    /// Starts one record with all queued claim events; `None` if there are none.
    pub fn flush_claims(&mut self, now: Instant) -> Option<LogRecord> {
        if self.queued_claims.is_empty() {
            return None;
        }
        let items = std::mem::take(&mut self.queued_claims);
        let waiters = std::mem::take(&mut self.claim_waiters);
        Some(self.start(RecordBody::Claims { items }, waiters, now))
    }

    /// Records that a record was read back, and notifies its waiters.
    pub fn confirm(&mut self, id: RecordId, outcome: &FoldOutcome) {
        let Some(confirmed) = self.pending.remove(&id) else {
            return;
        };
        let state = if *outcome == FoldOutcome::Accepted {
            WriteState::Accepted
        } else {
            WriteState::Ignored
        };
        for waiter in confirmed.waiters {
            waiter.send(state).ok();
        }
    }

    /// Records to send again. Waiters get [`WriteState::Unknown`] after [`WAITER_TIMEOUT`].
    pub fn due_for_resend(&mut self, now: Instant) -> Vec<LogRecord> {
        self.pending
            .retain(|_, pending| now.duration_since(pending.first_sent) < GIVE_UP_AFTER);
        let mut resend = Vec::new();
        for pending in self.pending.values_mut() {
            if now.duration_since(pending.first_sent) > WAITER_TIMEOUT {
                for waiter in pending.waiters.drain(..) {
                    waiter.send(WriteState::Unknown).ok();
                }
            }
            if now.duration_since(pending.last_sent) > RESEND_INTERVAL {
                pending.last_sent = now;
                resend.push(pending.record.clone());
            }
        }
        resend
    }

    /// Whether a record with a matching body has not been read back yet.
    pub fn has_pending(&self, matches: impl Fn(&RecordBody) -> bool) -> bool {
        let mut bodies = self.pending.values().map(|pending| &pending.record.body);
        bodies.any(matches)
    }
}
