//! Errors reported to clients, with their SQLSTATE.

use std::fmt;

/// An error response: SQLSTATE and message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// SQLSTATE, five characters.
    pub state: &'static str,
    /// What is wrong.
    pub message: String,
}

impl Refusal {
    /// Makes an error from its parts.
    pub fn new(state: &'static str, message: impl Into<String>) -> Self {
        Self {
            state,
            message: message.into(),
        }
    }

    /// A part of SQL that is not implemented.
    pub fn unsupported(what: impl fmt::Display) -> Self {
        Self::new("0A000", format!("{what} is not supported"))
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.state, self.message)
    }
}

impl std::error::Error for Refusal {}
