//! Command line for operators.

use plantainnotch::cmd::ctl;

fn main() -> eyre::Result<()> {
    ctl::run(ctl::options().run())
}
