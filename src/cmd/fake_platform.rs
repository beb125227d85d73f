//! `notch-fake platform`: serves a fake platform.

use bpaf::{Parser, construct, long};
use eyre::{Result, WrapErr};

use crate::fake::platform;
use crate::ids::VmName;

/// Flags of `notch-fake platform`.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    listen: String,
    vms: Option<String>,
}

/// The command line of `notch-fake platform`.
pub fn options() -> impl Parser<PlatformOptions> {
    let listen = long("listen")
        .help("IP and port")
        .argument::<String>("ADDRESS");
    let vms = long("vms")
        .help("Names of the live VMs, separated by commas")
        .argument::<String>("NAMES")
        .optional();
    construct!(PlatformOptions { listen, vms })
}

/// Serves the fake platform until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn run(options: PlatformOptions) -> Result<()> {
    let names = options.vms.unwrap_or_default();
    let vms = names
        .split(',')
        .filter(|name| !name.is_empty())
        .map(VmName::new)
        .collect();
    actix::System::new().block_on(async move {
        platform::serve(&options.listen, vms)
            .wrap_err_with(|| format!("cannot listen on {}", options.listen))?
            .await?;
        Ok(())
    })
}
