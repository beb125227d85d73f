//! Asks the owner of placement where a request goes, or decides alone when none answers.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{interval, sleep};

use super::messages::{JobEvent, NodeCall, NodeReply};
use super::state::NodeState;
use crate::fleet::members::MemberRecord;
use crate::policy::dispatch::{DispatchAnswer, JobId, PlacementAsk, RefusalReason};
use crate::wire::client::CallError;

const ACCEPT_TIMEOUT: Duration = Duration::from_millis(100); // a round trip is 2 ms, a throttled VM pauses for up to 75
const MAX_OWNERS_TRIED: usize = 2;
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
const DECISION_INTERVAL: Duration = Duration::from_millis(10); // a tenth of the shortest pass that matters
const EVENT_BATCH_DELAY: Duration = Duration::from_millis(3); // gathers the events of a burst
const EVENTS_TIMEOUT: Duration = Duration::from_millis(300);
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request's claim at the dispatchers; dropping it ends the claim.
pub struct JobGuard {
    node: Rc<NodeState>,
    job: JobId,
}

impl JobGuard {
    /// A guard for `job`.
    pub fn new(node: Rc<NodeState>, job: JobId) -> Self {
        Self { node, job }
    }

    /// Tells that the request's prompt is read.
    pub fn first_event(&self) {
        record_event(&self.node, JobEvent::FirstEvent(self.job));
    }
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        record_event(&self.node, JobEvent::Ended(self.job));
    }
}

/// Where a request goes, and who decided.
#[derive(Debug)]
pub struct PlacementOutcome {
    /// The answer.
    pub answer: DispatchAnswer,
    /// The VM that decided.
    pub decided_by: String,
}

/// Finds out where a request goes; waits for as long as it takes.
pub async fn place(node: &Rc<NodeState>, ask: &PlacementAsk) -> PlacementOutcome {
    let mut tried = 0;
    while tried < MAX_OWNERS_TRIED {
        let owner = {
            let members = node.members.borrow();
            members.coordinators(node.now()).into_iter().next()
        };
        let Some(owner) = owner else { break };
        if owner.vm == node.settings.vm {
            break;
        }
        tried += 1;
        match request_from_owner(node, &owner, ask).await {
            Ok(answer) => {
                if let DispatchAnswer::Placed(placement) = &answer {
                    let now = node.now();
                    let mut dispatchers = node.dispatchers.borrow_mut();
                    if let Some(dispatcher) = dispatchers.get_mut(&ask.service) {
                        dispatcher.adopt(ask, placement, now);
                    }
                }
                return PlacementOutcome {
                    answer,
                    decided_by: owner.vm.to_string(),
                };
            }
            Err(error) => {
                tracing::info!(owner = %owner.vm, job = ask.job.0, %error, "owner of placement passed over");
                node.metrics.count_failure("placement_owner");
                node.members.borrow_mut().suspect(&owner.vm, node.now());
            }
        }
    }
    if tried > 0 {
        node.metrics.placed_alone.inc();
    }
    PlacementOutcome {
        answer: place_locally(node, ask.clone()).await,
        decided_by: node.settings.vm.to_string(),
    }
}

async fn request_from_owner(
    node: &Rc<NodeState>,
    owner: &MemberRecord,
    ask: &PlacementAsk,
) -> Result<DispatchAnswer, CallError> {
    let peer = node.peer_client(owner.peers);
    let call = NodeCall::Place(ask.clone());
    let pending = peer.start(&call, ACCEPT_TIMEOUT).await?;
    let owner_lost = async {
        let mut checks = interval(OWNER_CHECK_INTERVAL);
        loop {
            checks.tick().await;
            let now = node.now();
            let members = node.members.borrow();
            let alive = members
                .live(now)
                .iter()
                .any(|member| member.vm == owner.vm && member.incarnation == owner.incarnation);
            if !alive || members.is_suspect(&owner.vm, now) {
                return;
            }
        }
    };
    tokio::select! {
        reply = pending.read::<NodeReply>() => match reply? {
            NodeReply::Placed(answer) => Ok(answer),
            _ => Err(CallError::Status(http::StatusCode::BAD_GATEWAY)),
        },
        () = owner_lost => Err(CallError::Timeout(OWNER_CHECK_INTERVAL)),
    }
}

