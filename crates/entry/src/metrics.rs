//! Metrics of an entry process.

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    core::Collector,
};

/// Upper bounds of the histogram buckets, in seconds: from one local round trip to the longest
/// deadline.
const BUCKETS: [f64; 15] = [
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 3.0, 10.0, 17.0, 30.0,
];

/// All metrics of the process, in one registry.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Registry that the HTTP endpoint serves.
    pub registry: Registry,
    /// Reads sent to a member, by kind: `replica` or `primary`.
    pub reads: IntCounterVec,
    /// Connections to a primary handed out for writes and transactions.
    pub writes: IntCounter,
    /// Refusals by SQLSTATE.
    pub refusals: IntCounterVec,
    /// Logins and operations refused because of the caller's key, by reason: `unknown`, `moved` or
    /// `outdated`.
    pub refused_keys: IntCounterVec,
    /// Time that requests waited for a connection.
    pub queue: Histogram,
    /// Time that reads waited for a member that is fresh enough.
    pub freshness: Histogram,
    /// Time that a write waited for its confirmation and the write lease.
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
    /// Operations refused because of a rate limit, by cause: `limit` is reached, `no_share` was had in
    /// time, or the operation was sent too `late` for its share.
    pub rate_refusals: IntCounterVec,
    /// Number of organisations of whose rate limit this process holds a share.
    pub rate_shares: IntGauge,
    /// Open connections to members, by member.
    pub connections: IntGaugeVec,
    /// Requests that a pool refused, by cause: `full`, `late` on arrival, `displaced` by a request
    /// that goes before it, or `expired` in the queue.
    pub refused: IntCounterVec,
    /// Connections opened to members, by member.
    pub opened: IntCounterVec,
    /// Idle connections closed to make room for another organisation, by member.
    pub evicted: IntCounterVec,
    /// Connected callers; updated by the registry of sessions.
    pub callers: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    /// If a name is used twice or is invalid, which is a bug in this module.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        Self {
            reads: counter_vec(
                &registry,
                "reads_total",
                "Reads by kind of member.",
                &["kind"],
            ),
            writes: counter(
                &registry,
                "writes_total",
                "Connections handed out for writes.",
            ),
            refusals: counter_vec(
                &registry,
                "refusals_total",
                "Refusals by SQLSTATE.",
                &["sqlstate"],
            ),
            refused_keys: counter_vec(
                &registry,
                "refused_keys_total",
                "Logins and operations refused because of the caller's key, by reason.",
                &["reason"],
            ),
            queue: histogram(
                &registry,
                "queue_seconds",
                "Time that requests waited for a connection.",
            ),
            freshness: histogram(
                &registry,
                "freshness_seconds",
                "Time that reads waited for a fresh member.",
            ),
            confirm: histogram(
                &registry,
                "confirm_seconds",
                "Time until a write was confirmed.",
            ),
            gap: histogram(
                &registry,
                "failover_gap_seconds",
                "Time without a primary, as seen by writes.",
            ),
            region: counter_vec(
                &registry,
                "region_bytes_total",
                "Bytes exchanged with other regions.",
                &["peer", "direction"],
            ),
            control_bytes: counter_vec(
                &registry,
                "control_bytes_total",
                "Bytes of calls to control hosts.",
                &["direction"],
            ),
            control_calls: counter_vec(
                &registry,
                "control_calls_total",
                "Calls to control hosts.",
                &["method", "result"],
            ),
            probes: counter_vec(&registry, "probes_total", "Status probes.", &["result"]),
            rate_refusals: counter_vec(
                &registry,
                "rate_refusals_total",
                "Operations refused because of a rate limit, by cause.",
                &["cause"],
            ),
            rate_shares: gauge(&registry, "rate_shares", "Rate limits with a held share."),
            connections: register(
                &registry,
                IntGaugeVec::new(
                    Opts::new(prefixed("connections"), "Open connections to members."),
                    &["member"],
                ),
            ),
            refused: counter_vec(
                &registry,
                "pool_refusals_total",
                "Requests that a pool refused, by cause.",
                &["cause"],
            ),
            opened: counter_vec(
                &registry,
                "connections_opened_total",
                "Connections opened to members.",
                &["member"],
            ),
            evicted: counter_vec(
                &registry,
                "connections_evicted_total",
                "Idle connections closed to make room for another organisation.",
                &["member"],
            ),
            callers: gauge(&registry, "callers", "Connected callers."),
            registry,
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn prefixed(short: &str) -> String {
    format!("goldcrestrail_{short}")
}

fn register<C: Collector + Clone + 'static>(
    registry: &Registry,
    metric: Result<C, prometheus::Error>,
) -> C {
    let metric = metric.expect("metric names and labels are valid");
    registry
        .register(Box::new(metric.clone()))
        .expect("metric names are distinct");
    metric
}

fn gauge(registry: &Registry, short: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(prefixed(short), help))
}

fn counter(registry: &Registry, short: &str, help: &str) -> IntCounter {
    register(registry, IntCounter::new(prefixed(short), help))
}

fn counter_vec(registry: &Registry, short: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    register(
        registry,
        IntCounterVec::new(Opts::new(prefixed(short), help), labels),
    )
}

fn histogram(registry: &Registry, short: &str, help: &str) -> Histogram {
    let options = HistogramOpts::new(prefixed(short), help).buckets(BUCKETS.to_vec());
    register(registry, Histogram::with_opts(options))
}
