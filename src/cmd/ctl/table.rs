//! `notchctl table`: export, import, set, history.

use std::path::Path;

use eyre::{Result, WrapErr, bail, eyre};

use super::change::{ChangeAuthor, changed_rows, submit};
use super::fleet::FleetClient;
use crate::view::record::RecordBody;
use crate::view::sheet::{self, COLUMNS};
use crate::view::{FoldOutcome, View};

/// Writes the table as CSV.
///
/// # Errors
///
/// Fails when the log cannot be read or the file cannot be written.
pub async fn export(fleet: &FleetClient, file: Option<&Path>) -> Result<()> {
    let (view, _) = fleet.read_view().await?;
    let text = sheet::write(&view);
    match file {
        Some(file) => std::fs::write(file, text)
            .wrap_err_with(|| format!("cannot write {}; name another file", file.display())),
        None => {
            print!("{text}");
            Ok(())
        }
    }
}

/// Checks a whole sheet, and appends the rows that differ; rows missing in the sheet stay.
///
/// # Errors
///
/// Fails when the sheet has mistakes or a change was not accepted.
pub async fn import(
    fleet: &FleetClient,
    file: &Path,
    author: &ChangeAuthor,
    wait: bool,
) -> Result<()> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("cannot read {}; save it as CSV in UTF-8", file.display()))?;
    let rows = sheet::read(&file.display().to_string(), &text)?;
    let (mut view, _) = fleet.read_view().await?;
    let changes = changed_rows(&view, rows);
    submit(fleet, &mut view, author, changes, wait).await
}

/// Changes cells of one row; creates the row if it is absent.
///
/// # Errors
///
/// Fails when a cell is invalid or the change was not accepted.
pub async fn set(
    fleet: &FleetClient,
    kind: &str,
    name: &str,
    cells: &[String],
    author: &ChangeAuthor,
    wait: bool,
) -> Result<()> {
    let (mut view, _) = fleet.read_view().await?;
    let text = edited_sheet(&view, kind, name, cells)?;
    let rows = sheet::read("table set", &text)?;
    let changes = changed_rows(&view, rows);
    submit(fleet, &mut view, author, changes, wait).await
}

/// A sheet with only this row, its cells changed.
fn edited_sheet(view: &View, kind: &str, name: &str, cells: &[String]) -> Result<String> {
    let (row_name, target) = name.split_once('@').unwrap_or((name, ""));
    let exported = sheet::write(view);
    let mut reader = csv::Reader::from_reader(exported.as_bytes());
    let mut values: Vec<String> = vec![String::new(); COLUMNS.len()];
    for record in reader.records() {
        let record = record?;
        let is_edited_row = record.get(0) == Some(kind)
            && record.get(1) == Some(row_name)
            && record.get(2) == Some(target);
        if is_edited_row {
            values = record.iter().map(str::to_owned).collect();
        }
    }
    values[0] = kind.to_owned();
    values[1] = row_name.to_owned();
    values[2] = target.to_owned();
    for cell in cells {
        let (column, value) = cell
            .split_once('=')
            .ok_or_else(|| eyre!("{cell:?} is not COLUMN=VALUE; fix it"))?;
        let Some(index) = COLUMNS.iter().position(|name| *name == column) else {
            bail!(
                "{column:?} is not a column; use one of {}",
                COLUMNS.join(", ")
            );
        };
        values[index] = value.to_owned();
    }
    let mut writer = csv::Writer::from_writer(Vec::new());
    writer.write_record(COLUMNS)?;
    writer.write_record(&values)?;
    Ok(String::from_utf8(writer.into_inner()?)?)
}

/// Prints the changes that the log still has, oldest first.
///
/// # Errors
///
/// Fails when the log cannot be read.
pub async fn history(fleet: &FleetClient, name: Option<&str>) -> Result<()> {
    let (_, log_read) = fleet.read_view().await?;
    // Starts without records; the loop folds them one by one to get each outcome.
    let mut view = crate::view::checkpoint::rebuild(log_read.head, &[]).unwrap_or_default();
    for entry in &log_read.entries {
        let outcome = view.fold(entry);
        let Some(RecordBody::Table(change)) = entry.record.as_ref().map(|record| &record.body)
        else {
            continue;
        };
        let outcome = match outcome {
            FoldOutcome::Accepted => "accepted".to_owned(),
            FoldOutcome::Ignored => "ignored".to_owned(),
            FoldOutcome::Conflict { key, .. } => format!("rejected, conflict on {key}"),
            FoldOutcome::Rejected { key, reason } => format!("rejected, {key}: {reason}"),
        };
        for row in &change.rows {
            let key = row.key.to_string();
            if name.is_some_and(|name| !key.contains(name)) {
                continue;
            }
            println!(
                "offset {} at {} ms by {}: {key} = {} [{outcome}]",
                entry.offset,
                entry.at_ms,
                change.author,
                serde_json::to_string(&row.row)?
            );
        }
    }
    Ok(())
}
