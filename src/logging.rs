//! JSON-line logs.

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

const BUFFERED_LINES: usize = 4_096; // about a megabyte; lines beyond are dropped and counted

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

/// Ends the writer after what is buffered, when dropped, and counts dropped lines.
pub struct LogWriter {
    _guard: WorkerGuard,
    counter: ErrorCounter,
}

impl LogWriter {
    /// Counts the lines dropped so far.
    pub fn counter(&self) -> ErrorCounter {
        self.counter.clone()
    }
}

/// Starts logging on standard output through a bounded buffer that never blocks.
pub fn init_bounded() -> LogWriter {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFERED_LINES)
        .lossy(true)
        .thread_name("log")
        .finish(std::io::stdout());
    let counter = writer.error_counter();
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_env_filter(level_filter())
        .with_writer(writer)
        .init();
    LogWriter {
        _guard: guard,
        counter,
    }
}
