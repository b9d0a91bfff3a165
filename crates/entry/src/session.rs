//! A caller's session: reads messages, groups them into requests and runs those one after another.

use std::{
    mem,
    pin::{Pin, pin},
    rc::Rc,
    time::{Duration, Instant},
};

use base::organisation::Organisation;
use bytes::BytesMut;
use compio::time::{sleep, timeout, timeout_at};
use futures_util::future::{Either, FusedFuture, FutureExt, select};
use sql::{Kind, Script};
use wire::{Cursor, Frame, FrontendMessage, Reader, WireError, Writer, pg::Message, reply};

use crate::{
    answer::flush_by,
    batch::encode_message,
    fleet::{Fleet, Lease},
    parameters::{self, APPLICATION_NAME},
    record::{Replay, TransactionRecord},
    registry::Registration,
    request::{Request, RequestInfo},
    session_settings::SessionSettings,
    shared::Shared,
    statements::Names,
};

/// Interval of the `Sync` messages that keep an open transaction alive while its caller is idle.
/// Three fit into the time after which the upstream ends an idle transaction.
pub(crate) const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_500);

/// An open transaction, pinned to its connection.
#[derive(Debug)]
pub struct OpenTransaction<L> {
    /// Connection that the transaction holds until it ends.
    pub lease: L,
    /// Last transaction status that the upstream reported: `b'T'` or `b'E'`.
    pub status: u8,
    /// Parameters set in the transaction; they take effect for the session when it commits.
    pub set_statements: Vec<(String, Option<String>)>,
    /// Whether a cancel request was sent for the connection, which then must not be reused.
    pub cancelled: bool,
    /// Record of a transaction that has an idempotency key.
    pub record: Option<Box<TransactionRecord>>,
}

/// Transaction state of the session between two requests.
#[derive(Debug)]
pub enum State<L> {
    /// No transaction, and no connection held.
    Idle,
    /// In an open transaction.
    Open(Box<OpenTransaction<L>>),
    /// In a transaction that was rolled back because its connection was dropped.
    Aborted,
    /// In a transaction that committed before; its recorded answers are replayed.
    Replay(Box<Replay>),
}

/// Action that a message of the caller triggers.
enum Action {
    /// Run a simple query.
    Query(Frame),
    /// Run the buffered messages and answer with `ReadyForQuery`.
    Sync,
    /// Run the messages buffered so far.
    Flush,
    /// Refuse a batch that exceeds the message limit.
    BatchTooLarge,
    /// End the session.
    Terminate,
}

/// The caller has disconnected, or must be disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disconnected;

/// A caller's session.
pub struct Session<F: Fleet> {
    pub(crate) settings: SessionSettings,
    /// Organisation that the current request or transaction runs for; `None` where callers need no
    /// key.
    pub(crate) owner: Option<Rc<Organisation>>,
    pub(crate) reader: Reader,
    pub(crate) writer: Writer,
    pub(crate) registration: Registration,
    pub(crate) shared: Rc<Shared<F>>,
    pub(crate) started_at: Instant,
    pub(crate) names: Names,
    pub(crate) state: State<F::Lease>,
    /// Whether messages are skipped until the next `Sync`, after an error.
    pub(crate) skipping: bool,
    /// Whether the open transaction was begun for a write that was followed by a `Flush`. The next
    /// `ReadyForQuery` ends it, as PostgreSQL ends the implicit transaction of a pipeline.
    pub(crate) implicit: bool,
    /// Message that was read ahead.
    lookahead: Option<Frame>,
    /// Messages since the last `Sync` or `Flush`.
    batched: Vec<FrontendMessage>,
    batched_bytes: usize,
}

impl<F: Fleet> Session<F> {
    /// Creates a session after a successful login.
    #[must_use]
    pub fn new(
        settings: SessionSettings,
        reader: Reader,
        writer: Writer,
        registration: Registration,
        shared: Rc<Shared<F>>,
        now: Instant,
    ) -> Self {
        Self {
            settings,
            owner: None,
            reader,
            writer,
            registration,
            shared,
            started_at: now,
            names: Names::default(),
            state: State::Idle,
            skipping: false,
            implicit: false,
            lookahead: None,
            batched: Vec::new(),
            batched_bytes: 0,
        }
    }

