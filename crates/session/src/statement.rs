//! Statements to databases and their answers.

use base::{Position, Term};
use entry::dialect::Client;

use crate::{command::Verb, kept::Kept};

/// A statement to a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement<'a> {
    /// A caller's statement as it came.
    Forward {
        /// Id that the caller gave.
        id: &'a str,
        /// Position that the database must hold.
        after: Option<Position>,
        /// Text.
        text: &'a str,
    },
    /// A caller's statement with a named shape.
    Execute {
        /// Id that the caller gave.
        id: &'a str,
        /// Position that the database must hold.
        after: Option<Position>,
        /// Name of the shape on this connection.
        name: &'a str,
        /// Rest of the text.
        arguments: &'a str,
    },
    /// Starts a caller's transaction.
    Begin {
        /// Id that the caller gave.
        id: &'a str,
        /// Whether it only reads.
        reads: bool,
        /// Position that the database must hold.
        after: Option<Position>,
    },
    /// Ends a transaction and keeps nothing.
    Rollback,
    /// Forgets values and named shapes of the connection.
    Reset,
    /// Sets a value of the connection.
    Set {
        /// Name.
        name: &'a str,
        /// Value.
        value: &'a str,
    },
    /// Names a shape on the connection.
    Prepare {
        /// Name.
        name: &'a str,
        /// What the statement does.
        verb: Verb,
        /// Shape.
        shape: &'a str,
    },
    /// Reads the status of the database.
    Status,
}

/// State of a connection's transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// There is none.
    Idle,
    /// It goes on.
    Open,
    /// It failed and can only be ended.
    Failed,
}

/// Kind of a failure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Code {
    /// Not run: no capacity in time.
    Busy,
    /// Not kept: the transaction was ended.
    Aborted,
    /// Not run: the database lacks the position asked for.
    Lagging,
    /// Not run: the database is no primary.
    ReadOnly,
    /// Not run: another database answers at the address.
    Misdirected,
    /// Not run: the database has too many connections.
    Connections,
    /// Not run: the database does not know the named shape.
    UnknownShape,
    /// Run, and it failed.
    Failed,
    /// It may have run: no answer in time.
    Timeout,
    /// It may have run.
    InDoubt,
    /// The request makes no sense here.
    Malformed,
    /// There is no route of that name.
    NoRoute,
    /// A code that this version does not know; nothing is known about the run.
    Other(String),
}

impl Code {
    /// Whether the database certainly did not run the statement.
    #[must_use]
    pub const fn not_run(&self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Lagging
                | Self::ReadOnly
                | Self::Misdirected
                | Self::Connections
                | Self::UnknownShape
        )
    }
}

/// Why a statement failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Kind.
    pub code: Code,
    /// Text for the caller.
    pub text: String,
}

impl Failure {
    /// Makes a failure.
    #[must_use]
    pub fn new(code: Code, text: impl Into<String>) -> Self {
        Self {
            code,
            text: text.into(),
        }
    }
}

/// Answer of a database to one statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Rows.
    pub rows: Vec<String>,
    /// Signature of the database over the answer, or why there is none.
    pub outcome: Result<String, Failure>,
    /// State of the connection after it.
    pub state: State,
    /// Position that the database holds.
    pub position: Option<Position>,
}

/// Answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Rows.
    pub rows: Vec<String>,
    /// Signature of the database that ran the statement, `None` for one that was answered here, or
    /// why it failed.
    pub outcome: Result<Option<String>, Failure>,
    /// State of the session after it.
    pub state: State,
    /// Position that the database held.
    pub position: Option<Position>,
}

impl Reply {
    /// Success of a statement that was answered here.
    #[must_use]
    pub const fn done(state: State) -> Self {
        Self {
            rows: Vec::new(),
            outcome: Ok(None),
            state,
            position: None,
        }
    }

    /// Failure.
    #[must_use]
    pub const fn failed(failure: Failure, state: State) -> Self {
        Self {
            rows: Vec::new(),
            outcome: Err(failure),
            state,
            position: None,
        }
    }
}

/// What a database says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Whether it considers itself primary.
    pub primary: bool,
    /// Term that it leads or follows.
    pub term: Term,
    /// Position that it has received.
    pub received: Position,
}

impl Status {
    /// Position that ranks it for a promotion: what it received, in the term that it is in.
    #[must_use]
    pub fn position(&self) -> Position {
        Position::new(self.term.max(self.received.term), self.received.offset)
    }
}

/// The connection ended or brought what is no answer; what was sent may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken(pub String);

/// A connection to a database that runs statements.
pub trait Statements: Client {
    /// Sends statements at once and waits for all their answers. After an error or when it is
    /// dropped before its end, the connection must not be used any more.
    fn exchange(
        &mut self,
        batch: &[Statement<'_>],
    ) -> impl Future<Output = Result<Vec<Answer>, Broken>>;
    /// Waits until something arrives or the other side closes the connection.
    fn readable(&self) -> impl Future<Output = ()>;
    /// Reads the status in the answer to [`Statement::Status`].
    fn status(answer: &Answer) -> Option<Status>;
    /// What the connection keeps between statements.
    fn kept(&mut self) -> &mut Kept;
}
