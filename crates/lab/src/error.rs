//! Failures of an experiment.

use std::{fmt, io};

/// Why an experiment can't go on.
#[derive(Debug)]
pub enum LabError {
    /// A file or process failed; the text says which.
    Io(String, io::Error),
    /// A process was not ready in time; the text names it.
    NotReady(String),
    /// The administration API answered with an error.
    Admin(String),
    /// A database answered with an error.
    Database(tokio_postgres::Error),
}

impl fmt::Display for LabError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(what, cause) => write!(f, "{what}: {cause}"),
            Self::NotReady(what) => write!(f, "{what} is not ready in time; see its log"),
            Self::Admin(cause) => write!(f, "administration API: {cause}"),
            Self::Database(cause) => write!(f, "database: {cause:?}"),
        }
    }
}

impl std::error::Error for LabError {}

impl From<tokio_postgres::Error> for LabError {
    fn from(cause: tokio_postgres::Error) -> Self {
        Self::Database(cause)
    }
}

/// Names what was attempted in an I/O error.
pub trait Context<T> {
    /// Adds `what` to the error.
    ///
    /// # Errors
    /// The error itself, with its context.
    fn context(self, what: impl fmt::Display) -> Result<T, LabError>;
}

impl<T> Context<T> for io::Result<T> {
    fn context(self, what: impl fmt::Display) -> Result<T, LabError> {
        self.map_err(|cause| LabError::Io(what.to_string(), cause))
    }
}
