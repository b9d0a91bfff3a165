//! Why a command failed, and what to do about it.

use base::Exit;

/// A failure as shown to the operator.
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
    /// The command line is wrong.
    pub fn usage(cause: impl Into<String>, fix: impl Into<String>) -> Self {
        Self {
            exit: Exit::Usage,
            cause: cause.into(),
            fix: fix.into(),
        }
    }

    /// The work failed.
    pub fn failed(cause: impl Into<String>, fix: impl Into<String>) -> Self {
        Self {
            exit: Exit::Failed,
            cause: cause.into(),
            fix: fix.into(),
        }
    }
}
