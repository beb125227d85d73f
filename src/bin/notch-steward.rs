//! Steward: folds the log, watches peers, owns the ledgers of targets and teams.

use plantainnotch::{cmd, config};

fn main() -> eyre::Result<()> {
    let settings = config::steward_options().run().check()?;
    cmd::steward::run(settings)
}
