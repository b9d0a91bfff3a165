//! Options of the caller-facing side of the process.

use std::{rc::Rc, time::Duration};

use base::{Map, meter::Meter};
use slog::Logger;

use crate::registry::Registry;

/// How callers authenticate.
#[derive(Debug, Clone, Default)]
pub enum Auth {
    /// Accepts every login without authentication.
    #[default]
    Trust,
    /// Clear-text password, compared with the lower-case SHA-256 digest stored for the user.
    Password(Map<String, String>),
}

/// Limits and authentication of the caller-facing side.
#[derive(Debug, Clone)]
pub struct Options {
    /// How callers authenticate.
    pub auth: Auth,
    /// Time that a login may take.
    pub login_timeout: Duration,
    /// Maximum number of callers served at once; further ones are refused with SQLSTATE 53300.
    pub max_callers: usize,
    /// Largest answer of a primary that is buffered until it is confirmed, in bytes.
    pub max_held_bytes: usize,
    /// Time after which a caller that doesn't read its answer, or leaves a transaction idle, is
    /// disconnected, because both occupy an upstream connection.
    pub stall_timeout: Duration,
    /// Time between the order to stop and the first refusal, in which load balancers notice it.
    pub drain_delay: Duration,
    /// Time between the order to stop and the end of the requests that are still in progress.
    pub stop_limit: Duration,
    /// Sessions by the process id and secret key that a cancel request carries.
    pub registry: Rc<Registry>,
    /// Log of events.
    pub log: Logger,
    /// Memory budget of the process.
    pub meter: Option<Rc<Meter>>,
}

impl Options {
    /// Options with the default limits.
    #[must_use]
    pub fn new(auth: Auth, log: Logger) -> Self {
        Self {
            auth,
            login_timeout: Duration::from_secs(10),
            max_callers: 20_000,
            max_held_bytes: 16 << 20,
            stall_timeout: Duration::from_mins(1),
            drain_delay: Duration::from_secs(1),
            stop_limit: Duration::from_secs(30),
            registry: Rc::default(),
            log,
            meter: None,
        }
    }
}
