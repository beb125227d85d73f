//! `notchctl`: the operators' command.

pub mod change;
pub mod explain;
pub mod fleet;
pub mod options;
pub mod service;
pub mod status;
pub mod table;

use eyre::Result;

pub use options::{CtlCommand, CtlOptions, TableCommand, options};

/// Runs a command.
///
/// # Errors
///
/// Fails when the log cannot be read, the input is faulty, or a change was not accepted.
pub fn run(options: CtlOptions) -> Result<()> {
    actix::System::new().block_on(async move {
        let fleet = fleet::FleetClient::new(&options.platform);
        let author = options.author.as_deref();
        match &options.command {
            CtlCommand::Table(TableCommand::Export { file }) => {
                table::export(&fleet, file.as_deref()).await
            }
            CtlCommand::Table(TableCommand::Import { file }) => {
                table::import(&fleet, file, author, options.wait).await
            }
            CtlCommand::Table(TableCommand::Set { kind, name, cells }) => {
                table::set(&fleet, kind, name, cells, author, options.wait).await
            }
            CtlCommand::Table(TableCommand::History { name }) => {
                table::history(&fleet, name.as_deref()).await
            }
            CtlCommand::Service(change) => service::run(&fleet, change, author, options.wait).await,
            CtlCommand::Status => status::run(&fleet).await,
            CtlCommand::Explain { request } => explain::run(&fleet, request).await,
        }
    })
}
