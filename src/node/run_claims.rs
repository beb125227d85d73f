//! Claims a request that runs at most once before it is sent, at the two VMs that rank first, so that no
//! VM sends it when its id comes again.

use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use futures_util::future::join_all;
use tokio::time::timeout;

use super::attempt::{CallerRequest, promises_not_run};
use super::messages::{NodeCall, NodeReply};
use super::peer_calls::{call_node, tell};
use super::service::NodeResponse;
use super::state::NodeState;
use crate::fleet::members::MemberRecord;
use crate::policy::run_claims::{ClaimKey, RunClaim};
use crate::wire::client::{CallError, Result};

const CLAIM_TIMEOUT: Duration = Duration::from_millis(100); // a throttled VM pauses for up to 75 ms

/// The claim of a request while its response is not decided. Dropped before the request was sent, as
/// when its caller leaves, it gives the claim back.
pub struct ClaimGuard {
    node: Rc<NodeState>,
    caller: Rc<CallerRequest>,
    held: Option<HeldClaim>,
}

#[derive(Debug)]
struct HeldClaim {
    claim: RunClaim,
    /// The other VMs that keep it.
    keepers: Vec<MemberRecord>,
}

fn refuse_repeated(node: &NodeState, caller: &CallerRequest, known_to: &str) -> NodeResponse {
    node.metrics.repeats_refused.inc();
    tracing::info!(
        id = caller.parsed_headers.id,
        request = %caller.digest,
        known_to,
        "request not sent again"
    );
    NodeResponse {
        status: StatusCode::BAD_GATEWAY,
        retry_after: None,
        keeps_retry_time: false,
        outcome: "repeated",
        reason: "a request with this id was accepted before and may have run; use a new id for a new request"
            .to_owned(),
    }
}

async fn ask(node: &Rc<NodeState>, keeper: &MemberRecord, claim: RunClaim) -> Result<bool> {
    match call(node, keeper, &NodeCall::ClaimRun(claim)).await? {
        NodeReply::Claimed(is_taken) => Ok(is_taken),
        _ => Err(CallError::Status(http::StatusCode::BAD_GATEWAY)),
    }
}

async fn call(node: &Rc<NodeState>, keeper: &MemberRecord, call: &NodeCall) -> Result<NodeReply> {
    let exchange = async {
        let pending = call_node(node, keeper.peer_address, call, CLAIM_TIMEOUT).await?;
        pending.read().await
    };
    timeout(CLAIM_TIMEOUT, exchange)
        .await
        .map_err(|_| CallError::Timeout(CLAIM_TIMEOUT))?
}

impl ClaimGuard {
    /// A guard without a claim yet.
    pub fn new(node: &Rc<NodeState>, caller: &Rc<CallerRequest>) -> Self {
        Self {
            node: node.clone(),
            caller: caller.clone(),
            held: None,
        }
    }

    /// Claims the request before it is sent.
    ///
    /// Requests that may run again need no claim, nor do those that another VM has claimed and passed on.
    /// If no keeper answers, this VM's own record decides.
    ///
    /// # Errors
    ///
    /// Fails if another attempt holds the claim: the request may have run.
    pub async fn take(&mut self) -> std::result::Result<(), NodeResponse> {
        let (node, caller) = (&self.node, &self.caller);
        let headers = &caller.parsed_headers;
        let is_claimed_elsewhere = headers.carried_runs.is_some();
        if caller.route.rerun_policy.allows_rerun() || is_claimed_elsewhere || headers.id.is_empty()
        {
            return Ok(());
        }
        let claim = RunClaim {
            key: ClaimKey::of(&headers.id, caller.digest),
            attempt: node.new_job_id().0,
        };
        let now = node.now();
        if !node.run_claims.borrow_mut().take(claim, now) {
            return Err(refuse_repeated(node, caller, "this VM"));
        }
        let keepers = node.members.borrow().claim_keepers(now);
        self.held = Some(HeldClaim {
            claim,
            keepers: keepers.clone(),
        });
        let answers = join_all(keepers.iter().map(|keeper| ask(node, keeper, claim))).await;
        for (keeper, answer) in keepers.iter().zip(&answers) {
            match answer {
                Ok(true) => {}
                Ok(false) => return Err(refuse_repeated(node, caller, keeper.vm.as_str())),
                Err(error) => {
                    tracing::info!(id = headers.id, keeper = %keeper.vm, %error, "claim not confirmed");
                }
            }
        }
        if !keepers.is_empty() && answers.iter().all(std::result::Result::is_err) {
            node.metrics.claims_unconfirmed.inc();
        }
        Ok(())
    }

    /// Settles the claim when the response is decided: a response that promises that the request has not
    /// run gives it back first, so that the caller may return at once.
    pub async fn settle(mut self, status: StatusCode) {
        let Some(held) = self.held.take() else {
            return;
        };
        if !promises_not_run(status) {
            // Kept, unless the request was never sent.
            self.held = Some(held);
            return;
        }
        self.node.run_claims.borrow_mut().release(held.claim);
        let release = NodeCall::ReleaseRun(held.claim);
        let calls = held
            .keepers
            .iter()
            .map(|keeper| call(&self.node, keeper, &release));
        join_all(calls).await;
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        let Some(held) = self.held.take() else {
            return;
        };
        if self.caller.may_have_run() {
            return;
        }
        self.node.run_claims.borrow_mut().release(held.claim);
        tell(&self.node, held.keepers, NodeCall::ReleaseRun(held.claim));
    }
}
