//! Folds log records, in offset order, into the view; processes at the same offset have
//! the same view.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::membership::MemberTable;
use super::record::{LogEntry, LogRecord, RecordBody, TableChange};
use super::table::{
    DomainRow, KeyDigest, OperatorRow, RowEntry, RowKey, ServiceState, TableRow, TargetRow, TeamRow,
};
use crate::claim::ClaimTable;
use crate::ids::{AuthorName, DomainName, ModelName, Offset, TargetName, TeamName};

/// Result of folding one record.
#[derive(Debug, Clone, PartialEq)]
pub enum FoldOutcome {
    /// The record took effect. Also the result for every claims record, even if none of its
    /// events changed a claim.
    Accepted,
    /// The record changes no state: an offset folded before, an outdated member event, a
    /// checkpoint, or text that is not a record of this release.
    Ignored,
    /// A table change was based on an older version of a row.
    Conflict {
        /// The first row whose version differs from the change's base.
        key: RowKey,
        /// The current row; `None` if it does not exist.
        current: Option<RowEntry>,
    },
    /// A table change violates a rule of the table.
    Rejected {
        /// The row that violates the rule, or the author's operator row.
        key: RowKey,
        /// The violated rule and the remedy.
        reason: String,
    },
}

/// State derived from the log's records up to an offset.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    offset: Offset,
    at_ms: u64,
    rows: BTreeMap<RowKey, RowEntry>,
    teams_by_key: BTreeMap<KeyDigest, TeamName>,
    members: MemberTable,
    claims: ClaimTable,
}

