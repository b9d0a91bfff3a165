//! Errors of the experiment tools.

use std::{fmt, io};

/// An error that ends an experiment.
#[derive(Debug)]
pub enum LabError {
    /// An I/O operation failed; the text names the file, address or program.
    Io(String, io::Error),
    /// A process or state was not reached in time; the text names it.
    NotReady(String),
    /// A request to a process failed, or was refused.
    Admin(String),
    /// A database answered with an error.
    Database(tokio_postgres::Error),
}

impl fmt::Display for LabError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(what, cause) => write!(f, "{what}: {cause}"),
            Self::NotReady(what) => write!(f, "{what} was not ready in time; see its log"),
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

/// Adds context to I/O errors.
pub trait Context<T> {
    /// Prefixes the error with `what`, the file, address or program concerned.
    ///
    /// # Errors
    /// The original error, with the context.
    fn context(self, what: impl fmt::Display) -> Result<T, LabError>;
}

impl<T> Context<T> for io::Result<T> {
    fn context(self, what: impl fmt::Display) -> Result<T, LabError> {
        self.map_err(|cause| LabError::Io(what.to_string(), cause))
    }
}
