//! Exit codes of every binary.

use std::process::{ExitCode, Termination};

/// Result of a program, reported as its exit code.
///
/// ```
/// assert_eq!(base::Exit::Usage.code(), 2);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The program succeeded.
    Done,
    /// The program failed.
    Failed,
    /// The command line or the settings are wrong.
    Usage,
}

impl Exit {
    /// Numeric exit code.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
        }
    }
}

impl Termination for Exit {
    fn report(self) -> ExitCode {
        ExitCode::from(self.code())
    }
}
