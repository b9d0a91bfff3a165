//! Requests of callers.

/// What a statement does with its item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verb {
    /// Reads it.
    Read,
    /// Writes it.
    Write,
}

/// Meaning of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Starts a transaction.
    Begin {
        /// Whether it only reads.
        reads: bool,
    },
    /// Ends the transaction and keeps what it wrote.
    Commit,
    /// Ends the transaction and keeps nothing.
    Rollback,
    /// Reads or writes; the text says what.
    Run(Verb),
    /// Sets a value of the session.
    Set {
        /// Name.
        name: String,
        /// Value.
        value: String,
    },
    /// Names a shape of statement.
    Prepare {
        /// Name, which holds in this session only.
        name: String,
        /// What the statement does.
        verb: Verb,
        /// Shape.
        shape: String,
    },
    /// Runs a named shape.
    Execute {
        /// Name of the shape.
        name: String,
        /// Rest of the text.
        arguments: String,
    },
    /// Forgets a named shape.
    Deallocate {
        /// Name of the shape.
        name: String,
    },
    /// The text is no statement.
    Malformed,
}

/// A request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Id that the caller gave.
    pub id: String,
    /// Text as it came.
    pub text: String,
    /// Its meaning.
    pub command: Command,
}