    /// Serves the caller until it disconnects or the process stops.
    pub async fn serve(mut self: Box<Self>) {
        let shared = Rc::clone(&self.shared);
        let mut stop = pin!(
            async {
                shared.fleet.stopping().await;
                sleep(shared.options.drain_delay).await;
            }
            .fuse()
        );
        loop {
            let frame = match self.next_message(stop.as_mut()).await {
                Ok(Some(frame)) => frame,
                Ok(None) => return,
                Err(cause) => {
                    self.end_with_error(&cause).await;
                    return;
                }
            };
            let action = match self.next_action(frame) {
                Ok(Some(action)) => action,
                Ok(None) => continue,
                Err(cause) => {
                    self.end_with_error(&cause).await;
                    return;
                }
            };
            // Boxed, so that an idle session does not reserve the memory that a request needs.
            if Box::pin(self.run_action(action)).await.is_err() {
                return;
            }
            if !self.count_kept() {
                let cause = "no memory for further statements and parameters of sessions";
                let _closing = self.fatal("53200", cause).await;
                return;
            }
        }
    }

    /// Counts the memory of prepared statements and parameters; false if there is none for them. Frees
    /// that of the last request.
    fn count_kept(&mut self) -> bool {
        if self.batched.is_empty() && self.names.portals.is_empty() {
            self.reader.release();
        }
        let Some(account) = self.reader.account() else {
            return true;
        };
        account.keep_total(self.names.text_bytes() + self.settings.kept_bytes())
    }

    /// Waits for the next message; returns `None` when the session has ended.
    async fn next_message(
        &mut self,
        stop: Pin<&mut impl FusedFuture<Output = ()>>,
    ) -> Result<Option<Frame>, WireError> {
        if self.shared.is_ending() {
            self.end_for_shutdown().await;
            return Ok(None);
        }
        if let Some(frame) = self.lookahead.take() {
            return Ok(Some(frame));
        }
        let between_requests =
            matches!(self.state, State::Idle) && self.batched.is_empty() && !self.skipping;
        if between_requests && (stop.is_terminated() || self.shared.is_draining()) {
            self.end_for_shutdown().await;
            return Ok(None);
        }
        if let Some(frame) = self.reader.buffered()? {
            return Ok(Some(frame));
        }
        if between_requests {
            if let Either::Left((frame, _)) = select(pin!(self.reader.next()), stop).await {
                return frame;
            }
            self.end_for_shutdown().await;
            return Ok(None);
        }
        let end = Instant::now() + self.shared.options.stall_timeout;
        {
            // Dropping the read future could lose bytes that it has received, so the same one is
            // polled throughout.
            let mut next = pin!(self.reader.next());
            while Instant::now() < end {
                let until = end.min(Instant::now() + KEEPALIVE_INTERVAL);
                let received = timeout_at(until, next.as_mut());
                match self.shared.until_ending(received).await {
                    Some(Ok(frame)) => return frame,
                    Some(Err(_elapsed)) => {}
                    None => break,
                }
                if let State::Open(open) = &mut self.state
                    && keep_alive(open).await.is_err()
                {
                    self.state = State::Aborted;
                }
            }
        }
        if self.shared.is_ending() {
            self.end_for_shutdown().await;
            return Ok(None);
        }
        let _closing = self
            .fatal("25P03", "the transaction was idle for too long")
            .await;
        Ok(None)
    }

    /// Ends the session with the error that belongs to `cause`, if the caller can still receive
    /// one.
    async fn end_with_error(&mut self, cause: &WireError) {
        let _closing = match cause {
            WireError::TooLarge { .. } => self.fatal("54000", &cause.to_string()).await,
            WireError::Malformed(_) => self.fatal("08P01", &cause.to_string()).await,
            WireError::Io(_) | WireError::ConnectionClosed => Disconnected,
        };
    }

    pub(crate) async fn fatal(&mut self, sqlstate: &str, message: &str) -> Disconnected {
        let _encoded = self.writer.message(&reply::fatal(sqlstate, message, ""));
        let _flushed = timeout(self.shared.options.stall_timeout, self.writer.flush()).await;
        Disconnected
    }

