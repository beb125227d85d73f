//! Folds log records, in offset order, into the view that all processes share.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::membership::MemberTable;
use super::record::{LogEntry, LogRecord, RecordBody, TableChange};
use super::table::{
    DomainRow, KeyDigest, OperatorRow, RowEntry, RowKey, ServiceState, TableRow, TargetRow, TeamRow,
};
use crate::claim::ClaimBook;
use crate::ids::{AuthorName, DomainName, ModelName, Offset, TargetName, TeamName};

/// What the fold decided about a record.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// The record took effect.
    Accepted,
    /// The record has no effect: a duplicate, a stale member event, or not ours.
    Ignored,
    /// A table change was based on an older version of a row.
    Raced {
        /// The first row that was changed by somebody else.
        key: RowKey,
        /// The row as it now stands; `None` if it does not exist.
        current: Option<RowEntry>,
    },
    /// A table change breaks a rule of the table.
    Refused {
        /// The row.
        key: RowKey,
        /// The rule and the remedy.
        reason: String,
    },
}

/// Everything that the log's records say, as of an offset.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    offset: Offset,
    at_ms: u64,
    rows: BTreeMap<RowKey, RowEntry>,
    teams_by_key: BTreeMap<KeyDigest, TeamName>,
    members: MemberTable,
    claims: ClaimBook,
}

/// A target that may take new work, with its name.
#[derive(Debug, Clone, Copy)]
pub struct TargetRef<'a> {
    /// The target's name.
    pub name: &'a TargetName,
    /// The target's row.
    pub row: &'a TargetRow,
}

impl View {
    /// Offset of the last record folded.
    pub fn offset(&self) -> Offset {
        self.offset
    }

    /// Platform time of the last record folded, in milliseconds since the Unix epoch.
    pub fn at_ms(&self) -> u64 {
        self.at_ms
    }

    /// The members.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// The claims of non-idempotent requests.
    pub fn claims(&self) -> &ClaimBook {
        &self.claims
    }

    /// All rows, deleted ones too, by key.
    pub fn rows(&self) -> &BTreeMap<RowKey, RowEntry> {
        &self.rows
    }

    /// Folds one record; an entry at or below the view's offset changes nothing.
    ///
    /// ```
    /// use plantainnotch::ids::Offset;
    /// use plantainnotch::view::{View, record::LogEntry};
    /// let mut view = View::default();
    /// view.fold(&LogEntry { offset: Offset(1), at_ms: 0, record: None });
    /// assert_eq!(view.offset(), Offset(1));
    /// ```
    pub fn fold(&mut self, entry: &LogEntry) -> Verdict {
        if entry.offset <= self.offset {
            return Verdict::Ignored;
        }
        self.offset = entry.offset;
        self.at_ms = self.at_ms.max(entry.at_ms);
        match &entry.record {
            Some(record) => self.apply(record),
            None => Verdict::Ignored,
        }
    }

    fn apply(&mut self, record: &LogRecord) -> Verdict {
        match &record.body {
            RecordBody::Join(join) => self.members.join(join, self.offset),
            RecordBody::Leave { vm, incarnation } => {
                self.members.leave(vm, *incarnation, self.offset)
            }
            RecordBody::Evict { vm, incarnation } => {
                self.members.evict(vm, *incarnation, self.offset)
            }
            RecordBody::Table(change) => self.apply_change(change),
            RecordBody::Claims { items } => {
                self.claims.fold(items, self.offset, self.at_ms);
                Verdict::Accepted
            }
            RecordBody::Checkpoint { .. } => Verdict::Ignored,
        }
    }

    fn apply_change(&mut self, change: &TableChange) -> Verdict {
        if let Some(reason) = self.unproven_author(change) {
            let key = RowKey::Operator(change.author.clone());
            return Verdict::Refused { key, reason };
        }
        for row in &change.rows {
            let current = self.rows.get(&row.key);
            if current.map_or(Offset(0), |entry| entry.version) != row.base {
                return Verdict::Raced {
                    key: row.key.clone(),
                    current: current.cloned(),
                };
            }
            if let Some(reason) = self.broken_rule(&row.key, row.row.as_ref(), change) {
                return Verdict::Refused {
                    key: row.key.clone(),
                    reason,
                };
            }
        }
        for row in &change.rows {
            let entry = RowEntry {
                row: row.row.clone(),
                version: self.offset,
                author: change.author.clone(),
            };
            self.index_team_key(&row.key, row.row.as_ref());
            self.rows.insert(row.key.clone(), entry);
        }
        Verdict::Accepted
    }

