//! Records on their way into the log, sent again until they are read back.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::ids::RecordId;
use crate::view::Verdict;
use crate::view::record::{ClaimEvent, LogRecord, RecordBody};

const RESEND_AFTER: Duration = Duration::from_millis(1500);
const ANSWER_WITHIN: Duration = Duration::from_secs(4);
const KEEP_TRYING: Duration = Duration::from_secs(600);

/// Whether a record has been read back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteState {
    /// Read back, and it took effect.
    Accepted,
    /// Read back without effect.
    Ignored,
    /// Not read back yet; it may still come.
    Unknown,
}

#[derive(Debug)]
struct PendingRecord {
    record: LogRecord,
    first_sent: Instant,
    last_sent: Instant,
    waiters: Vec<oneshot::Sender<WriteState>>,
}

/// Records that have not been read back, and claim steps not yet sent.
#[derive(Debug, Default)]
pub struct LogWriter {
    pending: BTreeMap<RecordId, PendingRecord>,
    claims: Vec<ClaimEvent>,
    claim_waiters: Vec<oneshot::Sender<WriteState>>,
}

impl LogWriter {
    /// Starts to write a record; the caller sends what is returned.
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

    /// Adds claim steps to the next batch.
    pub fn add_claims(&mut self, items: Vec<ClaimEvent>, waiter: oneshot::Sender<WriteState>) {
        self.claims.extend(items);
        self.claim_waiters.push(waiter);
    }

    /// Makes one record of the claim steps that have gathered.
    pub fn flush_claims(&mut self, now: Instant) -> Option<LogRecord> {
        if self.claims.is_empty() {
            return None;
        }
        let items = std::mem::take(&mut self.claims);
        let waiters = std::mem::take(&mut self.claim_waiters);
        Some(self.start(RecordBody::Claims { items }, waiters, now))
    }

    /// Notes that a record was read back.
    pub fn read_back(&mut self, id: RecordId, verdict: &Verdict) {
        let Some(done) = self.pending.remove(&id) else {
            return;
        };
        let state = if *verdict == Verdict::Accepted {
            WriteState::Accepted
        } else {
            WriteState::Ignored
        };
        for waiter in done.waiters {
            waiter.send(state).ok();
        }
    }

    /// Records to send again; waiters that waited too long are told so.
    pub fn due(&mut self, now: Instant) -> Vec<LogRecord> {
        self.pending
            .retain(|_, pending| now.duration_since(pending.first_sent) < KEEP_TRYING);
        let mut resend = Vec::new();
        for pending in self.pending.values_mut() {
            if now.duration_since(pending.first_sent) > ANSWER_WITHIN {
                for waiter in pending.waiters.drain(..) {
                    waiter.send(WriteState::Unknown).ok();
                }
            }
            if now.duration_since(pending.last_sent) > RESEND_AFTER {
                pending.last_sent = now;
                resend.push(pending.record.clone());
            }
        }
        resend
    }

    /// Whether a record of this kind is still under way.
    pub fn has_pending(&self, matches: impl Fn(&RecordBody) -> bool) -> bool {
        let mut bodies = self.pending.values().map(|pending| &pending.record.body);
        bodies.any(matches)
    }
}
