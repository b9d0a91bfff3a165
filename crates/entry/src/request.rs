//! Running one request on an upstream.

use std::{
    mem,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{
    Position, Term,
    document::{Rule, Service},
};
use compio::time::sleep;
use sql::{Kind, Script, rules};
use wire::{Failure, reply};

use crate::{
    answer::{Answer, Delivery, ExchangeError, Forwarder, flush_by, position},
    batch::Batch,
    fleet::{Fleet, Lease},
    keyed::run_queries,
    refusal::Refusal,
    registry::{self, CancelTarget},
    session::{ABORTED, Disconnected, OpenTransaction, Session, State},
    statements::PreparedStatement,
};

/// Key under which a pooled connection keeps the settings script of the session that used it last.
const SETTINGS_PARAMETER: &str = "goldcrestrail.settings";
/// Value for that key when the settings of the connection are unknown and must be applied again.
const UNKNOWN_SETTINGS: &str = "unknown";
/// A request up to this size fits into the empty socket buffer in one write, so that a failed write
/// sent none of it.
const ATOMIC_WRITE_BYTES: usize = 4 << 10;
/// First and longest delay before a retry.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(200));

/// Request to send to the upstream.
#[derive(Debug)]
pub(crate) enum Request<'a> {
    /// Body of a simple query.
    Simple(&'a [u8]),
    /// Batch of extended-query messages.
    Extended(&'a Batch),
}

/// Properties of a request that decide its routing.
#[derive(Debug, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a separate fact of the request"
)]
pub(crate) struct RequestInfo {
    /// Whether it ends with `ReadyForQuery`.
    pub(crate) sync: bool,
    /// Whether only the primary may run it.
    pub(crate) needs_primary: bool,
    /// Whether it runs a statement, rather than only preparing or describing one.
    pub(crate) executes: bool,
    /// Whether it may change data.
    pub(crate) may_write: bool,
    /// Whether it opens a transaction that may change data.
    pub(crate) begins_writable: bool,
    /// Whether it may end a transaction.
    pub(crate) may_end: bool,
    /// Whether it certainly contains a statement that ends a transaction.
    pub(crate) surely_ends: bool,
    /// Whether it is a single ROLLBACK.
    pub(crate) is_rollback: bool,
    /// Whether it is a single COMMIT.
    pub(crate) is_commit: bool,
    /// Whether it is a single BEGIN.
    pub(crate) is_begin: bool,
    /// Idempotency key given in a leading comment.
    pub(crate) key: Option<Box<str>>,
    /// Table for which a rule of the service requires a key.
    pub(crate) keyed_table: Option<String>,
    /// Parameters that it sets, each with its statement, or `None` for a reset to the default.
    pub(crate) set_statements: Vec<(String, Option<String>)>,
}

impl RequestInfo {
    /// Analyses a simple query of which the proxy answers the first `answered` statements itself.
    pub(crate) fn from_script(
        script: &Script,
        answered: usize,
        text: &str,
        rules: &[Rule],
    ) -> Self {
        let mut info = Self {
            sync: true,
            needs_primary: !script.is_read_from(answered),
            ..Self::default()
        };
        info.add_executed(script, answered, text, rules);
        info
    }

    /// Adds a statement that must be prepared on the connection.
    pub(crate) fn add_prepared(&mut self, prepared: &PreparedStatement) {
        self.needs_primary |= !prepared.script.is_read();
    }

