//! Logging as JSON lines on standard output.

use std::sync::Mutex;

use slog::{Drain, Logger, o};

/// Maximum number of lines buffered for a slow standard output; further lines are dropped and
/// counted.
const QUEUE_LINES: usize = 4_096;

/// Creates the logger of a process; every line contains the names of the program and the process.
pub fn logger(program: &'static str, name: &str) -> Logger {
    let json = slog_json::Json::default(std::io::stdout());
    let drain = slog_async::Async::new(Mutex::new(json).fuse())
        .chan_size(QUEUE_LINES)
        .build()
        .fuse();
    let drain = drain.filter_level(slog::Level::Info).fuse();
    Logger::root(drain, o!("program" => program, "name" => name.to_owned()))
}

/// Creates a logger that discards everything, for tests.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}
