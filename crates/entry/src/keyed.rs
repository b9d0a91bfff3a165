//! Requests with a key, which run at most once.
//!
//! The record of a key is written in the transaction of the request itself, so that both commit or
//! neither does, and the primary key of the table settles races between two sends.

use std::time::{Duration, Instant};

use base::{Term, document::Service};
use compio::runtime::spawn;
use wire::{Client, Failure, Rows, WireError, pg::simplequery::Query};

use crate::{
    answer::{self, Broken, position},
    fleet::{Fleet, Lease},
    record::{Answered, KEPT_BYTES, Outcome, Record, Replay, delete, insert, literal, now_seconds},
    refusal::Refusal,
    request::{Meaning, Request, RequestError, refused_before, return_lease},
    session::{Open, Session, State},
};

/// Time that deleting expired keys may take.
const PURGE: Duration = Duration::from_secs(10);
const CREATE: &str = "CREATE TABLE IF NOT EXISTS goldcrestrail_keys \
    (key text PRIMARY KEY, digest text, outcome text, created bigint)";

/// What the table says of a key.
enum Found {
    Nothing,
    Expired,
    /// Digest and outcome.
    Recorded(String, Outcome),
}

/// Why one attempt on a connection gave no answer.
enum KeyedError {
    /// Another attempt may succeed; the request has no effect so far.
    Retry(Refusal),
    /// As `Retry`, but the commit may have taken effect.
    Unknown(Broken),
    /// Nothing will help.
    Fatal(RequestError),
}

impl From<Failure> for KeyedError {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Wire(_) => Self::Retry(Refusal::Primary),
            Failure::Refused(sqlstate, _) if sqlstate == "53300" => Self::Retry(Refusal::Deadline),
            Failure::Refused(sqlstate, _) if sqlstate == "25006" => Self::Retry(Refusal::Primary),
            Failure::Refused(sqlstate, message) => {
                Self::Fatal(RequestError::Upstream(sqlstate, message))
            }
        }
    }
}

impl From<Refusal> for KeyedError {
    fn from(refusal: Refusal) -> Self {
        Self::Fatal(refusal.into())
    }
}

impl From<RequestError> for KeyedError {
    fn from(error: RequestError) -> Self {
        Self::Fatal(error)
    }
}

impl<F: Fleet> Session<F> {
    /// Runs a request with a key outside a transaction, at most once.
    pub(crate) async fn keyed(
        &mut self,
        service: &Service,
        request: &Request<'_>,
        key: &str,
        deadline: Instant,
    ) -> Result<bool, RequestError> {
        let mut pause = Duration::from_millis(10);
        let mut unknown = None;
        loop {
            let refusal = match self.keyed_once(service, request, key, deadline).await {
                Ok(failed) => return Ok(failed),
                Err(KeyedError::Retry(refusal)) => refusal,
                Err(KeyedError::Unknown(broken)) => {
                    let refusal = Refusal::Unknown(format!(
                        "{broken}; send it again with the same key to learn its outcome"
                    ));
                    unknown = Some(refusal.clone());
                    refusal
                }
                Err(KeyedError::Fatal(RequestError::Error(sqlstate, _)))
                    if sqlstate.starts_with("ZN") && unknown.is_some() =>
                {
                    Refusal::Primary
                }
                Err(KeyedError::Fatal(error)) => return Err(error),
            };
            // Looking for an outcome is no retry.
            let allowed = unknown.is_some() || self.shared.take_retry();
            if !allowed || !self.pause(&mut pause, deadline).await {
                return Err(unknown.unwrap_or(refusal).into());
            }
        }
    }

