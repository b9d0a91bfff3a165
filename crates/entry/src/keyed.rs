//! Requests with an idempotency key, which run at most once.
//!
//! The record of a key is written in the same transaction as the request, so that both commit or
//! neither does. The primary key of the table resolves races between concurrent sends.

use std::time::{Duration, Instant};

use base::{Term, document::Service};
use compio::runtime::spawn;
use wire::{Client, Failure, Rows, WireError, pg::simplequery::Query};

use crate::{
    answer::{self, ExchangeError, position},
    fleet::{Fleet, Lease},
    record::{
        MAX_RECORDED_BYTES, Outcome, RecordedAnswer, Replay, TransactionRecord, delete_statement,
        insert_statement, now_seconds, quote_literal,
    },
    refusal::Refusal,
    request::{Request, RequestError, RequestInfo, retryable_refusal, return_lease},
    session::{OpenTransaction, Session, State},
};

/// Time limit for deleting expired keys.
const PURGE_TIMEOUT: Duration = Duration::from_secs(10);
const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS goldcrestrail_keys \
    (key text PRIMARY KEY, digest text, outcome text, created bigint)";

/// Result of looking a key up in the table.
enum KeyLookup {
    NotFound,
    Expired,
    /// Digest of the request, and its outcome.
    Recorded(String, Outcome),
}

/// Why one attempt gave no answer.
enum KeyedError {
    /// The request has had no effect so far and may be retried.
    Retry(Refusal),
    /// The commit may have taken effect; the next attempt looks up the outcome.
    CommitUnknown(ExchangeError),
    /// A retry can't succeed.
    Fatal(RequestError),
}

impl From<Failure> for KeyedError {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Wire(_) => Self::Retry(Refusal::NoPrimary),
            Failure::Refused(sqlstate, _) if sqlstate == "53300" => Self::Retry(Refusal::Deadline),
            Failure::Refused(sqlstate, _) if sqlstate == "25006" => Self::Retry(Refusal::NoPrimary),
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
    pub(crate) async fn run_keyed(
        &mut self,
        service: &Service,
        request: &Request<'_>,
        key: &str,
        deadline: Instant,
    ) -> Result<bool, RequestError> {
        let mut backoff = Duration::from_millis(10);
        let mut unknown = None;
        loop {
            let refusal = match self.try_keyed(service, request, key, deadline).await {
                Ok(failed) => return Ok(failed),
                Err(KeyedError::Retry(refusal)) => refusal,
                Err(KeyedError::CommitUnknown(error)) => {
                    let refusal = Refusal::OutcomeUnknown(format!(
                        "{error}; send it again with the same key to learn its outcome"
                    ));
                    unknown = Some(refusal.clone());
                    refusal
                }
                Err(KeyedError::Fatal(RequestError::Error(sqlstate, _)))
                    if sqlstate.starts_with("ZN") && unknown.is_some() =>
                {
                    Refusal::NoPrimary
                }
                Err(KeyedError::Fatal(error)) => return Err(error),
            };
            // Looking up an outcome doesn't count as a retry.
            let allowed = unknown.is_some() || self.shared.take_retry();
            if !allowed || !self.back_off(&mut backoff, deadline).await {
                return Err(unknown.unwrap_or(refusal).into());
            }
        }
    }

