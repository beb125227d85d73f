//! `notchctl explain`: why a request was sent to its targets.

use eyre::{Result, bail};

use super::fleet::FleetClient;
use crate::entry::decisions::RoutingDecision;
use crate::ids::RequestId;

/// Prints the decisions about a request that the entries still have.
///
/// # Errors
///
/// Fails when the id is invalid, or no entry has decisions about the request.
pub async fn run(fleet: &FleetClient, request: &str) -> Result<()> {
    let Ok(id) = request.parse::<RequestId>() else {
        bail!("{request:?} is not a request id; use the X-Request-Id of a response");
    };
    let (view, _) = fleet.read_view().await?;
    let mut found = false;
    for (vm, member) in view.members().iter() {
        let path = format!("/v1/requests/{id}/decisions");
        let Some(page) = fleet.fetch_page(&member.join.entry_address, &path).await else {
            eprintln!("{vm}: entry gave no readable answer");
            continue;
        };
        let decisions: Vec<RoutingDecision> = serde_json::from_value(page).unwrap_or_default();
        found |= !decisions.is_empty();
        for decision in decisions {
            print_decision(vm.as_str(), &decision);
        }
    }
    if !found {
        bail!(
            "no entry has decisions about {id}; entries keep their last few thousand, older ones are in their logs"
        );
    }
    Ok(())
}

fn print_decision(vm: &str, decision: &RoutingDecision) {
    let targets: Vec<&str> = decision.targets.iter().map(|name| name.as_str()).collect();
    println!(
        "{vm} +{} ms {} [{}] {}",
        decision.at_ms,
        decision.decision,
        targets.join(", "),
        decision.reason
    );
    if !decision.alternatives.is_empty() {
        println!("    alternatives: {}", decision.alternatives.join(", "));
    }
}
