//! `notchctl`: the command line for operators.

pub mod change;
pub mod explain;
pub mod fleet;
pub mod key;
pub mod options;
pub mod service;
pub mod status;
pub mod table;
pub mod trace;

use eyre::{Result, ensure};

use change::ChangeAuthor;
use fleet::FleetClient;
pub use options::{CtlCommand, CtlOptions, KeyCommand, TableCommand, options};

/// Runs the subcommand that the options hold.
///
/// # Errors
///
/// Fails when the log cannot be read, the input is invalid, or a change was not accepted.
pub fn run(options: CtlOptions) -> Result<()> {
    match &options.command {
        CtlCommand::Key(KeyCommand::New { file }) => key::new(file),
        CtlCommand::Key(KeyCommand::Show { file }) => key::show(file),
        CtlCommand::Trace { request, files } => trace::run(request, files),
        _ => actix::System::new().block_on(run_with_fleet(options)),
    }
}

async fn run_with_fleet(options: CtlOptions) -> Result<()> {
    ensure!(
        !options.platform.is_empty(),
        "the platform is not named; set --platform or NOTCH_PLATFORM to its URL"
    );
    let fleet = FleetClient::new(&options.platform);
    let author = || {
        let key_file = options.key_file.as_deref();
        ChangeAuthor::from_settings(options.author.as_deref(), key_file)
    };
    match &options.command {
        CtlCommand::Table(TableCommand::Export { file }) => {
            table::export(&fleet, file.as_deref()).await
        }
        CtlCommand::Table(TableCommand::Import { file }) => {
            table::import(&fleet, file, &author()?, options.wait).await
        }
        CtlCommand::Table(TableCommand::Set { kind, name, cells }) => {
            table::set(&fleet, kind, name, cells, &author()?, options.wait).await
        }
        CtlCommand::Table(TableCommand::History { name }) => {
            table::history(&fleet, name.as_deref()).await
        }
        CtlCommand::Service(change) => service::run(&fleet, change, &author()?, options.wait).await,
        CtlCommand::Key(_) | CtlCommand::Trace { .. } => Ok(()),
        CtlCommand::Status => status::run(&fleet).await,
        CtlCommand::Explain { request } => explain::run(&fleet, request).await,
    }
}
