//! Metrics of the daemon.

use std::time::Duration;

use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

/// Metrics of the daemon.
#[derive(Debug)]
pub struct Metrics {
    /// Registry of all metrics.
    pub registry: Registry,
    /// Renewals by result: granted or refused.
    pub renewals: IntCounterVec,
    /// Announcements received from entry processes.
    pub announcements: IntCounter,
    /// Duration of each step of a promotion, in seconds.
    pub step_seconds: HistogramVec,
    /// Databases that announced themselves and did not answer before a promotion.
    pub unread_members: IntCounter,
    /// Acknowledged writes that a promotion went on without.
    pub missing_writes: IntCounter,
    /// Finished promotions by kind: failure, planned or first.
    pub promotions: IntCounterVec,
    /// Connections lent in answers to renewals, summed up since the process started.
    pub connections_lent: IntCounter,
    /// Calls for shares of rate limits, by result.
    pub rate_calls: IntCounterVec,
    /// 1 while this host leads.
    pub leader: IntGauge,
    /// Applied configuration version.
    pub config_version: IntGauge,
    /// Applied record version.
    pub record_version: IntGauge,
    /// Bytes of answers to entry processes in other regions, by entry process.
    pub region_bytes: IntCounterVec,
    /// Number of entry processes that hold a lease grant.
    pub lease_holders: IntGauge,
    /// Committed log entries that this host knows of and has not applied yet.
    pub apply_backlog: IntGauge,
    /// Bytes of the log and its snapshot on disk.
    pub stored_bytes: IntGauge,
}

/// Upper bounds of the histogram of step durations, in seconds. The last one, 17 s, is the target
/// for the whole failover.
const BUCKETS: [f64; 11] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 17.0,
];

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    /// Never: every name is valid and used once.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| IntCounter::new(name, help).expect("valid name");
        let gauge = |name: &str, help: &str| IntGauge::new(name, help).expect("valid name");
        let counters = |name: &str, help: &str, label: &str| {
            IntCounterVec::new(Opts::new(name, help), &[label]).expect("valid name")
        };
        let steps = HistogramOpts::new(
            "goldcrestrail_promotion_step_seconds",
            "Duration of each step of a promotion.",
        );
        let metrics = Self {
            renewals: counters(
                "goldcrestrail_renewals_total",
                "Write lease renewals by result.",
                "result",
            ),
            announcements: counter(
                "goldcrestrail_announcements_total",
                "Announcements taken in from entry processes.",
            ),
            step_seconds: HistogramVec::new(steps.buckets(BUCKETS.to_vec()), &["step"])
                .expect("valid name"),
            promotions: counters(
                "goldcrestrail_promotions_total",
                "Promotions finished by kind.",
                "kind",
            ),
            region_bytes: counters(
                "goldcrestrail_region_bytes_total",
                "Bytes sent to another region by peer.",
                "peer",
            ),
            unread_members: counter(
                "goldcrestrail_unread_members_total",
                "Announced databases outside the group record that a promotion went on without.",
            ),
            missing_writes: counter(
                "goldcrestrail_missing_writes_total",
                "Acknowledged writes that a promotion went on without, at least.",
            ),
            connections_lent: counter(
                "goldcrestrail_permits_lent_total",
                "Connections lent to renewals.",
            ),
            rate_calls: counters(
                "goldcrestrail_rate_calls_total",
                "Calls for shares of rate limits by result.",
                "result",
            ),
            leader: gauge("goldcrestrail_leader", "1 while this host leads."),
            config_version: gauge(
                "goldcrestrail_config_version",
                "Configuration version applied.",
            ),
            record_version: gauge("goldcrestrail_record_version", "Record version applied."),
            lease_holders: gauge(
                "goldcrestrail_lease_holders",
                "Entry processes that hold a grant.",
            ),
            apply_backlog: gauge(
                "goldcrestrail_apply_backlog",
                "Committed log entries that are not applied yet.",
            ),
            stored_bytes: gauge(
                "goldcrestrail_stored_bytes",
                "Bytes of the log and its snapshot on disk.",
            ),
            registry,
        };
        let collectors: [Box<dyn prometheus::core::Collector>; 15] = [
            Box::new(metrics.renewals.clone()),
            Box::new(metrics.announcements.clone()),
            Box::new(metrics.step_seconds.clone()),
            Box::new(metrics.promotions.clone()),
            Box::new(metrics.unread_members.clone()),
            Box::new(metrics.missing_writes.clone()),
            Box::new(metrics.connections_lent.clone()),
            Box::new(metrics.rate_calls.clone()),
            Box::new(metrics.region_bytes.clone()),
            Box::new(metrics.leader.clone()),
            Box::new(metrics.config_version.clone()),
            Box::new(metrics.record_version.clone()),
            Box::new(metrics.lease_holders.clone()),
            Box::new(metrics.apply_backlog.clone()),
            Box::new(metrics.stored_bytes.clone()),
        ];
        for collector in collectors {
            metrics
                .registry
                .register(collector)
                .expect("each name is used once");
        }
        metrics
    }

    /// Records the duration of one step of a promotion.
    pub fn observe_step(&self, name: &str, took: Duration) {
        self.step_seconds
            .with_label_values(&[name])
            .observe(took.as_secs_f64());
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
