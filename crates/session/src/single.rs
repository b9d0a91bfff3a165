//! Statements outside transactions.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use base::{MemberName, Position, Set, Term, document::ReadConsistency, document::Route};
use entry::{
    dialect::Dialect,
    member::Member,
    pool::{PoolError, PooledConn},
    rates::Operation,
    refusal::Refusal,
};
use order::Terms;
use route::AckBounds;

use crate::{
    caller::Caller,
    command::StatementKind,
    connection_state::SessionState,
    run::RunError,
    session::{PendingStatement, Session},
    shared::{DEADLINE_PASSED, ResolvedRoute},
    statement::{
        Code, ConnectionError, Failure, Reply, Response, StatementClient, TransactionState,
    },
    stop::stopping_failure,
};

/// Longest wait for a change before routing is evaluated again: the age of positions, leases and
/// the health of members also change with time alone.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Age up to which the last position that a replica reported is used. A replica applies many
/// commits in this time, so an older position no longer shows that it lags.
const POSITION_MAX_AGE: Duration = Duration::from_millis(100);

/// A connection for a read, with the position that the member must have reached.
pub(crate) struct ReadConnection<D: Dialect> {
    pub(crate) connection: PooledConn<D>,
    pub(crate) min_position: Option<Position>,
}

/// Outcome of one attempt to run a statement.
enum Attempt {
    /// Final reply to the request.
    Done(Reply),
    /// The attempt failed and may be repeated.
    Retry(Failure),
    /// The attempt was not made, and must not be repeated.
    Refused(Failure),
}

