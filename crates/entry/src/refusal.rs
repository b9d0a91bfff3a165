//! Refusals of requests, each with its SQLSTATE and whether the request may have run.

use std::fmt;

use base::OrgName;
use identity::Refused;

/// Why a request was not run, or not acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The deadline passed while the request was queued.
    Deadline,
    /// No primary is in force.
    NoPrimary,
    /// No member became fresh enough before the deadline.
    NotFresh,
    /// This process is stopping.
    Stopping,
    /// A rule is violated; the text says which.
    Rule(String),
    /// The queue is full.
    QueueFull,
    /// The service with this name is unknown, or there is no configuration yet.
    UnknownService(String),
    /// The caller's key is unknown, can't be checked, or belongs to another organisation than at the
    /// start of the transaction.
    Key(Refused),
    /// The organisation with this name reached its rate limit.
    RateLimit(OrgName),
    /// The request may have run; the text gives the cause.
    OutcomeUnknown(String),
    /// The key was used before: the first outcome was a failure, or it belongs to another
    /// statement.
    KeyUsed(String),
}

impl Refusal {
    /// SQLSTATE that the caller sees.
    ///
    /// ```
    /// assert_eq!(entry::refusal::Refusal::NoPrimary.sqlstate(), "ZN002");
    /// ```
    #[must_use]
    pub const fn sqlstate(&self) -> &'static str {
        match self {
            Self::Deadline => "ZN001",
            Self::NoPrimary => "ZN002",
            Self::NotFresh => "ZN003",
            Self::Stopping => "ZN004",
            Self::Rule(_) => "ZN005",
            Self::QueueFull => "ZN006",
            Self::UnknownService(_) => "ZN007",
            Self::Key(Refused::UnknownKey) => "28P01",
            Self::Key(Refused::Outdated | Refused::Moved) => "ZN008",
            Self::RateLimit(_) => "ZN009",
            Self::OutcomeUnknown(_) => "ZU001",
            Self::KeyUsed(_) => "ZF001",
        }
    }

    /// Whether the request certainly did not run.
    #[must_use]
    pub const fn not_run(&self) -> bool {
        !matches!(self, Self::OutcomeUnknown(_) | Self::KeyUsed(_))
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deadline => f.write_str("not run: deadline passed while queued"),
            Self::NoPrimary => f.write_str("not run: no primary in force"),
            Self::NotFresh => f.write_str("not run: no database is fresh enough yet"),
            Self::Stopping => f.write_str("not run: this process is stopping"),
            Self::Rule(rule) => write!(f, "not run: {rule}"),
            Self::QueueFull => f.write_str("not run: the queue is full"),
            Self::UnknownService(name) => {
                write!(f, "not run: no service {name} in the configuration")
            }
            Self::Key(cause) => write!(f, "not run: {cause}"),
            Self::RateLimit(name) => {
                write!(
                    f,
                    "not run: the rate limit of organisation {name} is reached"
                )
            }
            Self::OutcomeUnknown(cause) => write!(f, "unknown: the request may have run: {cause}"),
            Self::KeyUsed(cause) => write!(f, "run and failed before: {cause}"),
        }
    }
}

impl std::error::Error for Refusal {}

impl From<Refused> for Refusal {
    fn from(cause: Refused) -> Self {
        Self::Key(cause)
    }
}
