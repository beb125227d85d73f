//! Import and export of the table as CSV, for editing in a spreadsheet.

use std::collections::BTreeSet;

use csv::{ReaderBuilder, StringRecord, WriterBuilder};

use super::fold::View;
use super::signature::{PublicKey, SecretKey};
use super::table::{
    ApprovalRow, DomainRow, KeyDigest, OperatorRow, RowKey, ServiceState, TableRow, TargetKind,
    TargetPattern, TargetRow, TeamRow,
};
use crate::error::ErrorList;
use crate::ids::{AuthorName, DomainName, ModelName, TargetName, TeamName};

/// Columns of the sheet, in the order of an export.
pub const COLUMNS: [&str; 16] = [
    "kind",
    "name",
    "target",
    "domain",
    "owner",
    "model",
    "address",
    "memory_tokens",
    "cold_limit",
    "warm_limit",
    "fencing",
    "version",
    "weight",
    "ceiling_tokens",
    "key",
    "state",
];

const DIGEST_PREFIX: &str = "sha256:";

/// Result of reading a sheet.
pub type Result<T> = std::result::Result<T, ErrorList>;

/// One row read from a sheet.
#[derive(Debug, Clone, PartialEq)]
pub struct SheetRow {
    /// Key of the row, from the columns `kind`, `name` and `target`.
    pub key: RowKey,
    /// Content of the row, from the remaining columns.
    pub row: TableRow,
}

/// Parses a whole sheet, delimited by commas or semicolons.
///
/// # Errors
///
/// Fails with all errors found, each with file and remedy. An error in a cell also has line and
/// column; the list ends at the first line that is not valid CSV.
///
/// ```
/// use plantainnotch::view::sheet;
/// let rows = sheet::read("table.csv", "kind,name,state\ndomain,rw-a,in\n")?;
/// assert_eq!(rows.len(), 1);
/// assert!(sheet::read("table.csv", "kind,name,state\ndomain,rw-a,maybe\n").is_err());
/// # Ok::<(), plantainnotch::error::ErrorList>(())
/// ```
pub fn read(file: &str, text: &str) -> Result<Vec<SheetRow>> {
    let text = text.trim_start_matches('\u{feff}');
    let mut parser = SheetParser {
        file: file.to_owned(),
        headers: StringRecord::new(),
        errors: Vec::new(),
    };
    let header_line = text.lines().next().unwrap_or_default();
    let delimiter = if header_line.contains(';') {
        b';'
    } else {
        b','
    };
    let mut reader = ReaderBuilder::new()
        .delimiter(delimiter)
        .flexible(true)
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    match reader.headers() {
        Ok(headers) => parser.headers = headers.clone(),
        Err(error) => parser
            .errors
            .push(format!("{file}:1: {error}; save the sheet as CSV in UTF-8")),
    }
    parser.check_headers();
    let mut rows = Vec::new();
    let mut seen = BTreeSet::new();
    for record in reader.records() {
        let record = match record {
            Ok(record) => record,
            Err(error) => {
                parser
                    .errors
                    .push(format!("{file}: {error}; save the sheet as CSV in UTF-8"));
                break;
            }
        };
        let line_number = record.position().map_or(0, csv::Position::line);
        let line = SheetLine {
            record: &record,
            line_number,
        };
        if let Some(row) = parser.row(line) {
            if !seen.insert(row.key.clone()) {
                parser.report_error(
                    line_number,
                    "name",
                    &format!("{} occurs twice", row.key),
                    "delete one of the rows",
                );
            }
            rows.push(row);
        }
    }
    ErrorList::check(parser.errors)?;
    Ok(rows)
}

/// Writes all rows of a view that are not deleted.
pub fn write(view: &View) -> String {
    let mut writer = WriterBuilder::new().from_writer(Vec::new());
    writer.write_record(COLUMNS).ok();
    for (key, entry) in view.rows() {
        if let Some(row) = &entry.row {
            writer.write_record(cells_of(key, row)).ok();
        }
    }
    let bytes = writer.into_inner().unwrap_or_default();
    String::from_utf8(bytes).unwrap_or_default()
}

