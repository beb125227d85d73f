//! `notchctl trace`: what collected logs say of a request.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use eyre::{Context, Result, bail};
use serde_json::Value;

/// One line of a log that names the request.
#[derive(Debug, PartialEq)]
pub struct TraceLine {
    /// When it was written, as the log tells.
    pub timestamp: String,
    /// What it says, with its fields in order of their names.
    pub text: String,
}

/// Prints what `files` say of `request`, in order of time.
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
        bail!("no line names {request}; name the logs of all VMs, from before its first answer");
    }
    lines.sort_by(|a: &TraceLine, b| a.timestamp.cmp(&b.timestamp));
    for line in lines {
        println!("{} {}", line.timestamp, line.text);
    }
    Ok(())
}

fn read_lines(request: &str, path: &Path) -> Result<Vec<TraceLine>> {
    let file = File::open(path).wrap_err_with(|| format!("cannot read {}", path.display()))?;
    let mut found = Vec::new();
    for line in BufReader::new(file).lines() {
        let line = line.wrap_err_with(|| format!("cannot read {}", path.display()))?;
        found.extend(parse_line(request, &line));
    }
    Ok(found)
}

/// Reads one line if it names `request`. Text before the JSON, such as a collector's own
/// prefix, is passed over.
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
