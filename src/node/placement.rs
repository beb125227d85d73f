//! Asks the owner of placement which engines take a request, or decides here if no owner answers.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use tokio::sync::oneshot;
use tokio::time::{interval, sleep};

use super::crash_bans::{apply_broken, apply_served};
use super::messages::{
    JobUpdate, JobsReport, NodeCall, NodeReply, RankedAnswer, RankedPlacementRequest,
    ReturningAnswer, ReturningPlacementRequest, UpdatesReport,
};
use super::metrics::PlacementLabels;
use super::peer_calls::{PendingNodeReply, call_node};
use super::rate_limits::apply_observed;
use super::state::NodeState;
use crate::fleet::members::MemberRecord;
use crate::ids::VmName;
use crate::policy::account_shares::Account;
use crate::policy::dispatch::{
    DispatchAnswer, JobId, JobReport, PlacementRequest, RefusalReason, RequestRank, ShareState,
};
use crate::policy::return_promises::{CallerPrompt, ReturnState};
use crate::wire::client::CallError;

const ACCEPT_TIMEOUT: Duration = Duration::from_millis(100); // a round trip takes 2 ms, and a throttled VM pauses for up to 75 ms
const MAX_OWNER_SEARCH: Duration = Duration::from_millis(200); // two owners that do not answer, or many that refuse connections
const MAX_OWNERS_TRIED: usize = 8;
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
const DECISION_INTERVAL: Duration = Duration::from_millis(10); // a tenth of the shortest forward pass that matters
const MAX_UNLOGGED_LAG: Duration = Duration::from_millis(75); // a throttled VM pauses for that long
const LAG_LOG_INTERVAL: Duration = Duration::from_secs(5);
const UPDATE_BATCH_DELAY: Duration = Duration::from_millis(3); // batches the updates of a burst
const UPDATE_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_UNSENT_CRASHES: usize = 64;
const UPDATES_TIMEOUT: Duration = Duration::from_millis(300);
const REPORT_TIMEOUT: Duration = Duration::from_millis(400); // a throttled VM pauses for up to 75 ms
/// When a caller may return that found no engine to be placed on.
pub const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A job at the dispatchers, here and at the owner of placement; dropping the guard ends the job.
pub struct JobGuard {
    node: Rc<NodeState>,
    job: JobId,
}

impl JobGuard {
    /// Guards a job that has been placed already.
    pub fn new(node: Rc<NodeState>, job: JobId) -> Self {
        Self { node, job }
    }

    /// Reports that the stream's first bytes arrived, or on a resume its head, so that the prompt
    /// counts as prefilled.
    pub fn report_first_event(&self) {
        record_update(&self.node, JobUpdate::FirstEvent(self.job));
    }
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        record_update(&self.node, JobUpdate::Ended(self.job));
    }
}

/// A placement or its refusal, with the VM that decided.
#[derive(Debug)]
pub struct PlacementOutcome {
    /// The dispatcher's decision.
    pub answer: DispatchAnswer,
    /// Name of the VM whose dispatcher decided, for the log.
    pub decided_by: String,
    /// Rank of the request, if ranks count.
    pub rank: Option<i64>,
    /// Whether its account was over its share; `None` if the VM that decided did not say.
    pub share: Option<ShareState>,
    /// Whether the prompt returned after a refusal; `None` if returns do not count.
    pub returned: Option<ReturnState>,
    /// Time after which a refused prompt has precedence, if that is promised.
    pub promised_in: Option<Duration>,
}

impl PlacementOutcome {
    /// Name of the state of the prompt's return for the log.
    pub fn returned_name(&self) -> Option<&'static str> {
        self.returned.map(ReturnState::as_str)
    }

    /// Name of the share state for the log.
    pub fn share_name(&self) -> &'static str {
        self.share.map_or("unknown", ShareState::as_str)
    }
}

