//! The command line of `notchctl`.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional, pure};

use crate::view::table::ServiceState;

/// Parsed command line of `notchctl`.
#[derive(Debug, Clone)]
pub struct CtlOptions {
    /// URL of the platform.
    pub platform: String,
    /// Name of the author of changes.
    pub author: Option<String>,
    /// File with the author's secret key.
    pub key_file: Option<PathBuf>,
    /// Whether to wait until a change is in force.
    pub wait: bool,
    /// The subcommand and its arguments.
    pub command: CtlCommand,
}

/// A subcommand of `notchctl`.
#[derive(Debug, Clone)]
pub enum CtlCommand {
    /// Reads or changes the table.
    Table(TableCommand),
    /// Takes a failure domain or target out of service, or puts it back.
    Service(ServiceChange),
    /// Creates or shows an operator's key.
    Key(KeyCommand),
    /// Prints members, failure domains and targets.
    Status,
    /// Prints why a request was sent to its targets.
    Explain {
        /// The request's id.
        request: String,
    },
    /// Prints the lines of collected logs of notch-node that name a request.
    Trace {
        /// The request's id.
        request: String,
        /// Log files of JSON lines.
        files: Vec<PathBuf>,
    },
}

/// A subcommand of `notchctl key`.
#[derive(Debug, Clone)]
pub enum KeyCommand {
    /// Creates a secret key.
    New {
        /// The file to create.
        file: PathBuf,
    },
    /// Prints the public key of a secret one.
    Show {
        /// The file of the secret key.
        file: PathBuf,
    },
}

/// A subcommand of `notchctl table`.
#[derive(Debug, Clone)]
pub enum TableCommand {
    /// Writes the table as CSV.
    Export {
        /// The CSV file to write; standard output if absent.
        file: Option<PathBuf>,
    },
    /// Checks a whole sheet, and appends the rows that differ; rows missing in the sheet stay.
    Import {
        /// The CSV file to read.
        file: PathBuf,
    },
    /// Changes cells of one row; creates the row if it is absent.
    Set {
        /// Kind of the row.
        kind: String,
        /// Name of the row; for an approval TEAM@TARGET.
        name: String,
        /// New values, each as COLUMN=VALUE.
        cells: Vec<String>,
    },
    /// Shows who changed what and when.
    History {
        /// Only rows whose key contains this.
        name: Option<String>,
    },
}

/// A failure domain or target to take out of service or put back.
#[derive(Debug, Clone)]
pub struct ServiceChange {
    /// True for a failure domain, false for a target.
    pub is_domain: bool,
    /// Name of the failure domain or target.
    pub name: String,
    /// The new state.
    pub state: ServiceState,
}

fn table_command() -> impl Parser<CtlCommand> {
    let file = positional::<PathBuf>("FILE").optional();
    let export = construct!(TableCommand::Export { file })
        .to_options()
        .descr("Write the table as CSV")
        .command("export");
    let file = positional::<PathBuf>("FILE");
    let import = construct!(TableCommand::Import { file })
        .to_options()
        .descr("Check a whole sheet, and append the rows that differ")
        .command("import");
    let kind = positional::<String>("KIND");
    let name = positional::<String>("NAME");
    let cells = positional::<String>("COLUMN=VALUE").some("name at least one COLUMN=VALUE");
    let set = construct!(TableCommand::Set { kind, name, cells })
        .to_options()
        .descr("Change cells of one row")
        .command("set");
    let name = positional::<String>("NAME").optional();
    let history = construct!(TableCommand::History { name })
        .to_options()
        .descr("Show who changed what and when")
        .command("history");
    let command = construct!([export, import, set, history]);
    command
        .map(CtlCommand::Table)
        .to_options()
        .descr("The table of failure domains, targets, teams, approvals and operators")
        .command("table")
}

fn key_command() -> impl Parser<CtlCommand> {
    let file = positional::<PathBuf>("FILE");
    let new = construct!(KeyCommand::New { file })
        .to_options()
        .descr("Create a secret key in a new file, and print its public key")
        .command("new");
    let file = positional::<PathBuf>("FILE");
    let show = construct!(KeyCommand::Show { file })
        .to_options()
        .descr("Print the public key of a secret one")
        .command("show");
    construct!([new, show])
        .map(CtlCommand::Key)
        .to_options()
        .descr("Operators' keys")
        .command("key")
}

fn state_command(
    is_domain: bool,
    command_name: &'static str,
    state: ServiceState,
) -> impl Parser<ServiceChange> {
    let name = positional::<String>("NAME");
    let is_domain = pure(is_domain);
    let state = pure(state);
    construct!(ServiceChange {
        is_domain,
        state,
        name
    })
    .to_options()
    .descr("Take out of service, or put back")
    .command(command_name)
}

fn service_command(is_domain: bool, command_name: &'static str) -> impl Parser<CtlCommand> {
    let out = state_command(is_domain, "out", ServiceState::Out);
    let back = state_command(is_domain, "in", ServiceState::In);
    construct!([out, back])
        .map(CtlCommand::Service)
        .to_options()
        .descr("Take out of service, or put back")
        .command(command_name)
}

/// The command line of `notchctl`.
pub fn options() -> OptionParser<CtlOptions> {
    let platform = long("platform")
        .env("NOTCH_PLATFORM")
        .help("URL of the platform, such as http://10.0.0.1:7000")
        .argument::<String>("URL")
        .fallback(String::new());
    let author = long("author")
        .env("NOTCH_AUTHOR")
        .help("Name of the author of the change")
        .argument::<String>("NAME")
        .optional();
    let key_file = long("key-file")
        .env("NOTCH_KEY_FILE")
        .help("File with the author's secret key")
        .argument::<PathBuf>("FILE")
        .optional();
    let wait = long("wait")
        .help("Wait until the change is in force, and print on which VMs")
        .switch();
    let table = table_command();
    let domain = service_command(true, "domain");
    let target = service_command(false, "target");
    let key = key_command();
    let status = pure(CtlCommand::Status)
        .to_options()
        .descr("Show members, failure domains and targets")
        .command("status");
    let request = positional::<String>("REQUEST");
    let explain = construct!(CtlCommand::Explain { request })
        .to_options()
        .descr("Show why a request was sent to its targets")
        .command("explain");
    let request = positional::<String>("REQUEST");
    let files = positional::<PathBuf>("LOG").some("name at least one log file");
    let trace = construct!(CtlCommand::Trace { request, files })
        .to_options()
        .descr("Show what collected logs of notch-node have about a request, in order of time")
        .command("trace");
    let command = construct!([table, domain, target, key, status, explain, trace]);
    construct!(CtlOptions {
        platform,
        author,
        key_file,
        wait,
        command
    })
    .to_options()
    .descr("Command line for operators: the table, failure domains, targets, status")
    .version(env!("CARGO_PKG_VERSION"))
}