/// A target's row together with its name.
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

    /// The VMs that have joined and neither left nor been evicted.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// The claims on idempotency keys of non-idempotent requests.
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// All rows by key; a deleted row stays, without content, for its version.
    pub fn rows(&self) -> &BTreeMap<RowKey, RowEntry> {
        &self.rows
    }

    /// Folds one record; one at or below the view's offset changes nothing.
    ///
    /// ```
    /// use plantainnotch::ids::Offset;
    /// use plantainnotch::view::{View, record::LogEntry};
    /// let mut view = View::default();
    /// view.fold(&LogEntry { offset: Offset(1), at_ms: 0, record: None });
    /// assert_eq!(view.offset(), Offset(1));
    /// ```
    pub fn fold(&mut self, entry: &LogEntry) -> FoldOutcome {
        if entry.offset <= self.offset {
            return FoldOutcome::Ignored;
        }
        self.offset = entry.offset;
        self.at_ms = self.at_ms.max(entry.at_ms);
        match &entry.record {
            Some(record) => self.apply(record),
            None => FoldOutcome::Ignored,
        }
    }

    fn apply(&mut self, record: &LogRecord) -> FoldOutcome {
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
                FoldOutcome::Accepted
            }
            RecordBody::Checkpoint { .. } => FoldOutcome::Ignored,
        }
    }

    fn apply_change(&mut self, change: &TableChange) -> FoldOutcome {
        if let Some(reason) = self.author_rejection(change) {
            let key = RowKey::Operator(change.author.clone());
            return FoldOutcome::Rejected { key, reason };
        }
        for row in &change.rows {
            let current = self.rows.get(&row.key);
            if current.map_or(Offset(0), |entry| entry.version) != row.base {
                return FoldOutcome::Conflict {
                    key: row.key.clone(),
                    current: current.cloned(),
                };
            }
            if let Some(reason) = self.rule_violation(&row.key, row.row.as_ref(), change) {
                return FoldOutcome::Rejected {
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
        FoldOutcome::Accepted
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

    /// Why the change's author is not authenticated, if so. A table without operator rows
    /// accepts unsigned changes of any author.
    fn author_rejection(&self, change: &TableChange) -> Option<String> {
        let author = &change.author;
        let Some(operator) = self.operator(author) else {
            let requires_operator = self.operators().next().is_some();
            return requires_operator.then(|| {
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

    /// The operators whose rows are not deleted, in name order.
    pub fn operators(&self) -> impl Iterator<Item = (&AuthorName, &OperatorRow)> {
        // Operators are the last kind of row in the order of `RowKey`.
        let start = RowKey::Operator(AuthorName::new(""));
        self.rows
            .range(start..)
            .filter_map(|(key, entry)| match (key, &entry.row) {
                (RowKey::Operator(name), Some(TableRow::Operator(row))) => Some((name, row)),
                _ => None,
            })
    }

    /// An operator's row; `None` if it does not exist or was deleted.
    pub fn operator(&self, name: &AuthorName) -> Option<&OperatorRow> {
        match &self.rows.get(&RowKey::Operator(name.clone()))?.row {
            Some(TableRow::Operator(row)) => Some(row),
            _ => None,
        }
    }

    /// The rule of the table that the row's change violates, if any, and the remedy.
    fn rule_violation(
        &self,
        key: &RowKey,
        row: Option<&TableRow>,
        change: &TableChange,
    ) -> Option<String> {
        if row.is_some_and(|row| !row.matches_key(key)) {
            return Some(
                "the row's kind is not that of its key; use the kind that the key names".into(),
            );
        }
        match key {
            RowKey::Team(name) => {
                let Some(TableRow::Team(team)) = row else {
                    return None;
                };
                let other = self.team_with_key(name, team.key, change)?;
                Some(format!(
                    "team {other} has the same key; give {name} another one"
                ))
            }
            RowKey::Approval(_, pattern) => {
                let owners = self.owners_matching(pattern, change);
                let other_owner = owners.iter().find(|owner| **owner != change.author);
                match other_owner {
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
                let by_other = self.operator(name).is_some() && change.author != *name;
                by_other.then(|| {
                    format!("only {name} may change or delete {name}'s key; ask {name} to")
                })
            }
            RowKey::Target(name) => {
                let current = self.target(name)?;
                let new_owner = match row {
                    Some(TableRow::Target(target)) => Some(&target.owner),
                    _ => None,
                };
                let changes_owner = new_owner != Some(&current.owner);
                (changes_owner && current.owner != change.author).then(|| {
                    format!(
                        "only the owner {} may delete {name} or give it to another owner",
                        current.owner
                    )
                })
            }
            _ => None,
        }
    }

    /// Another team with the same bearer key, in the change itself or in the table.
    fn team_with_key<'a>(
        &'a self,
        name: &TeamName,
        digest: KeyDigest,
        change: &'a TableChange,
    ) -> Option<&'a TeamName> {
        let in_change = change
            .rows
            .iter()
            .filter_map(|row| match (&row.key, &row.row) {
                (RowKey::Team(other), Some(TableRow::Team(team))) => Some((other, team.key)),
                _ => None,
            });
        let in_table = self.teams_by_key.get(&digest).map(|other| (other, digest));
        let mut teams = in_change.chain(in_table);
        teams
            .find(|(other, key)| *other != name && *key == digest)
            .map(|(other, _)| other)
    }

    /// Owners of the targets that match `pattern`, including targets that the change adds.
    fn owners_matching(
        &self,
        pattern: &super::table::TargetPattern,
        change: &TableChange,
    ) -> Vec<AuthorName> {
        let in_table = self.targets().map(|target| (target.name, target.row));
        let in_change = change
            .rows
            .iter()
            .filter_map(|row| match (&row.key, &row.row) {
                (RowKey::Target(name), Some(TableRow::Target(target))) => {
                    Some((name, target.as_ref()))
                }
                _ => None,
            });
        let mut owners: Vec<AuthorName> = in_table
            .chain(in_change)
            .filter(|(name, _)| pattern.matches(name))
            .map(|(_, row)| row.owner.clone())
            .collect();
        owners.sort();
        owners.dedup();
        owners
    }

    /// All targets whose rows are not deleted, in name order.
    pub fn targets(&self) -> impl Iterator<Item = TargetRef<'_>> {
        let start = RowKey::Target(TargetName::new(""));
        // Teams are the next kind of row after targets in the order of `RowKey`.
        let end = RowKey::Team(TeamName::new(""));
        self.rows
            .range(start..end)
            .filter_map(|(key, entry)| match (key, &entry.row) {
                (RowKey::Target(name), Some(TableRow::Target(row))) => {
                    Some(TargetRef { name, row })
                }
                _ => None,
            })
    }

    /// A target's row; `None` if it does not exist or was deleted.
    pub fn target(&self, name: &TargetName) -> Option<&TargetRow> {
        match &self.rows.get(&RowKey::Target(name.clone()))?.row {
            Some(TableRow::Target(row)) => Some(row.as_ref()),
            _ => None,
        }
    }

    /// A team's row; `None` if it does not exist or was deleted.
    pub fn team(&self, name: &TeamName) -> Option<&TeamRow> {
        match &self.rows.get(&RowKey::Team(name.clone()))?.row {
            Some(TableRow::Team(row)) => Some(row),
            _ => None,
        }
    }

    /// The team whose callers send the bearer key with this digest.
    pub fn team_by_key(&self, digest: &KeyDigest) -> Option<(&TeamName, &TeamRow)> {
        let name = self.teams_by_key.get(digest)?;
        let row = self.team(name)?;
        Some((name, row))
    }

    /// A failure domain's row; `None` if it does not exist or was deleted.
    pub fn domain(&self, name: &DomainName) -> Option<&DomainRow> {
        match &self.rows.get(&RowKey::Domain(name.clone()))?.row {
            Some(TableRow::Domain(row)) => Some(row),
            _ => None,
        }
    }

    /// Whether the target and its failure domain both take new work.
    pub fn in_service(&self, row: &TargetRow) -> bool {
        let domain_in_service = self
            .domain(&row.domain)
            .is_some_and(|domain| domain.state == ServiceState::In);
        domain_in_service && row.state == ServiceState::In
    }

    /// Whether the owner of `target` has approved `team` for it.
    ///
    /// Only rows written by the target's current owner count. A refusal by the owner
    /// overrides every approval that matches the same target.
    pub fn approved(&self, team: &TeamName, target: TargetRef<'_>) -> bool {
        let start = RowKey::Approval(team.clone(), super::table::TargetPattern::new(""));
        let mut approved = false;
        for (key, entry) in self.rows.range(start..) {
            let RowKey::Approval(row_team, pattern) = key else {
                break;
            };
            if row_team != team {
                break;
            }
            let Some(TableRow::Approval(row)) = &entry.row else {
                continue;
            };
            if entry.author != target.row.owner || !pattern.matches(target.name) {
                continue;
            }
            if !row.approved {
                return false;
            }
            approved = true;
        }
        approved
    }

    /// Targets of `model` that are in service and whose owners have approved `team`.
    pub fn eligible_targets<'a>(
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