fn cells_of(key: &RowKey, row: &TableRow) -> Vec<String> {
    let mut cells: Vec<String> = vec![String::new(); COLUMNS.len()];
    let mut set = |column: &str, value: &dyn ToString| {
        if let Some(index) = COLUMNS.iter().position(|name| *name == column) {
            cells[index] = value.to_string();
        }
    };
    match (key, row) {
        (RowKey::Domain(name), TableRow::Domain(row)) => {
            set("kind", &"domain");
            set("name", name);
            set("state", &state_text(row.state));
        }
        (RowKey::Target(name), TableRow::Target(row)) => {
            let kind = match row.kind {
                TargetKind::Engine => "engine",
                TargetKind::Service => "service",
            };
            set("kind", &kind);
            set("name", name);
            set("domain", &row.domain);
            set("owner", &row.owner);
            set("model", &row.model);
            set("address", &row.address);
            set("memory_tokens", &row.memory_tokens);
            set("cold_limit", &row.cold_limit);
            set("warm_limit", &row.warm_limit);
            set("fencing", &if row.checks_fencing { "yes" } else { "no" });
            set("version", &row.version.as_deref().unwrap_or_default());
            set("state", &state_text(row.state));
        }
        (RowKey::Team(name), TableRow::Team(row)) => {
            set("kind", &"team");
            set("name", name);
            set("weight", &row.weight);
            set("ceiling_tokens", &row.ceiling_tokens);
            set("key", &format!("{DIGEST_PREFIX}{}", row.key));
        }
        (RowKey::Approval(team, pattern), TableRow::Approval(row)) => {
            set("kind", &"approval");
            set("name", team);
            set("target", &pattern.as_str());
            set("state", &if row.approved { "approved" } else { "refused" });
        }
        (RowKey::Operator(name), TableRow::Operator(row)) => {
            set("kind", &"operator");
            set("name", name);
            set("key", &row.key);
        }
        _ => {}
    }
    cells
}

fn state_text(state: ServiceState) -> &'static str {
    match state {
        ServiceState::In => "in",
        ServiceState::Out => "out",
    }
}

/// One line of the sheet, with its line number in the file.
#[derive(Clone, Copy)]
struct SheetLine<'a> {
    record: &'a StringRecord,
    line_number: u64,
}

/// Collects the errors of a sheet. A faulty cell yields a placeholder, which is never
/// returned because [`read`] fails on any error.
struct SheetParser {
    file: String,
    headers: StringRecord,
    errors: Vec<String>,
}

impl SheetParser {
    fn report_error(&mut self, line_number: u64, column: &str, problem: &str, remedy: &str) {
        let file = &self.file;
        self.errors.push(format!(
            "{file}:{line_number}: column {column}: {problem}; {remedy}"
        ));
    }

    fn check_headers(&mut self) {
        let unknown: Vec<String> = self
            .headers
            .iter()
            .filter(|name| !COLUMNS.contains(name))
            .map(str::to_owned)
            .collect();
        for name in unknown {
            let remedy = format!("use only {}", COLUMNS.join(", "));
            self.report_error(1, &name, "no such column", &remedy);
        }
        for name in ["kind", "name"] {
            if !self.headers.iter().any(|header| header == name) {
                self.report_error(1, name, "the column is missing", "add it");
            }
        }
    }