/// Has a request placed, and waits until its dispatcher places or refuses it.
///
/// An owner that does not answer is marked suspect, so that the next coordinator in rank becomes
/// the owner; after [`MAX_OWNER_SEARCH`] without one, this VM decides. A refused `prompt` may be
/// promised a time of return, by the owner only.
pub async fn place(
    node: &Rc<NodeState>,
    request: &PlacementRequest,
    rank: Option<RequestRank>,
    prompt: Option<CallerPrompt>,
) -> PlacementOutcome {
    let ask =
        async |owner: &MemberRecord| request_from_owner(node, owner, request, rank, prompt).await;
    let outcome = |decided_by: &VmName, decided: OwnerAnswer| PlacementOutcome {
        answer: decided.answer,
        decided_by: decided_by.to_string(),
        rank: rank.map(|rank| rank.rank),
        share: decided.share,
        returned: decided.returned,
        promised_in: decided.promised_in,
    };
    let Some((decided_by, decided)) = ask_owner(node, ask).await else {
        // The promises of a VM that decides alone would be known to no other VM.
        let prompt = prompt.filter(|_| owns_placement(node));
        let decided = place_locally(node, request.clone(), rank, prompt).await;
        return outcome(&node.settings.vm, decided.into());
    };
    if let DispatchAnswer::Placed(placement) = &decided.answer {
        let now = node.now();
        let mut dispatchers = node.dispatchers.borrow_mut();
        if let Some(dispatcher) = dispatchers.get_mut(&request.service) {
            dispatcher.record_placement(request, rank, placement, now);
        }
    }
    outcome(&decided_by, decided)
}

/// What an owner of placement answers; owners of earlier builds say less.
struct OwnerAnswer {
    answer: DispatchAnswer,
    share: Option<ShareState>,
    returned: Option<ReturnState>,
    promised_in: Option<Duration>,
}

impl From<ReturningAnswer> for OwnerAnswer {
    fn from(decided: ReturningAnswer) -> Self {
        Self {
            returned: decided.returned,
            promised_in: decided.promised_in,
            ..decided.ranked.into()
        }
    }
}

impl From<RankedAnswer> for OwnerAnswer {
    fn from(decided: RankedAnswer) -> Self {
        Self {
            share: Some(decided.share),
            ..decided.answer.into()
        }
    }
}

impl From<DispatchAnswer> for OwnerAnswer {
    fn from(answer: DispatchAnswer) -> Self {
        Self {
            answer,
            share: None,
            returned: None,
            promised_in: None,
        }
    }
}

/// Asks the owner of placement, or the coordinators after it while that one does not answer; returns
/// the answer with the VM that gave it, or `None` if this VM is to decide.
pub async fn ask_owner<T>(
    node: &Rc<NodeState>,
    ask: impl AsyncFn(&MemberRecord) -> Result<T, CallError>,
) -> Option<(VmName, T)> {
    let mut search_ends_at = node.now() + MAX_OWNER_SEARCH;
    let mut tried = 0;
    while tried < MAX_OWNERS_TRIED && node.now() < search_ends_at {
        let owner = {
            let members = node.members.borrow();
            members.coordinators(node.now()).into_iter().next()
        };
        let Some(owner) = owner else { break };
        if owner.vm == node.settings.vm {
            break;
        }
        tried += 1;
        let asked_at = node.now();
        match ask(&owner).await {
            Ok(answer) => return Some((owner.vm, answer)),
            Err(error) => {
                // An owner that took the call was lost while the request waited there.
                if node.now().saturating_duration_since(asked_at) > MAX_OWNER_SEARCH {
                    search_ends_at = node.now() + MAX_OWNER_SEARCH;
                }
                tracing::info!(owner = %owner.vm, %error, "owner of placement passed over");
                node.metrics.count_failure("placement_owner");
                node.members
                    .borrow_mut()
                    .mark_suspect(&owner.vm, node.now());
            }
        }
    }
    if tried > 0 {
        node.metrics.placed_alone.inc();
    }
    None
}