    /// Adds the statements that the request runs, except the first `answered`, which the proxy
    /// answers itself.
    pub(crate) fn add_executed(
        &mut self,
        script: &Script,
        answered: usize,
        text: &str,
        rules: &[Rule],
    ) {
        let statements = &script.statements[answered..];
        let only = match statements {
            [only] if !self.executes => Some(&only.kind),
            _ => None,
        };
        self.is_commit = only == Some(&Kind::Commit);
        self.is_rollback = only == Some(&Kind::Rollback);
        self.is_begin = matches!(only, Some(Kind::Begin { .. }));
        self.executes = true;
        self.may_write |= script.may_write();
        if self.key.is_none() {
            self.key = script.key.as_deref().map(Into::into);
        }
        if self.keyed_table.is_none() && !rules.is_empty() {
            self.keyed_table =
                rules::rule_requiring_key(text, script, rules).map(|rule| rule.table.clone());
        }
        for statement in statements {
            match &statement.kind {
                Kind::Begin { read_only: false } => self.begins_writable = true,
                Kind::Commit | Kind::Rollback => {
                    self.may_end = true;
                    self.surely_ends = true;
                }
                Kind::Set {
                    name,
                    value,
                    local: false,
                } => {
                    let text = text.get(statement.range.clone()).unwrap_or_default();
                    let text = value.as_ref().map(|_| text.trim().to_owned());
                    self.set_statements.push((name.clone(), text));
                }
                _ if !statement.parsed => {
                    self.may_end = true;
                    // A text that could not be split into statements may contain a COMMIT.
                    let text = text.get(statement.range.clone()).unwrap_or_default();
                    self.surely_ends |= text.contains(';');
                }
                _ => {}
            }
        }
    }
}

/// Why a request got no answer from an upstream.
#[derive(Debug)]
pub(crate) enum RequestError {
    /// The caller must be disconnected.
    Disconnected,
    /// The proxy reports an error, with SQLSTATE and message.
    Error(&'static str, String),
    /// The upstream reported an error, with SQLSTATE and message, outside the answer to the
    /// request.
    Upstream(String, String),
}

impl From<Refusal> for RequestError {
    fn from(refusal: Refusal) -> Self {
        Self::Error(refusal.sqlstate(), refusal.to_string())
    }
}

impl From<Disconnected> for RequestError {
    fn from(_disconnected: Disconnected) -> Self {
        Self::Disconnected
    }
}

impl From<ExchangeError> for RequestError {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::Caller => Self::Disconnected,
            _ => Refusal::OutcomeUnknown(error.to_string()).into(),
        }
    }
}

/// Result of one attempt to run a request on one connection.
pub(crate) struct Attempt {
    /// Answer, or why there is none.
    pub(crate) answer: Result<Answer, ExchangeError>,
    /// Whether a cancel request was sent for the connection, which then must not be reused.
    pub(crate) cancelled: bool,
}

impl<F: Fleet> Session<F> {
    /// Runs a request and answers the caller, with an error if it fails.
    pub(crate) async fn handle_request(
        &mut self,
        request: &Request<'_>,
        info: RequestInfo,
    ) -> Result<(), Disconnected> {
        self.shared.count_request();
        let outcome = self.run_until_ending(request, &info).await;
        self.names.end_batch();
        let failed = match outcome {
            Ok(failed) => failed,
            Err(RequestError::Disconnected) => return Err(Disconnected),
            Err(RequestError::Error(sqlstate, message)) => {
                self.error(sqlstate, &message);
                true
            }
            Err(RequestError::Upstream(sqlstate, message)) => {
                self.error(&sqlstate, &message);
                true
            }
        };
        if info.sync {
            return self.send_ready().await;
        }
        self.skipping |= failed;
        self.flush().await
    }

    /// Runs a request in the current transaction state. Returns whether the answer is an error.
    pub(crate) async fn run_request(
        &mut self,
        request: &Request<'_>,
        info: &RequestInfo,
    ) -> Result<bool, RequestError> {
        let service = self.service()?;
        self.check_key()?;
        let limit = self
            .settings
            .parameters
            .deadline
            .unwrap_or(Duration::from_millis(service.limits.deadline_ms));
        let deadline = Instant::now() + limit;
        // A BEGIN of the caller turns the implicit transaction into one that the caller ends
        // itself.
        self.implicit &=
            !info.begins_writable && !info.is_begin && !matches!(self.state, State::Idle);
        match mem::replace(&mut self.state, State::Idle) {
            State::Idle => {
                self.run_outside_transaction(&service, request, info, deadline)
                    .await
            }
            State::Open(open) => {
                if let Some(refusal) = check_key(info, open.record.is_some()) {
                    self.state = State::Aborted;
                    return Err(refusal.into());
                }
                self.run_in_transaction(&service, open, request, info, deadline)
                    .await
            }
            State::Replay(replay) => self.replay(replay, request),
            State::Aborted => {
                self.state = State::Aborted;
                Err(RequestError::Error(ABORTED.0, ABORTED.1.to_owned()))
            }
        }
    }

