//! A caller's session: its requests, one after the other.

use std::{
    mem,
    pin::{Pin, pin},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::BytesMut;
use compio::time::{sleep, timeout, timeout_at};
use futures_util::future::{Either, FusedFuture, FutureExt, select};
use sql::{Kind, Script};
use wire::{Cursor, Frame, FrontendMessage, Reader, WireError, Writer, pg::Message, reply};

use crate::{
    answer::flush_by,
    batch::message,
    fleet::{Fleet, Lease},
    parameters::{self, APPLICATION, Application, Parameters},
    record::{Record, Replay},
    registry::Registration,
    request::{Meaning, Request},
    shared::Shared,
    statements::Names,
};

/// Time between two signs of life on a transaction that waits for its caller. Three fit into the
/// time after which the upstream ends an idle transaction.
pub(crate) const KEEPALIVE: Duration = Duration::from_millis(1_500);

/// What a login settles for the session.
#[derive(Debug)]
pub struct Settings {
    /// Service that the caller uses.
    pub service: Box<str>,
    /// Largest message that the caller may send, in bytes.
    pub message_bytes: usize,
    /// User that the caller logged in as.
    pub user: Box<str>,
    /// Name of the caller's program.
    pub application: Application,
    /// Own parameters.
    pub parameters: Parameters,
    /// Other parameters by name, with the statement that sets each on a connection.
    pub sets: Vec<(String, String)>,
    /// All statements of `sets` in one text, which a connection has to have run.
    pub prelude: String,
}

impl Settings {
    /// Keeps parameters that were set, each with its statement or `None` for the default.
    pub fn keep(&mut self, sets: &[(String, Option<String>)]) {
        for (name, statement) in sets {
            if name == "all" {
                self.sets.clear();
                self.application.set(None);
                // The token stays: without it the caller could miss its own writes.
                self.parameters = Parameters {
                    token: self.parameters.token,
                    ..Parameters::default()
                };
            }
            self.sets.retain(|(kept, _)| kept != name);
            if let Some(statement) = statement {
                self.sets.push((name.clone(), statement.clone()));
            }
        }
        self.prelude.clear();
        for (i, (_, statement)) in self.sets.iter().enumerate() {
            self.prelude.push_str(if i == 0 { "" } else { "; " });
            self.prelude.push_str(statement);
        }
    }
}

/// A transaction on a connection of its own.
#[derive(Debug)]
pub struct Open<L> {
    /// Connection that is held until the transaction ends.
    pub lease: L,
    /// Transaction status that the upstream reported last: `b'T'` or `b'E'`.
    pub status: u8,
    /// Parameters set in the transaction, kept when it commits.
    pub sets: Vec<(String, Option<String>)>,
    /// Whether a cancel was sent to the connection, which must not be used by others then.
    pub cancelled: bool,
    /// Record of a transaction with a key.
    pub record: Option<Box<Record>>,
}

/// Where the session stands between two requests.
#[derive(Debug)]
pub enum State<L> {
    /// Outside a transaction, without a connection.
    Idle,
    /// In a transaction.
    Open(Box<Open<L>>),
    /// In a transaction that was rolled back with its connection.
    Lost,
    /// In a transaction that ran before; its recorded answers are replayed.
    Replay(Box<Replay>),
}

/// What a message of the caller asks for now.
enum Work {
    /// Carry out a simple query.
    Query(Frame),
    /// Carry out the batch and end it.
    Sync,
    /// Carry out the batch so far.
    Flush,
    /// Refuse a batch that is too large.
    TooMuch,
    /// End the session.
    Leave,
}

/// The caller is gone, or has to go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disconnected;

/// A caller's session.
pub struct Session<F: Fleet> {
    pub(crate) settings: Settings,
    pub(crate) reader: Reader,
    pub(crate) writer: Writer,
    pub(crate) entry: Registration,
    pub(crate) shared: Rc<Shared<F>>,
    pub(crate) since: Instant,
    pub(crate) names: Names,
    pub(crate) state: State<F::Lease>,
    /// Messages are skipped until the next `Sync`.
    pub(crate) skipping: bool,
    /// Whether the open transaction was begun for a write that ended with a `Flush`. The next
    /// `ReadyForQuery` ends it, as it ends the implicit transaction of a pipeline.
    pub(crate) implicit: bool,
    /// Message that was read in advance.
    ahead: Option<Frame>,
    /// Messages since the last `Sync` or `Flush`.
    gathered: Vec<FrontendMessage>,
    gathered_bytes: usize,
}

impl<F: Fleet> Session<F> {
    /// Starts a session whose login is done.
    #[must_use]
    pub fn new(
        settings: Settings,
        reader: Reader,
        writer: Writer,
        entry: Registration,
        shared: Rc<Shared<F>>,
        now: Instant,
    ) -> Self {
        Self {
            settings,
            reader,
            writer,
            entry,
            shared,
            since: now,
            names: Names::default(),
            state: State::Idle,
            skipping: false,
            implicit: false,
            ahead: None,
            gathered: Vec::new(),
            gathered_bytes: 0,
        }
    }

    /// Serves the caller until it leaves or the process stops.
    pub async fn serve(mut self: Box<Self>) {
        let shared = Rc::clone(&self.shared);
        let mut stop = pin!(
            async {
                shared.fleet.stopping().await;
                sleep(shared.options.notice).await;
            }
            .fuse()
        );
        loop {
            let frame = match self.wait(stop.as_mut()).await {
                Ok(Some(frame)) => frame,
                Ok(None) => return,
                Err(cause) => {
                    self.end(&cause).await;
                    return;
                }
            };
            let work = match self.sort(frame) {
                Ok(Some(work)) => work,
                Ok(None) => continue,
                Err(cause) => {
                    self.end(&cause).await;
                    return;
                }
            };
            // Boxed, because an idle session must not hold the space that a request needs.
            if Box::pin(self.work(work)).await.is_err() {
                return;
            }
        }
    }

    /// Waits for the next message; `None` when the session is over.
    async fn wait(
        &mut self,
        stop: Pin<&mut impl FusedFuture<Output = ()>>,
    ) -> Result<Option<Frame>, WireError> {
        if let Some(frame) = self.ahead.take() {
            return Ok(Some(frame));
        }
        let boundary =
            matches!(self.state, State::Idle) && self.gathered.is_empty() && !self.skipping;
        if boundary && (stop.is_terminated() || self.shared.is_draining()) {
            self.dismiss().await;
            return Ok(None);
        }
        if let Some(frame) = self.reader.buffered()? {
            return Ok(Some(frame));
        }
        if boundary {
            if let Either::Left((frame, _)) = select(pin!(self.reader.next()), stop).await {
                return frame;
            }
            self.dismiss().await;
            return Ok(None);
        }
        let end = Instant::now() + self.shared.options.stall;
        {
            // A dropped read loses its place, so that the same one is awaited until the end.
            let mut next = pin!(self.reader.next());
            while Instant::now() < end {
                let until = end.min(Instant::now() + KEEPALIVE);
                if let Ok(frame) = timeout_at(until, next.as_mut()).await {
                    return frame;
                }
                if let State::Open(open) = &mut self.state
                    && keep_alive(open).await.is_err()
                {
                    self.state = State::Lost;
                }
            }
        }
        let _closing = self
            .fatal("25P03", "the transaction was idle for too long")
            .await;
        Ok(None)
    }

    async fn dismiss(&mut self) {
        let _closing = self
            .fatal("57P01", "this process is stopping; connect again")
            .await;
    }

    /// Tells the caller why its session ends.
    async fn end(&mut self, cause: &WireError) {
        let _closing = match cause {
            WireError::TooLarge { .. } => self.fatal("54000", &cause.to_string()).await,
            WireError::Malformed(_) => self.fatal("08P01", &cause.to_string()).await,
            WireError::Io(_) | WireError::ConnectionClosed => Disconnected,
        };
    }

    pub(crate) async fn fatal(&mut self, sqlstate: &str, message: &str) -> Disconnected {
        let _encoded = self.writer.message(&reply::fatal(sqlstate, message, ""));
        let _flushed = timeout(self.shared.options.stall, self.writer.flush()).await;
        Disconnected
    }

    /// Gathers a message, or tells what is to be done now.
    fn sort(&mut self, frame: Frame) -> Result<Option<Work>, WireError> {
        if self.skipping && !matches!(frame.tag, b'S' | b'X') {
            return Ok(None);
        }
        if frame.tag == b'Q' {
            return Ok(Some(Work::Query(frame)));
        }
        Ok(match FrontendMessage::parse(&frame)? {
            FrontendMessage::Sync => Some(Work::Sync),
            FrontendMessage::Flush => Some(Work::Flush),
            FrontendMessage::Terminate => Some(Work::Leave),
            // Left over from a COPY that was refused, as the protocol allows.
            FrontendMessage::CopyData(_)
            | FrontendMessage::CopyDone
            | FrontendMessage::CopyFail(_) => None,
            FrontendMessage::Password(_) => {
                return Err(WireError::Malformed("no password was asked for"));
            }
            front => {
                self.gathered_bytes += frame.body.len() + mem::size_of::<FrontendMessage>();
                if self.gathered_bytes > self.settings.message_bytes {
                    return Ok(Some(Work::TooMuch));
                }
                self.gathered.push(front);
                None
            }
        })
    }

    async fn work(&mut self, work: Work) -> Result<(), Disconnected> {
        match work {
            Work::Query(frame) => {
                if !self.gathered.is_empty() {
                    self.batch(false).await?;
                }
                self.query(&frame).await
            }
            Work::Sync => {
                self.skipping = false;
                self.batch(true).await
            }
            Work::Flush => {
                // Drivers that send a Flush before each Sync need no answer in between.
                let next = self.reader.buffered().ok().flatten();
                if next.as_ref().is_some_and(|frame| frame.tag == b'S') {
                    return self.batch(true).await;
                }
                self.ahead = next;
                self.batch(false).await
            }
            Work::TooMuch => {
                self.gathered = Vec::new();
                self.gathered_bytes = 0;
                self.error("54000", "too many messages before a Sync; send it earlier");
                if !matches!(self.state, State::Idle) {
                    self.state = State::Lost;
                }
                self.skipping = true;
                self.flush().await
            }
            Work::Leave => Err(Disconnected),
        }
    }

    /// Carries out the messages that were gathered.
    async fn batch(&mut self, sync: bool) -> Result<(), Disconnected> {
        let fronts = mem::take(&mut self.gathered);
        self.gathered_bytes = 0;
        self.extended(fronts, sync).await
    }

    async fn query(&mut self, frame: &Frame) -> Result<(), Disconnected> {
        let text = match Cursor::new(&frame.body).text() {
            Ok(text) => text,
            Err(cause) => return Err(self.fatal("08P01", &cause.to_string()).await),
        };
        let script = self.shared.classify(text);
        let mut rest = 0;
        for (i, statement) in script.statements.iter().enumerate() {
            let Some(known) = self.local_kind(&statement.kind) else {
                if script.statements[i..]
                    .iter()
                    .any(|statement| self.local_kind(&statement.kind).is_some())
                {
                    self.error(
                        "0A000",
                        "not run: statements about the session of the proxy must come first in a text",
                    );
                    return self.ready().await;
                }
                break;
            };
            match self.run_local(&known, true) {
                Ok(messages) => self.writer.bytes(&messages),
                Err((sqlstate, message)) => {
                    self.error(sqlstate, &message);
                    return self.ready().await;
                }
            }
            rest = i + 1;
        }
        let Some(first) = script.statements.get(rest) else {
            if script.statements.is_empty() {
                self.writer.parts(b'I', &[]);
            }
            return self.ready().await;
        };
        if matches!(self.state, State::Lost) {
            self.error(ABORTED.0, ABORTED.1);
            return self.ready().await;
        }
        if let Some((sqlstate, message)) = refused(&script) {
            self.error(sqlstate, &message);
            return self.ready().await;
        }
        let service = match self.service() {
            Ok(service) => service,
            Err(refusal) => {
                self.error(refusal.sqlstate(), &refusal.to_string());
                return self.ready().await;
            }
        };
        let meaning = Meaning::of(&script, rest, text, &service.non_idempotent);
        if rest == 0 {
            self.perform(&Request::Simple(&frame.body), meaning).await
        } else {
            let tail = &frame.body[first.range.start..];
            self.perform(&Request::Simple(tail), meaning).await
        }
    }

    /// The statement as one that is answered here, if it is.
    pub(crate) fn local_kind(&self, kind: &Kind) -> Option<Kind> {
        let known = match kind {
            Kind::Set {
                name, local: false, ..
            } if name == APPLICATION => !matches!(self.state, State::Lost),
            Kind::Set { name, value, .. } => {
                let usual = || {
                    value
                        .as_deref()
                        .is_some_and(|value| parameters::is_usual(name, value))
                };
                parameters::is_own(name) || matches!(self.state, State::Idle) && usual()
            }
            Kind::Show(name) if name == APPLICATION => !matches!(self.state, State::Lost),
            Kind::Show(name) if parameters::WRITABLE.contains(&name.as_str()) => {
                let changed = |(set, _): &(String, String)| set == parameters::READ_ONLY;
                matches!(self.state, State::Idle) && !self.settings.sets.iter().any(changed)
            }
            Kind::Show(name) => parameters::is_own(name),
            Kind::Release("CLOSE CURSOR ALL") => !matches!(self.state, State::Open(_)),
            Kind::Deallocate(_) | Kind::Discard | Kind::Release(_) => true,
            Kind::Commit | Kind::Rollback => matches!(self.state, State::Lost),
            _ => false,
        };
        known.then(|| kind.clone())
    }

    /// Runs a statement that is answered here, and returns its answer.
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
            } if name == APPLICATION => {
                self.settings.application.set(value.as_deref());
                let report = reply::parameter_status(name, &self.settings.application.now);
                let mut out = BytesMut::new();
                let _short = report.encode(&mut out);
                let tag = if value.is_some() { "SET" } else { "RESET" };
                out.extend(message(b'C', format!("{tag}\0").as_bytes()));
                return Ok(out.into());
            }
            Kind::Set { name, .. } if !parameters::is_own(name) => {
                self.settings.keep(&[(name.clone(), None)]);
                "SET"
            }
            Kind::Set { name, value, .. } => {
                self.settings.parameters.set(name, value.as_deref())?;
                if value.is_some() { "SET" } else { "RESET" }
            }
            Kind::Show(name) if name == APPLICATION => {
                let value = &self.settings.application.now;
                return Ok(row(describe.then_some(name), value, "SHOW"));
            }
            Kind::Show(name) if parameters::WRITABLE.contains(&name.as_str()) => {
                return Ok(row(describe.then_some(name), "off", "SHOW"));
            }
            Kind::Show(name) => {
                let value = self.settings.parameters.show(name)?;
                return Ok(row(describe.then_some(name), &value, "SHOW"));
            }
            Kind::Release("SELECT 1") => {
                let name = "pg_advisory_unlock_all";
                return Ok(row(describe.then_some(name), "", "SELECT 1"));
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
                self.settings.keep(&[("all".to_owned(), None)]);
                "DISCARD ALL"
            }
            _ => {
                self.state = State::Idle;
                "ROLLBACK"
            }
        };
        Ok(message(b'C', format!("{tag}\0").as_bytes()))
    }

    /// Adds an error to the answer.
    pub(crate) fn error(&mut self, sqlstate: &str, message: &str) {
        let _encoded = self.writer.message(&reply::error(sqlstate, message, ""));
    }

    /// Transaction status that the caller sees.
    pub(crate) fn status(&self) -> u8 {
        match &self.state {
            State::Idle => b'I',
            State::Open(open) => open.status,
            State::Lost => b'E',
            State::Replay(_) => b'T',
        }
    }

    /// Ends the answer to a `Query` or `Sync`.
    pub(crate) async fn ready(&mut self) -> Result<(), Disconnected> {
        if mem::take(&mut self.implicit) {
            self.end_implicit().await?;
        }
        let status = self.status();
        if status == b'I' {
            self.names.portals = Vec::new();
        }
        self.writer.parts(b'Z', &[status]);
        self.flush().await
    }

    pub(crate) async fn flush(&mut self) -> Result<(), Disconnected> {
        let stall = self.shared.options.stall;
        match flush_by(&mut self.writer, Instant::now() + stall).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(Disconnected),
        }
    }
}