async fn request_from_owner(
    node: &Rc<NodeState>,
    owner: &MemberRecord,
    request: &PlacementRequest,
    rank: Option<RequestRank>,
    prompt: Option<CallerPrompt>,
) -> Result<OwnerAnswer, CallError> {
    let pending = match prompt.filter(|_| !is_noted(&node.unpromising_owner, owner)) {
        Some(prompt) => send_returning(node, owner, request, rank, prompt).await?,
        None => send_known(node, owner, request, rank).await?,
    };
    let owner_lost = async {
        let mut checks = interval(OWNER_CHECK_INTERVAL);
        loop {
            checks.tick().await;
            let now = node.now();
            let members = node.members.borrow();
            let stays = members.live(now).iter().any(|member| {
                member.vm == owner.vm && member.incarnation == owner.incarnation && !member.leaving
            });
            if !stays || members.is_suspect(&owner.vm, now) {
                return;
            }
        }
    };
    tokio::select! {
        reply = pending.read() => match reply? {
            NodeReply::Placed(answer) => Ok(answer.into()),
            NodeReply::PlacedRanked(decided) => Ok(decided.into()),
            NodeReply::PlacedReturning(decided) => Ok(decided.into()),
            _ => Err(CallError::Status(http::StatusCode::BAD_GATEWAY)),
        },
        // A lost, leaving or suspect owner is reported as a timeout, however long the call took.
        () = owner_lost => Err(CallError::Timeout(OWNER_CHECK_INTERVAL)),
    }
}

/// Sends a request with what its prompt is recognised by, or without if the owner runs a build that does
/// not know returning prompts.
async fn send_returning(
    node: &Rc<NodeState>,
    owner: &MemberRecord,
    request: &PlacementRequest,
    rank: Option<RequestRank>,
    prompt: CallerPrompt,
) -> Result<PendingNodeReply, CallError> {
    let call = NodeCall::PlaceReturning(ReturningPlacementRequest {
        request: request.clone(),
        rank,
        prompt,
    });
    match call_node(node, owner.peer_address, &call, ACCEPT_TIMEOUT).await {
        Err(CallError::Status(http::StatusCode::BAD_REQUEST)) => {
            if !is_noted(&node.unpromising_owner, owner) {
                tracing::info!(owner = %owner.vm, "owner of placement does not know returning prompts");
            }
            note_owner(&node.unpromising_owner, owner);
            send_known(node, owner, request, rank).await
        }
        sent => sent,
    }
}

/// Sends a request with its rank if the owner knows ranks.
async fn send_known(
    node: &Rc<NodeState>,
    owner: &MemberRecord,
    request: &PlacementRequest,
    rank: Option<RequestRank>,
) -> Result<PendingNodeReply, CallError> {
    match rank.filter(|_| !is_noted(&node.unranked_owner, owner)) {
        Some(rank) => send_ranked(node, owner, request, rank).await,
        None => send_unranked(node, owner, request).await,
    }
}

async fn send_unranked(
    node: &Rc<NodeState>,
    owner: &MemberRecord,
    request: &PlacementRequest,
) -> Result<PendingNodeReply, CallError> {
    let call = NodeCall::Place(request.clone());
    call_node(node, owner.peer_address, &call, ACCEPT_TIMEOUT).await
}

/// Sends a request with its rank, or without if the owner runs a build that does not know ranks.
async fn send_ranked(
    node: &Rc<NodeState>,
    owner: &MemberRecord,
    request: &PlacementRequest,
    rank: RequestRank,
) -> Result<PendingNodeReply, CallError> {
    let call = NodeCall::PlaceRanked(RankedPlacementRequest {
        request: request.clone(),
        rank,
    });
    match call_node(node, owner.peer_address, &call, ACCEPT_TIMEOUT).await {
        Err(CallError::Status(http::StatusCode::BAD_REQUEST)) => {
            if !is_noted(&node.unranked_owner, owner) {
                tracing::info!(owner = %owner.vm, "owner of placement does not know ranks");
            }
            note_owner(&node.unranked_owner, owner);
            send_unranked(node, owner, request).await
        }
        sent => sent,
    }
}

type NotedOwner = RefCell<Option<(VmName, u64)>>;

fn note_owner(noted: &NotedOwner, owner: &MemberRecord) {
    *noted.borrow_mut() = Some((owner.vm.clone(), owner.incarnation));
}

