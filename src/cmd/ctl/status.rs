//! `notchctl status`: members, failure domains and targets.

use eyre::Result;

use super::fleet::FleetClient;
use crate::view::table::{RowKey, ServiceState, TableRow};

/// Prints how far members have folded the log, and the state of failure domains and targets.
///
/// # Errors
///
/// Fails when the log cannot be read.
pub async fn run(fleet: &FleetClient) -> Result<()> {
    let (view, log_read) = fleet.read_view().await?;
    println!("log: head {}, end {}", log_read.head, log_read.end);
    let progress = fleet.progress(&view).await;
    println!(
        "\n{:<12} {:>9} {:>7} {:>9} {:>10}  note",
        "vm", "offset", "fresh", "age ms", "in flight"
    );
    for vm in &progress {
        let steward = vm.steward.clone().unwrap_or_default();
        let entry = vm.entry.clone().unwrap_or_default();
        let note = match (&vm.steward, &vm.entry) {
            (None, None) => "does not answer",
            (None, _) => "steward does not answer",
            (_, None) => "entry does not answer",
            _ => "",
        };
        println!(
            "{:<12} {:>9} {:>7} {:>9} {:>10}  {note}",
            vm.vm.as_str(),
            steward["offset"].to_string(),
            steward["fresh"].to_string(),
            steward["view_age_ms"].to_string(),
            entry["in_flight"].to_string(),
        );
    }
    println!("\nfailure domains");
    for (key, row_entry) in view.rows() {
        if let (RowKey::Domain(name), Some(TableRow::Domain(row))) = (key, &row_entry.row) {
            let state = if row.state == ServiceState::In {
                "in"
            } else {
                "out"
            };
            println!(
                "  {name}: {state} (by {} at offset {})",
                row_entry.author, row_entry.version
            );
        }
    }
    println!(
        "\n{:<14} {:<22} {:<8} {:>8} {:>6} {:>8} {:>12}",
        "target", "pool", "service", "state", "limit", "running", "used tokens"
    );
    for target in progress
        .iter()
        .filter_map(|vm| vm.steward.as_ref())
        .flat_map(owned_targets)
    {
        println!(
            "{:<14} {:<22} {:<8} {:>8} {:>6} {:>8} {:>12}",
            text(&target["target"]),
            text(&target["pool"]),
            if target["in_service"] == true {
                "in"
            } else {
                "out"
            },
            text(&target["state"]),
            target["limit"].to_string(),
            target["running"].to_string(),
            target["used_tokens"].to_string(),
        );
    }
    Ok(())
}

fn owned_targets(steward: &serde_json::Value) -> Vec<serde_json::Value> {
    steward["owned_targets"]
        .as_array()
        .cloned()
        .unwrap_or_default()
}

fn text(value: &serde_json::Value) -> &str {
    value.as_str().unwrap_or("")
}