    /// Current configuration of the session's service.
    pub(crate) fn service(&self) -> Result<Rc<Service>, Refusal> {
        self.shared
            .fleet
            .service(&self.settings.service)
            .ok_or_else(|| Refusal::UnknownService(self.settings.service.to_string()))
    }

    /// Runs a request outside a transaction, with its idempotency key if it has one.
    async fn run_outside_transaction(
        &mut self,
        service: &Service,
        request: &Request<'_>,
        info: &RequestInfo,
        deadline: Instant,
    ) -> Result<bool, RequestError> {
        // A read doesn't consume the key, because drivers send reads of their own before the write.
        if !info.may_write && !info.begins_writable {
            return self.run_autocommit(service, request, info, deadline).await;
        }
        let session_key = self.settings.parameters.key.take();
        let Some(key) = info.key.clone().or_else(|| session_key.clone()) else {
            if let Some(refusal) = check_key(info, false) {
                return Err(refusal.into());
            }
            return self.run_autocommit(service, request, info, deadline).await;
        };
        let outcome = if info.is_begin {
            self.begin_keyed(service, request, key, deadline).await
        } else if info.begins_writable || info.surely_ends {
            Err(Refusal::Rule(
                "a transaction with a key needs BEGIN and COMMIT in requests of their own".into(),
            )
            .into())
        } else {
            self.run_keyed(service, request, &key, deadline).await
        };
        if let Err(RequestError::Error(sqlstate, _)) = &outcome
            && sqlstate.starts_with("ZN")
        {
            self.settings.parameters.key = session_key;
        }
        outcome
    }

    /// Runs a request without a key outside a transaction.
    async fn run_autocommit(
        &mut self,
        service: &Service,
        request: &Request<'_>,
        info: &RequestInfo,
        deadline: Instant,
    ) -> Result<bool, RequestError> {
        let mut primary = info.needs_primary;
        let mut backoff = RETRY_BACKOFF.0;
        let output_start = self.writer.pending_len();
        loop {
            let mut lease = self.lease(service, primary, deadline).await?;
            let refusal = match self.apply_settings(&mut lease, deadline).await {
                Ok(()) => {
                    let attempt = self.exchange(&mut lease, request, deadline).await;
                    match attempt.answer {
                        Err(ExchangeError::NotSent(_)) => Refusal::NoPrimary,
                        Err(error) => return Err(error.into()),
                        Ok(answer) => match retryable_refusal(&answer) {
                            Some(refusal) => {
                                self.writer.truncate(output_start);
                                primary |= refusal == Refusal::NoPrimary;
                                return_lease(lease, &answer, attempt.cancelled);
                                refusal
                            }
                            None => {
                                return self
                                    .finish_autocommit(
                                        service,
                                        lease,
                                        answer,
                                        attempt.cancelled,
                                        info,
                                        output_start,
                                        deadline,
                                    )
                                    .await;
                            }
                        },
                    }
                }
                Err(Failure::Wire(_)) => Refusal::NoPrimary,
                Err(Failure::Refused(sqlstate, message)) => {
                    return Err(RequestError::Upstream(sqlstate, message));
                }
            };
            if !self.shared.take_retry() || !self.back_off(&mut backoff, deadline).await {
                return Err(refusal.into());
            }
        }
    }

