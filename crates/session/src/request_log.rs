//! Rate-limited log lines about requests.

use std::time::Instant;

use base::log::LineLimit;
use slog::{Logger, info};

use crate::command::Request;

/// Log lines per second. A line is about 300 bytes, so a process writes less than 10 KB per second
/// however many requests fail.
const MAX_LINES: u32 = 30;

/// How a request was routed, for its log line.
#[derive(Debug, Clone, Default)]
pub struct RequestContext {
    /// Route name.
    pub route: String,
    /// Name of the caller's organisation; empty where callers need no key.
    pub organisation: String,
    /// Member that the request was last sent to; empty if it was not sent.
    pub member: String,
    /// Term of the group record; 0 if there is none.
    pub term: u64,
    /// Version of the configuration.
    pub config: u64,
    /// Version of the group record.
    pub record: u64,
    /// Number of attempts.
    pub attempts: u32,
}

/// Logs requests at a limited rate and counts the lines left out.
#[derive(Debug)]
pub struct RequestLog {
    log: Logger,
    limit: LineLimit,
}

impl RequestLog {
    /// Creates a request log that writes to `log`.
    #[must_use]
    pub const fn new(log: Logger) -> Self {
        Self {
            log,
            limit: LineLimit::new(MAX_LINES),
        }
    }

    /// Whether another line may be written at `now`; counts the line as written or left out.
    pub fn admit(&self, now: Instant) -> bool {
        let admitted = self.limit.admit(now);
        if admitted {
            let skipped = self.limit.take_skipped();
            if skipped > 0 {
                info!(self.log, "lines about requests were left out"; "count" => skipped);
            }
        }
        admitted
    }

    /// Logs the outcome of a request that failed or was answered late.
    pub fn request_ended(
        &self,
        request: &Request,
        outcome: &str,
        cause: &str,
        context: &RequestContext,
        start: Instant,
        now: Instant,
    ) {
        if !self.admit(now) {
            return;
        }
        let took = now.saturating_duration_since(start).as_millis();
        info!(self.log, "request ended"; "request" => %request.id, "outcome" => outcome,
            "cause" => cause, "route" => &context.route, "organisation" => &context.organisation,
            "member" => &context.member,
            "term" => context.term, "config" => context.config, "record" => context.record,
            "attempts" => context.attempts, "took_ms" => u64::try_from(took).unwrap_or(u64::MAX));
    }
}
