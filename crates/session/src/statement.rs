//! Statements sent to databases, and their results. Texts are bytes in no particular encoding.

use std::rc::Rc;

use base::{Position, Term};
use bstr::{BStr, BString};
use entry::dialect::Client;
use identity::Refused;

use crate::{
    command::StatementKind,
    connection_state::{ConnectionState, SessionState},
};

/// A statement that is sent by itself, when the connection has the state that it needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement<'a> {
    /// A caller's statement, forwarded unchanged.
    Forward {
        /// Request id assigned by the caller.
        id: &'a BStr,
        /// Position that the database must have reached.
        min_position: Option<Position>,
        /// Statement text.
        text: &'a BStr,
    },
    /// A caller's prepared statement.
    Execute {
        /// Request id assigned by the caller.
        id: &'a BStr,
        /// Position that the database must have reached.
        min_position: Option<Position>,
        /// Name of the prepared statement on this connection.
        name: &'a BStr,
        /// Arguments as received; `None` if not even a blank follows the name.
        arguments: Option<&'a BStr>,
    },
    /// Rolls the transaction back.
    Rollback,
    /// Queries the status of the database.
    Status,
}

/// A statement of the product that gives a connection the state that a caller's statement needs.
///
/// Only these may be sent before the responses to earlier setup statements have arrived. A database runs
/// each of them even if the one before it failed, which no caller notices: none uses a session variable
/// or changes data, and a connection on which one of them failed is closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Setup<'a> {
    /// Drops the connection's session variables and prepared statements.
    Reset,
    /// Sets a session variable on the connection.
    Set {
        /// Variable name.
        name: &'a BStr,
        /// Variable value.
        value: &'a BStr,
    },
    /// Creates a prepared statement on the connection.
    Prepare {
        /// Statement name.
        name: &'a BStr,
        /// Whether the statement reads or writes.
        kind: StatementKind,
        /// Statement template.
        template: &'a BStr,
    },
    /// Starts a transaction.
    Begin(Begin),
}

/// How a transaction is started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Begin {
    /// Position that the database must have reached.
    pub min_position: Option<Position>,
    /// Whether the transaction is read-only.
    pub read_only: bool,
}

/// Transaction state of a connection or session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The transaction failed; the caller must end it.
    Failed,
}

/// Error code of a failed statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Code {
    /// Not run: no capacity became available in time.
    Busy,
    /// Rolled back: the transaction was aborted.
    Aborted,
    /// Not run: the database has not reached the required position.
    Lagging,
    /// Not run: the database is not a primary.
    ReadOnly,
    /// Not run: a different database listens on the address.
    Misdirected,
    /// Not run: the database reached its connection limit.
    TooManyConnections,
    /// Not run: the prepared statement does not exist.
    UnknownStatement,
    /// Run, and failed.
    Failed,
    /// May have run: no response arrived in time.
    Timeout,
    /// May have run.
    InDoubt,
    /// The request is malformed or not valid in the current state.
    Malformed,
    /// The route does not exist.
    NoRoute,
    /// Not run: the key of the caller belongs to no organisation.
    UnknownKey,
    /// A code that this version does not know, so the statement may or may not have run.
    Other(BString),
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
                | Self::TooManyConnections
                | Self::UnknownStatement
        )
    }
}

impl From<Refused> for Failure {
    fn from(cause: Refused) -> Self {
        let code = match cause {
            Refused::UnknownKey => Code::UnknownKey,
            Refused::Outdated | Refused::Moved => Code::Busy,
        };
        Self::new(code, cause.to_string())
    }
}

/// Error of a failed statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Error code.
    pub code: Code,
    /// Message for the caller.
    pub message: BString,
}

impl Failure {
    /// Creates a failure from a code and a message.
    #[must_use]
    pub fn new(code: Code, message: impl Into<BString>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }
}

/// Response of a database to one statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Result rows.
    pub rows: Vec<BString>,
    /// Signature of the database over the result, or the error.
    pub outcome: Result<BString, Failure>,
    /// Transaction state of the connection after the statement.
    pub state: TransactionState,
    /// Log position of the database.
    pub position: Option<Position>,
}

/// Reply to a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Result rows.
    pub rows: Vec<BString>,
    /// Signature of the database that ran the statement (`None` if this process handled it), or the
    /// error.
    pub outcome: Result<Option<BString>, Failure>,
    /// Transaction state of the session after the request.
    pub state: TransactionState,
    /// Log position of the database that ran the statement.
    pub position: Option<Position>,
}

impl Reply {
    /// Success of a statement that this process handled without a database.
    #[must_use]
    pub const fn done(state: TransactionState) -> Self {
        Self {
            rows: Vec::new(),
            outcome: Ok(None),
            state,
            position: None,
        }
    }

    /// Failure of a request.
    #[must_use]
    pub const fn failed(failure: Failure, state: TransactionState) -> Self {
        Self {
            rows: Vec::new(),
            outcome: Err(failure),
            state,
            position: None,
        }
    }
}

/// Status that a database reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Whether the database considers itself the primary.
    pub primary: bool,
    /// Term that it leads or follows.
    pub term: Term,
    /// Last log position that it received.
    pub received: Position,
}

impl Status {
    /// Position that ranks the database for promotion: the received offset, in the current term.
    #[must_use]
    pub fn position(&self) -> Position {
        Position::new(self.term.max(self.received.term), self.received.offset)
    }
}

/// The connection failed or returned an invalid response; statements sent on it may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectionError(pub String);

/// Error of a connection on which a setup statement failed.
///
/// ```
/// use session::{Code, Failure, statement::failed_setup};
///
/// let error = failed_setup(&Failure::new(Code::Failed, "disk full"));
/// assert_eq!(error.0, "the state of the session was not taken over: disk full");
/// ```
#[must_use]
pub fn failed_setup(failure: &Failure) -> ConnectionError {
    let cause = &failure.message;
    ConnectionError(format!(
        "the state of the session was not taken over: {cause}"
    ))
}

/// A database connection that runs statements.
pub trait StatementClient: Client<SessionState = SessionState> {
    /// Sends a statement and waits for its response. After an error, or if the future is dropped
    /// before it completes, the connection must not be used again.
    fn run(
        &mut self,
        statement: &Statement<'_>,
    ) -> impl Future<Output = Result<Response, ConnectionError>>;
    /// Like [`Self::run`], with an early setup: sends behind the statement what the connection lacks of
    /// the state of the next session. [`Self::finish_setup`] waits for the responses to that.
    fn run_then_set_up(
        &mut self,
        statement: &Statement<'_>,
        next: Rc<SessionState>,
    ) -> impl Future<Output = Result<Response, ConnectionError>>;
    /// Whether [`Self::finish_setup`] has to be called before anything else is sent.
    fn has_pending_setup(&self) -> bool;
    /// Waits for the responses to an early setup. The connection state must be as when it was sent.
    /// After an error, also if one of them failed, the connection must not
    /// be used again.
    fn finish_setup(&mut self) -> impl Future<Output = Result<(), ConnectionError>>;
    /// Sends setup statements in one batch and waits for all responses. After an error, or if the
    /// future is dropped before it completes, the connection must not be used again.
    fn set_up(
        &mut self,
        batch: &[Setup<'_>],
    ) -> impl Future<Output = Result<Vec<Response>, ConnectionError>>;
    /// Waits until input is available or the peer closes the connection.
    fn readable(&self) -> impl Future<Output = ()>;
    /// Parses the response to [`Statement::Status`].
    fn status(response: &Response) -> Option<Status>;
    /// State that the connection keeps between statements.
    fn connection_state(&mut self) -> &mut ConnectionState;
}
