//! Placement of reads among the databases of each group, with its metrics and log lines.

use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use base::{GroupName, Map};
use place::{Candidate, Placement, Prices};
use prometheus::{IntCounter, IntCounterVec, Opts, Registry};
use route::Proximity;
use slog::{Logger, info};

/// Minimum time between two log lines about reads that leave the zone.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Placement of the reads of this process.
#[derive(Debug)]
pub(crate) struct Places {
    groups: RefCell<Map<GroupName, Placement>>,
    by_distance: IntCounterVec,
    left: IntCounter,
    log: Logger,
    logged_at: Cell<Option<Instant>>,
}

impl Places {
    /// Creates the state without any shares, and registers its metrics.
    pub(crate) fn new(registry: &Registry, log: Logger) -> Self {
        let opts = Opts::new(
            "goldcrestrail_reads_by_distance_total",
            "Reads by distance of the database.",
        );
        let by_distance = IntCounterVec::new(opts, &["distance"]).expect("the name is valid");
        let left = IntCounter::new(
            "goldcrestrail_reads_left_zone_total",
            "Reads that left the zone because it paid.",
        )
        .expect("the name is valid");
        let registered = registry
            .register(Box::new(by_distance.clone()))
            .and_then(|()| registry.register(Box::new(left.clone())));
        registered.expect("the names are distinct");
        Self {
            groups: RefCell::default(),
            by_distance,
            left,
            log,
            logged_at: Cell::default(),
        }
    }

    /// Chooses the database for a read of `group`. Returns its index among the candidates; `None` if
    /// there are none.
    pub(crate) fn choose(
        &self,
        group: &str,
        candidates: &[Candidate<'_>],
        prices: &Prices,
        now: Instant,
        draw: f64,
    ) -> Option<usize> {
        let mut groups = self.groups.borrow_mut();
        if !groups.contains_key(group) {
            groups.insert(group.to_owned(), Placement::default());
        }
        let choice = groups
            .get_mut(group)?
            .choose(candidates, prices, now, draw)?;
        if choice.left {
            self.left.inc();
        }
        if let Some(leaving) = choice.turned
            && self.may_log(now)
        {
            info!(self.log, "reads outside the zone"; "group" => group, "leaving" => leaving);
        }
        Some(choice.index)
    }

    /// Counts a read that got a connection to a database at this distance.
    pub(crate) fn count(&self, proximity: Proximity) {
        let distance = match proximity {
            Proximity::SameZone => "zone",
            Proximity::SameRegion => "region",
            Proximity::OtherRegion => "far",
        };
        self.by_distance.with_label_values(&[distance]).inc();
    }

    fn may_log(&self, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < LOG_INTERVAL;
        let admitted = !self.logged_at.get().is_some_and(recent);
        if admitted {
            self.logged_at.set(Some(now));
        }
        admitted
    }
}