    fn index_team_key(&mut self, key: &RowKey, row: Option<&TableRow>) {
        let RowKey::Team(name) = key else {
            return;
        };
        if let Some(old) = self.team(name).map(|team| team.key) {
            self.teams_by_key.remove(&old);
        }
        if let Some(TableRow::Team(team)) = row {
            self.teams_by_key.insert(team.key, name.clone());
        }
    }

    /// Says why the author is not proven, if so. A table that names no operator takes
    /// any author's word.
    fn unproven_author(&self, change: &TableChange) -> Option<String> {
        let author = &change.author;
        let Some(operator) = self.operator(author) else {
            let strict = self.operators().next().is_some();
            return strict.then(|| {
                format!(
                    "{author} is not an operator; ask one to add a row with {author}'s public key"
                )
            });
        };
        let signature = change.signature.as_deref().unwrap_or_default();
        let verified = operator.key.verifies(author, &change.rows, signature);
        (!verified).then(|| {
            format!(
                "the signature is not {author}'s; set --key-file to the key of the author named"
            )
        })
    }

    /// The operators that the table names.
    pub fn operators(&self) -> impl Iterator<Item = (&AuthorName, &OperatorRow)> {
        let first = RowKey::Operator(AuthorName::new(""));
        self.rows
            .range(first..)
            .filter_map(|(key, entry)| match (key, &entry.row) {
                (RowKey::Operator(name), Some(TableRow::Operator(row))) => Some((name, row)),
                _ => None,
            })
    }

    /// An operator's row.
    pub fn operator(&self, name: &AuthorName) -> Option<&OperatorRow> {
        match &self.rows.get(&RowKey::Operator(name.clone()))?.row {
            Some(TableRow::Operator(row)) => Some(row),
            _ => None,
        }
    }

    /// Names the rule that a change breaks, if any.
    fn broken_rule(
        &self,
        key: &RowKey,
        row: Option<&TableRow>,
        change: &TableChange,
    ) -> Option<String> {
        if row.is_some_and(|row| !row.fits(key)) {
            return Some(
                "the row's kind is not that of its key; use the kind that the key names".into(),
            );
        }
        match key {
            RowKey::Team(name) => {
                let Some(TableRow::Team(team)) = row else {
                    return None;
                };
                let holder = self.key_holder(name, team.key, change)?;
                Some(format!(
                    "team {holder} has the same key; give {name} another one"
                ))
            }
            RowKey::Approval(_, pattern) => {
                let owners = self.owners_covered(pattern, change);
                let foreign = owners.iter().find(|owner| **owner != change.author);
                match foreign {
                    Some(owner) => Some(format!(
                        "approvals there are accepted only from the owner {owner}, not from {}; ask {owner} to make the change",
                        change.author
                    )),
                    None if owners.is_empty() => Some(format!(
                        "no target matches {}; add the target first",
                        pattern.as_str()
                    )),
                    None => None,
                }
            }
            RowKey::Operator(name) => {
                let foreign = self.operator(name).is_some() && change.author != *name;
                foreign.then(|| {
                    format!("only {name} may change or delete {name}'s key; ask {name} to")
                })
            }
            RowKey::Target(name) => {
                let stands = self.target(name)?;
                let new_owner = match row {
                    Some(TableRow::Target(target)) => Some(&target.owner),
                    _ => None,
                };
                let changes_hands = new_owner != Some(&stands.owner);
                (changes_hands && stands.owner != change.author).then(|| {
                    format!(
                        "only the owner {} may delete {name} or give it to another owner",
                        stands.owner
                    )
                })
            }
            _ => None,
        }
    }

