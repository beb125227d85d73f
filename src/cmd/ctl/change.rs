//! Appends changes of the table, and finds their outcome by reading the log back.

use std::path::Path;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, bail, eyre};
use tokio::time::sleep;

use super::fleet::FleetClient;
use crate::ids::{AuthorName, Offset, RecordId};
use crate::logstore::log::LogRead;
use crate::view::record::{LogRecord, RecordBody, RowChange, TableChange};
use crate::view::sheet::SheetRow;
use crate::view::signature::SecretKey;
use crate::view::table::{RowEntry, RowKey};
use crate::view::{FoldOutcome, View};

const MAX_ROWS_PER_RECORD: usize = 1_000;
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);
const RESEND_INTERVAL: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// The author of changes, and the key that signs them.
pub struct ChangeAuthor {
    /// Name that the changes carry.
    pub name: AuthorName,
    /// Signing key; without one, changes are unsigned.
    pub key: Option<SecretKey>,
}

impl ChangeAuthor {
    /// The author from the flags or their environment variables.
    ///
    /// # Errors
    ///
    /// Fails when no author is named or the key cannot be read.
    pub fn from_settings(name: Option<&str>, key_file: Option<&Path>) -> Result<Self> {
        let name = name
            .map(AuthorName::new)
            .ok_or_else(|| eyre!("a change needs its author; set --author or NOTCH_AUTHOR"))?;
        let key = key_file.map(read_key).transpose()?;
        Ok(Self { name, key })
    }

    fn signed_change(&self, rows: &[RowChange]) -> TableChange {
        TableChange {
            author: self.name.clone(),
            rows: rows.to_vec(),
            signature: self.key.as_ref().map(|key| key.sign(&self.name, rows)),
        }
    }
}

/// Reads a secret key from a file.
///
/// # Errors
///
/// Fails when the file is not a secret key.
pub fn read_key(file: &Path) -> Result<SecretKey> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("cannot read the key file {}", file.display()))?;
    Ok(SecretKey::parse(&text)?)
}

/// Changes for the rows that differ from the view, each based on the version in the view.
pub fn changed_rows(view: &View, rows: Vec<SheetRow>) -> Vec<RowChange> {
    let changes = rows.into_iter().map(|SheetRow { key, row }| {
        let current = view.rows().get(&key);
        let is_unchanged = current.and_then(|entry| entry.row.as_ref()) == Some(&row);
        let base = current.map_or(Offset(0), |entry| entry.version);
        let change = RowChange {
            key,
            base,
            row: Some(row),
        };
        (is_unchanged, change)
    });
    changes
        .filter(|(is_unchanged, _)| !is_unchanged)
        .map(|(_, change)| change)
        .collect()
}

/// Appends changes and prints the offset of each accepted record.
///
/// # Errors
///
/// Fails when a record was rejected, or its outcome is not known in time.
pub async fn submit(
    fleet: &FleetClient,
    view: &mut View,
    author: &ChangeAuthor,
    changes: Vec<RowChange>,
    wait: bool,
) -> Result<()> {
    if changes.is_empty() {
        println!("nothing to change: the table already has these values");
        return Ok(());
    }
    let mut last_offset = Offset(0);
    for rows in changes.chunks(MAX_ROWS_PER_RECORD) {
        let body = RecordBody::Table(author.signed_change(rows));
        let record = LogRecord::new(body);
        last_offset = submit_record(fleet, view, &record).await?;
        println!("accepted at offset {last_offset}: {} row(s)", rows.len());
    }
    if wait {
        wait_in_force(fleet, view, last_offset).await?;
    }
    Ok(())
}

/// Resends a record until it is read back; the outcome of its first copy in the log counts.
async fn submit_record(fleet: &FleetClient, view: &mut View, record: &LogRecord) -> Result<Offset> {
    let started = Instant::now();
    let mut sent_at: Option<Instant> = None;
    while started.elapsed() < OUTCOME_TIMEOUT {
        if sent_at.is_none_or(|sent_at| sent_at.elapsed() > RESEND_INTERVAL) {
            sent_at = Some(Instant::now());
            if let Err(error) = fleet.log.append(std::slice::from_ref(record)).await {
                eprintln!("append not confirmed ({error}); reading back");
            }
        }
        if let Ok(read) = fleet.log.read(view.offset()).await
            && let Some((offset, outcome)) = fold_and_find(view, &read, record.id)
        {
            return accepted_offset(offset, outcome);
        }
        sleep(POLL_INTERVAL).await;
    }
    bail!(
        "not known yet: record {} was not read back within {OUTCOME_TIMEOUT:?}; see `notchctl table history` before trying again",
        record.id
    )
}

fn fold_and_find(view: &mut View, read: &LogRead, id: RecordId) -> Option<(Offset, FoldOutcome)> {
    let mut found = None;
    for entry in &read.entries {
        let outcome = view.fold(entry);
        let is_sent_record = entry.record.as_ref().is_some_and(|record| record.id == id);
        if is_sent_record && found.is_none() {
            found = Some((entry.offset, outcome));
        }
    }
    found
}

fn accepted_offset(offset: Offset, outcome: FoldOutcome) -> Result<Offset> {
    match outcome {
        FoldOutcome::Accepted => Ok(offset),
        FoldOutcome::Ignored => bail!("rejected at offset {offset}: not a change of the table"),
        FoldOutcome::Conflict { key, current } => bail!(
            "rejected at offset {offset}: {key} was changed meanwhile and now stands as {}; check it and try again",
            describe_row(&key, current.as_ref())
        ),
        FoldOutcome::Rejected { key, reason } => {
            bail!("rejected at offset {offset}: {key}: {reason}")
        }
    }
}

/// A row as JSON with its author and offset, or that it does not exist; for messages.
pub fn describe_row(key: &RowKey, entry: Option<&RowEntry>) -> String {
    match entry {
        Some(entry) => format!(
            "{} (by {} at offset {})",
            serde_json::to_string(&entry.row).unwrap_or_default(),
            entry.author,
            entry.version
        ),
        None => format!("nothing: {key} does not exist"),
    }
}

/// Waits until `offset` is in force at both processes of every member, and prints the VMs.
async fn wait_in_force(fleet: &FleetClient, view: &View, offset: Offset) -> Result<()> {
    let started = Instant::now();
    loop {
        let progress = fleet.progress(view).await;
        let (up_to_date, behind): (Vec<_>, Vec<_>) =
            progress.iter().partition(|vm| vm.is_in_force(offset));
        let names = |list: &[&super::fleet::VmProgress]| {
            let names: Vec<String> = list.iter().map(|vm| vm.vm.to_string()).collect();
            names.join(", ")
        };
        if behind.is_empty() {
            println!(
                "in force on {} after {:.1} s",
                names(&up_to_date),
                started.elapsed().as_secs_f64()
            );
            return Ok(());
        }
        if started.elapsed() > IN_FORCE_TIMEOUT {
            bail!(
                "in force on [{}]; not in force yet on [{}]: check those VMs",
                names(&up_to_date),
                names(&behind)
            );
        }
        sleep(POLL_INTERVAL).await;
    }
}
