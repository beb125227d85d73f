//! Promised times of return at the owner of placement: it announces them to its successor, and counts
//! what becomes of them.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::messages::{NodeCall, ServicePromise};
use super::peer_calls::call_node;
use super::placement::owns_placement;
use super::state::NodeState;
use crate::ids::VmName;
use crate::policy::return_promises::ReturnPromise;

const SHARE_INTERVAL: Duration = Duration::from_millis(100); // callers are told to wait for 300 ms or more
const SHARE_TIMEOUT: Duration = Duration::from_millis(300); // a throttled VM pauses for up to 75 ms
const MAX_SHARED: usize = 1_000; // of one call, some 100 KB; at the peak of refusals 100 ms bring about 30

/// Takes over promises of the owner of placement.
pub fn import_promises(node: &NodeState, promises: &[ServicePromise]) {
    let mut dispatchers = node.dispatchers.borrow_mut();
    for ServicePromise { service, promise } in promises {
        if let Some(dispatcher) = dispatchers.get_mut(service) {
            dispatcher.import_promises(std::slice::from_ref(promise), node.now());
        }
    }
}

/// Announces new promises to the VM that decides if this one is lost, and all open ones if that is another
/// VM than before.
pub async fn share_loop(node: Rc<NodeState>) {
    let mut informed: Option<(VmName, u64)> = None;
    let mut unsent: VecDeque<ServicePromise> = VecDeque::new();
    loop {
        sleep(SHARE_INTERVAL).await;
        count_events(&node);
        let new = take_promises(&node, false);
        let successor = {
            let members = node.members.borrow();
            let mut coordinators = members.coordinators(node.now()).into_iter();
            coordinators.find(|member| member.vm != node.settings.vm)
        };
        let Some(successor) = successor else {
            (informed, unsent) = (None, VecDeque::new());
            continue;
        };
        let identity = Some((successor.vm.clone(), successor.incarnation));
        if informed != identity {
            informed = identity;
            unsent = take_promises(&node, true).into();
        } else {
            unsent.extend(new);
        }
        let batch: Vec<ServicePromise> = unsent.drain(..unsent.len().min(MAX_SHARED)).collect();
        if batch.is_empty() {
            continue;
        }
        // A successor that does not take them is no less alive: it may run an earlier build, which knows no
        // such call. Without a promise it treats a prompt as a new arrival.
        let call = NodeCall::SharePromises(batch);
        if let Err(error) = call_node(&node, successor.peer_address, &call, SHARE_TIMEOUT).await {
            tracing::debug!(peer = %successor.vm, %error, "promises of return not taken");
        }
    }
}

/// The promises of all services that are new, or all open ones.
fn take_promises(node: &NodeState, all: bool) -> Vec<ServicePromise> {
    let now = node.now();
    let mut promises = Vec::new();
    for (service, dispatcher) in node.dispatchers.borrow_mut().iter_mut() {
        let taken: Vec<ReturnPromise> = match all {
            true => dispatcher.open_promises(now),
            false => dispatcher.take_new_promises(now),
        };
        promises.extend(taken.into_iter().map(|promise| ServicePromise {
            service: service.clone(),
            promise,
        }));
    }
    promises
}

/// Counts what became of promises. At a successor, those that were kept at the owner seem to expire.
fn count_events(node: &NodeState) {
    let (now, is_owner) = (node.now(), owns_placement(node));
    for dispatcher in node.dispatchers.borrow_mut().values_mut() {
        let counts = dispatcher.take_return_counts(now);
        if is_owner {
            node.metrics.count_returns(&counts);
        }
    }
}
