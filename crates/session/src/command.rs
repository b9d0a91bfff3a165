//! Requests from callers.

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
        name: String,
        /// Variable value.
        value: String,
    },
    /// Creates a prepared statement.
    Prepare {
        /// Statement name, local to this session.
        name: String,
        /// Whether the statement reads or writes.
        kind: StatementKind,
        /// Statement template.
        template: String,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name of the prepared statement.
        name: String,
        /// Arguments as received; `None` if not even a blank follows the name.
        arguments: Option<String>,
    },
    /// Drops a prepared statement.
    Deallocate {
        /// Name of the prepared statement.
        name: String,
    },
    /// The text could not be parsed as a statement.
    Malformed,
}

/// A request from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Request id assigned by the caller.
    pub id: String,
    /// Statement text as received.
    pub text: String,
    /// Parsed content.
    pub command: Command,
}