impl<C: Caller, D: Dialect> Session<C, D>
where
    D::Client: StatementClient,
{
    /// Runs a statement outside a transaction.
    pub(crate) async fn run_single(
        &mut self,
        target: &ResolvedRoute<D>,
        pending: &PendingStatement<'_>,
        start: Instant,
    ) -> Reply {
        let deadline = start + Duration::from_millis(target.route.deadline_ms);
        let terms = target.terms(start, deadline);
        let session = self.session_state(pending.prepared(), false);
        let mut operation = match target.admit(deadline).await {
            Ok(operation) => operation,
            Err(failure) => return Reply::failed(failure, TransactionState::Idle),
        };
        let mut tried = Set::default();
        let mut last_failure = Failure::new(Code::Busy, "no database could take it in time");
        // Failure of an attempt that may have run.
        let mut ran = None;
        while Instant::now() < deadline && !self.shared.refuses_requests() {
            self.context.attempts += 1;
            let attempt = match pending.kind {
                StatementKind::Read => {
                    let (tried, operation) = (&mut tried, &mut operation);
                    self.try_read(target, pending, &session, tried, operation, &terms)
                        .await
                }
                StatementKind::Write => {
                    self.try_write(target, pending, &session, &mut operation, &terms)
                        .await
                }
            };
            match attempt {
                Attempt::Done(reply) => return reply,
                Attempt::Retry(failure) => {
                    if !failure.code.not_run() {
                        ran = Some(failure.clone());
                    }
                    last_failure = failure;
                }
                // A refusal would tell that the statement has not run.
                Attempt::Refused(failure) => {
                    return Reply::failed(ran.unwrap_or(failure), TransactionState::Idle);
                }
            }
        }
        if self.shared.refuses_requests() {
            last_failure = ran.unwrap_or_else(stopping_failure);
        }
        Reply::failed(last_failure, TransactionState::Idle)
    }

    async fn try_read(
        &mut self,
        target: &ResolvedRoute<D>,
        pending: &PendingStatement<'_>,
        session: &Rc<SessionState>,
        tried: &mut Set<MemberName>,
        operation: &mut Operation<D>,
        terms: &Terms,
    ) -> Attempt {
        let deadline = terms.deadline;
        let acquired = match self.acquire_for_read(target, session, tried, terms).await {
            Ok(acquired) => acquired,
            Err(failure) if tried.is_empty() => return Attempt::Refused(failure),
            Err(failure) => {
                // A lagging replica may have caught up by the next attempt.
                tried.clear();
                self.shared.pause_before_retry(deadline).await;
                return Attempt::Retry(failure);
            }
        };
        let ReadConnection {
            mut connection,
            min_position,
        } = acquired;
        if let Err(cause) = target.confirm_owner() {
            connection.release();
            return Attempt::Refused(cause.into());
        }
        let primary = connection.primary();
        self.context.member.clone_from(connection.member());
        if let Err(refusal) = operation.count() {
            connection.release();
            return Attempt::Refused(refusal_failure(&refusal));
        }
        let sent = base::clock::now();
        let shared = &self.shared;
        let result = shared
            .run(
                &mut connection,
                session,
                pending.statement(min_position),
                deadline,
            )
            .await;
        let response = match result {
            Ok(response) => response,
            Err(RunError::NotSent(ConnectionError(cause))) => {
                let name = connection.member().clone();
                drop(connection);
                if primary.is_some() || !tried.insert(name) {
                    shared.pause_before_retry(deadline).await;
                }
                return Attempt::Retry(Failure::new(Code::Busy, cause));
            }
            Err(RunError::Unanswered(error)) => {
                tried.insert(connection.member().clone());
                operation.note_run();
                return Attempt::Retry(unanswered_failure(&error, StatementKind::Read));
            }
        };
        let name = connection.member().clone();
        shared.release_if_idle(connection, &response, pending.prepared());
        match &response.outcome {
            Ok(_) => {}
            Err(failure) if failure.code.not_run() => {
                if primary.is_some() || tried.contains(&name) {
                    shared.pause_before_retry(deadline).await;
                }
                tried.insert(name);
                return Attempt::Retry(Failure::new(Code::Busy, failure.message.clone()));
            }
            // A read has no side effects, so it is retried on another database.
            Err(failure) if failure.code == Code::Failed && tried.insert(name) => {
                operation.note_run();
                return Attempt::Retry(failure.clone());
            }
            Err(failure) => {
                return Attempt::Done(Reply::failed(failure.clone(), TransactionState::Idle));
            }
        }
        if let Some(term) = primary {
            // A former primary may have returned stale data.
            if let Err(cause) = target.confirm_term(term, deadline).await {
                operation.note_run();
                return Attempt::Retry(Failure::new(Code::Failed, cause));
            }
            target.record_position(sent, response.position);
        }
        Attempt::Done(into_reply(response, TransactionState::Idle))
    }

    async fn try_write(
        &mut self,
        target: &ResolvedRoute<D>,
        pending: &PendingStatement<'_>,
        session: &Rc<SessionState>,
        operation: &mut Operation<D>,
        terms: &Terms,
    ) -> Attempt {
        let deadline = terms.deadline;
        let shared = &self.shared;
        let mut connection = match target.acquire_for_write(session, terms).await {
            Ok(connection) => connection,
            Err(failure) => {
                return Attempt::Done(Reply::failed(failure, TransactionState::Idle));
            }
        };
        if let Err(cause) = target.confirm_owner() {
            connection.release();
            return Attempt::Refused(cause.into());
        }
        let term = connection.primary().unwrap_or_default();
        self.context.member.clone_from(connection.member());
        if let Err(refusal) = operation.count() {
            connection.release();
            return Attempt::Refused(refusal_failure(&refusal));
        }
        let sent = SentCommit::now(target);
        let result = shared
            .run(&mut connection, session, pending.statement(None), deadline)
            .await;
        let response = match result {
            Ok(response) => response,
            Err(RunError::NotSent(ConnectionError(cause))) => {
                drop(connection);
                shared.pause_before_retry(deadline).await;
                return Attempt::Retry(Failure::new(Code::Busy, cause));
            }
            Err(RunError::Unanswered(error)) => {
                return Attempt::Done(Reply::failed(
                    unanswered_failure(&error, StatementKind::Write),
                    TransactionState::Idle,
                ));
            }
        };
        shared.release_if_idle(connection, &response, pending.prepared());
        match &response.outcome {
            Ok(_) => {}
            Err(failure) if failure.code.not_run() => {
                shared.pause_before_retry(deadline).await;
                return Attempt::Retry(Failure::new(Code::Busy, failure.message.clone()));
            }
            Err(failure) => {
                return Attempt::Done(Reply::failed(failure.clone(), TransactionState::Idle));
            }
        }
        let confirmed = self
            .confirm_commit(target, term, sent, &response, deadline)
            .await;
        Attempt::Done(match confirmed {
            Ok(()) => into_reply(response, TransactionState::Idle),
            Err(failure) => Reply::failed(failure, TransactionState::Idle),
        })
    }

    /// Confirms that the term was still in force, so that the commit may be acknowledged, and
    /// records its position for later reads.
    pub(crate) async fn confirm_commit(
        &mut self,
        target: &ResolvedRoute<D>,
        term: Term,
        sent: SentCommit,
        response: &Response,
        deadline: Instant,
    ) -> Result<(), Failure> {
        if let Err(cause) = target.confirm_term(term, deadline).await {
            return Err(Failure::new(Code::InDoubt, cause));
        }
        match response.position {
            Some(after) if sent.wrote => {
                let bounds = AckBounds::of_commit(sent.before, after);
                target.group.record_acks(Instant::now(), bounds);
            }
            None if sent.wrote => target.group.record_unknown_ack(),
            _ => {}
        }
        target.record_position(sent.at, response.position);
        self.last_write = self.last_write.max(response.position);
        Ok(())
    }

    /// Acquires a connection for a read: to a replica that may be fresh enough and was not tried
    /// yet, or else to the primary. The shutdown ends the wait.
    pub(crate) async fn acquire_for_read(
        &self,
        target: &ResolvedRoute<D>,
        session: &Rc<SessionState>,
        tried: &Set<MemberName>,
        terms: &Terms,
    ) -> Result<ReadConnection<D>, Failure> {
        let finding = self.find_for_read(target, session, tried, terms);
        self.shared.until_refused(finding).await?
    }

    async fn find_for_read(
        &self,
        target: &ResolvedRoute<D>,
        session: &Rc<SessionState>,
        tried: &Set<MemberName>,
        terms: &Terms,
    ) -> Result<ReadConnection<D>, Failure> {
        let deadline = terms.deadline;
        let network = &self.shared.network;
        let mut full = Set::default();
        loop {
            let now = Instant::now();
            if now >= deadline {
                return Err(Failure::new(
                    Code::Busy,
                    "no database was fresh enough in time",
                ));
            }
            let changed = target.group.listen();
            let min_position = required_position(target, self.last_write, base::clock::now());
            let replica = min_position.and_then(|_| {
                let skip = |name: &MemberName| tried.contains(name) || full.contains(name);
                let replicas = network.replicas(&target.group, now).into_iter();
                let untried = replicas.filter(|member| !skip(&member.name));
                let rated = untried.map(|member| (is_behind(&member, min_position, now), member));
                let best = self.shared.choose_member(target, rated.collect(), now);
                // A lagging replica is used only if there is no primary.
                let best =
                    best.filter(|(lags, _)| !lags || network.primary(&target.group, now).is_err());
                best.map(|(_, member)| member)
            });
            if let Some(member) = replica {
                let session = Some(Rc::clone(session));
                match member.pool.acquire_under(terms.clone(), session).await {
                    Ok(connection) => {
                        self.shared.count_read(connection.member());
                        return Ok(ReadConnection {
                            connection,
                            min_position,
                        });
                    }
                    Err(PoolError::Full | PoolError::Closed) => {
                        full.insert(member.name.clone());
                        continue;
                    }
                    Err(PoolError::Deadline) => {
                        return Err(Failure::new(Code::Busy, "no connection was free in time"));
                    }
                }
            }
            if network.primary(&target.group, now).is_ok() {
                let acquiring = network.acquire_primary(&target.service, terms, Some(session));
                let connection = acquiring.await;
                return match connection {
                    Ok(connection) => {
                        self.shared.count_read(connection.member());
                        Ok(ReadConnection {
                            connection,
                            min_position: None,
                        })
                    }
                    Err(refusal) => Err(refusal_failure(&refusal)),
                };
            }
            if !tried.is_empty() {
                return Err(Failure::new(Code::Busy, "no database was fresh enough"));
            }
            if network.is_isolated(base::clock::now()) {
                return Err(Failure::new(Code::Busy, "this process is cut off"));
            }
            let until = (now + RECHECK_INTERVAL).min(deadline);
            let _changed = compio::time::timeout_at(until, changed).await;
        }
    }
}

