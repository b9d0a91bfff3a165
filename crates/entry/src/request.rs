//! Carrying out one request on an upstream.

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
    answer::{Answer, Broken, Delivery, Forwarder, flush_by, position},
    batch::Batch,
    fleet::{Fleet, Lease, ReadRequirement},
    keyed::run_queries,
    refusal::Refusal,
    registry::{self, CancelTarget},
    session::{ABORTED, Disconnected, Open, Session, State},
    statements::Prepared,
};

/// Parameter kept with a connection: the settings of the session that used it last.
const SETTINGS: &str = "goldcrestrail.settings";
/// Value of that parameter when a connection has to be set up anew.
const UNKNOWN: &str = "unknown";
/// A request up to this size is one packet to the socket's empty buffer, so that a failed write
/// sent none of it.
const WHOLE_BYTES: usize = 4 << 10;
/// First and longest pause before another attempt.
const PAUSE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(200));

/// What is sent to the upstream.
#[derive(Debug)]
pub(crate) enum Request<'a> {
    /// Body of a simple query.
    Simple(&'a [u8]),
    /// Batch of extended queries.
    Extended(&'a Batch),
}

/// What a request means for its routing.
#[derive(Debug, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a separate fact of the request"
)]
pub(crate) struct Meaning {
    /// Whether it ends with `ReadyForQuery`.
    pub(crate) sync: bool,
    /// Whether only the primary may run it.
    pub(crate) primary: bool,
    /// Whether it runs a statement, rather than preparing or describing one.
    pub(crate) executes: bool,
    /// Whether it may change data.
    pub(crate) writes: bool,
    /// Whether it opens a transaction that may change data.
    pub(crate) begins: bool,
    /// Whether it may end a transaction.
    pub(crate) ends: bool,
    /// Whether it certainly holds a statement that ends a transaction.
    pub(crate) closes: bool,
    /// Whether it is one ROLLBACK and nothing else.
    pub(crate) rolls_back: bool,
    /// Whether it is one COMMIT and nothing else.
    pub(crate) commits: bool,
    /// Whether it is one BEGIN and nothing else.
    pub(crate) opens: bool,
    /// Key given by a leading comment.
    pub(crate) key: Option<Box<str>>,
    /// Table of a rule that wants a key.
    pub(crate) ruled: Option<String>,
    /// Parameters that it sets, with the statement for each or `None` for the default.
    pub(crate) sets: Vec<(String, Option<String>)>,
}

impl Meaning {
    /// Meaning of a simple query, of which the first statements are answered here.
    pub(crate) fn of(script: &Script, answered: usize, text: &str, rules: &[Rule]) -> Self {
        let mut meaning = Self {
            sync: true,
            primary: !script.is_read_from(answered),
            ..Self::default()
        };
        meaning.runs(script, answered, text, rules);
        meaning
    }

    /// Adds a statement that has to be known to the connection.
    pub(crate) fn needs(&mut self, prepared: &Prepared) {
        self.primary |= !prepared.script.is_read();
    }

    /// Adds statements that run, but for the first ones, which are answered here.
    pub(crate) fn runs(&mut self, script: &Script, answered: usize, text: &str, rules: &[Rule]) {
        let statements = &script.statements[answered..];
        let only = match statements {
            [only] if !self.executes => Some(&only.kind),
            _ => None,
        };
        self.commits = only == Some(&Kind::Commit);
        self.rolls_back = only == Some(&Kind::Rollback);
        self.opens = matches!(only, Some(Kind::Begin { .. }));
        self.executes = true;
        self.writes |= script.may_write();
        if self.key.is_none() {
            self.key = script.key.as_deref().map(Into::into);
        }
        if self.ruled.is_none() && !rules.is_empty() {
            self.ruled =
                rules::rule_requiring_key(text, script, rules).map(|rule| rule.table.clone());
        }
        for statement in statements {
            match &statement.kind {
                Kind::Begin { read_only: false } => self.begins = true,
                Kind::Commit | Kind::Rollback => {
                    self.ends = true;
                    self.closes = true;
                }
                Kind::Set {
                    name,
                    value,
                    local: false,
                } => {
                    let text = text.get(statement.range.clone()).unwrap_or_default();
                    let text = value.as_ref().map(|_| text.trim().to_owned());
                    self.sets.push((name.clone(), text));
                }
                _ if !statement.parsed => {
                    self.ends = true;
                    // A text that could not be cut into statements may hide a COMMIT.
                    let text = text.get(statement.range.clone()).unwrap_or_default();
                    self.closes |= text.contains(';');
                }
                _ => {}
            }
        }
    }
}