    async fn keyed_once(
        &mut self,
        service: &Service,
        request: &Request<'_>,
        key: &str,
        deadline: Instant,
    ) -> Result<bool, KeyedError> {
        let mark = self.writer.pending_len();
        let (mut lease, found) = self.look_up(service, key, true, deadline).await?;
        let expired = match found {
            Found::Recorded(known, outcome) => {
                return self
                    .replay_outcome(service, lease, request, known, outcome, deadline)
                    .await;
            }
            Found::Expired => true,
            Found::Nothing => false,
        };
        let attempt = self.exchange(&mut lease, request, deadline).await;
        let mut answer = match attempt.answer {
            Ok(answer) => answer,
            Err(Broken::Caller) => return Err(KeyedError::Fatal(RequestError::Disconnected)),
            // The transaction ends with its connection, because its COMMIT was not sent.
            Err(_rolled_back) => return Err(KeyedError::Retry(Refusal::Primary)),
        };
        if let Some(sqlstate) = answer.sqlstate.clone() {
            run_queries(lease.client(), &["ROLLBACK"], deadline).await?;
            answer.status = b'I';
            if let Some(refusal) = refused_before(&answer) {
                self.writer.truncate(mark);
                return_lease(lease, &answer, attempt.cancelled);
                return Err(KeyedError::Retry(refusal));
            }
            let outcome = Outcome {
                failure: Some((sqlstate, answer.message.clone())),
                answers: Vec::new(),
            };
            let mut statements = vec![insert(key, &request.digest(), &outcome)];
            if expired {
                statements.insert(0, delete(key));
            }
            // A failure that can't be recorded is one all the same: nothing of it is in force.
            if run_statements(lease.client(), &statements, deadline)
                .await
                .is_ok()
            {
                return_lease(lease, &answer, attempt.cancelled);
            }
            return Ok(true);
        }
        if answer.status != b'T' {
            self.writer.truncate(mark);
            let cause = "the text ended the transaction of its own key".to_owned();
            return Err(KeyedError::Fatal(Refusal::Unknown(cause).into()));
        }
        let given = &self.writer.pending_bytes()[mark..];
        let fits = given.len() <= KEPT_BYTES && !answer.overflow;
        let outcome = Outcome {
            failure: None,
            answers: vec![Answered {
                digest: request.digest(),
                messages: fits.then(|| given.to_vec()),
            }],
        };
        let mut statements = vec![insert(key, &request.digest(), &outcome)];
        if expired {
            statements.insert(0, delete(key));
        }
        statements.push("COMMIT".to_owned());
        match run_statements(lease.client(), &statements, deadline).await {
            Ok(()) => {}
            Err(Failure::Wire(cause)) => {
                self.writer.truncate(mark);
                return Err(KeyedError::Unknown(Broken::Upstream(cause)));
            }
            // Another send with this key was faster, so that the next look finds its outcome.
            Err(Failure::Refused(sqlstate, _))
                if matches!(sqlstate.as_str(), "23505" | "40001" | "40P01") =>
            {
                self.writer.truncate(mark);
                return Err(KeyedError::Retry(Refusal::Primary));
            }
            Err(failure) => {
                self.writer.truncate(mark);
                return Err(failure.into());
            }
        }
        answer.status = b'I';
        let (term, position) = (lease.primary(), position(lease.client()));
        if self.shared.count_keyed() {
            spawn(purge(lease, service.limits.key_hours)).detach();
        } else {
            return_lease(lease, &answer, attempt.cancelled);
        }
        self.acknowledge(service, term, position, &answer, true, mark, deadline)
            .await?;
        Ok(false)
    }

    /// Begins a transaction with a key, or the replay of its recorded answers.
    pub(crate) async fn keyed_begin(
        &mut self,
        service: &Service,
        request: &Request<'_>,
        key: Box<str>,
        deadline: Instant,
    ) -> Result<bool, RequestError> {
        let mut pause = Duration::from_millis(10);
        loop {
            let refusal = match self.begin_once(service, request, &key, deadline).await {
                Ok(failed) => return Ok(failed),
                Err(KeyedError::Retry(refusal)) => refusal,
                Err(KeyedError::Unknown(broken)) => return Err(broken.into()),
                Err(KeyedError::Fatal(error)) => return Err(error),
            };
            if !self.shared.take_retry() || !self.pause(&mut pause, deadline).await {
                return Err(refusal.into());
            }
        }
    }

