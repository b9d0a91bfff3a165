//! Failure of a command, with its cause and a way to fix it.

use base::Exit;

/// Failure that is shown to the operator.
#[derive(Debug)]
pub struct Failure {
    /// Exit code of the process.
    pub exit: Exit,
    /// What is wrong.
    pub cause: String,
    /// What the operator can do.
    pub fix: String,
}

impl Failure {
    /// Failure because of a wrong command line or local input.
    pub fn usage(cause: impl Into<String>, fix: impl Into<String>) -> Self {
        Self {
            exit: Exit::Usage,
            cause: cause.into(),
            fix: fix.into(),
        }
    }

    /// Failure while the command was carried out.
    pub fn failed(cause: impl Into<String>, fix: impl Into<String>) -> Self {
        Self {
            exit: Exit::Failed,
            cause: cause.into(),
            fix: fix.into(),
        }
    }
}
