//! `notch-fake target`: serves a fake engine or plain service.

use std::time::Duration;

use bpaf::{Parser, construct, long};
use eyre::{Result, WrapErr};

use crate::fake::engine::{self, EngineSettings};
use crate::fake::service;

/// Flags of `notch-fake target`.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    listen: String,
    service: bool,
    memory_tokens: u64,
    cold_limit: u32,
    warm_limit: u32,
    prefill_tokens_per_s: f64,
    decode_ms: f64,
    work_ms: u64,
    start_warm: bool,
    checks_fencing: bool,
}

/// The command line of `notch-fake target`.
pub fn options() -> impl Parser<TargetOptions> {
    let listen = long("listen")
        .help("IP and port")
        .argument::<String>("ADDRESS");
    let service = long("service")
        .help("Run as a plain service instead of an engine")
        .switch();
    let memory_tokens = long("memory-tokens")
        .argument::<u64>("TOKENS")
        .fallback(400_000);
    let cold_limit = long("cold-limit").argument::<u32>("REQUESTS").fallback(1);
    let warm_limit = long("warm-limit").argument::<u32>("REQUESTS").fallback(16);
    let prefill_tokens_per_s = long("prefill-per-s")
        .argument::<f64>("TOKENS")
        .fallback(20_000.0);
    let decode_ms = long("decode-ms").argument::<f64>("MS").fallback(20.0);
    let work_ms = long("work-ms")
        .help("Duration of a service call")
        .argument::<u64>("MS")
        .fallback(20);
    let start_warm = long("start-warm").switch();
    let checks_fencing = long("checks-fencing")
        .help("Refuse orders with an old fencing number")
        .switch();
    construct!(TargetOptions {
        listen,
        service,
        memory_tokens,
        cold_limit,
        warm_limit,
        prefill_tokens_per_s,
        decode_ms,
        work_ms,
        start_warm,
        checks_fencing,
    })
}

/// Serves the fake target until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn run(options: TargetOptions) -> Result<()> {
    actix::System::new().block_on(async move {
        let listen = options.listen.clone();
        let server = if options.service {
            service::serve(&listen, Duration::from_millis(options.work_ms))
        } else {
            engine::serve(EngineSettings {
                listen: options.listen,
                memory_tokens: options.memory_tokens,
                cold_limit: options.cold_limit,
                warm_limit: options.warm_limit,
                prefill_tokens_per_s: options.prefill_tokens_per_s,
                decode_interval: Duration::from_secs_f64(options.decode_ms / 1000.0),
                start_warm: options.start_warm,
                checks_fencing: options.checks_fencing,
            })
        };
        server
            .wrap_err_with(|| format!("cannot listen on {listen}"))?
            .await?;
        Ok(())
    })
}