fn is_noted(noted: &NotedOwner, owner: &MemberRecord) -> bool {
    let noted = noted.borrow();
    noted
        .as_ref()
        .is_some_and(|(vm, incarnation)| *vm == owner.vm && *incarnation == owner.incarnation)
}

/// Places a request with this node's dispatcher, as the owner or because no owner answers.
pub async fn place_locally(
    node: &Rc<NodeState>,
    request: PlacementRequest,
    rank: Option<RequestRank>,
    prompt: Option<CallerPrompt>,
) -> ReturningAnswer {
    let (job, now) = (request.job, node.now());
    let (sender, receiver) = oneshot::channel();
    let is_first = {
        let mut dispatchers = node.dispatchers.borrow_mut();
        let Some(dispatcher) = dispatchers.get_mut(&request.service) else {
            return no_target();
        };
        let is_first = dispatcher.waiting_count() == 0;
        let queued = match prompt {
            Some(prompt) => dispatcher.enqueue_returning(request, rank, prompt, now),
            None => {
                dispatcher.enqueue_ranked(request, rank, now);
                Ok(())
            }
        };
        if let Err(time_left) = queued {
            return refuse_early(time_left);
        }
        is_first
    };
    node.placement_waiters.borrow_mut().insert(job, sender);
    let mut queued_job = QueuedJobGuard {
        node: node.clone(),
        job,
        decided: false,
    };
    if is_first {
        decide_waiting_jobs(node);
    } else {
        request_decisions(node);
    }
    let decided = receiver.await.unwrap_or_else(|_| no_target());
    queued_job.decided = true;
    decided
}

/// The answer to requests for a service without engines.
pub fn no_target() -> ReturningAnswer {
    let answer = DispatchAnswer::Refused {
        reason: RefusalReason::NoTarget,
        retry_after: NO_TARGET_RETRY_AFTER,
    };
    ReturningAnswer {
        ranked: RankedAnswer {
            answer,
            share: ShareState::NotCounted,
        },
        returned: None,
        promised_in: None,
    }
}

/// The answer to a prompt that returns before the time that it was promised.
fn refuse_early(time_left: Duration) -> ReturningAnswer {
    let answer = DispatchAnswer::Refused {
        reason: RefusalReason::Overload,
        retry_after: time_left,
    };
    ReturningAnswer {
        ranked: RankedAnswer {
            answer,
            share: ShareState::NotCounted,
        },
        returned: Some(ReturnState::Early),
        promised_in: Some(time_left),
    }
}

/// Share that this node may use of the limits on requests to targets that started recently or that
/// named a rate limit: all of it as the owner of placement, an equal part among the live VMs
/// otherwise, since each of them may be deciding alone.
pub fn limit_share(node: &NodeState) -> f64 {
    if owns_placement(node) {
        return 1.0;
    }
    1.0 / node.members.borrow().live(node.now()).len().max(1) as f64
}

/// Whether this node is the owner of placement.
pub fn owns_placement(node: &NodeState) -> bool {
    let members = node.members.borrow();
    let owner = members.coordinators(node.now()).into_iter().next();
    owner.is_some_and(|owner| owner.vm == node.settings.vm)
}

/// Takes a job out of the queue if its caller stops waiting before a decision.
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

/// Decides on waiting jobs now, or soon if that was done within the last
/// [`MIN_DECISION_GAP`](crate::policy::decision_schedule::MIN_DECISION_GAP).
pub fn request_decisions(node: &Rc<NodeState>) {
    let wait = node.decision_schedule.borrow_mut().request(node.now());
    match wait {
        Some(Duration::ZERO) => decide_waiting_jobs(node),
        Some(wait) => {
            let node = node.clone();
            actix_rt::spawn(async move {
                sleep(wait).await;
                let is_due = node.decision_schedule.borrow().is_due(node.now());
                if is_due {
                    decide_waiting_jobs(&node);
                }
            });
        }
        None => {}
    }
}