    /// Another team with the same key, in the table or in the change itself.
    fn key_holder<'a>(
        &'a self,
        name: &TeamName,
        digest: KeyDigest,
        change: &'a TableChange,
    ) -> Option<&'a TeamName> {
        let beside = change
            .rows
            .iter()
            .filter_map(|row| match (&row.key, &row.row) {
                (RowKey::Team(other), Some(TableRow::Team(team))) => Some((other, team.key)),
                _ => None,
            });
        let stands = self.teams_by_key.get(&digest).map(|other| (other, digest));
        let mut holders = beside.chain(stands);
        holders
            .find(|(other, key)| *other != name && *key == digest)
            .map(|(other, _)| other)
    }

    /// Owners of the targets that `pattern` covers, counting the change's own rows.
    fn owners_covered(
        &self,
        pattern: &super::table::TargetPattern,
        change: &TableChange,
    ) -> Vec<AuthorName> {
        let stands = self.targets().map(|target| (target.name, target.row));
        let added = change
            .rows
            .iter()
            .filter_map(|row| match (&row.key, &row.row) {
                (RowKey::Target(name), Some(TableRow::Target(target))) => {
                    Some((name, target.as_ref()))
                }
                _ => None,
            });
        let mut owners: Vec<AuthorName> = stands
            .chain(added)
            .filter(|(name, _)| pattern.covers(name))
            .map(|(_, row)| row.owner.clone())
            .collect();
        owners.sort();
        owners.dedup();
        owners
    }

    /// All targets that stand in the table.
    pub fn targets(&self) -> impl Iterator<Item = TargetRef<'_>> {
        let first = RowKey::Target(TargetName::new(""));
        let after = RowKey::Team(TeamName::new(""));
        self.rows
            .range(first..after)
            .filter_map(|(key, entry)| match (key, &entry.row) {
                (RowKey::Target(name), Some(TableRow::Target(row))) => {
                    Some(TargetRef { name, row })
                }
                _ => None,
            })
    }

    /// A target's row.
    pub fn target(&self, name: &TargetName) -> Option<&TargetRow> {
        match &self.rows.get(&RowKey::Target(name.clone()))?.row {
            Some(TableRow::Target(row)) => Some(row.as_ref()),
            _ => None,
        }
    }

    /// A team's row.
    pub fn team(&self, name: &TeamName) -> Option<&TeamRow> {
        match &self.rows.get(&RowKey::Team(name.clone()))?.row {
            Some(TableRow::Team(row)) => Some(row),
            _ => None,
        }
    }

    /// The team whose callers use the key with this digest.
    pub fn team_by_key(&self, digest: &KeyDigest) -> Option<(&TeamName, &TeamRow)> {
        let name = self.teams_by_key.get(digest)?;
        let row = self.team(name)?;
        Some((name, row))
    }

    /// A failure domain's row.
    pub fn domain(&self, name: &DomainName) -> Option<&DomainRow> {
        match &self.rows.get(&RowKey::Domain(name.clone()))?.row {
            Some(TableRow::Domain(row)) => Some(row),
            _ => None,
        }
    }

    /// Whether the target and its failure domain both take new work.
    pub fn in_service(&self, row: &TargetRow) -> bool {
        let domain_in = self
            .domain(&row.domain)
            .is_some_and(|domain| domain.state == ServiceState::In);
        domain_in && row.state == ServiceState::In
    }

    /// Whether the owner of `target` has approved `team` there.
    ///
    /// An approval counts only if the target's present owner made it. A refusal by
    /// the owner goes before any approval that covers the same target.
    pub fn approved(&self, team: &TeamName, target: TargetRef<'_>) -> bool {
        let first = RowKey::Approval(team.clone(), super::table::TargetPattern::new(""));
        let mut approved = false;
        for (key, entry) in self.rows.range(first..) {
            let RowKey::Approval(of, pattern) = key else {
                break;
            };
            if of != team {
                break;
            }
            let Some(TableRow::Approval(row)) = &entry.row else {
                continue;
            };
            if entry.author != target.row.owner || !pattern.covers(target.name) {
                continue;
            }
            if !row.approved {
                return false;
            }
            approved = true;
        }
        approved
    }

    /// Targets of `model` that take new work from `team`.
    pub fn open_targets<'a>(
        &'a self,
        team: &'a TeamName,
        model: &'a ModelName,
    ) -> impl Iterator<Item = TargetRef<'a>> {
        self.targets()
            .filter(move |target| target.row.model == *model)
            .filter(|target| self.in_service(target.row))
            .filter(|target| self.approved(team, *target))
    }
}
