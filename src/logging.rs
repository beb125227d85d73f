//! Logging as JSON lines.

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

const MAX_BUFFERED_LINES: usize = 4_096; // about a megabyte; further lines are dropped and counted

fn level_filter() -> EnvFilter {
    EnvFilter::try_from_env("NOTCH_LOG").unwrap_or_else(|_| EnvFilter::new("info"))
}

/// Starts logging on standard error; `NOTCH_LOG` sets the level, `info` by default.
pub fn init() {
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(level_filter())
        .with_writer(std::io::stderr)
        .init();
}

/// Writes out the buffered lines when dropped, and counts the lines that a full buffer dropped.
pub struct LogGuard {
    _guard: WorkerGuard,
    dropped_lines_counter: ErrorCounter,
}

impl LogGuard {
    /// Counter of the lines dropped so far, shared with the writer.
    pub fn dropped_lines_counter(&self) -> ErrorCounter {
        self.dropped_lines_counter.clone()
    }
}

/// Starts logging on standard output through a bounded buffer that never blocks.
pub fn init_bounded() -> LogGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .thread_name("log")
        .finish(std::io::stdout());
    let dropped_lines_counter = writer.error_counter();
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_env_filter(level_filter())
        .with_writer(writer)
        .init();
    LogGuard {
        _guard: guard,
        dropped_lines_counter,
    }
}