impl<D: Dialect> ResolvedRoute<D>
where
    D::Client: StatementClient,
{
    /// Acquires a connection to the primary in force. The shutdown ends the wait.
    pub(crate) async fn acquire_for_write(
        &self,
        session: &Rc<SessionState>,
        terms: &Terms,
    ) -> Result<PooledConn<D>, Failure> {
        let network = &self.shared.network;
        let acquiring = network.acquire_primary(&self.service, terms, Some(session));
        let acquired = self.shared.until_refused(acquiring).await?;
        acquired.map_err(|refusal| refusal_failure(&refusal))
    }
}

/// What was known when a commit was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SentCommit {
    /// When it was sent, by [`base::clock`].
    pub(crate) at: Instant,
    /// Latest known position of the primary.
    pub(crate) before: Option<Position>,
    /// Whether it commits a write.
    pub(crate) wrote: bool,
}

impl SentCommit {
    /// A write that is sent now.
    pub(crate) fn now<D: Dialect>(target: &ResolvedRoute<D>) -> Self {
        Self {
            at: base::clock::now(),
            before: target.group.samples.borrow().latest(),
            wrote: true,
        }
    }
}

/// Whether a member recently reported a position below `min_position`.
fn is_behind<D: Dialect>(member: &Member<D>, min_position: Option<Position>, now: Instant) -> bool {
    let reported = member
        .last_reported(now)
        .filter(|(_, age)| *age < POSITION_MAX_AGE);
    reported
        .zip(min_position)
        .is_some_and(|((reached, _), min_position)| reached < min_position)
}

