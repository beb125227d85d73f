//! Appends a change of the table, and learns its verdict by reading it back.

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

const ROWS_PER_RECORD: usize = 1_000;
const KNOWN_WITHIN: Duration = Duration::from_secs(10);
const RESEND_AFTER: Duration = Duration::from_secs(2);
const READ_EVERY: Duration = Duration::from_millis(100);
const IN_FORCE_WITHIN: Duration = Duration::from_secs(30);

/// Who makes changes, and the key that proves it.
pub struct ChangeAuthor {
    /// The name.
    pub name: AuthorName,
    /// The key, if one was given.
    pub key: Option<SecretKey>,
}

impl ChangeAuthor {
    /// The author from the settings.
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

    fn change(&self, rows: &[RowChange]) -> TableChange {
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

/// Makes changes of the rows that differ from the view.
pub fn differing(view: &View, rows: Vec<SheetRow>) -> Vec<RowChange> {
    let changes = rows.into_iter().map(|SheetRow { key, row }| {
        let current = view.rows().get(&key);
        let same = current.and_then(|entry| entry.row.as_ref()) == Some(&row);
        let base = current.map_or(Offset(0), |entry| entry.version);
        let change = RowChange {
            key,
            base,
            row: Some(row),
        };
        (same, change)
    });
    changes
        .filter(|(same, _)| !same)
        .map(|(_, change)| change)
        .collect()
}

/// Appends changes and reports what became of each record.
///
/// # Errors
///
/// Fails when a record was rejected, or its verdict is not known in time.
pub async fn submit(
    fleet: &FleetClient,
    view: &mut View,
    author: &ChangeAuthor,
    changes: Vec<RowChange>,
    wait: bool,
) -> Result<()> {
    if changes.is_empty() {
        println!("nothing to change: the table already says so");
        return Ok(());
    }
    let mut last = Offset(0);
    for rows in changes.chunks(ROWS_PER_RECORD) {
        let body = RecordBody::Table(author.change(rows));
        let record = LogRecord::new(body);
        last = submit_record(fleet, view, &record).await?;
        println!("accepted at offset {last}: {} row(s)", rows.len());
    }
    if wait {
        wait_in_force(fleet, view, last).await?;
    }
    Ok(())
}

/// Sends a record until it is read back; the first copy's verdict counts.
async fn submit_record(fleet: &FleetClient, view: &mut View, record: &LogRecord) -> Result<Offset> {
    let begun = Instant::now();
    let mut sent: Option<Instant> = None;
    while begun.elapsed() < KNOWN_WITHIN {
        if sent.is_none_or(|sent| sent.elapsed() > RESEND_AFTER) {
            sent = Some(Instant::now());
            if let Err(error) = fleet.log.append(std::slice::from_ref(record)).await {
                eprintln!("append not confirmed ({error}); reading back");
            }
        }
        if let Ok(read) = fleet.log.read(view.offset()).await
            && let Some((offset, verdict)) = fold_until(view, &read, record.id)
        {
            return judge(offset, verdict);
        }
        sleep(READ_EVERY).await;
    }
    bail!(
        "not known yet: record {} was not read back within {KNOWN_WITHIN:?}; see `notchctl table history` before trying again",
        record.id
    )
}

fn fold_until(view: &mut View, read: &LogRead, id: RecordId) -> Option<(Offset, FoldOutcome)> {
    let mut found = None;
    for entry in &read.entries {
        let verdict = view.fold(entry);
        let is_ours = entry.record.as_ref().is_some_and(|record| record.id == id);
        if is_ours && found.is_none() {
            found = Some((entry.offset, verdict));
        }
    }
    found
}

fn judge(offset: Offset, verdict: FoldOutcome) -> Result<Offset> {
    match verdict {
        FoldOutcome::Accepted => Ok(offset),
        FoldOutcome::Ignored => bail!("rejected at offset {offset}: not a change of the table"),
        FoldOutcome::Conflict { key, current } => bail!(
            "rejected at offset {offset}: {key} was changed meanwhile and now stands as {}; look at it and try again",
            describe_row(&key, current.as_ref())
        ),
        FoldOutcome::Refused { key, reason } => {
            bail!("rejected at offset {offset}: {key}: {reason}")
        }
    }
}

/// A row as JSON, for messages.
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

/// Waits until every member's processes have folded `offset`, and says where.
async fn wait_in_force(fleet: &FleetClient, view: &View, offset: Offset) -> Result<()> {
    let begun = Instant::now();
    loop {
        let progress = fleet.progress(view).await;
        let (ready, late): (Vec<_>, Vec<_>) = progress.iter().partition(|vm| vm.has_folded(offset));
        let names = |list: &[&super::fleet::VmProgress]| {
            let names: Vec<String> = list.iter().map(|vm| vm.vm.to_string()).collect();
            names.join(", ")
        };
        if late.is_empty() {
            println!(
                "in force on {} after {:.1} s",
                names(&ready),
                begun.elapsed().as_secs_f64()
            );
            return Ok(());
        }
        if begun.elapsed() > IN_FORCE_WITHIN {
            bail!(
                "in force on [{}]; not in force yet on [{}]: check those VMs",
                names(&ready),
                names(&late)
            );
        }
        sleep(READ_EVERY).await;
    }
}
