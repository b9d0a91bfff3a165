//! Runs statements on pooled connections, each after the connection has the state that it needs.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use compio::time::timeout;
use entry::{dialect::Dialect, pool::PooledConn};
use route::load::MemberLoad;

use crate::{
    connection_state::{PreparedStatement, SessionState},
    shared::{DEADLINE_PASSED, Shared},
    statement::{
        Begin, Code, ConnectionError, Failure, Response, Setup, Statement, StatementClient,
        TransactionState, failed_setup,
    },
    stop::{Phase, STOPPING},
};

/// Limit on the wait for the responses to an early setup.
const SETUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a statement has no response.
#[derive(Debug)]
pub(crate) enum RunError {
    /// The connection did not get the state that the statement needs, so that it was not sent.
    NotSent(ConnectionError),
    /// The statement was sent and may have run.
    Unanswered(ConnectionError),
}

impl<D: Dialect> Shared<D>
where
    D::Client: StatementClient,
{
    /// Gives the connection the state of the session, and then runs a statement on it.
    ///
    /// # Errors
    /// There is no response. The connection must not be used again.
    pub(crate) async fn run(
        &self,
        connection: &mut PooledConn<D>,
        session: &SessionState,
        statement: Statement<'_>,
        deadline: Instant,
    ) -> Result<Response, RunError> {
        let client = connection.client();
        let batch = client.connection_state().setup_statements(session);
        if !batch.is_empty() {
            let set_up = self.set_up(connection, &batch, deadline);
            set_up.await.map_err(RunError::NotSent)?;
            self.count_setup("awaited");
        }
        let name = connection.member().clone();
        // An early setup saves the next request a round trip. A transaction keeps its connection.
        let next = if session.in_transaction {
            None
        } else {
            connection.reserve_for_waiting()
        };
        let client = connection.client();
        let run = async {
            match next {
                Some(next) => client.run_then_set_up(&statement, next).await,
                None => client.run(&statement).await,
            }
        };
        let run = self.bounded(Phase::Ending, deadline, run);
        let result = self.measured(&name, run).await;
        if let Ok(response) = &result {
            self.record_response(connection, response);
        }
        result.map_err(RunError::Unanswered)
    }

    /// Gives the connection the state of the session and begins a transaction on it, in one round
    /// trip.
    ///
    /// # Errors
    /// The transaction was not begun, or will be rolled back when the connection is closed. The
    /// connection must not be used again.
    pub(crate) async fn begin(
        &self,
        connection: &mut PooledConn<D>,
        session: &SessionState,
        begin: Begin,
        deadline: Instant,
    ) -> Result<Response, ConnectionError> {
        let name = connection.member().clone();
        let state = connection.client().connection_state();
        let mut batch = state.setup_statements(session);
        batch.push(Setup::Begin(begin));
        let set_up = self.set_up(connection, &batch, deadline);
        let result = self.measured(&name, set_up).await;
        if let Ok(response) = &result {
            self.record_response(connection, response);
        }
        result
    }

    /// Sends setup statements in one batch. Returns the response to the last one; a [`Setup::Begin`]
    /// may have failed.
    ///
    /// # Errors
    /// Not all responses arrived in time, or another setup statement failed.
    async fn set_up(
        &self,
        connection: &mut PooledConn<D>,
        batch: &[Setup<'_>],
        deadline: Instant,
    ) -> Result<Response, ConnectionError> {
        let client = connection.client();
        let set_up = client.set_up(batch);
        let set_up = self.bounded(Phase::AbortingTransactions, deadline, set_up);
        let mut responses = set_up.await?;
        for (statement, response) in batch.iter().zip(&responses) {
            match &response.outcome {
                Ok(_) => client.connection_state().apply(statement),
                Err(_) if matches!(statement, Setup::Begin(_)) => {}
                Err(failure) => {
                    self.count_setup("failed");
                    return Err(failed_setup(failure));
                }
            }
        }
        responses
            .pop()
            .ok_or_else(|| ConnectionError("no answer".to_owned()))
    }

    /// Returns a connection to the pool if no transaction is open on it. An early setup is finished
    /// first, in the background: the caller gets its reply meanwhile.
    pub(crate) fn release_if_idle(
        self: &Rc<Self>,
        mut connection: PooledConn<D>,
        response: &Response,
        prepared: Option<&Rc<PreparedStatement>>,
    ) {
        if response.state != TransactionState::Idle {
            return;
        }
        let is_unknown = |failure: &Failure| failure.code == Code::UnknownStatement;
        let unknown = response.outcome.as_ref().is_err_and(is_unknown);
        let forgotten = prepared.filter(|_| unknown).cloned();
        let release = |mut connection: PooledConn<D>| {
            if let Some(prepared) = forgotten {
                connection.client().connection_state().forget(&prepared);
            }
            connection.release();
        };
        if !connection.client().has_pending_setup() {
            return release(connection);
        }
        let shared = Rc::clone(self);
        compio::runtime::spawn(async move {
            let finish = connection.client().finish_setup();
            if timeout(SETUP_TIMEOUT, finish).await == Ok(Ok(())) {
                shared.count_setup("early");
                release(connection);
            } else {
                // The connection is closed, and the next request uses another one.
                shared.count_setup("failed");
            }
        })
        .detach();
    }

    fn count_setup(&self, kind: &str) {
        self.setups.with_label_values(&[kind]).inc();
    }

    /// Waits for an exchange with a database until the deadline, or until the shutdown has reached
    /// `phase`.
    async fn bounded<T>(
        &self,
        phase: Phase,
        deadline: Instant,
        exchange: impl Future<Output = Result<T, ConnectionError>>,
    ) -> Result<T, ConnectionError> {
        let exchange = compio::time::timeout_at(deadline, exchange);
        let result = self.until_phase(phase, exchange).await;
        let result = result.ok_or_else(|| ConnectionError(STOPPING.to_owned()))?;
        result.map_err(|_elapsed| ConnectionError(DEADLINE_PASSED.to_owned()))?
    }

    /// Counts an exchange in the load of a member, and its duration if it was answered.
    async fn measured<T, E>(
        &self,
        member: &str,
        exchange: impl Future<Output = Result<T, E>>,
    ) -> Result<T, E> {
        let start = Instant::now();
        self.update_load(member, MemberLoad::begin);
        let result = exchange.await;
        let now = Instant::now();
        let took = now.saturating_duration_since(start);
        self.update_load(member, |load| load.end(result.is_ok().then_some(took), now));
        result
    }

    /// Records what a response tells about its member.
    fn record_response(&self, connection: &PooledConn<D>, response: &Response) {
        let now = Instant::now();
        let is_busy = |failure: &Failure| failure.code == Code::Busy;
        if response.outcome.as_ref().is_err_and(is_busy) {
            connection.record_overload(now);
        }
        if let Some(member) = self.network.member(connection.member()) {
            member.record_response(response.position, now);
        }
    }
}