/// Position that a replica must have reached to serve a read on this route; `None` if only the
/// primary may serve it, also because no recent position of the primary is known. `now` is by
/// [`base::clock`].
fn required_position<D: Dialect>(
    target: &ResolvedRoute<D>,
    last_write: Option<Position>,
    now: Instant,
) -> Option<Position> {
    let Route { reads, age_ms, .. } = &*target.route;
    let age = Duration::from_millis(*age_ms);
    let floor = || target.group.samples.borrow().min_position(age, now);
    match reads {
        ReadConsistency::Latest => None,
        ReadConsistency::Bounded => floor(),
        ReadConsistency::Session => {
            floor().map(|floor| last_write.map_or(floor, |write| write.max(floor)))
        }
    }
}

/// Converts the response of a database to a reply to the caller.
pub(crate) fn into_reply(response: Response, state: TransactionState) -> Reply {
    Reply {
        rows: response.rows,
        outcome: response.outcome.map(Some),
        state,
        position: response.position,
    }
}

/// Failure of a request that was refused before it was sent to a database.
pub(crate) fn refusal_failure(refusal: &Refusal) -> Failure {
    let code = if refusal.not_run() {
        Code::Busy
    } else {
        Code::InDoubt
    };
    Failure::new(code, refusal.to_string())
}

/// Failure of a statement that was sent and got no response.
pub(crate) fn unanswered_failure(error: &ConnectionError, kind: StatementKind) -> Failure {
    let code = match kind {
        _ if error.0 == DEADLINE_PASSED => Code::Timeout,
        StatementKind::Read => Code::Failed,
        StatementKind::Write => Code::InDoubt,
    };
    Failure::new(code, error.0.as_str())
}
