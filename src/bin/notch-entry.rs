//! Entry: serves callers over HTTP.

use plantainnotch::{cmd, config};

fn main() -> eyre::Result<()> {
    let settings = config::entry_options().run().check()?;
    cmd::entry::run(settings)
}
