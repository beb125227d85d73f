//! `notchctl trace`: the lines of collected logs of notch-node that name a request.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use eyre::{Context, Result, bail};
use serde_json::Value;

/// One line of a log that names the request.
#[derive(Debug, PartialEq)]
pub struct TraceLine {
    /// Time at which it was written, as the line has it.
    pub timestamp: String,
    /// Its message, then its fields in order of their names, without id, level and target.
    pub text: String,
}

/// Prints the lines of `files` that name `request`, in order of time.
///
/// # Errors
///
/// Fails when a file cannot be read, or no line names the request.
pub fn run(request: &str, files: &[PathBuf]) -> Result<()> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_lines(request, file)?);
    }
    if lines.is_empty() {
        bail!(
            "no line names {request}; give the logs of all VMs, starting before its first response"
        );
    }
    lines.sort_by(|a: &TraceLine, b| a.timestamp.cmp(&b.timestamp));
    for line in lines {
        println!("{} {}", line.timestamp, line.text);
    }
    Ok(())
}

fn read_lines(request: &str, path: &Path) -> Result<Vec<TraceLine>> {
    let file = File::open(path).wrap_err_with(|| format!("cannot read {}", path.display()))?;
    let mut lines_found = Vec::new();
    for line in BufReader::new(file).lines() {
        let line = line.wrap_err_with(|| format!("cannot read {}", path.display()))?;
        lines_found.extend(parse_line(request, &line));
    }
    Ok(lines_found)
}

/// Reads one line if it names `request`. Text before the JSON, such as a collector's
/// prefix, is skipped.
///
/// ```
/// use plantainnotch::cmd::ctl::trace::parse_line;
/// let line = r#"vm-1 {"timestamp":"t","message":"placed","id":"r1","replica":"e"}"#;
/// assert_eq!(parse_line("r1", line).unwrap().text, "placed replica=\"e\"");
/// assert!(parse_line("r2", line).is_none());
/// ```
pub fn parse_line(request: &str, line: &str) -> Option<TraceLine> {
    let json = &line[line.find('{')?..];
    let fields: Value = serde_json::from_str(json).ok()?;
    let fields = fields.as_object()?;
    if fields.get("id")?.as_str()? != request {
        return None;
    }
    let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or_default();
    let rest: Vec<String> = fields
        .iter()
        .filter(|(name, _)| {
            !["timestamp", "message", "id", "level", "target"].contains(&name.as_str())
        })
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    Some(TraceLine {
        timestamp: text("timestamp").to_owned(),
        text: format!("{} {}", text("message"), rest.join(" ")),
    })
}