    fn cell<'a>(&self, line: SheetLine<'a>, column: &str) -> &'a str {
        let index = self.headers.iter().position(|name| name == column);
        index.and_then(|index| line.record.get(index)).unwrap_or("")
    }

    fn text(&mut self, line: SheetLine<'_>, column: &str) -> String {
        let text = self.cell(line, column).to_owned();
        if text.is_empty() {
            self.report_error(line.line_number, column, "the cell is empty", "fill it in");
        }
        text
    }

    fn number(&mut self, line: SheetLine<'_>, column: &str, min: u64, max: u64) -> u64 {
        let text = self.cell(line, column).to_owned();
        match text.parse::<u64>() {
            Ok(number) if (min..=max).contains(&number) => number,
            _ => {
                let problem = format!("{text:?} is not a whole number from {min} to {max}");
                self.report_error(line.line_number, column, &problem, "correct the cell");
                min
            }
        }
    }

    /// The value that belongs to the cell's text; an empty cell means the first choice.
    fn choice<T: Copy>(&mut self, line: SheetLine<'_>, column: &str, choices: [(&str, T); 2]) -> T {
        let text = self.cell(line, column).to_lowercase();
        let found = choices.iter().find(|(name, _)| *name == text);
        if let Some((_, value)) = found {
            return *value;
        }
        if !text.is_empty() {
            let problem = format!("{text:?} is not a valid value");
            let remedy = format!("use {} or {}", choices[0].0, choices[1].0);
            self.report_error(line.line_number, column, &problem, &remedy);
        }
        choices[0].1
    }

    fn state(&mut self, line: SheetLine<'_>) -> ServiceState {
        self.choice(
            line,
            "state",
            [("in", ServiceState::In), ("out", ServiceState::Out)],
        )
    }

    fn row(&mut self, line: SheetLine<'_>) -> Option<SheetRow> {
        let kind = self.cell(line, "kind").to_owned();
        let name = self.text(line, "name");
        match kind.as_str() {
            "domain" => Some(SheetRow {
                key: RowKey::Domain(DomainName::new(name)),
                row: TableRow::Domain(DomainRow {
                    state: self.state(line),
                }),
            }),
            "engine" => Some(self.target(line, name, TargetKind::Engine)),
            "service" => Some(self.target(line, name, TargetKind::Service)),
            "team" => Some(self.team(line, name)),
            "operator" => Some(self.operator(line, name)),
            "approval" => Some(SheetRow {
                key: RowKey::Approval(
                    TeamName::new(name),
                    TargetPattern::new(self.text(line, "target")),
                ),
                row: TableRow::Approval(ApprovalRow {
                    approved: self.choice(line, "state", [("approved", true), ("refused", false)]),
                }),
            }),
            other => {
                let problem = format!("{other:?} is not a kind of row");
                self.report_error(
                    line.line_number,
                    "kind",
                    &problem,
                    "use domain, engine, service, team, approval or operator",
                );
                None
            }
        }
    }

    fn target(&mut self, line: SheetLine<'_>, name: String, kind: TargetKind) -> SheetRow {
        let address = self.text(line, "address");
        if !address.is_empty() && address.parse::<std::net::SocketAddr>().is_err() {
            let problem = format!("{address:?} is not an IP and port");
            self.report_error(
                line.line_number,
                "address",
                &problem,
                "write it like 10.0.0.1:9000",
            );
        }
        let cold_limit = self.number(line, "cold_limit", 1, 100_000) as u32;
        let warm_limit = self.number(line, "warm_limit", 1, 100_000) as u32;
        if warm_limit < cold_limit {
            let problem = "the warm limit is below the cold limit";
            self.report_error(line.line_number, "warm_limit", problem, "raise it");
        }
        let row = TargetRow {
            kind,
            domain: DomainName::new(self.text(line, "domain")),
            owner: AuthorName::new(self.text(line, "owner")),
            model: ModelName::new(self.text(line, "model")),
            address,
            memory_tokens: self.number(line, "memory_tokens", 1, 1 << 40),
            cold_limit,
            warm_limit,
            checks_fencing: self.choice(line, "fencing", [("no", false), ("yes", true)]),
            version: Some(self.cell(line, "version").to_owned()).filter(|text| !text.is_empty()),
            state: self.state(line),
        };
        SheetRow {
            key: RowKey::Target(TargetName::new(name)),
            row: TableRow::Target(Box::new(row)),
        }
    }

    fn operator(&mut self, line: SheetLine<'_>, name: String) -> SheetRow {
        let text = self.text(line, "key");
        let key = PublicKey::parse(&text).unwrap_or_else(|error| {
            self.report_error(
                line.line_number,
                "key",
                &error.to_string(),
                "correct the cell",
            );
            SecretKey::random().public()
        });
        SheetRow {
            key: RowKey::Operator(AuthorName::new(name)),
            row: TableRow::Operator(OperatorRow { key }),
        }
    }

    fn team(&mut self, line: SheetLine<'_>, name: String) -> SheetRow {
        let key = self.text(line, "key");
        let digest = match key.strip_prefix(DIGEST_PREFIX) {
            Some(hex) => KeyDigest::parse_hex(hex).unwrap_or_else(|| {
                let problem = "the digest does not have 64 hexadecimal digits";
                let remedy = "write the key itself, or its whole digest";
                self.report_error(line.line_number, "key", problem, remedy);
                KeyDigest::of_key("")
            }),
            None => KeyDigest::of_key(&key),
        };
        let row = TeamRow {
            weight: self.number(line, "weight", 1, 1_000_000) as u32,
            ceiling_tokens: self.number(line, "ceiling_tokens", 1, 1 << 40),
            key: digest,
        };
        SheetRow {
            key: RowKey::Team(TeamName::new(name)),
            row: TableRow::Team(row),
        }
    }
}
