//! Transactions: one connection from the first statement to the end.

use std::{
    mem,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{Set, document::Reads};
use compio::time::timeout;
use entry::{dialect::Dialect, pool::PooledConn};

use crate::{
    caller::Caller,
    command::{Request, Verb},
    kept::Shape,
    session::{Session, Work},
    shared::{LATE, Place},
    single::{Reader, passed, refused},
    statement::{Answer, Broken, Code, Failure, Reply, State, Statement, Statements},
};

/// Time that the end of an abandoned transaction may take; after that the connection is closed.
const ROLLBACK: Duration = Duration::from_secs(1);
/// Attempts of a statement for which the database has no room.
const ATTEMPTS: u32 = 4;

/// A transaction of a caller.
#[derive(Debug)]
pub struct Transaction<D: Dialect> {
    place: Rc<Place<D>>,
    /// Id of the request that started it.
    id: Rc<str>,
    /// Whether it only reads.
    reads: bool,
    /// Connection, from the first statement on.
    lease: Option<PooledConn<D>>,
    wrote: bool,
    condition: Condition,
}

#[derive(Debug)]
enum Condition {
    Open,
    /// It was ended here, for a reason that the caller does not know yet.
    Aborted(String),
    /// It was ended, and the caller knows.
    Failed,
}

impl<D: Dialect> Transaction<D>
where
    D::Client: Statements,
{
    /// Starts without a connection.
    pub(crate) fn new(place: Place<D>, id: &str, reads: bool) -> Self {
        Self {
            place: Rc::new(place),
            id: id.into(),
            reads,
            lease: None,
            wrote: false,
            condition: Condition::Open,
        }
    }

    /// Whether it goes on.
    pub(crate) const fn is_open(&self) -> bool {
        matches!(self.condition, Condition::Open)
    }

    /// Whether it can only be ended.
    pub(crate) const fn failed(&self) -> bool {
        !self.is_open()
    }

    /// How long it may wait for its caller.
    pub(crate) fn idle(&self) -> Option<Duration> {
        self.is_open()
            .then(|| Duration::from_millis(self.place.service.limits.idle_ms))
    }

    /// Why it was ended, once.
    pub(crate) fn tell(&mut self) -> Option<String> {
        match mem::replace(&mut self.condition, Condition::Failed) {
            Condition::Aborted(cause) => Some(cause),
            Condition::Open | Condition::Failed => None,
        }
    }

    /// Ends it without keeping anything, and remembers why.
    pub(crate) fn abort(&mut self, cause: &str) {
        self.end();
        if self.is_open() {
            self.condition = Condition::Aborted(cause.to_owned());
        }
    }

    /// Ends it without keeping anything, and its caller is told so.
    pub(crate) fn fail(&mut self) {
        self.end();
        self.condition = Condition::Failed;
    }

    /// Rolls back in the background, so that the connection can be used again.
    pub(crate) fn end(&mut self) {
        let Some(mut lease) = self.lease.take() else {
            return;
        };
        compio::runtime::spawn(async move {
            let rollback = lease.client().exchange(&[Statement::Rollback]);
            // Dropping the lease closes the connection, which rolls back too.
            if let Ok(Ok(answers)) = timeout(ROLLBACK, rollback).await
                && answers.iter().all(|answer| answer.state == State::Idle)
            {
                // Whether values that were set within the transaction still hold is not known.
                lease.client().kept().doubt();
                lease.release();
            }
        })
        .detach();
    }
}

impl<C: Caller, D: Dialect> Session<C, D>
where
    D::Client: Statements,
{
    /// Runs a statement within the open transaction.
    pub(crate) async fn within(&mut self, work: &Work<'_>, start: Instant) -> Reply {
        let Some(transaction) = &self.transaction else {
            return self.fail(Failure::new(Code::Malformed, "there is no transaction"));
        };
        let place = Rc::clone(&transaction.place);
        let deadline = start + Duration::from_millis(place.route.deadline_ms);
        if transaction.reads && work.verb == Verb::Write {
            return self.fail(Failure::new(Code::ReadOnly, "the transaction only reads"));
        }
        let mut lease = match self.pinned(&place, deadline).await {
            Ok(lease) => lease,
            Err(failure) => return self.fail(failure),
        };
        self.inputs.member.clone_from(lease.member());
        let sent = Instant::now();
        let statement = work.statement(None);
        let ran = self.persist(&mut lease, work.shape(), statement, deadline);
        let answer = match ran.await {
            Ok(answer) => answer,
            // The connection is closed, so that nothing of the transaction is kept.
            Err(Broken(cause)) => return self.fail(Failure::new(Code::Aborted, cause)),
        };
        let term = lease.primary();
        if let Some(transaction) = &mut self.transaction {
            transaction.wrote |= work.verb == Verb::Write;
            transaction.lease = Some(lease);
        }
        if let Err(failure) = answer.outcome {
            return self.fail(failure);
        }
        if answer.state != State::Open {
            let cause = "the database ended the transaction";
            return self.fail(Failure::new(Code::Aborted, cause));
        }
        if let Some(term) = term {
            if let Err(cause) = place.held(term, deadline).await {
                return self.fail(Failure::new(Code::Aborted, cause));
            }
            place.sample(sent, answer.position);
        }
        passed(answer, State::Open)
    }

    /// Runs a statement of the transaction, and again while the database has no room for it.
    async fn persist(
        &mut self,
        lease: &mut PooledConn<D>,
        shape: Option<&Shape>,
        statement: Statement<'_>,
        deadline: Instant,
    ) -> Result<Answer, Broken> {
        loop {
            self.inputs.attempts += 1;
            let statement = statement.clone();
            let ran = self
                .shared
                .run(lease, &self.values, shape, statement, deadline);
            let answer = ran.await?;
            let busy = |failure: &Failure| failure.code == Code::Busy;
            let again = answer.outcome.as_ref().is_err_and(busy)
                && answer.state == State::Open
                && self.inputs.attempts < ATTEMPTS;
            if !again {
                return Ok(answer);
            }
            self.shared.pause(deadline).await;
        }
    }

    /// Connection of the transaction; opens the transaction there when it has none yet.
    async fn pinned(
        &mut self,
        place: &Rc<Place<D>>,
        deadline: Instant,
    ) -> Result<PooledConn<D>, Failure> {
        let Some(transaction) = &mut self.transaction else {
            return Err(Failure::new(Code::Malformed, "there is no transaction"));
        };
        if let Some(lease) = transaction.lease.take() {
            return Ok(lease);
        }
        let (id, reads) = (Rc::clone(&transaction.id), transaction.reads);
        let anywhere = reads && place.route.reads != Reads::Latest;
        let mut tried = Set::default();
        let mut last = Failure::new(Code::Busy, "no database could take it in time");
        while Instant::now() < deadline {
            self.inputs.attempts += 1;
            let reader = if anywhere {
                self.reader(place, &tried, deadline).await?
            } else {
                let lease = self
                    .shared
                    .network
                    .acquire_primary(&place.service, deadline)
                    .await;
                Reader {
                    lease: lease.map_err(|refusal| refused(&refusal))?,
                    after: None,
                }
            };
            let Reader { mut lease, after } = reader;
            let begin = Statement::Begin {
                id: &id,
                reads,
                after,
            };
            let values = &self.values;
            let ran = self
                .shared
                .run(&mut lease, values, None, begin, deadline)
                .await;
            tried.insert(lease.member().clone());
            match ran {
                Ok(answer) => match answer.outcome {
                    Ok(_) if answer.state == State::Open => {
                        lease.mark_transaction();
                        return Ok(lease);
                    }
                    Ok(_) => last = Failure::new(Code::Busy, "the transaction was not opened"),
                    Err(failure) => {
                        last = Failure::new(Code::Busy, failure.text);
                        if answer.state == State::Idle {
                            lease.release();
                        }
                        self.shared.pause(deadline).await;
                    }
                },
                // Nothing but the start was sent.
                Err(Broken(cause)) => last = Failure::new(Code::Busy, cause),
            }
        }
        Err(last)
    }

    /// Commits the open transaction.
    pub(crate) async fn commit(&mut self, request: &Request, start: Instant) -> Reply {
        let Some(transaction) = &self.transaction else {
            return self.fail(Failure::new(Code::Malformed, "there is no transaction"));
        };
        let place = Rc::clone(&transaction.place);
        let wrote = transaction.wrote;
        let deadline = start + Duration::from_millis(place.route.deadline_ms);
        let pinned = self.pinned(&place, deadline).await;
        let reply = match pinned {
            Ok(lease) => {
                self.commit_on(lease, &place, request, wrote, deadline)
                    .await
            }
            Err(failure) => Reply::failed(failure, State::Idle),
        };
        if let Some(mut transaction) = self.transaction.take() {
            transaction.end();
        }
        reply
    }

    async fn commit_on(
        &mut self,
        mut lease: PooledConn<D>,
        place: &Rc<Place<D>>,
        request: &Request,
        wrote: bool,
        deadline: Instant,
    ) -> Reply {
        self.inputs.member.clone_from(lease.member());
        let primary = lease.primary();
        let sent = Instant::now();
        let statement = Statement::Forward {
            id: &request.id,
            after: None,
            text: &request.text,
        };
        let ran = self.persist(&mut lease, None, statement, deadline);
        let answer = match ran.await {
            Ok(answer) => answer,
            Err(Broken(cause)) => return Reply::failed(lost(wrote, &cause), State::Idle),
        };
        if answer.state == State::Idle {
            lease.release();
        } else if let Some(transaction) = &mut self.transaction {
            transaction.lease = Some(lease);
        }
        if let Err(failure) = answer.outcome {
            return Reply::failed(failure, State::Idle);
        }
        if let Some(term) = primary {
            let done = self.acknowledge(place, term, sent, &answer, deadline).await;
            if let Err(failure) = done {
                return Reply::failed(failure, State::Idle);
            }
        }
        passed(answer, State::Idle)
    }
}

/// Failure of a commit that was sent and has no answer.
fn lost(wrote: bool, cause: &str) -> Failure {
    let code = match wrote {
        true if cause == LATE => Code::Timeout,
        true => Code::InDoubt,
        // Without a write there is nothing to keep.
        false => Code::Aborted,
    };
    Failure::new(code, cause)
}