    /// Buffers a message, or returns the action that it triggers.
    fn next_action(&mut self, frame: Frame) -> Result<Option<Action>, WireError> {
        if self.skipping && !matches!(frame.tag, b'S' | b'X') {
            return Ok(None);
        }
        if frame.tag == b'Q' {
            return Ok(Some(Action::Query(frame)));
        }
        Ok(match FrontendMessage::parse(&frame)? {
            FrontendMessage::Sync => Some(Action::Sync),
            FrontendMessage::Flush => Some(Action::Flush),
            FrontendMessage::Terminate => Some(Action::Terminate),
            // The protocol allows these to follow a COPY that was refused; they are ignored.
            FrontendMessage::CopyData(_)
            | FrontendMessage::CopyDone
            | FrontendMessage::CopyFail(_) => None,
            FrontendMessage::Password(_) => {
                return Err(WireError::Malformed("no password was asked for"));
            }
            message => {
                self.batched_bytes += frame.body.len() + mem::size_of::<FrontendMessage>();
                if self.batched_bytes > self.settings.message_bytes {
                    return Ok(Some(Action::BatchTooLarge));
                }
                self.batched.push(message);
                None
            }
        })
    }

    async fn run_action(&mut self, action: Action) -> Result<(), Disconnected> {
        match action {
            Action::Query(frame) => {
                if !self.batched.is_empty() {
                    self.run_batched(false).await?;
                }
                self.query(&frame).await
            }
            Action::Sync => {
                self.skipping = false;
                self.run_batched(true).await
            }
            Action::Flush => {
                // Some drivers send a Flush before each Sync; the two are answered together.
                let next = self.reader.buffered().ok().flatten();
                if next.as_ref().is_some_and(|frame| frame.tag == b'S') {
                    return self.run_batched(true).await;
                }
                self.lookahead = next;
                self.run_batched(false).await
            }
            Action::BatchTooLarge => {
                self.batched = Vec::new();
                self.batched_bytes = 0;
                self.error("54000", "too many messages before a Sync; send it earlier");
                if !matches!(self.state, State::Idle) {
                    self.state = State::Aborted;
                }
                self.skipping = true;
                self.flush().await
            }
            Action::Terminate => Err(Disconnected),
        }
    }

    /// Runs the buffered messages.
    async fn run_batched(&mut self, sync: bool) -> Result<(), Disconnected> {
        let messages = mem::take(&mut self.batched);
        self.batched_bytes = 0;
        self.run_batch(messages, sync).await
    }

    async fn query(&mut self, frame: &Frame) -> Result<(), Disconnected> {
        let text = match Cursor::new(&frame.body).text() {
            Ok(text) => text,
            Err(cause) => return Err(self.fatal("08P01", &cause.to_string()).await),
        };
        let script = self.shared.classify(text);
        let mut answered = 0;
        for (i, statement) in script.statements.iter().enumerate() {
            let Some(local) = self.local_kind(&statement.kind) else {
                if script.statements[i..]
                    .iter()
                    .any(|statement| self.local_kind(&statement.kind).is_some())
                {
                    self.error(
                        "0A000",
                        "not run: statements about the session of the proxy must come first in a text",
                    );
                    return self.send_ready().await;
                }
                break;
            };
            match self.run_local(&local, true) {
                Ok(messages) => self.writer.bytes(&messages),
                Err((sqlstate, message)) => {
                    self.error(sqlstate, &message);
                    return self.send_ready().await;
                }
            }
            answered = i + 1;
        }
        let Some(first) = script.statements.get(answered) else {
            if script.statements.is_empty() {
                self.writer.parts(b'I', &[]);
            }
            return self.send_ready().await;
        };
        if matches!(self.state, State::Aborted) {
            self.error(ABORTED.0, ABORTED.1);
            return self.send_ready().await;
        }
        if let Some((sqlstate, message)) = unsupported_statement(&script) {
            self.error(sqlstate, &message);
            return self.send_ready().await;
        }
        let service = match self.service() {
            Ok(service) => service,
            Err(refusal) => {
                self.error(refusal.sqlstate(), &refusal.to_string());
                return self.send_ready().await;
            }
        };
        let info = RequestInfo::from_script(&script, answered, text, &service.non_idempotent);
        if answered == 0 {
            self.handle_request(&Request::Simple(&frame.body), info)
                .await
        } else {
            let tail = &frame.body[first.range.start..];
            self.handle_request(&Request::Simple(tail), info).await
        }
    }