    async fn begin_once(
        &mut self,
        service: &Service,
        request: &Request<'_>,
        key: &str,
        deadline: Instant,
    ) -> Result<bool, KeyedError> {
        let (mut lease, found) = self.look_up(service, key, false, deadline).await?;
        let expired = match found {
            Found::Recorded(_, outcome) => {
                let first = outcome.answers.first();
                if first.is_none_or(|first| first.digest != request.digest()) {
                    return Err(other_statement().into());
                }
                let at = position(lease.client());
                self.confirm_record(service, lease, deadline).await?;
                let replay = Replay {
                    answers: outcome.answers.into_iter(),
                    position: at,
                };
                return Ok(self.replay(Box::new(replay), request)?);
            }
            Found::Expired => true,
            Found::Nothing => false,
        };
        let mark = self.writer.pending_len();
        let attempt = self.exchange(&mut lease, request, deadline).await;
        let answer = match attempt.answer {
            Ok(answer) => answer,
            Err(Broken::Caller) => return Err(KeyedError::Fatal(RequestError::Disconnected)),
            Err(_nothing_done) => return Err(KeyedError::Retry(Refusal::Primary)),
        };
        if let Some(refusal) = refused_before(&answer) {
            self.writer.truncate(mark);
            return Err(KeyedError::Retry(refusal));
        }
        if answer.status == b'I' {
            return_lease(lease, &answer, attempt.cancelled);
            return Ok(answer.sqlstate.is_some());
        }
        let mut record = Box::new(Record {
            key: key.into(),
            answers: Vec::new(),
            kept: 0,
            expired,
        });
        record.add(request, &self.writer.pending_bytes()[mark..]);
        self.state = State::Open(Box::new(Open {
            lease,
            status: answer.status,
            sets: Vec::new(),
            cancelled: attempt.cancelled,
            record: Some(record),
        }));
        Ok(false)
    }

    /// Answers a request of a transaction that ran before.
    pub(crate) fn replay(
        &mut self,
        mut replay: Box<Replay>,
        request: &Request<'_>,
    ) -> Result<bool, RequestError> {
        let given = replay.answers.next();
        let Some(given) = given.filter(|given| given.digest == request.digest()) else {
            self.state = State::Lost;
            return Err(other_statement());
        };
        let last = replay.answers.len() == 0;
        let position = replay.position;
        self.state = if last {
            State::Idle
        } else {
            State::Replay(replay)
        };
        self.write_recorded(given, request)?;
        if let Some(position) = position.filter(|_| last) {
            self.report(position);
        }
        Ok(false)
    }

    /// Writes the record of a transaction before its COMMIT.
    pub(crate) async fn write_record(
        &mut self,
        open: &mut Open<F::Lease>,
        request: &Request<'_>,
        meaning: &Meaning,
        deadline: Instant,
    ) -> Result<(), RequestError> {
        let Some(record) = open.record.as_deref() else {
            return Ok(());
        };
        if !meaning.commits {
            return Err(Refusal::Rule(
                "a transaction with a key ends with COMMIT in a request of its own; it is rolled \
                 back"
                    .into(),
            )
            .into());
        }
        if open.status != b'T' {
            return Ok(());
        }
        let statements = record.statements(request);
        match run_statements(open.lease.client(), &statements, deadline).await {
            Ok(()) => Ok(()),
            Err(Failure::Wire(cause)) => Err(RequestError::Error(
                Refusal::Primary.sqlstate(),
                format!("not run: the transaction is rolled back: {cause}"),
            )),
            Err(Failure::Refused(sqlstate, _)) if sqlstate == "23505" => Err(Refusal::Key(
                "another transaction with this key committed first, and this one is rolled \
                     back; send it again to get the outcome"
                    .into(),
            )
            .into()),
            Err(Failure::Refused(sqlstate, message)) => {
                Err(RequestError::Upstream(sqlstate, message))
            }
        }
    }