    /// Waits before a retry; returns false when the deadline leaves no time for one.
    pub(crate) async fn back_off(&self, backoff: &mut Duration, deadline: Instant) -> bool {
        let wait = backoff.mul_f64(rand::random_range(0.5..1.0));
        *backoff = (*backoff * 2).min(RETRY_BACKOFF.1);
        if Instant::now() + wait >= deadline {
            return false;
        }
        sleep(wait).await;
        true
    }

    /// Applies the parameters of this session to a connection, unless they are in effect there
    /// already.
    pub(crate) async fn apply_settings(
        &self,
        lease: &mut F::Lease,
        deadline: Instant,
    ) -> Result<(), Failure> {
        let client = lease.client();
        let set_script = self.settings.set_script.as_str();
        let applied = client
            .parameters
            .get(SETTINGS_PARAMETER)
            .map_or("", String::as_str);
        if applied == set_script {
            return Ok(());
        }
        let text = format!("RESET ALL; {set_script}");
        run_queries(client, &[text.trim_end_matches([';', ' '])], deadline).await?;
        client
            .parameters
            .insert(SETTINGS_PARAMETER.to_owned(), set_script.to_owned());
        Ok(())
    }

    /// Sends a request and forwards its answer to the caller.
    pub(crate) async fn exchange(
        &mut self,
        lease: &mut F::Lease,
        request: &Request<'_>,
        deadline: Instant,
    ) -> Attempt {
        let output_start = self.writer.pending_len();
        let expects = match request {
            Request::Simple(body) => {
                lease.client().writer.parts(b'Q', body);
                None
            }
            Request::Extended(batch) => Some(batch.send(lease)),
        };
        let delivery = if lease.primary().is_some() {
            Delivery::Held(self.shared.options.max_held_bytes)
        } else {
            Delivery::Streamed
        };
        let client = lease.client();
        let target = client.addresses.map(|route| CancelTarget {
            addresses: route,
            key: client.key,
        });
        let atomic_write = expects.is_none() || client.writer.pending_len() <= ATOMIC_WRITE_BYTES;
        self.registration.slot.start(target);
        let mut written = false;
        let answer = match flush_by(&mut client.writer, deadline).await {
            Ok(Ok(())) => {
                let mut forwarder = Forwarder {
                    writer: &mut self.writer,
                    names: &mut self.names,
                    expects,
                    delivery,
                    deadline,
                    stall: self.shared.options.stall_timeout,
                    written: false,
                };
                let answer = forwarder.run(lease).await;
                written = forwarder.written;
                answer
            }
            Ok(Err(cause)) if atomic_write => Err(ExchangeError::NotSent(cause)),
            Ok(Err(cause)) => Err(ExchangeError::Upstream(cause)),
            Err(_elapsed) => Err(ExchangeError::DeadlineExceeded),
        };
        let cancelled = self.registration.slot.end().await;
        if answer.is_err() && !written {
            self.writer.truncate(output_start);
        }
        if let (Err(ExchangeError::DeadlineExceeded | ExchangeError::Caller), Some(target)) =
            (&answer, target)
        {
            // Otherwise the statement would keep running without a caller and hold one of the few
            // upstream slots.
            compio::runtime::spawn(registry::send_cancel(target)).detach();
        }
        Attempt { answer, cancelled }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "all of it is one attempt's result"
    )]
    async fn finish_autocommit(
        &mut self,
        service: &Service,
        mut lease: F::Lease,
        answer: Answer,
        cancelled: bool,
        info: &RequestInfo,
        output_start: usize,
        deadline: Instant,
    ) -> Result<bool, RequestError> {
        let term = lease.primary();
        let position = position(lease.client());
        let failed = answer.sqlstate.is_some();
        if answer.status == b'I' {
            if !info.set_statements.is_empty() {
                let applied = if failed {
                    UNKNOWN_SETTINGS.to_owned()
                } else {
                    self.settings.update_set_statements(&info.set_statements);
                    self.settings.set_script.clone()
                };
                lease
                    .client()
                    .parameters
                    .insert(SETTINGS_PARAMETER.to_owned(), applied);
            }
            return_lease(lease, &answer, cancelled);
        } else {
            self.state = State::Open(Box::new(OpenTransaction {
                lease,
                status: answer.status,
                set_statements: if failed {
                    Vec::new()
                } else {
                    info.set_statements.clone()
                },
                cancelled,
                record: None,
            }));
        }
        let opened = answer.status != b'I';
        let writes = info.needs_primary && (!failed || info.may_end);
        let acknowledged = self
            .acknowledge(
                service,
                term,
                position,
                &answer,
                writes,
                output_start,
                deadline,
            )
            .await;
        if opened && acknowledged.is_err() {
            self.state = State::Aborted;
        }
        acknowledged?;
        Ok(failed)
    }

    /// Runs a request in the open transaction.
    async fn run_in_transaction(
        &mut self,
        service: &Service,
        mut open: Box<OpenTransaction<F::Lease>>,
        request: &Request<'_>,
        info: &RequestInfo,
        deadline: Instant,
    ) -> Result<bool, RequestError> {
        let output_start = self.writer.pending_len();
        let term = open.lease.primary();
        if open.record.as_ref().is_some_and(|record| record.is_full()) {
            self.state = State::Aborted;
            return Err(Refusal::Rule(
                "a transaction with a key has too many requests; it is rolled back".into(),
            )
            .into());
        }
        if info.surely_ends && !info.is_rollback {
            self.write_record(&mut open, request, info, deadline)
                .await?;
        }
        let attempt = self.exchange(&mut open.lease, request, deadline).await;
        let answer = match attempt.answer {
            Ok(answer) => answer,
            Err(ExchangeError::DeadlineExceeded | ExchangeError::Upstream(_))
                if info.is_commit && open.record.is_some() =>
            {
                let Some(record) = open.record.take() else {
                    return Err(Refusal::OutcomeUnknown("the record is missing".into()).into());
                };
                drop(open);
                return self
                    .resolve_commit(service, &record, request, term, deadline)
                    .await;
            }
            Err(error) if info.may_end || matches!(error, ExchangeError::Caller) => {
                return Err(error.into());
            }
            Err(error) => {
                self.state = State::Aborted;
                return Err(RequestError::Error(
                    Refusal::NoPrimary.sqlstate(),
                    format!("not run: the transaction is rolled back: {error}"),
                ));
            }
        };
        open.cancelled |= attempt.cancelled;
        if let Some(record) = &mut open.record {
            record.add(request, &self.writer.pending_bytes()[output_start..]);
        }
        if answer.committed {
            open.record = None;
        }
        let position = position(open.lease.client());
        let failed = answer.sqlstate.is_some();
        if !failed {
            open.set_statements
                .extend(info.set_statements.iter().cloned());
        }
        if answer.status == b'I' {
            let mut lease = open.lease;
            if !open.set_statements.is_empty() {
                if !answer.rolled_back {
                    self.settings.update_set_statements(&open.set_statements);
                }
                // Which settings remain after a rollback depends on savepoints, so the next lease
                // resets them.
                lease
                    .client()
                    .parameters
                    .insert(SETTINGS_PARAMETER.to_owned(), UNKNOWN_SETTINGS.to_owned());
            }
            return_lease(lease, &answer, open.cancelled);
        } else {
            open.status = answer.status;
            self.state = State::Open(open);
        }
        let acknowledged = self
            .acknowledge(
                service,
                term,
                position,
                &answer,
                !failed || info.may_end,
                output_start,
                deadline,
            )
            .await;
        if let Err(error) = acknowledged {
            if answer.status != b'I' {
                self.state = State::Aborted;
            }
            return Err(error);
        }
        Ok(failed)
    }

    /// Holds back an answer of a primary until the position that it reflects is confirmed.
    #[expect(
        clippy::too_many_arguments,
        reason = "all of it is one attempt's result"
    )]
    pub(crate) async fn acknowledge(
        &mut self,
        service: &Service,
        term: Option<Term>,
        position: Option<Position>,
        answer: &Answer,
        writes: bool,
        output_start: usize,
        deadline: Instant,
    ) -> Result<(), RequestError> {
        let ended = answer.committed || answer.status == b'I' && !answer.rolled_back;
        let Some(term) = term.filter(|_| ended || answer.rows || answer.overflow) else {
            return Ok(());
        };
        let outcome = match position {
            Some(position) => {
                let confirming = self.shared.fleet.confirm(service, term, position, deadline);
                confirming.await.map(|()| Some(position))
            }
            // An upstream reports no position until it has run a statement, so there is none if it
            // refused the first one or only prepared it.
            None if !answer.rows && (answer.sqlstate.is_some() || !answer.completed) => Ok(None),
            None => Err(Refusal::OutcomeUnknown(
                "the database reported no position".into(),
            )),
        };
        match outcome {
            Ok(position) => {
                if let Some(position) = position.filter(|_| writes && ended && answer.completed) {
                    self.report_token(position);
                }
            }
            Err(refusal) => {
                self.writer.truncate(output_start);
                // The request ran; whatever the refusal says, its outcome is unknown.
                let refusal = match refusal {
                    Refusal::OutcomeUnknown(_) => refusal,
                    _ => Refusal::OutcomeUnknown(format!("it can't be confirmed: {refusal}")),
                };
                return Err(refusal.into());
            }
        }
        if answer.overflow {
            return Err(RequestError::Error(
                "54000",
                format!(
                    "run, but its answer is over {} bytes, more than can be held until it is \
                     confirmed; ask for less, or read in a READ ONLY transaction",
                    self.shared.options.max_held_bytes
                ),
            ));
        }
        Ok(())
    }

    /// Advances the session's token to `position` and reports it to the caller.
    pub(crate) fn report_token(&mut self, position: Position) {
        let token = match self.settings.parameters.token {
            Some(token) => token.join(position),
            None => position,
        };
        self.settings.parameters.token = Some(token);
        let message = reply::parameter_status("goldcrestrail.token", &token.to_string());
        let _encoded = self.writer.message(&message);
    }
}