/// Why a request has no answer of its own.
#[derive(Debug)]
pub(crate) enum RequestError {
    /// The caller has to go.
    Disconnected,
    /// It gets an error instead, with SQLSTATE and message.
    Error(&'static str, String),
    /// It gets an error of the upstream that is not part of its answer.
    Upstream(String, String),
}

impl From<Refusal> for RequestError {
    fn from(refusal: Refusal) -> Self {
        Self::Error(refusal.sqlstate(), refusal.to_string())
    }
}

impl From<Disconnected> for RequestError {
    fn from(_gone: Disconnected) -> Self {
        Self::Disconnected
    }
}

impl From<Broken> for RequestError {
    fn from(broken: Broken) -> Self {
        match broken {
            Broken::Caller => Self::Disconnected,
            _ => Refusal::Unknown(broken.to_string()).into(),
        }
    }
}

/// One attempt on one connection.
pub(crate) struct Attempt {
    /// Its answer.
    pub(crate) answer: Result<Answer, Broken>,
    /// Whether a cancel was sent to the connection, which must not be used by others then.
    pub(crate) cancelled: bool,
}

impl<F: Fleet> Session<F> {
    /// Carries out a request and answers it, whatever happens.
    pub(crate) async fn perform(
        &mut self,
        request: &Request<'_>,
        meaning: Meaning,
    ) -> Result<(), Disconnected> {
        self.shared.count_request();
        let outcome = self.attempt(request, &meaning).await;
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
        if meaning.sync {
            return self.ready().await;
        }
        self.skipping |= failed;
        self.flush().await
    }

    /// Returns whether the answer is an error.
    pub(crate) async fn attempt(
        &mut self,
        request: &Request<'_>,
        meaning: &Meaning,
    ) -> Result<bool, RequestError> {
        let service = self.service()?;
        let limit = self
            .settings
            .parameters
            .deadline
            .unwrap_or(Duration::from_millis(service.limits.deadline_ms));
        let deadline = Instant::now() + limit;
        // A BEGIN of the caller turns the implicit transaction into one that it ends itself.
        self.implicit &= !meaning.begins && !meaning.opens && !matches!(self.state, State::Idle);
        match mem::replace(&mut self.state, State::Idle) {
            State::Idle => {
                self.run_outside_transaction(&service, request, meaning, deadline)
                    .await
            }
            State::Open(open) => {
                if let Some(refusal) = missing_key(meaning, open.record.is_some()) {
                    self.state = State::Lost;
                    return Err(refusal.into());
                }
                self.run_in_transaction(&service, open, request, meaning, deadline)
                    .await
            }
            State::Replay(replay) => self.replay(replay, request),
            State::Lost => {
                self.state = State::Lost;
                Err(RequestError::Error(ABORTED.0, ABORTED.1.to_owned()))
            }
        }
    }

    /// Service of the session as configured now.
    pub(crate) fn service(&self) -> Result<Rc<Service>, Refusal> {
        self.shared
            .fleet
            .service(&self.settings.service)
            .ok_or_else(|| Refusal::Service(self.settings.service.to_string()))
    }

    /// Carries out a request outside a transaction, with its key if it has one.
    async fn run_outside_transaction(
        &mut self,
        service: &Service,
        request: &Request<'_>,
        meaning: &Meaning,
        deadline: Instant,
    ) -> Result<bool, RequestError> {
        // A read leaves the key to the write that follows it, because drivers read on their own.
        if !meaning.writes && !meaning.begins {
            return self
                .run_autocommit(service, request, meaning, deadline)
                .await;
        }
        let kept = self.settings.parameters.key.take();
        let Some(key) = meaning.key.clone().or_else(|| kept.clone()) else {
            if let Some(refusal) = missing_key(meaning, false) {
                return Err(refusal.into());
            }
            return self
                .run_autocommit(service, request, meaning, deadline)
                .await;
        };
        let outcome = if meaning.opens {
            self.keyed_begin(service, request, key, deadline).await
        } else if meaning.begins || meaning.closes {
            Err(Refusal::Rule(
                "a transaction with a key needs BEGIN and COMMIT in requests of their own".into(),
            )
            .into())
        } else {
            self.keyed(service, request, &key, deadline).await
        };
        if let Err(RequestError::Error(sqlstate, _)) = &outcome
            && sqlstate.starts_with("ZN")
        {
            self.settings.parameters.key = kept;
        }
        outcome
    }