    /// Learns whether a transaction committed whose connection broke at its COMMIT.
    pub(crate) async fn resolve_commit(
        &mut self,
        service: &Service,
        record: &Record,
        request: &Request<'_>,
        term: Option<Term>,
        deadline: Instant,
    ) -> Result<bool, RequestError> {
        let mut pause = Duration::from_millis(10);
        loop {
            match self.look_up(service, &record.key, false, deadline).await {
                Ok((lease, Found::Recorded(_, outcome))) => {
                    let mine = outcome.answers.len() == record.answers.len() + 1
                        && outcome
                            .answers
                            .iter()
                            .zip(&record.answers)
                            .all(|(a, b)| a == b);
                    let at = self.confirm_record(service, lease, deadline).await?;
                    let last = outcome.answers.into_iter().next_back().filter(|_| mine);
                    let Some(last) = last else {
                        return Err(other_statement());
                    };
                    self.write_recorded(last, request)?;
                    if let Some(at) = at {
                        self.report(at);
                    }
                    return Ok(false);
                }
                // What an old primary didn't get into the log of the new one never comes back.
                Ok((lease, _)) if lease.primary() != term => {
                    self.confirm_record(service, lease, deadline).await?;
                    return Err(RequestError::Error(
                        Refusal::Primary.sqlstate(),
                        "not run: the primary changed and the transaction is not in its log".into(),
                    ));
                }
                Ok((lease, _)) => lease.release(),
                Err(KeyedError::Fatal(RequestError::Disconnected)) => {
                    return Err(RequestError::Disconnected);
                }
                Err(_later) => {}
            }
            if !self.pause(&mut pause, deadline).await {
                return Err(Refusal::Unknown(
                    "the connection broke at COMMIT; send the transaction again with the same key \
                     to learn its outcome"
                        .into(),
                )
                .into());
            }
        }
    }

    /// Reads the record of a key, in a transaction that is left open when `begin` is set.
    async fn look_up(
        &mut self,
        service: &Service,
        key: &str,
        begin: bool,
        deadline: Instant,
    ) -> Result<(F::Lease, Found), KeyedError> {
        let mut lease = self.lease(service, true, deadline).await?;
        self.apply_settings(&mut lease, deadline).await?;
        let select = format!(
            "SELECT digest, outcome, created FROM goldcrestrail_keys WHERE key = {}",
            literal(key)
        );
        let first = if begin { "BEGIN" } else { "" };
        let texts = [first, select.as_str()];
        let texts = &texts[usize::from(!begin)..];
        let rows = match run_queries(lease.client(), texts, deadline).await {
            Err(Failure::Refused(sqlstate, _)) if sqlstate == "42P01" => {
                if begin {
                    run_queries(lease.client(), &["ROLLBACK"], deadline).await?;
                }
                run_queries(lease.client(), &[CREATE], deadline).await?;
                run_queries(lease.client(), texts, deadline).await?
            }
            outcome => outcome?,
        };
        let Some(row) = rows.into_iter().next() else {
            return Ok((lease, Found::Nothing));
        };
        let text = |i: usize| row.get(i).cloned().flatten().unwrap_or_default();
        let created: u64 = text(2).parse().unwrap_or_default();
        let kept = u64::from(service.limits.key_hours) * 3_600;
        if now_seconds() >= created.saturating_add(kept) {
            return Ok((lease, Found::Expired));
        }
        let outcome = serde_json::from_str(&text(1)).map_err(|cause| {
            let cause = format!("the record of the key can't be read: {cause}");
            KeyedError::Fatal(Refusal::Key(cause).into())
        })?;
        Ok((lease, Found::Recorded(text(0), outcome)))
    }