/// Refuses a statement that needs a key and has none, and a key given after its transaction began.
fn check_key(info: &RequestInfo, has_key: bool) -> Option<Refusal> {
    if has_key {
        return None;
    }
    if info.key.is_some() && info.may_write {
        return Some(Refusal::Rule(
            "the key of a transaction belongs to its BEGIN; the transaction is rolled back".into(),
        ));
    }
    let table = info.keyed_table.as_ref()?;
    Some(Refusal::Rule(format!(
        "a rule of the service wants a key for table {table}; SET goldcrestrail.key before the \
         statement, or before BEGIN"
    )))
}

/// Returns the refusal if the upstream rejected a request before running any of it, so that it may
/// be retried.
pub(crate) fn retryable_refusal(answer: &Answer) -> Option<Refusal> {
    if answer.completed || answer.rows || answer.written || answer.status != b'I' {
        return None;
    }
    match answer.sqlstate.as_deref()? {
        "53300" => Some(Refusal::Deadline),
        "25006" => Some(Refusal::NoPrimary),
        _ => None,
    }
}

/// Returns a connection to its pool if it is certainly in a clean state, and closes it otherwise.
pub(crate) fn return_lease<L: Lease>(mut lease: L, answer: &Answer, cancelled: bool) {
    // Errors after which the prepared statements on the connection may differ from those tracked.
    let prepared_mismatch = matches!(
        answer.sqlstate.as_deref(),
        Some("0A000" | "26000" | "42P05")
    );
    if answer.status == b'I'
        && !cancelled
        && !prepared_mismatch
        && !lease.client().reader.has_bytes()
    {
        lease.release();
    }
}
