//! How requests end while this node stops: each is served if that ends in time, and else answered
//! before the process exits.

use std::future::pending;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use tokio::sync::watch;
use tokio::time::sleep;

use super::attempt::CallerRequest;
use super::service::NodeResponse;
use super::state::NodeState;

const OTHER_VM_RETRY_AFTER: Duration = Duration::from_millis(50); // another VM serves the request at once
const RESTART_TIME: Duration = Duration::from_secs(1); // from the end of a process to the next one's readiness
const SERVABLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
const BUSY_ENGINE_FACTOR: u32 = 2; // an engine full of other prompts takes about twice as long as an idle one

/// The time by which a stopping node has answered all requests; unset until it is told to stop.
#[derive(Debug)]
pub struct StopState {
    answer_by: watch::Sender<Option<Instant>>,
}

impl Default for StopState {
    fn default() -> Self {
        Self {
            answer_by: watch::Sender::new(None),
        }
    }
}

impl StopState {
    /// Begins the stop of a node that is to answer all requests by `answer_by`.
    pub fn begin(&self, answer_by: Instant) {
        self.answer_by.send_replace(Some(answer_by));
    }

    /// Whether the node stops.
    pub fn has_begun(&self) -> bool {
        self.answer_by.borrow().is_some()
    }

    /// Returns a watch of the time by which requests must be answered.
    pub fn subscribe(&self) -> StopWatch {
        StopWatch(self.answer_by.subscribe())
    }
}

/// A request's view of the stop of its node.
#[derive(Debug)]
pub struct StopWatch(watch::Receiver<Option<Instant>>);

impl StopWatch {
    /// The time by which requests must be answered, if the node stops.
    pub fn answer_by(&self) -> Option<Instant> {
        *self.0.borrow()
    }

    /// Waits until the stop begins; for ever if it has begun already.
    pub async fn begins(&self) {
        let mut answer_by = self.0.clone();
        if answer_by.borrow().is_some() || answer_by.wait_for(Option::is_some).await.is_err() {
            pending::<()>().await;
        }
    }
}

/// Waits until the response to `caller` is due: at its deadline, or sooner if this node stops.
pub async fn wait_until_due(node: &NodeState, caller: &CallerRequest) {
    loop {
        let left = caller.time_left(node.now());
        if left.is_zero() {
            return;
        }
        tokio::select! {
            () = sleep(left) => {}
            () = caller.stop.begins() => {}
        }
    }
}

/// Waits until this node stops and all responses are due.
pub async fn wait_until_all_due(node: &NodeState) {
    let stop = node.stop.subscribe();
    loop {
        match stop.answer_by() {
            Some(at) if at <= node.now() => return,
            Some(at) => sleep(at.saturating_duration_since(node.now())).await,
            None => stop.begins().await,
        }
    }
}

/// Waits until this node, which stops, lacks the time to serve `caller`'s request; for ever if that was
/// sent by then, since its response is awaited.
pub async fn wait_until_unservable(node: &NodeState, caller: &CallerRequest) {
    if caller.stop.answer_by().is_none() {
        caller.stop.begins().await;
    }
    while !lacks_time(node, caller, node.now()) {
        sleep(SERVABLE_CHECK_INTERVAL).await;
    }
    if caller.possible_runs.get() > 0 {
        pending::<()>().await;
    }
}

/// Response to a request that is due without an answer of a target.
pub fn overdue_response(node: &NodeState, caller: &CallerRequest) -> NodeResponse {
    if caller.deadline_at <= node.now() {
        return NodeResponse::timed_out("no answer in the request's time");
    }
    if caller.may_have_run() {
        return NodeResponse::unknown("this VM stops before a target has answered");
    }
    refuse_for_stop(node, caller.parsed_headers.carried_runs.is_some())
}

/// Refuses a request that has not run, because this node stops.
///
/// The caller may return at once if another VM takes requests, else when this one may be back. A
/// VM for which this one carries the request gets status 421 instead, and sends it to another one.
pub fn refuse_for_stop(node: &NodeState, is_carried: bool) -> NodeResponse {
    let now = node.now();
    let reason = "this VM stops before it can serve the request";
    if is_carried {
        return NodeResponse {
            status: StatusCode::MISDIRECTED_REQUEST,
            retry_after: None,
            keeps_retry_time: false,
            outcome: "stopping",
            reason: reason.to_owned(),
        };
    }
    let retry_after = if is_other_vm_ready(node) {
        OTHER_VM_RETRY_AFTER
    } else {
        let answer_by = node.stop.subscribe().answer_by().unwrap_or(now);
        answer_by.saturating_duration_since(now) + RESTART_TIME
    };
    NodeResponse::not_run("stopping", reason, retry_after)
}

/// Whether a stopping node has too little time left to serve `caller`'s request from now on: less than
/// the request usually takes or, if it may run only once and another VM can serve it, than it may take.
pub fn lacks_time(node: &NodeState, caller: &CallerRequest, now: Instant) -> bool {
    let Some(answer_by) = caller.stop.answer_by() else {
        return false;
    };
    let needed = match engine_times(node, caller) {
        Some(times) => (times.prefill + times.decode) * BUSY_ENGINE_FACTOR,
        None => caller.route.objective,
    };
    let needed = if caller.route.rerun_policy.allows_rerun() || !is_other_vm_ready(node) {
        needed
    } else {
        // It cannot be sent again if its target needs longer.
        needed.max(caller.deadline_left(now))
    };
    now + needed > answer_by
}

/// Whether a caller that is refused here has another VM to go to.
pub fn is_other_vm_ready(node: &NodeState) -> bool {
    let members = node.members.borrow();
    !members.caller_addresses(node.now()).is_empty()
}

/// Time left at `now` for the first event of `caller`'s stream, if this node stops: the rest of the
/// stream must follow before the node's process ends.
pub fn first_event_time_left(
    node: &NodeState,
    caller: &CallerRequest,
    now: Instant,
) -> Option<Duration> {
    let answer_by = caller.stop.answer_by()?;
    let decode = engine_times(node, caller).map_or(Duration::ZERO, |times| times.decode);
    let left = answer_by.saturating_duration_since(now);
    Some(left.saturating_sub(decode * BUSY_ENGINE_FACTOR))
}

/// Times that a prompt takes on idle engines.
struct EngineTimes {
    prefill: Duration,
    decode: Duration,
}

fn engine_times(node: &NodeState, caller: &CallerRequest) -> Option<EngineTimes> {
    let dispatchers = node.dispatchers.borrow();
    let dispatcher = dispatchers.get(&caller.service)?;
    let (prompt, output) = (
        caller.parsed_headers.prompt_tokens,
        caller.parsed_headers.output_tokens,
    );
    let prefill = dispatcher.min_first_event_time(prompt);
    let decode = dispatcher.min_decode_time(prompt, output);
    Some(EngineTimes { prefill, decode })
}