    /// Carries out a request outside a transaction.
    async fn run_autocommit(
        &mut self,
        service: &Service,
        request: &Request<'_>,
        meaning: &Meaning,
        deadline: Instant,
    ) -> Result<bool, RequestError> {
        let mut primary = meaning.primary;
        let mut pause = PAUSE.0;
        let mark = self.writer.pending_len();
        loop {
            let mut lease = self.lease(service, primary, deadline).await?;
            let refusal = match self.apply_settings(&mut lease, deadline).await {
                Ok(()) => {
                    let attempt = self.exchange(&mut lease, request, deadline).await;
                    match attempt.answer {
                        Err(Broken::Unsent(_)) => Refusal::Primary,
                        Err(broken) => return Err(broken.into()),
                        Ok(answer) => match refused_before(&answer) {
                            Some(refusal) => {
                                self.writer.truncate(mark);
                                primary |= refusal == Refusal::Primary;
                                return_lease(lease, &answer, attempt.cancelled);
                                refusal
                            }
                            None => {
                                return self
                                    .settle_autocommit(
                                        service,
                                        lease,
                                        answer,
                                        attempt.cancelled,
                                        meaning,
                                        mark,
                                        deadline,
                                    )
                                    .await;
                            }
                        },
                    }
                }
                Err(Failure::Wire(_)) => Refusal::Primary,
                Err(Failure::Refused(sqlstate, message)) => {
                    return Err(RequestError::Upstream(sqlstate, message));
                }
            };
            if !self.shared.take_retry() || !self.pause(&mut pause, deadline).await {
                return Err(refusal.into());
            }
        }
    }

    /// Waits before another attempt; false when there is no time for one.
    pub(crate) async fn pause(&self, pause: &mut Duration, deadline: Instant) -> bool {
        let wait = pause.mul_f64(rand::random_range(0.5..1.0));
        *pause = (*pause * 2).min(PAUSE.1);
        if Instant::now() + wait >= deadline {
            return false;
        }
        sleep(wait).await;
        true
    }

    /// Takes a connection that may run the request.
    pub(crate) async fn lease(
        &mut self,
        service: &Service,
        primary: bool,
        deadline: Instant,
    ) -> Result<F::Lease, RequestError> {
        let cancelled = || {
            let text = "not run: cancelled while it waited for a connection";
            RequestError::Error("57014", text.to_owned())
        };
        let slot = &self.entry.slot;
        if primary {
            let taking = self.shared.fleet.write(service, deadline);
            let lease = slot.unless_cancelled(taking).await.ok_or_else(cancelled)?;
            return Ok(lease?);
        }
        let own = &self.settings.parameters;
        let longest = Duration::from_millis(service.freshness.max_age_ms);
        let need = ReadRequirement {
            token: own.token,
            max_age: own.max_age.map(|age| age.min(longest)),
            since: self.since,
            deadline,
        };
        let taking = self.shared.fleet.read(service, need);
        let outcome = slot.unless_cancelled(taking).await;
        let (lease, token) = outcome.ok_or_else(cancelled)??;
        if token.is_some() {
            self.settings.parameters.token = token;
        }
        Ok(lease)
    }

    /// Gives a connection the parameters of this session, where another session left others.
    pub(crate) async fn apply_settings(
        &self,
        lease: &mut F::Lease,
        deadline: Instant,
    ) -> Result<(), Failure> {
        let client = lease.client();
        let wanted = self.settings.prelude.as_str();
        let left = client.parameters.get(SETTINGS).map_or("", String::as_str);
        if left == wanted {
            return Ok(());
        }
        let text = format!("RESET ALL; {wanted}");
        run_queries(client, &[text.trim_end_matches([';', ' '])], deadline).await?;
        client
            .parameters
            .insert(SETTINGS.to_owned(), wanted.to_owned());
        Ok(())
    }

