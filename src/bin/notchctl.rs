//! Operators' command.

use plantainnotch::cmd::ctl;

fn main() -> eyre::Result<()> {
    ctl::run(ctl::options().run())
}
