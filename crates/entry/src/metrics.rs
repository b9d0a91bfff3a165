//! Metrics of an entry process.

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    core::Collector,
};

/// Upper bounds of the histograms, in seconds: from one local round trip to the longest deadline.
const SECONDS: [f64; 15] = [
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 3.0, 10.0, 17.0, 30.0,
];

/// All metrics, registered in one registry.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Registry that is served.
    pub registry: Registry,
    /// Reads handed to a member, by kind: `replica` or `primary`.
    pub reads: IntCounterVec,
    /// Connections to a primary handed out for writes and transactions.
    pub writes: IntCounter,
    /// Refusals by SQLSTATE.
    pub refusals: IntCounterVec,
    /// Time that requests waited for a connection.
    pub queue: Histogram,
    /// Time that reads waited for a member that is fresh enough.
    pub freshness: Histogram,
    /// Time that a write waited for its confirmation and the lease.
    pub confirm: Histogram,
    /// Time from the first write that had to wait for a primary to the next confirmation.
    pub gap: Histogram,
    /// Bytes exchanged with members of other regions, by member and direction.
    pub region: IntCounterVec,
    /// Bytes of calls to control hosts, by direction.
    pub control_bytes: IntCounterVec,
    /// Calls to control hosts, by method and result.
    pub control_calls: IntCounterVec,
    /// Status probes, by result.
    pub probes: IntCounterVec,
    /// Open connections to members, by member.
    pub connections: IntGaugeVec,
    /// Connected callers; kept by the registry of sessions.
    pub callers: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    /// A name is used twice or is not valid, which is a fault of this module.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        Self {
            reads: vec(
                &registry,
                "reads_total",
                "Reads by kind of member.",
                &["kind"],
            ),
            writes: add(
                &registry,
                IntCounter::new(name("writes_total"), "Connections handed out for writes."),
            ),
            refusals: vec(
                &registry,
                "refusals_total",
                "Refusals by SQLSTATE.",
                &["sqlstate"],
            ),
            queue: seconds(
                &registry,
                "queue_seconds",
                "Time that requests waited for a connection.",
            ),
            freshness: seconds(
                &registry,
                "freshness_seconds",
                "Time that reads waited for a fresh member.",
            ),
            confirm: seconds(
                &registry,
                "confirm_seconds",
                "Time until a write was confirmed.",
            ),
            gap: seconds(
                &registry,
                "failover_gap_seconds",
                "Time without a primary, as seen by writes.",
            ),
            region: vec(
                &registry,
                "region_bytes_total",
                "Bytes exchanged with other regions.",
                &["peer", "direction"],
            ),
            control_bytes: vec(
                &registry,
                "control_bytes_total",
                "Bytes of calls to control hosts.",
                &["direction"],
            ),
            control_calls: vec(
                &registry,
                "control_calls_total",
                "Calls to control hosts.",
                &["method", "result"],
            ),
            probes: vec(&registry, "probes_total", "Status probes.", &["result"]),
            connections: add(
                &registry,
                IntGaugeVec::new(
                    Opts::new(name("connections"), "Open connections to members."),
                    &["member"],
                ),
            ),
            callers: add(
                &registry,
                IntGauge::new(name("callers"), "Connected callers."),
            ),
            registry,
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn name(short: &str) -> String {
    format!("goldcrestrail_{short}")
}

fn add<C: Collector + Clone + 'static>(
    registry: &Registry,
    metric: Result<C, prometheus::Error>,
) -> C {
    let metric = metric.expect("metric names and labels are valid");
    registry
        .register(Box::new(metric.clone()))
        .expect("metric names are distinct");
    metric
}

fn vec(registry: &Registry, short: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    add(
        registry,
        IntCounterVec::new(Opts::new(name(short), help), labels),
    )
}

fn seconds(registry: &Registry, short: &str, help: &str) -> Histogram {
    let options = HistogramOpts::new(name(short), help).buckets(SECONDS.to_vec());
    add(registry, Histogram::with_opts(options))
}