    /// Returns the statement if the proxy answers it itself.
    pub(crate) fn local_kind(&self, kind: &Kind) -> Option<Kind> {
        let local = match kind {
            Kind::Set {
                name, local: false, ..
            } if name == APPLICATION_NAME => !matches!(self.state, State::Aborted),
            Kind::Set { name, value, .. } => {
                let without_effect = || {
                    value
                        .as_deref()
                        .is_some_and(|value| parameters::changes_no_result(name, value))
                };
                parameters::is_proxy_parameter(name)
                    || matches!(self.state, State::Idle) && without_effect()
            }
            Kind::Show(name) if name == APPLICATION_NAME => !matches!(self.state, State::Aborted),
            Kind::Show(name) if parameters::WRITABLE_PARAMETERS.contains(&name.as_str()) => {
                let changed = |(set, _): &(String, String)| set == parameters::DEFAULT_READ_ONLY;
                matches!(self.state, State::Idle)
                    && !self.settings.set_statements.iter().any(changed)
            }
            Kind::Show(name) => parameters::is_proxy_parameter(name),
            Kind::Release("CLOSE CURSOR ALL") => !matches!(self.state, State::Open(_)),
            Kind::Deallocate(_) | Kind::Discard | Kind::Release(_) => true,
            Kind::Commit | Kind::Rollback => matches!(self.state, State::Aborted),
            _ => false,
        };
        local.then(|| kind.clone())
    }

    /// Runs a statement that the proxy answers itself, and returns the answer.
    pub(crate) fn run_local(
        &mut self,
        kind: &Kind,
        describe: bool,
    ) -> Result<Vec<u8>, (&'static str, String)> {
        let tag = match kind {
            Kind::Set { name, .. }
                if name == "goldcrestrail.key" && !matches!(self.state, State::Idle) =>
            {
                return Err((
                    "25001",
                    "the key of a transaction is set before its BEGIN".into(),
                ));
            }
            Kind::Set {
                name,
                value,
                local: false,
            } if name == APPLICATION_NAME => {
                self.settings.application_name.set(value.as_deref());
                let report = reply::parameter_status(name, &self.settings.application_name.current);
                let mut out = BytesMut::new();
                let _encoded = report.encode(&mut out);
                let tag = if value.is_some() { "SET" } else { "RESET" };
                out.extend(encode_message(b'C', format!("{tag}\0").as_bytes()));
                return Ok(out.into());
            }
            Kind::Set { name, .. } if !parameters::is_proxy_parameter(name) => {
                self.settings.update_set_statements(&[(name.clone(), None)]);
                "SET"
            }
            Kind::Set { name, value, .. } => {
                self.settings.parameters.set(name, value.as_deref())?;
                if value.is_some() { "SET" } else { "RESET" }
            }
            Kind::Show(name) if name == APPLICATION_NAME => {
                let value = &self.settings.application_name.current;
                return Ok(single_value(describe.then_some(name), value, "SHOW"));
            }
            Kind::Show(name) if parameters::WRITABLE_PARAMETERS.contains(&name.as_str()) => {
                return Ok(single_value(describe.then_some(name), "off", "SHOW"));
            }
            Kind::Show(name) => {
                let value = self.settings.parameters.show(name)?;
                return Ok(single_value(describe.then_some(name), &value, "SHOW"));
            }
            Kind::Release("SELECT 1") => {
                let name = "pg_advisory_unlock_all";
                return Ok(single_value(describe.then_some(name), "", "SELECT 1"));
            }
            Kind::Release(tag) => tag,
            Kind::Deallocate(None) => {
                self.names.clear();
                "DEALLOCATE ALL"
            }
            Kind::Deallocate(Some(name)) => {
                if self.names.find(name).is_none() {
                    return Err((
                        "26000",
                        format!("prepared statement \"{name}\" does not exist"),
                    ));
                }
                self.names
                    .apply(crate::statements::NameChange::Remove(name.clone()));
                "DEALLOCATE"
            }
            Kind::Discard => {
                if !matches!(self.state, State::Idle) {
                    return Err(("25001", "DISCARD ALL cannot run in a transaction".into()));
                }
                self.names.clear();
                self.settings
                    .update_set_statements(&[("all".to_owned(), None)]);
                "DISCARD ALL"
            }
            _ => {
                self.state = State::Idle;
                "ROLLBACK"
            }
        };
        Ok(encode_message(b'C', format!("{tag}\0").as_bytes()))
    }

