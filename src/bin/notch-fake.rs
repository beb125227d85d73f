//! Fake platform, fake targets, the load generator and the fuzzer.

use bpaf::{OptionParser, Parser, construct};
use plantainnotch::cmd::{fake_decisions, fake_fuzz, fake_load, fake_platform, fake_target};

#[derive(Debug, Clone)]
enum FakeCommand {
    Platform(fake_platform::PlatformOptions),
    Target(fake_target::TargetOptions),
    Load(fake_load::LoadOptions),
    Decisions(fake_decisions::DecisionsOptions),
    Fuzz(fake_fuzz::FuzzOptions),
}

fn options() -> OptionParser<FakeCommand> {
    let platform = fake_platform::options()
        .map(FakeCommand::Platform)
        .to_options()
        .descr("Fake platform: log and list of VMs")
        .command("platform");
    let target = fake_target::options()
        .map(FakeCommand::Target)
        .to_options()
        .descr("Fake target: an engine or a plain service")
        .command("target");
    let load = fake_load::options()
        .map(FakeCommand::Load)
        .to_options()
        .descr("Seeded load, with a table and a JSON summary")
        .command("load");
    let decisions = fake_decisions::options()
        .map(FakeCommand::Decisions)
        .to_options()
        .descr("Measures placement decisions per second")
        .command("decisions");
    let fuzz = fake_fuzz::options()
        .map(FakeCommand::Fuzz)
        .to_options()
        .descr("Sends seeded bytes, valid and not, to a listener, and checks that it still serves")
        .command("fuzz");
    construct!([platform, target, load, decisions, fuzz])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
}

fn main() -> eyre::Result<()> {
    match options().run() {
        FakeCommand::Platform(options) => fake_platform::run(options),
        FakeCommand::Target(options) => fake_target::run(options),
        FakeCommand::Load(options) => fake_load::run(&options),
        FakeCommand::Fuzz(options) => fake_fuzz::run(options),
        FakeCommand::Decisions(options) => {
            fake_decisions::run(&options);
            Ok(())
        }
    }
}
