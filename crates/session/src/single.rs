//! Statements outside transactions.

use std::time::{Duration, Instant};

use base::{MemberName, Position, Set, Term, document::Reads, document::Route};
use entry::{
    dialect::Dialect,
    member::Member,
    pool::{PoolError, PooledConn},
    refusal::Refusal,
};

use crate::{
    caller::Caller,
    command::Verb,
    session::{Session, Work},
    shared::{LATE, Place},
    statement::{Answer, Broken, Code, Failure, Reply, State, Statements},
};

/// Longest wait for a change before a decision is made again, because ages, leases and the health of
/// members also change by time alone.
const SLICE: Duration = Duration::from_millis(50);

/// The position of a replica is known for this long after an answer: many commits are applied in the
/// meantime, so that it is asked again.
const KNOWN: Duration = Duration::from_millis(100);

/// A connection for a read, with the position that the member must hold.
pub(crate) struct Reader<D: Dialect> {
    pub(crate) lease: PooledConn<D>,
    pub(crate) after: Option<Position>,
}

/// Outcome of one attempt that does not answer the request.
enum Attempt {
    Done(Reply),
    Again(Failure),
}

impl<C: Caller, D: Dialect> Session<C, D>
where
    D::Client: Statements,
{
    /// Runs a statement outside a transaction.
    pub(crate) async fn single(
        &mut self,
        place: &Place<D>,
        work: &Work<'_>,
        start: Instant,
    ) -> Reply {
        let deadline = start + Duration::from_millis(place.route.deadline_ms);
        let mut tried = Set::default();
        let mut last = Failure::new(Code::Busy, "no database could take it in time");
        while Instant::now() < deadline {
            self.inputs.attempts += 1;
            let attempt = match work.verb {
                Verb::Read => self.read(place, work, &mut tried, deadline).await,
                Verb::Write => self.write(place, work, deadline).await,
            };
            match attempt {
                Attempt::Done(reply) => return reply,
                Attempt::Again(failure) => last = failure,
            }
        }
        Reply::failed(last, State::Idle)
    }

    async fn read(
        &mut self,
        place: &Place<D>,
        work: &Work<'_>,
        tried: &mut Set<MemberName>,
        deadline: Instant,
    ) -> Attempt {
        let reader = match self.reader(place, tried, deadline).await {
            Ok(reader) => reader,
            Err(failure) if tried.is_empty() => {
                return Attempt::Done(Reply::failed(failure, State::Idle));
            }
            Err(failure) => {
                // A replica that was behind may have caught up.
                tried.clear();
                self.shared.pause(deadline).await;
                return Attempt::Again(failure);
            }
        };
        let Reader { mut lease, after } = reader;
        let primary = lease.primary();
        self.inputs.member.clone_from(lease.member());
        let sent = Instant::now();
        let shared = &self.shared;
        let ran = shared
            .run(
                &mut lease,
                &self.values,
                work.shape(),
                work.statement(after),
                deadline,
            )
            .await;
        let answer = match ran {
            Ok(answer) => answer,
            Err(broken) => {
                tried.insert(lease.member().clone());
                return Attempt::Again(unanswered(&broken, Verb::Read));
            }
        };
        let name = lease.member().clone();
        settle(lease, &answer, work);
        match &answer.outcome {
            Ok(_) => {}
            Err(failure) if failure.code.not_run() => {
                if primary.is_some() || tried.contains(&name) {
                    shared.pause(deadline).await;
                }
                tried.insert(name);
                return Attempt::Again(Failure::new(Code::Busy, failure.text.as_str()));
            }
            // A read changes nothing, so that another database may answer it.
            Err(failure) if failure.code == Code::Failed && tried.insert(name) => {
                return Attempt::Again(failure.clone());
            }
            Err(failure) => {
                return Attempt::Done(Reply::failed(failure.clone(), State::Idle));
            }
        }
        if let Some(term) = primary {
            // What a former primary answers may be old.
            if let Err(cause) = place.held(term, deadline).await {
                return Attempt::Again(Failure::new(Code::Busy, cause));
            }
            place.sample(sent, answer.position);
        }
        Attempt::Done(passed(answer, State::Idle))
    }

    async fn write(&mut self, place: &Place<D>, work: &Work<'_>, deadline: Instant) -> Attempt {
        let shared = &self.shared;
        let mut lease = match shared
            .network
            .acquire_primary(&place.service, deadline)
            .await
        {
            Ok(lease) => lease,
            Err(refusal) => {
                return Attempt::Done(Reply::failed(refused(&refusal), State::Idle));
            }
        };
        let term = lease.primary().unwrap_or_default();
        self.inputs.member.clone_from(lease.member());
        let sent = Instant::now();
        let ran = shared
            .run(
                &mut lease,
                &self.values,
                work.shape(),
                work.statement(None),
                deadline,
            )
            .await;
        let answer = match ran {
            Ok(answer) => answer,
            Err(broken) => {
                return Attempt::Done(Reply::failed(unanswered(&broken, Verb::Write), State::Idle));
            }
        };
        settle(lease, &answer, work);
        match &answer.outcome {
            Ok(_) => {}
            Err(failure) if failure.code.not_run() => {
                shared.pause(deadline).await;
                return Attempt::Again(Failure::new(Code::Busy, failure.text.as_str()));
            }
            Err(failure) => {
                return Attempt::Done(Reply::failed(failure.clone(), State::Idle));
            }
        }
        let done = self.acknowledge(place, term, sent, &answer, deadline).await;
        Attempt::Done(match done {
            Ok(()) => passed(answer, State::Idle),
            Err(failure) => Reply::failed(failure, State::Idle),
        })
    }

    /// Makes sure that a commit may be acknowledged, and notes its position for later reads.
    pub(crate) async fn acknowledge(
        &mut self,
        place: &Place<D>,
        term: Term,
        sent: Instant,
        answer: &Answer,
        deadline: Instant,
    ) -> Result<(), Failure> {
        if let Err(cause) = place.held(term, deadline).await {
            return Err(Failure::new(Code::InDoubt, cause));
        }
        place.sample(sent, answer.position);
        self.token = self.token.max(answer.position);
        Ok(())
    }

    /// Takes a connection for a read: to a replica that may be fresh enough, and was not tried, or
    /// to the primary.
    pub(crate) async fn reader(
        &self,
        place: &Place<D>,
        tried: &Set<MemberName>,
        deadline: Instant,
    ) -> Result<Reader<D>, Failure> {
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
            let changed = place.group.listen();
            let after = needed(place, self.token, now);
            let replica = after.and_then(|_| {
                let skip = |name: &MemberName| tried.contains(name) || full.contains(name);
                let replicas = network.replicas(&place.group, now).into_iter();
                let open = replicas.filter(|member| !skip(&member.name));
                let rated = open.map(|member| {
                    let expected = self.shared.expected(&member, place.service.slots, now);
                    (behind(&member, after, now), expected, member)
                });
                let best = rated.min_by_key(|(behind, expected, _)| (*behind, *expected));
                // One that is behind serves only what nobody else can.
                let best = best
                    .filter(|(behind, ..)| !behind || network.primary(&place.group, now).is_err());
                best.map(|(.., member)| member)
            });
            if let Some(member) = replica {
                match member.pool.acquire(deadline).await {
                    Ok(lease) => return Ok(Reader { lease, after }),
                    Err(PoolError::Full | PoolError::Closed) => {
                        full.insert(member.name.clone());
                        continue;
                    }
                    Err(PoolError::Deadline) => {
                        return Err(Failure::new(Code::Busy, "no connection was free in time"));
                    }
                }
            }
            if network.primary(&place.group, now).is_ok() {
                let lease = network.acquire_primary(&place.service, deadline).await;
                return match lease {
                    Ok(lease) => Ok(Reader { lease, after: None }),
                    Err(refusal) => Err(refused(&refusal)),
                };
            }
            if !tried.is_empty() {
                return Err(Failure::new(Code::Busy, "no database was fresh enough"));
            }
            if network.is_isolated(now) {
                return Err(Failure::new(Code::Busy, "this process is cut off"));
            }
            let until = (now + SLICE).min(deadline);
            let _changed = compio::time::timeout_at(until, changed).await;
        }
    }
}

