//! The command line of `notchctl`.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional, pure};

use crate::view::table::ServiceState;

/// A whole command line.
#[derive(Debug, Clone)]
pub struct CtlOptions {
    /// URL of the platform.
    pub platform: String,
    /// Who makes changes.
    pub author: Option<String>,
    /// File with the author's secret key.
    pub key_file: Option<PathBuf>,
    /// Whether to wait until a change is in force.
    pub wait: bool,
    /// What to do.
    pub command: CtlCommand,
}

/// What to do.
#[derive(Debug, Clone)]
pub enum CtlCommand {
    /// Something with the table.
    Table(TableCommand),
    /// Taking a failure domain or target out of service or back.
    Service(ServiceChange),
    /// Something with an operator's key.
    Key(KeyCommand),
    /// How the fleet stands.
    Status,
    /// Why a request went where it went.
    Explain {
        /// The request's id.
        request: String,
    },
    /// What collected logs say of a request.
    Trace {
        /// The request's id.
        request: String,
        /// Files of JSON lines.
        files: Vec<PathBuf>,
    },
}

/// Something with an operator's key.
#[derive(Debug, Clone)]
pub enum KeyCommand {
    /// Makes a new secret key.
    New {
        /// The file to write.
        file: PathBuf,
    },
    /// Prints the public key of a secret one.
    Show {
        /// The file to read.
        file: PathBuf,
    },
}

/// Something with the table.
#[derive(Debug, Clone)]
pub enum TableCommand {
    /// Writes the table as CSV.
    Export {
        /// The file; standard output if absent.
        file: Option<PathBuf>,
    },
    /// Reads a sheet, and appends the rows that differ.
    Import {
        /// The file.
        file: PathBuf,
    },
    /// Changes cells of one row.
    Set {
        /// Kind of the row.
        kind: String,
        /// Name of the row; for an approval TEAM@TARGET.
        name: String,
        /// COLUMN=VALUE.
        cells: Vec<String>,
    },
    /// Shows who changed what and when.
    History {
        /// Only rows whose key contains this.
        name: Option<String>,
    },
}

/// What goes out of service or comes back.
#[derive(Debug, Clone)]
pub struct ServiceChange {
    /// Whether it is a failure domain, or else a target.
    pub is_domain: bool,
    /// Its name.
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
        .descr("Check a sheet whole, and append the rows that differ")
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
        .descr("The table of weights and limits")
        .command("table")
}

fn key_command() -> impl Parser<CtlCommand> {
    let file = positional::<PathBuf>("FILE");
    let new = construct!(KeyCommand::New { file })
        .to_options()
        .descr("Make a secret key in a new file, and print the public one")
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
    verb: &'static str,
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
    .descr("Take out of service, or back")
    .command(verb)
}

fn service_command(is_domain: bool, noun: &'static str) -> impl Parser<CtlCommand> {
    let out = state_command(is_domain, "out", ServiceState::Out);
    let back = state_command(is_domain, "in", ServiceState::In);
    construct!([out, back])
        .map(CtlCommand::Service)
        .to_options()
        .descr("Take out of service, or back")
        .command(noun)
}

/// The command line.
pub fn options() -> OptionParser<CtlOptions> {
    let platform = long("platform")
        .env("NOTCH_PLATFORM")
        .help("URL of the platform, such as http://10.0.0.1:7000")
        .argument::<String>("URL")
        .fallback(String::new());
    let author = long("author")
        .env("NOTCH_AUTHOR")
        .help("Who makes the change")
        .argument::<String>("NAME")
        .optional();
    let key_file = long("key-file")
        .env("NOTCH_KEY_FILE")
        .help("File with the author's secret key")
        .argument::<PathBuf>("FILE")
        .optional();
    let wait = long("wait")
        .help("Wait until the change is in force, and say where")
        .switch();
    let table = table_command();
    let domain = service_command(true, "domain");
    let target = service_command(false, "target");
    let key = key_command();
    let status = pure(CtlCommand::Status)
        .to_options()
        .descr("How the fleet stands")
        .command("status");
    let request = positional::<String>("REQUEST");
    let explain = construct!(CtlCommand::Explain { request })
        .to_options()
        .descr("Why a request went where it went")
        .command("explain");
    let request = positional::<String>("REQUEST");
    let files = positional::<PathBuf>("LOG").some("name at least one log file");
    let trace = construct!(CtlCommand::Trace { request, files })
        .to_options()
        .descr("What collected logs of notch-node say of a request, in order of time")
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
    .descr("Operators' command: the table, failure domains, targets, status")
    .version(env!("CARGO_PKG_VERSION"))
}