/// Decides here, as the owner or for want of one.
pub async fn place_locally(node: &Rc<NodeState>, ask: PlacementAsk) -> DispatchAnswer {
    let (job, now) = (ask.job, node.now());
    let (sender, receiver) = oneshot::channel();
    {
        let mut dispatchers = node.dispatchers.borrow_mut();
        let Some(dispatcher) = dispatchers.get_mut(&ask.service) else {
            return DispatchAnswer::Refused {
                reason: RefusalReason::NoTarget,
                retry_after: NO_CONFIG_RETRY_AFTER,
            };
        };
        dispatcher.set_share(cold_limit_share(node));
        dispatcher.enqueue(ask, now);
    }
    node.placement_waiters.borrow_mut().insert(job, sender);
    let mut waiting = QueuedJobGuard {
        node: node.clone(),
        job,
        decided: false,
    };
    decide(node);
    let answer = receiver.await.unwrap_or(DispatchAnswer::Refused {
        reason: RefusalReason::NoTarget,
        retry_after: NO_CONFIG_RETRY_AFTER,
    });
    waiting.decided = true;
    answer
}

/// The share of targets' cold limits that this node may use: all as the owner of placement,
/// an even part when it decides alone.
fn cold_limit_share(node: &NodeState) -> f64 {
    let members = node.members.borrow();
    let now = node.now();
    let owner = members.coordinators(now).into_iter().next();
    if owner.is_some_and(|owner| owner.vm == node.settings.vm) {
        return 1.0;
    }
    1.0 / members.live(now).len().max(1) as f64
}

/// Takes a request out of the queue when whoever asked has gone.
struct QueuedJobGuard {
    node: Rc<NodeState>,
    job: JobId,
    decided: bool,
}

impl Drop for QueuedJobGuard {
    fn drop(&mut self) {
        if !self.decided {
            self.node.placement_waiters.borrow_mut().remove(&self.job);
            end_job(&self.node, self.job);
        }
    }
}

/// Decides on all requests that wait here.
pub fn decide(node: &Rc<NodeState>) {
    let now = node.now();
    let mut decisions = Vec::new();
    let mut waiting = 0;
    for dispatcher in node.dispatchers.borrow_mut().values_mut() {
        if dispatcher.waiting() > 0 {
            decisions.extend(dispatcher.decide(now));
            waiting += dispatcher.waiting();
        }
    }
    node.metrics.waiting.set(waiting as i64);
    for decision in decisions {
        let waiter = node.placement_waiters.borrow_mut().remove(&decision.job);
        let delivered = waiter.is_some_and(|waiter| waiter.send(decision.answer).is_ok());
        if !delivered {
            end_job(node, decision.job);
        }
    }
}

fn end_job(node: &Rc<NodeState>, job: JobId) {
    for dispatcher in node.dispatchers.borrow_mut().values_mut() {
        dispatcher.end(job);
    }
}

/// Applies what became of a request here, and queues it for the owner of placement.
pub fn record_event(node: &Rc<NodeState>, event: JobEvent) {
    apply_event(node, &event);
    node.pending_events.borrow_mut().push(event);
    node.events_ready.notify_one();
}

/// Applies what became of a request.
pub fn apply_event(node: &Rc<NodeState>, event: &JobEvent) {
    match event {
        JobEvent::FirstEvent(job) => {
            for dispatcher in node.dispatchers.borrow_mut().values_mut() {
                dispatcher.first_event(*job, node.now());
            }
        }
        JobEvent::Ended(job) => end_job(node, *job),
        JobEvent::TargetFailed { target, refused } => {
            node.record_peer_reported_failure(target, *refused);
        }
    }
}

/// Decides on waiting requests as time passes.
pub async fn decide_loop(node: Rc<NodeState>) {
    loop {
        sleep(DECISION_INTERVAL).await;
        let waits = node
            .dispatchers
            .borrow()
            .values()
            .any(|dispatcher| dispatcher.waiting() > 0);
        if waits {
            decide(&node);
        }
    }
}

/// Sends events to the owner of placement.
pub async fn send_events_loop(node: Rc<NodeState>) {
    loop {
        node.events_ready.notified().await;
        sleep(EVENT_BATCH_DELAY).await;
        let events = std::mem::take(&mut *node.pending_events.borrow_mut());
        let owner = {
            let members = node.members.borrow();
            members.coordinators(node.now()).into_iter().next()
        };
        let Some(owner) = owner.filter(|owner| owner.vm != node.settings.vm) else {
            decide(&node);
            continue;
        };
        let peer = node.peer_client(owner.peers);
        // Lost events are made good by the next heartbeat's report.
        let sent = peer.start(&NodeCall::Events(events), EVENTS_TIMEOUT).await;
        if let Err(error) = sent {
            tracing::debug!(owner = %owner.vm, %error, "events not taken");
            node.metrics.count_failure("placement_owner");
        }
    }
}
