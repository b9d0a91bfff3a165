//! Metrics of a member.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Counters and gauges with their registry.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Registry of the metrics below.
    pub registry: Registry,
    /// Statements by verb.
    pub statements: IntCounterVec,
    /// Errors by SQLSTATE.
    pub errors: IntCounterVec,
    /// Transactions committed here as the primary.
    pub commits: IntCounter,
    /// Entries applied from a primary.
    pub applied: IntCounter,
    /// Entries truncated because the new primary does not have them.
    pub truncated: IntCounter,
    /// Bytes of entries sent to replicas.
    pub streamed: IntCounter,
    /// Connections accepted.
    pub accepted: IntCounter,
    /// Announcements by outcome.
    pub announcements: IntCounterVec,
    /// Data connections.
    pub connections: IntGauge,
    /// Offset of the log.
    pub offset: IntGauge,
    /// Term of the log.
    pub term: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    /// A metric name is invalid or used twice; any test that starts a member would find this.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(format!("goldcrestrail_standin_{name}"), help)
                .expect("metric names are valid");
            registry
                .register(Box::new(counter.clone()))
                .expect("metric names differ");
            counter
        };
        let counters = |name: &str, help: &str, label: &str| {
            let opts = Opts::new(format!("goldcrestrail_standin_{name}"), help);
            let counters = IntCounterVec::new(opts, &[label]).expect("metric names are valid");
            registry
                .register(Box::new(counters.clone()))
                .expect("metric names differ");
            counters
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(format!("goldcrestrail_standin_{name}"), help)
                .expect("metric names are valid");
            registry
                .register(Box::new(gauge.clone()))
                .expect("metric names differ");
            gauge
        };
        Self {
            statements: counters("statements_total", "Statements by verb", "verb"),
            errors: counters("errors_total", "Error responses by SQLSTATE", "sqlstate"),
            commits: counter("commits_total", "Transactions committed as the primary"),
            applied: counter("applied_total", "Log entries applied from a primary"),
            truncated: counter(
                "truncated_total",
                "Log entries cut after a change of primary",
            ),
            streamed: counter(
                "streamed_bytes_total",
                "Bytes of log entries sent to replicas",
            ),
            accepted: counter("accepted_total", "Connections accepted"),
            announcements: counters("announcements_total", "Announcements by outcome", "outcome"),
            connections: gauge("connections", "Data connections open"),
            offset: gauge("log_offset", "Offset of the last transaction in the log"),
            term: gauge("log_term", "Term reported"),
            registry,
        }
    }
}