/// Whether a member answered a moment ago that it holds less than `after`.
fn behind<D: Dialect>(member: &Member<D>, after: Option<Position>, now: Instant) -> bool {
    let told = member.last_reported(now).filter(|(_, age)| *age < KNOWN);
    told.zip(after)
        .is_some_and(|((held, _), after)| held < after)
}

/// Position that a replica must hold for a read of this route; `None` when only the primary serves
/// it, because the position of the primary is not known lately enough.
fn needed<D: Dialect>(place: &Place<D>, token: Option<Position>, now: Instant) -> Option<Position> {
    let Route { reads, age_ms, .. } = &*place.route;
    let age = Duration::from_millis(*age_ms);
    let floor = || place.group.samples.borrow().floor(age, now);
    match reads {
        Reads::Latest => None,
        Reads::Bounded => floor(),
        Reads::Session => floor().map(|floor| token.map_or(floor, |token| token.max(floor))),
    }
}

/// Gives a connection back that is in order after an answer.
fn settle<D: Dialect>(mut lease: PooledConn<D>, answer: &Answer, work: &Work<'_>)
where
    D::Client: Statements,
{
    if let (Err(failure), Some(shape)) = (&answer.outcome, work.shape())
        && failure.code == Code::UnknownShape
    {
        lease.client().kept().forget(shape);
    }
    if answer.state == State::Idle {
        lease.release();
    }
}

/// Answer of a database, passed on.
pub(crate) fn passed(answer: Answer, state: State) -> Reply {
    Reply {
        rows: answer.rows,
        outcome: answer.outcome.map(Some),
        state,
        position: answer.position,
    }
}

/// Failure of a request that was not sent.
pub(crate) fn refused(refusal: &Refusal) -> Failure {
    let code = if refusal.not_run() {
        Code::Busy
    } else {
        Code::InDoubt
    };
    Failure::new(code, refusal.to_string())
}

/// Failure of a statement that was sent and has no answer.
pub(crate) fn unanswered(broken: &Broken, verb: Verb) -> Failure {
    let code = match verb {
        _ if broken.0 == LATE => Code::Timeout,
        Verb::Read => Code::Failed,
        Verb::Write => Code::InDoubt,
    };
    Failure::new(code, broken.0.as_str())
}