/// Keeps the transaction on an upstream from ending as idle, and notices when it has ended or its
/// connection was lost.
async fn keep_alive<L: Lease>(open: &mut Open<L>) -> Result<(), WireError> {
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
    timeout(KEEPALIVE, exchange)
        .await
        .unwrap_or(Err(WireError::ConnectionClosed))
}

/// Error of a statement in a transaction that failed.
pub(crate) const ABORTED: (&str, &str) = (
    "25P02",
    "current transaction is aborted, commands ignored until end of transaction block",
);

/// Why a text is refused whatever the service says.
pub(crate) fn refused(script: &Script) -> Option<(&'static str, String)> {
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

/// Answer with one row of one text, described under a name if there is one.
fn row(name: Option<impl AsRef<str>>, value: &str, tag: &str) -> Vec<u8> {
    let mut out = name.map(|name| columns(name.as_ref())).unwrap_or_default();
    let mut body = vec![0, 1];
    let length = i32::try_from(value.len()).unwrap_or_default();
    body.extend_from_slice(&length.to_be_bytes());
    body.extend_from_slice(value.as_bytes());
    out.extend(message(b'D', &body));
    out.extend(message(b'C', format!("{tag}\0").as_bytes()));
    out
}

/// Description of a row of one text.
pub(crate) fn columns(name: &str) -> Vec<u8> {
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
    message(b'T', &body)
}