/// Decides on the jobs in this node's queues that can be decided now, and ends those whose caller
/// no longer waits.
pub fn decide_waiting_jobs(node: &Rc<NodeState>) {
    let now = node.now();
    node.decision_schedule.borrow_mut().record_call(now);
    let mut decisions = Vec::new();
    let mut waiting_jobs = 0;
    let limit_share = limit_share(node);
    for (service, dispatcher) in node.dispatchers.borrow_mut().iter_mut() {
        if dispatcher.waiting_count() > 0 {
            dispatcher.set_limit_share(limit_share);
            decisions.extend(dispatcher.decide_ranked(now));
            waiting_jobs += dispatcher.waiting_count();
            if let Some(over) = dispatcher.take_share_change() {
                let name = |account: &Account| {
                    let name = account.as_ref().map(|account| account.as_str());
                    name.unwrap_or("(none)").to_owned()
                };
                let names: Vec<String> = over.iter().map(name).collect();
                let names = names.join(" ");
                tracing::info!(
                    service,
                    accounts = names,
                    "accounts over their share changed"
                );
            }
        }
    }
    node.metrics.waiting.set(waiting_jobs as i64);
    let time = node.now().saturating_duration_since(now);
    node.metrics.decide_seconds.inc_by(time.as_secs_f64());
    node.metrics.decide_calls.inc();
    node.metrics.decisions.inc_by(decisions.len() as u64);
    for ranked in decisions {
        node.metrics.count_placement(&PlacementLabels::of(&ranked));
        let decision = ranked.decision;
        let waiter = node.placement_waiters.borrow_mut().remove(&decision.job);
        let decided = ReturningAnswer {
            ranked: RankedAnswer {
                answer: decision.answer,
                share: ranked.share,
            },
            returned: ranked.returned,
            promised_in: ranked.promised_in,
        };
        let delivered = waiter.is_some_and(|waiter| waiter.send(decided).is_ok());
        if !delivered {
            end_job(node, decision.job);
        }
    }
}

fn end_job(node: &Rc<NodeState>, job: JobId) {
    for dispatcher in node.dispatchers.borrow_mut().values_mut() {
        dispatcher.end_job(job);
    }
}

/// Applies an update to this node's dispatchers, and queues it for the owner of placement.
pub fn record_update(node: &Rc<NodeState>, update: JobUpdate) {
    apply_update(node, &update, &node.settings.vm);
    node.pending_updates.borrow_mut().push(update);
    node.updates_ready.notify_one();
}

/// Applies an update of `vm` to this node's dispatchers and to its records of target failures.
pub fn apply_update(node: &Rc<NodeState>, update: &JobUpdate, vm: &VmName) {
    match update {
        JobUpdate::FirstEvent(job) => {
            for dispatcher in node.dispatchers.borrow_mut().values_mut() {
                dispatcher.record_first_event(*job, node.now());
            }
        }
        JobUpdate::Ended(job) => end_job(node, *job),
        JobUpdate::TargetLeaving { target, started_ms } => {
            node.apply_target_leaving(target, *started_ms, "peer");
        }
        JobUpdate::RequestServed {
            request,
            parts,
            target,
        } => apply_served(node, *request, parts, target),
        JobUpdate::RequestBroken {
            request,
            parts,
            target,
        } => apply_broken(node, *request, parts, target),
        JobUpdate::RateLimitChanged(limit) => apply_observed(node, limit),
        JobUpdate::TargetFailed { target, refused } => {
            node.record_peer_reported_failure(target, *refused, vm);
        }
    }
}

/// Decides on waiting jobs at an interval, since decisions also depend on time.
pub async fn decide_loop(node: Rc<NodeState>) {
    let mut logged_at: Option<Instant> = None;
    loop {
        let due_at = node.now() + DECISION_INTERVAL;
        sleep(DECISION_INTERVAL).await;
        // Prompts that have arrived wait for the event loop as long as this task does.
        let now = node.now();
        let lag = now.saturating_duration_since(due_at);
        let waiting = node.metrics.waiting.get();
        node.metrics.decision_lag_seconds.observe(lag.as_secs_f64());
        let may_log =
            logged_at.is_none_or(|at| now.saturating_duration_since(at) >= LAG_LOG_INTERVAL);
        if lag > MAX_UNLOGGED_LAG && waiting > 0 && may_log {
            logged_at = Some(now);
            tracing::warn!(
                lag_ms = lag.as_millis() as u64,
                waiting,
                decisions = node.metrics.decisions.get(),
                decide_calls = node.metrics.decide_calls.get(),
                decide_seconds = node.metrics.decide_seconds.get(),
                "placement decisions lag behind"
            );
        }
        let any_waiting = node
            .dispatchers
            .borrow()
            .values()
            .any(|dispatcher| dispatcher.waiting_count() > 0);
        if any_waiting {
            request_decisions(&node);
        }
    }
}

