//! `notchctl domain` and `notchctl target`: take out of service, or put back.

use eyre::{Result, eyre};

use super::change::{ChangeAuthor, submit};
use super::fleet::FleetClient;
use super::options::ServiceChange;
use crate::ids::{DomainName, TargetName};
use crate::view::record::RowChange;
use crate::view::table::{RowKey, TableRow};

/// Changes the state of a failure domain or target.
///
/// # Errors
///
/// Fails when there is no such row or the change was not accepted.
pub async fn run(
    fleet: &FleetClient,
    change: &ServiceChange,
    author: &ChangeAuthor,
    wait: bool,
) -> Result<()> {
    let (mut view, _) = fleet.read_view().await?;
    let key = if change.is_domain {
        RowKey::Domain(DomainName::new(change.name.as_str()))
    } else {
        RowKey::Target(TargetName::new(change.name.as_str()))
    };
    let entry = view.rows().get(&key);
    let current = entry.and_then(|entry| Some((entry.version, entry.row.clone()?)));
    let (base, mut row) =
        current.ok_or_else(|| eyre!("{key} is not in the table; see `notchctl table export`"))?;
    match &mut row {
        TableRow::Domain(domain) => domain.state = change.state,
        TableRow::Target(target) => target.state = change.state,
        TableRow::Team(_) | TableRow::Approval(_) | TableRow::Operator(_) => {}
    }
    let is_unchanged = view.rows().get(&key).and_then(|entry| entry.row.as_ref()) == Some(&row);
    let changes = if is_unchanged {
        Vec::new()
    } else {
        vec![RowChange {
            key,
            base,
            row: Some(row),
        }]
    };
    submit(fleet, &mut view, author, changes, wait).await
}