    /// Replays the first outcome of a key once it is confirmed.
    async fn replay_outcome(
        &mut self,
        service: &Service,
        mut lease: F::Lease,
        request: &Request<'_>,
        known: String,
        outcome: Outcome,
        deadline: Instant,
    ) -> Result<bool, KeyedError> {
        run_queries(lease.client(), &["ROLLBACK"], deadline).await?;
        let at = self.confirm_record(service, lease, deadline).await?;
        if known != request.digest() {
            return Err(other_statement().into());
        }
        if let Some((sqlstate, message)) = outcome.failure {
            return Err(Refusal::Key(format!("{sqlstate}: {message}")).into());
        }
        let Some(given) = outcome.answers.into_iter().next() else {
            return Err(Refusal::Key("the record of the key is empty".into()).into());
        };
        self.write_recorded(given, request)?;
        if let Some(at) = at {
            self.report(at);
        }
        Ok(false)
    }

    /// Confirms what a look at the table showed, and gives the connection back.
    async fn confirm_record(
        &self,
        service: &Service,
        mut lease: F::Lease,
        deadline: Instant,
    ) -> Result<Option<base::Position>, Refusal> {
        let (term, at) = (lease.primary(), position(lease.client()));
        lease.release();
        if let (Some(term), Some(at)) = (term, at) {
            let confirming = self.shared.fleet.confirm(service, term, at, deadline);
            confirming.await?;
        }
        Ok(at)
    }

    fn write_recorded(
        &mut self,
        given: Answered,
        request: &Request<'_>,
    ) -> Result<(), RequestError> {
        let Some(messages) = given.messages else {
            return Err(RequestError::Error(
                "54000",
                format!(
                    "run before with success; its answer was over {KEPT_BYTES} bytes and is not \
                     kept"
                ),
            ));
        };
        request.name(&mut self.names);
        self.writer.bytes(&messages);
        Ok(())
    }
}

/// Deletes expired keys, apart from any request.
async fn purge<L: Lease>(mut lease: L, hours: u32) {
    let oldest = now_seconds().saturating_sub(u64::from(hours) * 3_600);
    let statement = format!("DELETE FROM goldcrestrail_keys WHERE created < {oldest}");
    let deadline = Instant::now() + PURGE;
    if run_queries(lease.client(), &[&statement], deadline)
        .await
        .is_ok()
    {
        lease.release();
    }
}

fn other_statement() -> RequestError {
    Refusal::Key("the key belongs to another statement, and this one was not run".into()).into()
}

async fn run_statements(
    client: &mut Client,
    statements: &[String],
    deadline: Instant,
) -> Result<(), Failure> {
    let texts: Vec<&str> = statements.iter().map(String::as_str).collect();
    run_queries(client, &texts, deadline).await.map(|_rows| ())
}

/// Runs simple queries in one round trip; returns all rows, or the first refusal.
pub(crate) async fn run_queries(
    client: &mut Client,
    texts: &[&str],
    deadline: Instant,
) -> Result<Rows, Failure> {
    for text in texts {
        client.writer.message(&Query::new((*text).to_owned()))?;
    }
    let late = |_elapsed| Failure::Wire(WireError::ConnectionClosed);
    compio::time::timeout_at(deadline, client.writer.flush())
        .await
        .map_err(late)??;
    let mut rows = Rows::new();
    let mut refused = None;
    for _ in texts {
        loop {
            let frame = match answer::frame(client, deadline).await {
                Ok(frame) => frame,
                Err(Broken::Upstream(cause) | Broken::Unsent(cause)) => return Err(cause.into()),
                Err(_late) => return Err(WireError::ConnectionClosed.into()),
            };
            match frame.tag {
                b'S' => client.record_parameter(&frame),
                b'D' => rows.push(wire::client::parse_row(&frame)?),
                b'E' => {
                    refused.get_or_insert_with(|| wire::client::parse_error(&frame));
                }
                b'Z' => break,
                _ => {}
            }
        }
    }
    refused.map_or(Ok(rows), Err)
}