    /// Adds an error to the answer.
    pub(crate) fn error(&mut self, sqlstate: &str, message: &str) {
        let _encoded = self.writer.message(&reply::error(sqlstate, message, ""));
    }

    /// Transaction status as reported to the caller.
    pub(crate) fn transaction_status(&self) -> u8 {
        match &self.state {
            State::Idle => b'I',
            State::Open(open) => open.status,
            State::Aborted => b'E',
            State::Replay(_) => b'T',
        }
    }

    /// Ends the answer to a `Query` or `Sync` with `ReadyForQuery`.
    pub(crate) async fn send_ready(&mut self) -> Result<(), Disconnected> {
        if mem::take(&mut self.implicit) {
            self.end_implicit().await?;
        }
        let status = self.transaction_status();
        if status == b'I' {
            self.names.portals = Vec::new();
        }
        self.writer.parts(b'Z', &[status]);
        self.flush().await
    }

    pub(crate) async fn flush(&mut self) -> Result<(), Disconnected> {
        let stall = self.shared.options.stall_timeout;
        match flush_by(&mut self.writer, Instant::now() + stall).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(Disconnected),
        }
    }
}

/// Sends a `Sync` so that the upstream does not end the transaction as idle. Fails when the
/// transaction has ended or its connection is lost.
async fn keep_alive<L: Lease>(open: &mut OpenTransaction<L>) -> Result<(), WireError> {
    let client = open.lease.client();
    let exchange = async {
        client.writer.parts(b'S', &[]);
        client.writer.flush().await?;
        loop {
            let frame = client.frame().await?;
            match frame.tag {
                b'Z' => return Ok(()),
                b'S' => client.record_parameter(&frame),
                b'E' => return Err(WireError::ConnectionClosed),
                _ => {}
            }
        }
    };
    timeout(KEEPALIVE_INTERVAL, exchange)
        .await
        .unwrap_or(Err(WireError::ConnectionClosed))
}

/// SQLSTATE and message for a statement in an aborted transaction.
pub(crate) const ABORTED: (&str, &str) = (
    "25P02",
    "current transaction is aborted, commands ignored until end of transaction block",
);

/// Returns the error for a script with a statement that no service supports.
pub(crate) fn unsupported_statement(script: &Script) -> Option<(&'static str, String)> {
    script
        .statements
        .iter()
        .find_map(|statement| match &statement.kind {
            Kind::Copy => Some((
                "0A000",
                "not run: COPY is not passed through; use INSERT with several rows".to_owned(),
            )),
            Kind::SessionBound(command) => Some((
                "0A000",
                format!(
                    "not run: {command} leaves state in a database session, and connections are \
                     shared here; connect to the database itself for it"
                ),
            )),
            _ => None,
        })
}

/// Encodes an answer of one row with one text column. It includes the row description if a column
/// name is given.
fn single_value(name: Option<impl AsRef<str>>, value: &str, tag: &str) -> Vec<u8> {
    let mut out = name
        .map(|name| row_description(name.as_ref()))
        .unwrap_or_default();
    let mut body = vec![0, 1];
    let length = i32::try_from(value.len()).unwrap_or_default();
    body.extend_from_slice(&length.to_be_bytes());
    body.extend_from_slice(value.as_bytes());
    out.extend(encode_message(b'D', &body));
    out.extend(encode_message(b'C', format!("{tag}\0").as_bytes()));
    out
}

/// Encodes the description of a row with one text column.
pub(crate) fn row_description(name: &str) -> Vec<u8> {
    const TEXT_TYPE: i32 = 25;
    let mut body = vec![0, 1];
    body.extend_from_slice(name.as_bytes());
    body.push(0);
    body.extend_from_slice(&0_i32.to_be_bytes());
    body.extend_from_slice(&0_i16.to_be_bytes());
    body.extend_from_slice(&TEXT_TYPE.to_be_bytes());
    body.extend_from_slice(&(-1_i16).to_be_bytes());
    body.extend_from_slice(&(-1_i32).to_be_bytes());
    body.extend_from_slice(&0_i16.to_be_bytes());
    encode_message(b'T', &body)
}
