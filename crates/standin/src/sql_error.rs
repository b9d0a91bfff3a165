//! SQL errors reported to clients.

use std::fmt;

/// An error response: SQLSTATE and message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SqlError {
    /// SQLSTATE, five characters.
    pub state: &'static str,
    /// Human-readable message.
    pub message: String,
}

impl SqlError {
    /// Creates an error.
    pub fn new(state: &'static str, message: impl Into<String>) -> Self {
        Self {
            state,
            message: message.into(),
        }
    }

    /// Error 0A000 for SQL that is not implemented.
    pub fn unsupported(what: impl fmt::Display) -> Self {
        Self::new("0A000", format!("{what} is not supported"))
    }
}

impl fmt::Display for SqlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.state, self.message)
    }
}

impl std::error::Error for SqlError {}