    /// Sends a request and passes its answer on.
    pub(crate) async fn exchange(
        &mut self,
        lease: &mut F::Lease,
        request: &Request<'_>,
        deadline: Instant,
    ) -> Attempt {
        let mark = self.writer.pending_len();
        let expects = match request {
            Request::Simple(body) => {
                lease.client().writer.parts(b'Q', body);
                None
            }
            Request::Extended(batch) => Some(batch.send(lease)),
        };
        let delivery = if lease.primary().is_some() {
            Delivery::Held(self.shared.options.held_bytes)
        } else {
            Delivery::Streamed
        };
        let client = lease.client();
        let target = client.addresses.map(|route| CancelTarget {
            addresses: route,
            key: client.key,
        });
        let whole = expects.is_none() || client.writer.pending_len() <= WHOLE_BYTES;
        self.entry.slot.start(target);
        let mut written = false;
        let answer = match flush_by(&mut client.writer, deadline).await {
            Ok(Ok(())) => {
                let mut forwarder = Forwarder {
                    writer: &mut self.writer,
                    names: &mut self.names,
                    expects,
                    delivery,
                    deadline,
                    stall: self.shared.options.stall,
                    written: false,
                };
                let answer = forwarder.run(lease).await;
                written = forwarder.written;
                answer
            }
            Ok(Err(cause)) if whole => Err(Broken::Unsent(cause)),
            Ok(Err(cause)) => Err(Broken::Upstream(cause)),
            Err(_elapsed) => Err(Broken::Late),
        };
        let cancelled = self.entry.slot.end().await;
        if answer.is_err() && !written {
            self.writer.truncate(mark);
        }
        if let (Err(Broken::Late | Broken::Caller), Some(target)) = (&answer, target) {
            // The statement would go on and hold one of the few slots for nobody.
            compio::runtime::spawn(registry::send_cancel(target)).detach();
        }
        Attempt { answer, cancelled }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "all of it is one attempt's result"
    )]
    async fn settle_autocommit(
        &mut self,
        service: &Service,
        mut lease: F::Lease,
        answer: Answer,
        cancelled: bool,
        meaning: &Meaning,
        mark: usize,
        deadline: Instant,
    ) -> Result<bool, RequestError> {
        let term = lease.primary();
        let position = position(lease.client());
        let failed = answer.sqlstate.is_some();
        if answer.status == b'I' {
            if !meaning.sets.is_empty() {
                let left = if failed {
                    UNKNOWN.to_owned()
                } else {
                    self.settings.keep(&meaning.sets);
                    self.settings.prelude.clone()
                };
                lease.client().parameters.insert(SETTINGS.to_owned(), left);
            }
            return_lease(lease, &answer, cancelled);
        } else {
            self.state = State::Open(Box::new(Open {
                lease,
                status: answer.status,
                sets: if failed {
                    Vec::new()
                } else {
                    meaning.sets.clone()
                },
                cancelled,
                record: None,
            }));
        }
        let opened = answer.status != b'I';
        let writes = meaning.primary && (!failed || meaning.ends);
        let acknowledged = self
            .acknowledge(service, term, position, &answer, writes, mark, deadline)
            .await;
        if opened && acknowledged.is_err() {
            self.state = State::Lost;
        }
        acknowledged?;
        Ok(failed)
    }