    async fn try_keyed(
        &mut self,
        service: &Service,
        request: &Request<'_>,
        key: &str,
        deadline: Instant,
    ) -> Result<bool, KeyedError> {
        let output_start = self.writer.pending_len();
        let (mut lease, lookup) = self.look_up_key(service, key, true, deadline).await?;
        let expired = match lookup {
            KeyLookup::Recorded(recorded_digest, outcome) => {
                return self
                    .replay_outcome(service, lease, request, recorded_digest, outcome, deadline)
                    .await;
            }
            KeyLookup::Expired => true,
            KeyLookup::NotFound => false,
        };
        let attempt = self.exchange(&mut lease, request, deadline).await;
        let mut answer = match attempt.answer {
            Ok(answer) => answer,
            Err(ExchangeError::Caller) => {
                return Err(KeyedError::Fatal(RequestError::Disconnected));
            }
            // COMMIT was not sent, so the transaction is rolled back when its connection closes.
            Err(_rolled_back) => return Err(KeyedError::Retry(Refusal::NoPrimary)),
        };
        if let Some(sqlstate) = answer.sqlstate.clone() {
            run_queries(lease.client(), &["ROLLBACK"], deadline).await?;
            answer.status = b'I';
            if let Some(refusal) = retryable_refusal(&answer) {
                self.writer.truncate(output_start);
                return_lease(lease, &answer, attempt.cancelled);
                return Err(KeyedError::Retry(refusal));
            }
            let outcome = Outcome {
                failure: Some((sqlstate, answer.message.clone())),
                answers: Vec::new(),
            };
            let mut statements = vec![insert_statement(key, &request.digest(), &outcome)];
            if expired {
                statements.insert(0, delete_statement(key));
            }
            // The failure is reported even if it can't be recorded: the request was rolled back.
            if run_statements(lease.client(), &statements, deadline)
                .await
                .is_ok()
            {
                return_lease(lease, &answer, attempt.cancelled);
            }
            return Ok(true);
        }
        if answer.status != b'T' {
            self.writer.truncate(output_start);
            let cause = "the text ended the transaction of its own key".to_owned();
            return Err(KeyedError::Fatal(Refusal::OutcomeUnknown(cause).into()));
        }
        let recorded = &self.writer.pending_bytes()[output_start..];
        let recordable = recorded.len() <= MAX_RECORDED_BYTES && !answer.overflow;
        let outcome = Outcome {
            failure: None,
            answers: vec![RecordedAnswer {
                digest: request.digest(),
                messages: recordable.then(|| recorded.to_vec()),
            }],
        };
        let mut statements = vec![insert_statement(key, &request.digest(), &outcome)];
        if expired {
            statements.insert(0, delete_statement(key));
        }
        statements.push("COMMIT".to_owned());
        match run_statements(lease.client(), &statements, deadline).await {
            Ok(()) => {}
            Err(Failure::Wire(cause)) => {
                self.writer.truncate(output_start);
                return Err(KeyedError::CommitUnknown(ExchangeError::Upstream(cause)));
            }
            // A concurrent send with this key committed first; the next lookup finds its outcome.
            Err(Failure::Refused(sqlstate, _))
                if matches!(sqlstate.as_str(), "23505" | "40001" | "40P01") =>
            {
                self.writer.truncate(output_start);
                return Err(KeyedError::Retry(Refusal::NoPrimary));
            }
            Err(failure) => {
                self.writer.truncate(output_start);
                return Err(failure.into());
            }
        }
        answer.status = b'I';
        let (term, position) = (lease.primary(), position(lease.client()));
        if self.shared.count_keyed() {
            spawn(purge_expired_keys(lease, service.limits.key_hours)).detach();
        } else {
            return_lease(lease, &answer, attempt.cancelled);
        }
        self.acknowledge(
            service,
            term,
            position,
            &answer,
            true,
            output_start,
            deadline,
        )
        .await?;
        Ok(false)
    }

    /// Begins a transaction with a key, or starts the replay of its recorded answers.
    pub(crate) async fn begin_keyed(
        &mut self,
        service: &Service,
        request: &Request<'_>,
        key: Box<str>,
        deadline: Instant,
    ) -> Result<bool, RequestError> {
        let mut backoff = Duration::from_millis(10);
        loop {
            let refusal = match self.try_begin_keyed(service, request, &key, deadline).await {
                Ok(failed) => return Ok(failed),
                Err(KeyedError::Retry(refusal)) => refusal,
                Err(KeyedError::CommitUnknown(error)) => return Err(error.into()),
                Err(KeyedError::Fatal(error)) => return Err(error),
            };
            if !self.shared.take_retry() || !self.back_off(&mut backoff, deadline).await {
                return Err(refusal.into());
            }
        }
    }

    async fn try_begin_keyed(
        &mut self,
        service: &Service,
        request: &Request<'_>,
        key: &str,
        deadline: Instant,
    ) -> Result<bool, KeyedError> {
        let (mut lease, lookup) = self.look_up_key(service, key, false, deadline).await?;
        let expired = match lookup {
            KeyLookup::Recorded(_, outcome) => {
                let first = outcome.answers.first();
                if first.is_none_or(|first| first.digest != request.digest()) {
                    return Err(other_statement_error().into());
                }
                let read_position = position(lease.client());
                self.confirm_lookup(service, lease, deadline).await?;
                let replay = Replay {
                    answers: outcome.answers.into_iter(),
                    position: read_position,
                };
                return Ok(self.replay(Box::new(replay), request)?);
            }
            KeyLookup::Expired => true,
            KeyLookup::NotFound => false,
        };
        let output_start = self.writer.pending_len();
        let attempt = self.exchange(&mut lease, request, deadline).await;
        let answer = match attempt.answer {
            Ok(answer) => answer,
            Err(ExchangeError::Caller) => {
                return Err(KeyedError::Fatal(RequestError::Disconnected));
            }
            Err(_no_effect) => return Err(KeyedError::Retry(Refusal::NoPrimary)),
        };
        if let Some(refusal) = retryable_refusal(&answer) {
            self.writer.truncate(output_start);
            return Err(KeyedError::Retry(refusal));
        }
        if answer.status == b'I' {
            return_lease(lease, &answer, attempt.cancelled);
            return Ok(answer.sqlstate.is_some());
        }
        let mut record = Box::new(TransactionRecord {
            key: key.into(),
            answers: Vec::new(),
            recorded_bytes: 0,
            expired,
        });
        record.add(request, &self.writer.pending_bytes()[output_start..]);
        self.state = State::Open(Box::new(OpenTransaction {
            lease,
            status: answer.status,
            set_statements: Vec::new(),
            cancelled: attempt.cancelled,
            record: Some(record),
        }));
        Ok(false)
    }

