//! Logs: JSON lines on standard output.

use std::sync::Mutex;

use slog::{Drain, Logger, o};

/// Lines that may wait for a slow standard output before further ones are dropped and counted.
const QUEUE_LINES: usize = 4_096;

/// Makes the logger of a process; every line carries the names of the program and the process.
pub fn logger(program: &'static str, name: &str) -> Logger {
    let json = slog_json::Json::default(std::io::stdout());
    let drain = slog_async::Async::new(Mutex::new(json).fuse())
        .chan_size(QUEUE_LINES)
        .build()
        .fuse();
    let drain = drain.filter_level(slog::Level::Info).fuse();
    Logger::root(drain, o!("program" => program, "name" => name.to_owned()))
}

/// A logger that drops everything, for tests.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}
