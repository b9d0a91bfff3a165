//! Transactions, each bound to one connection from its first statement to its end.

use std::{
    mem,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{Set, document::ReadConsistency};
use compio::time::timeout;
use entry::{dialect::Dialect, pool::PooledConn};

use crate::{
    caller::Caller,
    command::{Request, StatementKind},
    connection_state::SessionState,
    run::RunError,
    session::{PendingStatement, Session},
    shared::{DEADLINE_PASSED, ResolvedRoute},
    single::{ReadConnection, SentCommit, into_reply, refusal_failure},
    statement::{
        Begin, Code, ConnectionError, Failure, Reply, Response, Statement, StatementClient,
        TransactionState,
    },
};

/// Limit on the rollback of an abandoned transaction, after which the connection is closed.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(1);
/// Attempts per request while the database reports that it is busy.
const MAX_ATTEMPTS: u32 = 4;

/// A caller's transaction.
#[derive(Debug)]
pub struct Transaction<D: Dialect> {
    target: Rc<ResolvedRoute<D>>,
    read_only: bool,
    /// Connection that the transaction is bound to; `None` before the first statement.
    connection: Option<PooledConn<D>>,
    wrote: bool,
    status: TransactionStatus,
}

#[derive(Debug)]
enum TransactionStatus {
    Open,
    /// Aborted by this process, for a cause not yet reported to the caller.
    Aborted(String),
    /// Failed, and the caller was told.
    Failed,
}

impl<D: Dialect> Transaction<D>
where
    D::Client: StatementClient,
{
    /// Creates a transaction that has no connection yet.
    pub(crate) fn new(target: ResolvedRoute<D>, read_only: bool) -> Self {
        Self {
            target: Rc::new(target),
            read_only,
            connection: None,
            wrote: false,
            status: TransactionStatus::Open,
        }
    }

    /// Whether the transaction is open.
    pub(crate) const fn is_open(&self) -> bool {
        matches!(self.status, TransactionStatus::Open)
    }

    /// Whether the transaction failed, so that the caller can only end it.
    pub(crate) const fn is_failed(&self) -> bool {
        !self.is_open()
    }

    /// How long an open transaction may wait for its caller.
    pub(crate) fn idle_limit(&self) -> Option<Duration> {
        self.is_open()
            .then(|| Duration::from_millis(self.target.service.limits.idle_ms))
    }

    /// Returns why the transaction was aborted if the caller was not told yet, and marks it as
    /// told.
    pub(crate) fn take_abort_cause(&mut self) -> Option<String> {
        match mem::replace(&mut self.status, TransactionStatus::Failed) {
            TransactionStatus::Aborted(cause) => Some(cause),
            TransactionStatus::Open | TransactionStatus::Failed => None,
        }
    }

    /// Rolls the transaction back and stores the cause for the next reply.
    pub(crate) fn abort(&mut self, cause: &str) {
        self.roll_back();
        if self.is_open() {
            self.status = TransactionStatus::Aborted(cause.to_owned());
        }
    }

    /// Rolls the transaction back; the current reply reports the failure to the caller.
    pub(crate) fn fail(&mut self) {
        self.roll_back();
        self.status = TransactionStatus::Failed;
    }

    /// Rolls back in the background, so that the connection can return to the pool.
    pub(crate) fn roll_back(&mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        compio::runtime::spawn(async move {
            let rollback = connection.client().run(&Statement::Rollback);
            // On an error, dropping the connection closes it, which also rolls back.
            if let Ok(Ok(response)) = timeout(ROLLBACK_TIMEOUT, rollback).await
                && response.state == TransactionState::Idle
            {
                let state = connection.client().connection_state();
                state.end_transaction(false);
                connection.release();
            }
        })
        .detach();
    }
}

impl<C: Caller, D: Dialect> Session<C, D>
where
    D::Client: StatementClient,
{
    /// Runs a statement in the open transaction.
    pub(crate) async fn run_in_transaction(
        &mut self,
        pending: &PendingStatement<'_>,
        start: Instant,
    ) -> Reply {
        let Some(transaction) = &self.transaction else {
            return self.fail(Failure::new(Code::Malformed, "there is no transaction"));
        };
        let target = Rc::clone(&transaction.target);
        let deadline = start + Duration::from_millis(target.route.deadline_ms);
        if transaction.read_only && pending.kind == StatementKind::Write {
            return self.fail(Failure::new(Code::ReadOnly, "the transaction only reads"));
        }
        let session = self.session_state(pending.prepared(), true);
        let confirmed = self.confirmed_connection(&target, &session, start, deadline);
        let mut connection = match confirmed.await {
            Ok(connection) => connection,
            Err(failure) => return self.fail(failure),
        };
        self.context.member.clone_from(connection.member());
        let sent = base::clock::now();
        let statement = pending.statement(None);
        let result = self.run_with_retries(&mut connection, &session, statement, deadline);
        let response = match result.await {
            Ok(response) => response,
            // Closing the connection rolls the transaction back.
            Err(
                RunError::NotSent(ConnectionError(cause))
                | RunError::Unanswered(ConnectionError(cause)),
            ) => return self.fail(Failure::new(Code::Aborted, cause)),
        };
        let term = connection.primary();
        if let Some(transaction) = &mut self.transaction {
            transaction.wrote |= pending.kind == StatementKind::Write;
            transaction.connection = Some(connection);
        }
        if let Err(failure) = response.outcome {
            return self.fail(failure);
        }
        if response.state != TransactionState::Open {
            let cause = "the database ended the transaction";
            return self.fail(Failure::new(Code::Aborted, cause));
        }
        if let Some(term) = term {
            if let Err(cause) = target.confirm_term(term, deadline).await {
                return self.fail(Failure::new(Code::Aborted, cause));
            }
            target.record_position(sent, response.position);
        }
        into_reply(response, TransactionState::Open)
    }

    /// Runs a statement of the transaction, and retries it while the database is busy.
    async fn run_with_retries(
        &mut self,
        connection: &mut PooledConn<D>,
        session: &Rc<SessionState>,
        statement: Statement<'_>,
        deadline: Instant,
    ) -> Result<Response, RunError> {
        loop {
            self.context.attempts += 1;
            let statement = statement.clone();
            let result = self.shared.run(connection, session, statement, deadline);
            let response = result.await?;
            let busy = |failure: &Failure| failure.code == Code::Busy;
            let retry = response.outcome.as_ref().is_err_and(busy)
                && response.state == TransactionState::Open
                && self.context.attempts < MAX_ATTEMPTS
                && !self.shared.refuses_requests();
            if !retry {
                return Ok(response);
            }
            self.shared.pause_before_retry(deadline).await;
        }
    }

    /// Takes the connection of the transaction for the next statement, unless the caller's key no
    /// longer belongs to the organisation that began the transaction.
    async fn confirmed_connection(
        &mut self,
        target: &Rc<ResolvedRoute<D>>,
        session: &Rc<SessionState>,
        start: Instant,
        deadline: Instant,
    ) -> Result<PooledConn<D>, Failure> {
        // A caller that is refused needs no connection, and may lose its key while it waits for one.
        confirm_owner(target)?;
        let connection = self
            .pinned_connection(target, session, start, deadline)
            .await?;
        let Err(failure) = confirm_owner(target) else {
            return Ok(connection);
        };
        if let Some(transaction) = &mut self.transaction {
            // The rollback needs it.
            transaction.connection = Some(connection);
        }
        Err(failure)
    }

    /// Takes the connection of the transaction; if it has none yet, acquires one and begins the
    /// transaction on it, which gets the state of the session.
    async fn pinned_connection(
        &mut self,
        target: &Rc<ResolvedRoute<D>>,
        session: &Rc<SessionState>,
        start: Instant,
        deadline: Instant,
    ) -> Result<PooledConn<D>, Failure> {
        let terms = target.terms(start, deadline);
        let Some(transaction) = &mut self.transaction else {
            return Err(Failure::new(Code::Malformed, "there is no transaction"));
        };
        if let Some(connection) = transaction.connection.take() {
            return Ok(connection);
        }
        let read_only = transaction.read_only;
        let mut operation = target.admit(deadline).await?;
        let replica_allowed = read_only && target.route.reads != ReadConsistency::Latest;
        let mut tried = Set::default();
        let mut error = Failure::new(Code::Busy, "no database could take it in time");
        while Instant::now() < deadline {
            self.context.attempts += 1;
            let acquired = if replica_allowed {
                self.acquire_for_read(target, session, &tried, &terms)
                    .await?
            } else {
                ReadConnection {
                    connection: target.acquire_for_write(session, &terms).await?,
                    min_position: None,
                }
            };
            let ReadConnection {
                mut connection,
                min_position,
            } = acquired;
            if let Err(failure) = confirm_owner(target) {
                connection.release();
                return Err(failure);
            }
            if let Err(refusal) = operation.count() {
                connection.release();
                return Err(refusal_failure(&refusal));
            }
            let begin = Begin {
                min_position,
                read_only,
            };
            let shared = &self.shared;
            let result = shared
                .begin(&mut connection, session, begin, deadline)
                .await;
            tried.insert(connection.member().clone());
            match result {
                Ok(response) => match response.outcome {
                    Ok(_) if response.state == TransactionState::Open => {
                        connection.mark_transaction();
                        return Ok(connection);
                    }
                    Ok(_) => error = Failure::new(Code::Busy, "the transaction was not opened"),
                    Err(failure) => {
                        error = Failure::new(Code::Busy, failure.message);
                        if response.state == TransactionState::Idle {
                            connection.release();
                        }
                        self.shared.pause_before_retry(deadline).await;
                    }
                },
                // Nothing of the caller was sent, so a retry is safe.
                Err(ConnectionError(cause)) => {
                    error = Failure::new(Code::Busy, cause);
                    drop(connection);
                    self.shared.pause_before_retry(deadline).await;
                }
            }
        }
        Err(error)
    }

    /// Commits the open transaction.
    pub(crate) async fn commit(&mut self, request: &Request, start: Instant) -> Reply {
        let Some(transaction) = &self.transaction else {
            return self.fail(Failure::new(Code::Malformed, "there is no transaction"));
        };
        let target = Rc::clone(&transaction.target);
        let wrote = transaction.wrote;
        let deadline = start + Duration::from_millis(target.route.deadline_ms);
        let session = self.session_state(None, true);
        let confirmed = self
            .confirmed_connection(&target, &session, start, deadline)
            .await;
        let reply = match confirmed {
            Ok(connection) => {
                self.commit_on(connection, &target, &session, request, wrote, deadline)
                    .await
            }
            Err(failure) => Reply::failed(failure, TransactionState::Idle),
        };
        if let Some(mut transaction) = self.transaction.take() {
            transaction.roll_back();
        }
        reply
    }

    async fn commit_on(
        &mut self,
        mut connection: PooledConn<D>,
        target: &Rc<ResolvedRoute<D>>,
        session: &Rc<SessionState>,
        request: &Request,
        wrote: bool,
        deadline: Instant,
    ) -> Reply {
        self.context.member.clone_from(connection.member());
        let primary = connection.primary();
        let sent = SentCommit {
            wrote,
            ..SentCommit::now(target)
        };
        let statement = Statement::Forward {
            id: request.id.as_ref(),
            min_position: None,
            text: request.text.as_ref(),
        };
        let result = self.run_with_retries(&mut connection, session, statement, deadline);
        let response = match result.await {
            Ok(response) => response,
            // Closing the connection rolls the transaction back.
            Err(RunError::NotSent(ConnectionError(cause))) => {
                let failure = Failure::new(Code::Aborted, cause);
                return Reply::failed(failure, TransactionState::Idle);
            }
            Err(RunError::Unanswered(ConnectionError(cause))) => {
                return Reply::failed(unanswered_commit(wrote, &cause), TransactionState::Idle);
            }
        };
        if response.state == TransactionState::Idle {
            let state = connection.client().connection_state();
            state.end_transaction(response.outcome.is_ok());
            connection.release();
        } else if let Some(transaction) = &mut self.transaction {
            transaction.connection = Some(connection);
        }
        if let Err(failure) = response.outcome {
            return Reply::failed(failure, TransactionState::Idle);
        }
        if let Some(term) = primary {
            let confirmed = self
                .confirm_commit(target, term, sent, &response, deadline)
                .await;
            if let Err(failure) = confirmed {
                return Reply::failed(failure, TransactionState::Idle);
            }
        }
        into_reply(response, TransactionState::Idle)
    }
}

/// Checks that the caller's key still belongs to the organisation that began the transaction.
fn confirm_owner<D: Dialect>(target: &ResolvedRoute<D>) -> Result<(), Failure> {
    let confirmed = target.confirm_owner();
    confirmed.map_err(|cause| Failure::new(Code::Aborted, cause.to_string()))
}

/// Failure of a commit that was sent and got no response.
fn unanswered_commit(wrote: bool, cause: &str) -> Failure {
    let code = match wrote {
        true if cause == DEADLINE_PASSED => Code::Timeout,
        true => Code::InDoubt,
        // A transaction without writes has no effects to be in doubt about.
        false => Code::Aborted,
    };
    Failure::new(code, cause)
}