/// Sends pending updates to the owner of placement, in batches. The owner itself, which has
/// applied them already, decides on its waiting jobs again.
pub async fn send_updates_loop(node: Rc<NodeState>) {
    // Reports of crashes are sent again: a request is banned after three.
    let mut unsent_crashes: Vec<JobUpdate> = Vec::new();
    loop {
        if unsent_crashes.is_empty() {
            node.updates_ready.notified().await;
            sleep(UPDATE_BATCH_DELAY).await;
        } else {
            sleep(UPDATE_RETRY_DELAY).await;
        }
        let updates = std::mem::take(&mut *node.pending_updates.borrow_mut());
        let owner = {
            let members = node.members.borrow();
            members.coordinators(node.now()).into_iter().next()
        };
        let Some(owner) = owner.filter(|owner| owner.vm != node.settings.vm) else {
            for update in unsent_crashes.drain(..) {
                apply_update(&node, &update, &node.settings.vm);
            }
            request_decisions(&node);
            continue;
        };
        let mut sent_updates = std::mem::take(&mut unsent_crashes);
        sent_updates.extend(updates);
        let call = NodeCall::Updates(UpdatesReport {
            vm: node.settings.vm.clone(),
            updates: sent_updates,
        });
        // The next report of jobs makes up for other lost updates, and heartbeats for rate limits.
        let sent = call_node(&node, owner.peer_address, &call, UPDATES_TIMEOUT).await;
        if let (Err(error), NodeCall::Updates(report)) = (sent, call) {
            tracing::debug!(owner = %owner.vm, %error, "events not taken");
            node.metrics.count_failure("placement_owner");
            let crashes = report
                .updates
                .into_iter()
                .filter(|update| matches!(update, JobUpdate::RequestBroken { .. }));
            unsent_crashes = crashes.take(MAX_UNSENT_CRASHES).collect();
        }
    }
}

/// Reports this node's jobs to the owner of placement and its successor, which so knows what runs
/// when it takes over. A node without jobs reports that once.
pub async fn report_jobs_loop(node: Rc<NodeState>) {
    let mut reported_any = false;
    loop {
        let interval = node.members.borrow().report_interval();
        sleep(interval.mul_f64(rand::random_range(0.8..1.2))).await;
        let now = node.now();
        let jobs: Vec<JobReport> = node
            .dispatchers
            .borrow()
            .values()
            .flat_map(|dispatcher| dispatcher.reports_of(&node.settings.vm, now))
            .collect();
        if jobs.is_empty() && !reported_any {
            continue;
        }
        reported_any = !jobs.is_empty();
        let coordinators = node.members.borrow().job_report_recipients(now);
        let call = NodeCall::ReportJobs(JobsReport {
            vm: node.settings.vm.clone(),
            jobs,
        });
        join_all(
            coordinators
                .iter()
                .map(|coordinator| report_jobs(&node, coordinator, &call)),
        )
        .await;
    }
}

async fn report_jobs(node: &Rc<NodeState>, coordinator: &MemberRecord, call: &NodeCall) {
    let sent = call_node(node, coordinator.peer_address, call, REPORT_TIMEOUT).await;
    if let Err(error) = sent {
        tracing::info!(peer = %coordinator.vm, %error, "coordinator did not answer");
        node.metrics.count_failure("coordinator");
        node.members
            .borrow_mut()
            .mark_suspect(&coordinator.vm, node.now());
    }
}
