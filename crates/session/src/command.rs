//! Requests from callers. Their texts are bytes in no particular encoding.

use bstr::BString;

/// Whether a statement reads or writes data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StatementKind {
    /// Reads data and changes nothing.
    Read,
    /// Changes data.
    Write,
}

/// Parsed content of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Starts a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Runs the statement in the request text.
    Run(StatementKind),
    /// Sets a session variable.
    Set {
        /// Variable name.
        name: BString,
        /// Variable value.
        value: BString,
    },
    /// Creates a prepared statement.
    Prepare {
        /// Statement name, local to this session.
        name: BString,
        /// Whether the statement reads or writes.
        kind: StatementKind,
        /// Statement template.
        template: BString,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name of the prepared statement.
        name: BString,
        /// Arguments as received; `None` if not even a blank follows the name.
        arguments: Option<BString>,
    },
    /// Drops a prepared statement.
    Deallocate {
        /// Name of the prepared statement.
        name: BString,
    },
    /// The text could not be parsed as a statement.
    Malformed,
}

/// A request from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Request id assigned by the caller.
    pub id: BString,
    /// Statement text as received.
    pub text: BString,
    /// Parsed content.
    pub command: Command,
}
