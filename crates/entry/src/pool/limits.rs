//! Limits of a pool.

use route::limit::AdaptiveLimit;

/// Configured limits of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Number of connections that the database accepts.
    pub connections: u32,
    /// Highest number of entry processes that share the connections.
    pub entries: u32,
    /// Number of statements that the database runs concurrently.
    pub slots: u32,
    /// Number of requests that may wait.
    pub queue: u32,
}

/// Adaptive limits, learned from answers that report overload.
#[derive(Debug)]
pub(super) struct LearnedLimits {
    pub(super) connections: AdaptiveLimit,
    pub(super) statements: AdaptiveLimit,
}

/// Initial limit of concurrent statements: twice the slots of one database.
const INITIAL_STATEMENTS: u32 = 4;
/// Lower bound of the highest connection limit. A process whose equal share is one connection or
/// none needs more, because each open transaction holds one.
const MAX_CONNECTIONS_FLOOR: u32 = 3;
/// Highest limit of concurrent statements. It bounds the growth while a database is idle.
const MAX_STATEMENTS: u32 = 64;

impl LearnedLimits {
    /// Derives the initial limits from the configuration. Each process may have at least one
    /// connection, and starts with twice its equal share.
    pub(super) fn new(limits: Limits) -> Self {
        let (least, most) = Self::connection_bounds(limits);
        Self {
            connections: AdaptiveLimit::new(least * 2, least, most),
            statements: AdaptiveLimit::new(INITIAL_STATEMENTS, 1, MAX_STATEMENTS),
        }
    }

    /// Lowest and highest connection limit: an equal share and twice that. A process that took all
    /// connections would starve the others and would never see a refusal that lowers its limit.
    pub(super) fn connection_bounds(limits: Limits) -> (u32, u32) {
        let share = limits.connections / limits.entries.max(1);
        let most = (share * 2)
            .max(MAX_CONNECTIONS_FLOOR)
            .min(limits.connections);
        (share.max(1), most.max(1))
    }
}
