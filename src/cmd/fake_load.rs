//! `notch-fake load`: sends seeded requests and prints their outcomes.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use eyre::{Result, WrapErr, bail, eyre};

use crate::fake::load::{self, LoadClass, LoadPlan, LoadSample, LoadSummary, LoadTeam};

const AUDIT_DELAY: Duration = Duration::from_millis(1500);

/// Flags of `notch-fake load` as given, unchecked.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    entry: String,
    direct: Option<String>,
    audits: Option<String>,
    model: String,
    service: String,
    class: Vec<String>,
    team: Vec<String>,
    seconds: f64,
    seed: u64,
    csv: Option<PathBuf>,
}

/// The command line of `notch-fake load`.
pub fn options() -> impl Parser<LoadOptions> {
    let entry = long("entry")
        .help("IP and port of the entry that the list of entries is fetched from")
        .argument::<String>("ADDRESS");
    let direct = long("direct")
        .help("IP and port of a target that gets every second request directly")
        .argument::<String>("ADDRESS")
        .optional();
    let audits = long("audits")
        .help("Targets whose audits are read at the end, separated by commas")
        .argument::<String>("ADDRESSES")
        .optional();
    let model = long("model")
        .argument::<String>("NAME")
        .fallback("appraisal".into());
    let service = long("service")
        .argument::<String>("NAME")
        .fallback("registry".into());
    let class = long("class")
        .help("NAME:PROMPT:OUTPUT:PER_SECOND:TIMEOUT_SECONDS; a prompt of 0 is a service call")
        .argument::<String>("CLASS")
        .some("name at least one --class");
    let team = long("team")
        .help("KEY:SHARE of the arrivals")
        .argument::<String>("TEAM")
        .some("name at least one --team");
    let seconds = long("seconds").argument::<f64>("SECONDS").fallback(10.0);
    let seed = long("seed").argument::<u64>("SEED").fallback(1);
    let csv = long("csv")
        .help("Write every sample to this file")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(LoadOptions {
        entry,
        direct,
        audits,
        model,
        service,
        class,
        team,
        seconds,
        seed,
        csv
    })
}

impl LoadOptions {
    fn plan(&self) -> Result<LoadPlan> {
        Ok(LoadPlan {
            entry: self.entry.clone(),
            direct_target: self.direct.clone(),
            audited_targets: split_list(self.audits.as_deref().unwrap_or("")),
            model: self.model.clone(),
            service: self.service.clone(),
            classes: self
                .class
                .iter()
                .map(|text| parse_class(text))
                .collect::<Result<_>>()?,
            teams: self
                .team
                .iter()
                .map(|text| parse_team(text))
                .collect::<Result<_>>()?,
            duration: Duration::from_secs_f64(self.seconds),
            seed: self.seed,
        })
    }
}

fn split_list(text: &str) -> Vec<String> {
    let parts = text.split(',').filter(|part| !part.is_empty());
    parts.map(str::to_owned).collect()
}

fn parse_class(text: &str) -> Result<LoadClass> {
    let parts: Vec<&str> = text.split(':').collect();
    let [name, prompt_tokens, output_tokens, arrivals_per_s, timeout] = parts[..] else {
        bail!(
            "--class {text:?} does not have five parts; write NAME:PROMPT:OUTPUT:PER_SECOND:TIMEOUT_SECONDS"
        );
    };
    Ok(LoadClass {
        name: name.to_owned(),
        prompt_tokens: prompt_tokens.parse().wrap_err("fix PROMPT")?,
        output_tokens: output_tokens.parse().wrap_err("fix OUTPUT")?,
        arrivals_per_s: arrivals_per_s.parse().wrap_err("fix PER_SECOND")?,
        timeout: Duration::from_secs_f64(timeout.parse().wrap_err("fix TIMEOUT_SECONDS")?),
    })
}

fn parse_team(text: &str) -> Result<LoadTeam> {
    let (key, share) = text
        .split_once(':')
        .ok_or_else(|| eyre!("--team {text:?} has no share; write KEY:SHARE"))?;
    Ok(LoadTeam {
        key: key.to_owned(),
        share: share.parse().wrap_err("fix SHARE")?,
    })
}

/// Runs the load, and prints a table and a JSON summary.
///
/// # Errors
///
/// Fails when a flag is invalid, the CSV file cannot be written, a request had a wrong
/// response or no final one in time, or a non-idempotent request ran twice or after a refusal.
pub fn run(options: &LoadOptions) -> Result<()> {
    let plan = options.plan()?;
    let csv = options.csv.clone();
    actix::System::new().block_on(async move {
        let samples = load::run(plan.clone()).await;
        tokio::time::sleep(AUDIT_DELAY).await;
        let summary = load::summarise(&plan, &samples).await;
        if let Some(file) = csv {
            write_csv(&file, &samples)?;
        }
        print_table(&samples, &summary);
        println!("{}", serde_json::to_string(&summary)?);
        if summary.late + summary.wrong + summary.executed_twice + summary.untrue_not_run > 0 {
            bail!(
                "a request had no final response in time, a wrong response, ran twice or ran after a refusal; see the table"
            );
        }
        Ok(())
    })
}

fn write_csv(file: &std::path::Path, samples: &[LoadSample]) -> Result<()> {
    let mut writer = csv::Writer::from_path(file)
        .wrap_err_with(|| format!("cannot write {}; name another file", file.display()))?;
    for sample in samples {
        writer.serialize(sample)?;
    }
    writer.flush()?;
    Ok(())
}

fn print_table(samples: &[LoadSample], summary: &LoadSummary) {
    println!(
        "{:<16} {:>6} {:>9} {:>9} {:>9}   outcomes",
        "class", "n", "p50 ms", "p95 ms", "p99 ms"
    );
    let mut classes: BTreeMap<&str, BTreeMap<String, usize>> = BTreeMap::new();
    for sample in samples {
        let label = if sample.error.is_empty() {
            format!("{:?}", sample.outcome)
        } else {
            format!("{:?}({})", sample.outcome, sample.error)
        };
        *classes
            .entry(&sample.class)
            .or_default()
            .entry(label)
            .or_default() += 1;
    }
    for (class, outcomes) in classes {
        let ttft = summary.ttft_ms.get(class).cloned().unwrap_or_default();
        let count: usize = outcomes.values().sum();
        let parts: Vec<String> = outcomes
            .iter()
            .map(|(label, n)| format!("{label} {n}"))
            .collect();
        println!(
            "{class:<16} {count:>6} {:>9.1} {:>9.1} {:>9.1}   {}",
            ttft.p50,
            ttft.p95,
            ttft.p99,
            parts.join(", ")
        );
    }
}