    /// Answers a request of a transaction that committed before, from its record.
    pub(crate) fn replay(
        &mut self,
        mut replay: Box<Replay>,
        request: &Request<'_>,
    ) -> Result<bool, RequestError> {
        let recorded = replay.answers.next();
        let Some(recorded) = recorded.filter(|recorded| recorded.digest == request.digest()) else {
            self.state = State::Aborted;
            return Err(other_statement_error());
        };
        let last = replay.answers.len() == 0;
        let position = replay.position;
        self.state = if last {
            State::Idle
        } else {
            State::Replay(replay)
        };
        self.write_recorded_answer(recorded, request)?;
        if let Some(position) = position.filter(|_| last) {
            self.report_token(position);
        }
        Ok(false)
    }

    /// Writes the record of a transaction just before its COMMIT.
    pub(crate) async fn write_record(
        &mut self,
        open: &mut OpenTransaction<F::Lease>,
        request: &Request<'_>,
        info: &RequestInfo,
        deadline: Instant,
    ) -> Result<(), RequestError> {
        let Some(record) = open.record.as_deref() else {
            return Ok(());
        };
        if !info.is_commit {
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
                Refusal::NoPrimary.sqlstate(),
                format!("not run: the transaction is rolled back: {cause}"),
            )),
            Err(Failure::Refused(sqlstate, _)) if sqlstate == "23505" => Err(Refusal::KeyUsed(
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

    /// Finds out whether a transaction committed whose connection broke during COMMIT.
    pub(crate) async fn resolve_commit(
        &mut self,
        service: &Service,
        record: &TransactionRecord,
        request: &Request<'_>,
        term: Option<Term>,
        deadline: Instant,
    ) -> Result<bool, RequestError> {
        let mut backoff = Duration::from_millis(10);
        loop {
            match self
                .look_up_key(service, &record.key, false, deadline)
                .await
            {
                Ok((lease, KeyLookup::Recorded(_, outcome))) => {
                    let same_transaction = outcome.answers.len() == record.answers.len() + 1
                        && outcome
                            .answers
                            .iter()
                            .zip(&record.answers)
                            .all(|(a, b)| a == b);
                    let read_position = self.confirm_lookup(service, lease, deadline).await?;
                    let last = outcome
                        .answers
                        .into_iter()
                        .next_back()
                        .filter(|_| same_transaction);
                    let Some(last) = last else {
                        return Err(other_statement_error());
                    };
                    self.write_recorded_answer(last, request)?;
                    if let Some(read_position) = read_position {
                        self.report_token(read_position);
                    }
                    return Ok(false);
                }
                // A commit of the old primary that is missing from the log of the new one is lost
                // for good.
                Ok((lease, _)) if lease.primary() != term => {
                    self.confirm_lookup(service, lease, deadline).await?;
                    return Err(RequestError::Error(
                        Refusal::NoPrimary.sqlstate(),
                        "not run: the primary changed and the transaction is not in its log".into(),
                    ));
                }
                Ok((lease, _)) => lease.release(),
                Err(KeyedError::Fatal(RequestError::Disconnected)) => {
                    return Err(RequestError::Disconnected);
                }
                Err(_later) => {}
            }
            if !self.back_off(&mut backoff, deadline).await {
                return Err(Refusal::OutcomeUnknown(
                    "the connection broke at COMMIT; send the transaction again with the same key \
                     to learn its outcome"
                        .into(),
                )
                .into());
            }
        }
    }

    /// Reads the record of a key. With `begin`, it does so in a transaction that stays open.
    async fn look_up_key(
        &mut self,
        service: &Service,
        key: &str,
        begin: bool,
        deadline: Instant,
    ) -> Result<(F::Lease, KeyLookup), KeyedError> {
        let mut lease = self.lease(service, true, deadline).await?;
        self.apply_settings(&mut lease, deadline).await?;
        let select = format!(
            "SELECT digest, outcome, created FROM goldcrestrail_keys WHERE key = {}",
            quote_literal(key)
        );
        let first = if begin { "BEGIN" } else { "" };
        let texts = [first, select.as_str()];
        let texts = &texts[usize::from(!begin)..];
        let rows = match run_queries(lease.client(), texts, deadline).await {
            Err(Failure::Refused(sqlstate, _)) if sqlstate == "42P01" => {
                if begin {
                    run_queries(lease.client(), &["ROLLBACK"], deadline).await?;
                }
                run_queries(lease.client(), &[CREATE_TABLE], deadline).await?;
                run_queries(lease.client(), texts, deadline).await?
            }
            outcome => outcome?,
        };
        let Some(row) = rows.into_iter().next() else {
            return Ok((lease, KeyLookup::NotFound));
        };
        let text = |i: usize| row.get(i).cloned().flatten().unwrap_or_default();
        let created: u64 = text(2).parse().unwrap_or_default();
        let retention_seconds = u64::from(service.limits.key_hours) * 3_600;
        if now_seconds() >= created.saturating_add(retention_seconds) {
            return Ok((lease, KeyLookup::Expired));
        }
        let outcome = serde_json::from_str(&text(1)).map_err(|cause| {
            let cause = format!("the record of the key can't be read: {cause}");
            KeyedError::Fatal(Refusal::KeyUsed(cause).into())
        })?;
        Ok((lease, KeyLookup::Recorded(text(0), outcome)))
    }

    /// Replays the recorded outcome of a key once it is confirmed.
    async fn replay_outcome(
        &mut self,
        service: &Service,
        mut lease: F::Lease,
        request: &Request<'_>,
        recorded_digest: String,
        outcome: Outcome,
        deadline: Instant,
    ) -> Result<bool, KeyedError> {
        run_queries(lease.client(), &["ROLLBACK"], deadline).await?;
        let read_position = self.confirm_lookup(service, lease, deadline).await?;
        if recorded_digest != request.digest() {
            return Err(other_statement_error().into());
        }
        if let Some((sqlstate, message)) = outcome.failure {
            return Err(Refusal::KeyUsed(format!("{sqlstate}: {message}")).into());
        }
        let Some(recorded) = outcome.answers.into_iter().next() else {
            return Err(Refusal::KeyUsed("the record of the key is empty".into()).into());
        };
        self.write_recorded_answer(recorded, request)?;
        if let Some(read_position) = read_position {
            self.report_token(read_position);
        }
        Ok(false)
    }

    /// Returns the connection to its pool and waits until the position of the lookup is confirmed.
    async fn confirm_lookup(
        &self,
        service: &Service,
        mut lease: F::Lease,
        deadline: Instant,
    ) -> Result<Option<base::Position>, Refusal> {
        let (term, read_position) = (lease.primary(), position(lease.client()));
        lease.release();
        if let (Some(term), Some(read_position)) = (term, read_position) {
            let confirming = self
                .shared
                .fleet
                .confirm(service, term, read_position, deadline);
            confirming.await?;
        }
        Ok(read_position)
    }

    fn write_recorded_answer(
        &mut self,
        recorded: RecordedAnswer,
        request: &Request<'_>,
    ) -> Result<(), RequestError> {
        let Some(messages) = recorded.messages else {
            return Err(RequestError::Error(
                "54000",
                format!(
                    "run before with success; its answer was over {MAX_RECORDED_BYTES} bytes and is not \
                     kept"
                ),
            ));
        };
        request.apply_names(&mut self.names);
        self.writer.bytes(&messages);
        Ok(())
    }
}

/// Deletes expired keys in the background.
async fn purge_expired_keys<L: Lease>(mut lease: L, hours: u32) {
    let oldest = now_seconds().saturating_sub(u64::from(hours) * 3_600);
    let statement = format!("DELETE FROM goldcrestrail_keys WHERE created < {oldest}");
    let deadline = Instant::now() + PURGE_TIMEOUT;
    if run_queries(lease.client(), &[&statement], deadline)
        .await
        .is_ok()
    {
        lease.release();
    }
}

fn other_statement_error() -> RequestError {
    Refusal::KeyUsed("the key belongs to another statement, and this one was not run".into()).into()
}

async fn run_statements(
    client: &mut Client,
    statements: &[String],
    deadline: Instant,
) -> Result<(), Failure> {
    let texts: Vec<&str> = statements.iter().map(String::as_str).collect();
    run_queries(client, &texts, deadline).await.map(|_rows| ())
}

/// Runs simple queries in one round trip; returns all rows, or the first error.
pub(crate) async fn run_queries(
    client: &mut Client,
    texts: &[&str],
    deadline: Instant,
) -> Result<Rows, Failure> {
    for text in texts {
        client.writer.message(&Query::new((*text).to_owned()))?;
    }
    let timed_out = |_elapsed| Failure::Wire(WireError::ConnectionClosed);
    compio::time::timeout_at(deadline, client.writer.flush())
        .await
        .map_err(timed_out)??;
    let mut rows = Rows::new();
    let mut refused = None;
    for _ in texts {
        loop {
            let frame = match answer::next_frame(client, deadline).await {
                Ok(frame) => frame,
                Err(ExchangeError::Upstream(cause) | ExchangeError::NotSent(cause)) => {
                    return Err(cause.into());
                }
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