    /// Carries out a request in the transaction at hand.
    async fn run_in_transaction(
        &mut self,
        service: &Service,
        mut open: Box<Open<F::Lease>>,
        request: &Request<'_>,
        meaning: &Meaning,
        deadline: Instant,
    ) -> Result<bool, RequestError> {
        let mark = self.writer.pending_len();
        let term = open.lease.primary();
        if open.record.as_ref().is_some_and(|record| record.is_full()) {
            self.state = State::Lost;
            return Err(Refusal::Rule(
                "a transaction with a key has too many requests; it is rolled back".into(),
            )
            .into());
        }
        if meaning.closes && !meaning.rolls_back {
            self.write_record(&mut open, request, meaning, deadline)
                .await?;
        }
        let attempt = self.exchange(&mut open.lease, request, deadline).await;
        let answer = match attempt.answer {
            Ok(answer) => answer,
            Err(Broken::Late | Broken::Upstream(_)) if meaning.commits && open.record.is_some() => {
                let Some(record) = open.record.take() else {
                    return Err(Refusal::Unknown("the record is missing".into()).into());
                };
                drop(open);
                return self
                    .resolve_commit(service, &record, request, term, deadline)
                    .await;
            }
            Err(broken) if meaning.ends || matches!(broken, Broken::Caller) => {
                return Err(broken.into());
            }
            Err(broken) => {
                self.state = State::Lost;
                return Err(RequestError::Error(
                    Refusal::Primary.sqlstate(),
                    format!("not run: the transaction is rolled back: {broken}"),
                ));
            }
        };
        open.cancelled |= attempt.cancelled;
        if let Some(record) = &mut open.record {
            record.add(request, &self.writer.pending_bytes()[mark..]);
        }
        if answer.committed {
            open.record = None;
        }
        let position = position(open.lease.client());
        let failed = answer.sqlstate.is_some();
        if !failed {
            open.sets.extend(meaning.sets.iter().cloned());
        }
        if answer.status == b'I' {
            let mut lease = open.lease;
            if !open.sets.is_empty() {
                if !answer.rolled_back {
                    self.settings.keep(&open.sets);
                }
                // What a rollback leaves depends on savepoints, so that the next user resets it.
                lease
                    .client()
                    .parameters
                    .insert(SETTINGS.to_owned(), UNKNOWN.to_owned());
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
                !failed || meaning.ends,
                mark,
                deadline,
            )
            .await;
        if let Err(error) = acknowledged {
            if answer.status != b'I' {
                self.state = State::Lost;
            }
            return Err(error);
        }
        Ok(failed)
    }

    /// Holds an answer of a primary back until what it shows is confirmed.
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
        mark: usize,
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
            // An upstream that refuses its first statement, or was only asked to prepare one, has not
            // reported a position yet.
            None if !answer.rows && (answer.sqlstate.is_some() || !answer.completed) => Ok(None),
            None => Err(Refusal::Unknown("the database reported no position".into())),
        };
        match outcome {
            Ok(position) => {
                if let Some(position) = position.filter(|_| writes && ended && answer.completed) {
                    self.report(position);
                }
            }
            Err(refusal) => {
                self.writer.truncate(mark);
                // The request ran, whatever keeps it from being confirmed.
                let refusal = match refusal {
                    Refusal::Unknown(_) => refusal,
                    _ => Refusal::Unknown(format!("it can't be confirmed: {refusal}")),
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
                    self.shared.options.held_bytes
                ),
            ));
        }
        Ok(())
    }

    /// Tells the caller the token of its session.
    pub(crate) fn report(&mut self, position: Position) {
        let token = match self.settings.parameters.token {
            Some(token) => token.join(position),
            None => position,
        };
        self.settings.parameters.token = Some(token);
        let message = reply::parameter_status("goldcrestrail.token", &token.to_string());
        let _encoded = self.writer.message(&message);
    }
}

/// Refuses a statement that a rule wants a key for, and a key that comes too late.
fn missing_key(meaning: &Meaning, has_key: bool) -> Option<Refusal> {
    if has_key {
        return None;
    }
    if meaning.key.is_some() && meaning.writes {
        return Some(Refusal::Rule(
            "the key of a transaction belongs to its BEGIN; the transaction is rolled back".into(),
        ));
    }
    let table = meaning.ruled.as_ref()?;
    Some(Refusal::Rule(format!(
        "a rule of the service wants a key for table {table}; SET goldcrestrail.key before the \
         statement, or before BEGIN"
    )))
}

/// Whether the upstream refused a request before it ran any of it, so that it may be sent again.
pub(crate) fn refused_before(answer: &Answer) -> Option<Refusal> {
    if answer.completed || answer.rows || answer.written || answer.status != b'I' {
        return None;
    }
    match answer.sqlstate.as_deref()? {
        "53300" => Some(Refusal::Deadline),
        "25006" => Some(Refusal::Primary),
        _ => None,
    }
}

/// Gives a connection back when it is certain to be in a clean state, and closes it otherwise.
pub(crate) fn return_lease<L: Lease>(mut lease: L, answer: &Answer, cancelled: bool) {
    // Errors that tell of prepared statements other than those that are noted.
    let muddled = matches!(
        answer.sqlstate.as_deref(),
        Some("0A000" | "26000" | "42P05")
    );
    if answer.status == b'I' && !cancelled && !muddled && !lease.client().reader.has_bytes() {
        lease.release();
    }
}
