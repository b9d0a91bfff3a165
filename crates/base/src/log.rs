//! Logging as JSON lines on standard output.

use std::{
    cell::Cell,
    fmt,
    sync::{Mutex, mpsc},
    thread,
    time::{Duration, Instant},
};

use slog::{Drain, Logger, o};

/// Maximum number of lines buffered for a slow standard output; further lines are dropped and
/// counted.
const QUEUE_LINES: usize = 4_096;

/// Longest wait for a slow standard output when a process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Creates the logger of a process; every line contains the names of the program and the process.
/// Lines that are still buffered when the returned [`Flush`] is dropped are written then.
pub fn logger(program: &'static str, name: &str) -> (Logger, Flush) {
    let json = slog_json::Json::default(std::io::stdout());
    let (drain, guard) = slog_async::Async::new(Mutex::new(json).fuse())
        .chan_size(QUEUE_LINES)
        .build_with_guard();
    // Lines that are logged after the flush are dropped.
    let drain = drain.filter_level(slog::Level::Info).ignore_res();
    let logger = Logger::root(drain, o!("program" => program, "name" => name.to_owned()));
    (logger, Flush(Some(guard)))
}

/// Writes the buffered lines when dropped.
#[must_use = "without it, the last lines of a process are lost"]
pub struct Flush(Option<slog_async::AsyncGuard>);

impl fmt::Debug for Flush {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Flush").finish_non_exhaustive()
    }
}

impl Drop for Flush {
    fn drop(&mut self) {
        let Some(guard) = self.0.take() else { return };
        // Dropping the guard waits for standard output, which nobody may read.
        let (done, written) = mpsc::channel();
        thread::spawn(move || {
            drop(guard);
            let _gave_up = done.send(());
        });
        let _late = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Creates a logger that discards everything, for tests.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Length of the window in which [`LineLimit`] counts lines.
const LINE_WINDOW: Duration = Duration::from_secs(1);
/// Longest text from another process that is logged or answered, in bytes.
const MAX_EXCERPT_BYTES: usize = 256;

/// Limits the number of log lines per second and counts those left out.
#[derive(Debug)]
pub struct LineLimit {
    max_lines: u32,
    window_start: Cell<Option<Instant>>,
    lines: Cell<u32>,
    skipped: Cell<u64>,
}

impl LineLimit {
    /// Allows `max_lines` lines per second.
    #[must_use]
    pub const fn new(max_lines: u32) -> Self {
        Self {
            max_lines,
            window_start: Cell::new(None),
            lines: Cell::new(0),
            skipped: Cell::new(0),
        }
    }

    /// Whether another line may be written at `now`; counts the line as written or left out.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use base::log::LineLimit;
    ///
    /// let now = Instant::now();
    /// let limit = LineLimit::new(1);
    /// assert!(limit.admit(now));
    /// assert!(!limit.admit(now));
    /// assert!(limit.admit(now + Duration::from_secs(1)));
    /// assert_eq!(limit.take_skipped(), 1);
    /// ```
    pub fn admit(&self, now: Instant) -> bool {
        let start = self.window_start.get();
        if start.is_none_or(|start| now.saturating_duration_since(start) >= LINE_WINDOW) {
            self.window_start.set(Some(now));
            self.lines.set(0);
        }
        let admitted = self.lines.get() < self.max_lines;
        if admitted {
            self.lines.update(|count| count + 1);
        } else {
            self.skipped.update(|count| count + 1);
        }
        admitted
    }

    /// Number of lines left out since the last call.
    pub fn take_skipped(&self) -> u64 {
        self.skipped.take()
    }
}

/// Beginning of a text that another process sent, short enough for a log line.
///
/// ```
/// use base::log::excerpt;
///
/// assert_eq!(excerpt("short"), "short");
/// assert_eq!(excerpt(&"ä".repeat(1_000)).len(), 256);
/// ```
#[must_use]
pub fn excerpt(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_EXCERPT_BYTES)]
}
