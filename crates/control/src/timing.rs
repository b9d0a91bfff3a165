//! Step durations of finished promotions.

use std::time::Duration;

use base::{GroupName, MemberName};
use serde::Serialize;

use crate::{host::Host, log::Log};

/// Number of recent promotions whose step durations are kept for `/dump`.
const MAX_TIMINGS: usize = 100;

/// Duration of each step of a promotion, in milliseconds; `None` for steps that this host did not
/// run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PromotionTiming {
    /// Group whose primary changed.
    pub group: GroupName,
    /// Term that the promotion started.
    pub term: u64,
    /// Member that was promoted.
    pub member: MemberName,
    /// Reason for the promotion.
    pub cause: String,
    /// From the last successful answer of the old primary until it was declared failed.
    pub detection: Option<u64>,
    /// For a planned change: from the announcement to the end of running transactions.
    pub drain: Option<u64>,
    /// Commit of the fenced record.
    pub fencing: Option<u64>,
    /// Wait for older write leases to end.
    pub leases: Option<u64>,
    /// Reads of the members' terms and positions.
    pub reads: Option<u64>,
    /// From the commit of the promotion order to its execution.
    pub order: Option<u64>,
    /// Commit of the new term.
    pub commit: Option<u64>,
}

impl<L: Log> Host<L> {
    /// Records the step durations of a finished promotion in the metrics, the log and `timings`.
    pub fn record_timing(&self, timing: PromotionTiming) {
        let steps = [
            ("detection", timing.detection),
            ("drain", timing.drain),
            ("fencing", timing.fencing),
            ("leases", timing.leases),
            ("reads", timing.reads),
            ("order", timing.order),
            ("commit", timing.commit),
        ];
        for (name, took) in steps {
            if let Some(took) = took {
                self.metrics.observe_step(name, Duration::from_millis(took));
            }
        }
        slog::info!(self.logger, "promotion finished"; "group" => &timing.group,
            "term" => timing.term, "member" => &timing.member, "cause" => &timing.cause,
            "detection_ms" => timing.detection, "drain_ms" => timing.drain,
            "fencing_ms" => timing.fencing, "leases_ms" => timing.leases,
            "reads_ms" => timing.reads, "order_ms" => timing.order,
            "commit_ms" => timing.commit);
        let mut timings = self.timings.borrow_mut();
        timings.push_back(timing);
        if timings.len() > MAX_TIMINGS {
            timings.pop_front();
        }
    }
}
