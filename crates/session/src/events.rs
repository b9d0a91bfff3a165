//! Log lines about requests, bounded in number.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use slog::{Logger, info};

use crate::command::Request;

/// Lines about requests in one second. A line is about 300 bytes, so that a process writes less than
/// 10 KB a second however many requests fail.
const LINES: u32 = 30;
/// Time that the number of lines is counted for.
const WINDOW: Duration = Duration::from_secs(1);

/// What decided about a request.
#[derive(Debug, Clone, Default)]
pub struct Inputs {
    /// Route.
    pub route: String,
    /// Member that the request was sent to last; empty when it was not sent.
    pub member: String,
    /// Term of the group record; 0 when there is none.
    pub term: u64,
    /// Version of the configuration.
    pub config: u64,
    /// Version of the group record.
    pub record: u64,
    /// Attempts.
    pub attempts: u32,
}

/// Writes lines about requests, and counts those that are left out.
#[derive(Debug)]
pub struct Events {
    log: Logger,
    window: Cell<Option<Instant>>,
    lines: Cell<u32>,
    skipped: Cell<u64>,
}

impl Events {
    /// Writes to `log`.
    #[must_use]
    pub const fn new(log: Logger) -> Self {
        Self {
            log,
            window: Cell::new(None),
            lines: Cell::new(0),
            skipped: Cell::new(0),
        }
    }

    /// Whether another line fits into the window of `now`.
    pub fn admit(&self, now: Instant) -> bool {
        let open = self
            .window
            .get()
            .is_some_and(|start| now.saturating_duration_since(start) < WINDOW);
        if !open {
            self.window.set(Some(now));
            self.lines.set(0);
            let skipped = self.skipped.take();
            if skipped > 0 {
                info!(self.log, "lines about requests were left out"; "count" => skipped);
            }
        }
        let fits = self.lines.get() < LINES;
        if fits {
            self.lines.set(self.lines.get() + 1);
        } else {
            self.skipped.set(self.skipped.get() + 1);
        }
        fits
    }

    /// Tells how a request ended that did not succeed, or that was answered late.
    pub fn ended(
        &self,
        request: &Request,
        outcome: &str,
        cause: &str,
        inputs: &Inputs,
        start: Instant,
        now: Instant,
    ) {
        if !self.admit(now) {
            return;
        }
        let took = now.saturating_duration_since(start).as_millis();
        info!(self.log, "request ended"; "request" => &request.id, "outcome" => outcome,
            "cause" => cause, "route" => &inputs.route, "member" => &inputs.member,
            "term" => inputs.term, "config" => inputs.config, "record" => inputs.record,
            "attempts" => inputs.attempts, "took_ms" => u64::try_from(took).unwrap_or(u64::MAX));
    }
}
