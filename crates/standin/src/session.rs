//! A session over the PostgreSQL protocol, from its login to its end.

use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{Map, Position};
use bytes::{Bytes, BytesMut};
use futures_util::future::{Either, select};
use wire::{
    FrontendMessage, Reader, Target, WireError, Writer, pg::response::TransactionStatus, reply,
};

use crate::{
    answer,
    command::Command,
    eval::Scope,
    exec::{self, Outcome, Rows, Work},
    manage::Order,
    member::{Handle, Member},
    prepared::{Formats, Portal, Prepared},
    refusal::Refusal,
    tx::{Tx, read_only},
    types::{self, Field},
    value::{Type, Value},
};

/// Version reported to clients.
pub const VERSION: &str = "16.0 (goldcrestrail stand-in)";
/// Bytes of answers gathered before they are written.
const ANSWER_BYTES: usize = 64 << 10;
/// Prepared statements and portals of a session, together.
const NAMES: usize = 10_000;

/// A session for statements, of data or of the management.
pub(crate) struct Session {
    member: Rc<Member>,
    reader: Reader,
    pub(crate) writer: Writer,
    handle: Rc<Handle>,
    managing: bool,
    statements: Map<String, Rc<Prepared>>,
    portals: Map<String, Portal>,
    variables: Map<String, String>,
    /// Parameters of the login, to which a reset goes back.
    defaults: Map<String, String>,
    tx: Option<Tx>,
    /// After an error in an extended query, until Sync.
    skipping: bool,
    /// Whether all answers so far belong to finished batches. Others are kept until Sync or Flush,
    /// so that no client sees a command complete before its transaction is committed.
    settled: bool,
    /// Position that the last statement saw.
    seen: Option<Position>,
    /// Position last reported.
    reported: Option<Position>,
    scratch: BytesMut,
}

impl Session {
    /// Session after its login. `defaults` are the parameters of the login.
    pub(crate) fn new(
        member: Rc<Member>,
        reader: Reader,
        writer: Writer,
        handle: Rc<Handle>,
        managing: bool,
        defaults: Map<String, String>,
    ) -> Self {
        Self {
            member,
            reader,
            writer,
            handle,
            managing,
            statements: Map::default(),
            portals: Map::default(),
            variables: defaults.clone(),
            defaults,
            tx: None,
            skipping: false,
            settled: true,
            seen: None,
            reported: None,
            scratch: BytesMut::new(),
        }
    }

    /// Serves until the session ends.
    pub(crate) async fn run(&mut self) -> Result<(), WireError> {
        loop {
            let frame = match self.reader.buffered()? {
                Some(frame) if self.writer.pending_len() < ANSWER_BYTES => Some(frame),
                Some(frame) => {
                    self.writer.flush().await?;
                    Some(frame)
                }
                None => {
                    if self.settled {
                        self.writer.flush().await?;
                    }
                    match self.wait().await? {
                        Either::Left(frame) => frame,
                        Either::Right(()) => {
                            let message = "terminating connection due to administrator command";
                            self.writer.message(&reply::fatal("57P01", message, ""))?;
                            return self.writer.flush().await;
                        }
                    }
                }
            };
            let Some(frame) = frame else {
                return Ok(());
            };
            self.member.faults.thaw().await;
            let front = FrontendMessage::parse(&frame)?;
            if self.skipping && !matches!(front, FrontendMessage::Sync | FrontendMessage::Terminate)
            {
                continue;
            }
            if front == FrontendMessage::Terminate {
                return Ok(());
            }
            self.settled = false;
            if let Err(refusal) = self.handle(front).await? {
                self.fail(&refusal)?;
                self.skipping = true;
            }
            self.member.faults.thaw().await;
        }
    }

    /// Waits for a message, or for the end of the process while no transaction is open.
    async fn wait(&mut self) -> Result<Either<Option<wire::Frame>, ()>, WireError> {
        let idle = self.tx.is_none() && !self.skipping && !self.reader.has_bytes();
        if !idle {
            let Some(limit) = self.idle_limit() else {
                return self.reader.next().await.map(Either::Left);
            };
            return match compio::time::timeout(limit, self.reader.next()).await {
                Ok(frame) => frame.map(Either::Left),
                Err(_elapsed) => {
                    self.tx = None;
                    let message = "terminating connection due to idle-in-transaction timeout";
                    self.writer.message(&reply::fatal("25P03", message, ""))?;
                    self.writer.flush().await?;
                    Ok(Either::Left(None))
                }
            };
        }
        // A dropped read loses its place, so that the same one is awaited until the end.
        let mut next = pin!(self.reader.next());
        loop {
            let stop = self.member.stop.listen();
            if self.member.closing.get() {
                return Ok(Either::Right(()));
            }
            if let Either::Left((frame, _stop)) = select(next.as_mut(), stop).await {
                return frame.map(Either::Left);
            }
        }
    }

    /// Longest wait for a message within a transaction.
    fn idle_limit(&self) -> Option<Duration> {
        let in_block = self.tx.as_ref().is_some_and(|tx| tx.block);
        let limit = self.variables.get("idle_in_transaction_session_timeout");
        let millis = limit.and_then(|limit| limit.parse().ok()).unwrap_or(0);
        (in_block && millis > 0).then(|| Duration::from_millis(millis))
    }

    /// Handles one message; a refusal of an extended query skips the rest up to Sync.
    async fn handle(&mut self, front: FrontendMessage) -> Result<Result<(), Refusal>, WireError> {
        Ok(match front {
            FrontendMessage::Query(sql) => {
                self.query(&sql).await?;
                Ok(())
            }
            FrontendMessage::Parse { name, query, types } => self.parse(name, &query, &types),
            FrontendMessage::Bind {
                portal,
                statement,
                rest,
            } => self.bind(portal, &statement, &rest),
            FrontendMessage::Describe(target) => self.describe(&target),
            FrontendMessage::Close(target) => {
                match target {
                    Target::Statement(name) => drop(self.statements.remove(&name)),
                    Target::Portal(name) => drop(self.portals.remove(&name)),
                }
                self.writer.parts(b'3', &[]);
                Ok(())
            }
            FrontendMessage::Execute { portal, rows } => self.execute(portal, rows).await?,
            FrontendMessage::Flush => {
                self.writer.flush().await?;
                Ok(())
            }
            FrontendMessage::Sync => {
                self.skipping = false;
                self.finish()?;
                Ok(())
            }
            FrontendMessage::Terminate
            | FrontendMessage::CopyData(_)
            | FrontendMessage::CopyDone
            | FrontendMessage::CopyFail(_) => Ok(()),
            FrontendMessage::Password(_) => {
                return Err(WireError::Malformed("a password was not asked for"));
            }
        })
    }

    async fn query(&mut self, sql: &str) -> Result<(), WireError> {
        if let Err(refusal) = self.simple(sql).await? {
            self.fail(&refusal)?;
        }
        self.finish()
    }

    async fn simple(&mut self, sql: &str) -> Result<Result<(), Refusal>, WireError> {
        if self.managing {
            match Order::parse(sql) {
                Ok(None) => {}
                Ok(Some(order)) => {
                    return match order.run(&self.member) {
                        Ok(outcome) => self.answer(&outcome).await.map(Ok),
                        Err(refusal) => Ok(Err(refusal)),
                    };
                }
                Err(refusal) => return Ok(Err(refusal)),
            }
        }
        let commands = match self.member.parse(sql) {
            Ok(commands) => commands,
            Err(refusal) => return Ok(Err(refusal)),
        };
        if commands.is_empty() {
            self.writer.parts(b'I', &[]);
        }
        for command in &*commands {
            match self.statement(command, &[], &[]).await {
                Ok(outcome) => self.answer(&outcome).await?,
                Err(refusal) => return Ok(Err(refusal)),
            }
        }
        Ok(Ok(()))
    }

    async fn answer(&mut self, outcome: &Outcome) -> Result<(), WireError> {
        let Some(rows) = &outcome.rows else {
            return self.writer.message(&reply::command_complete(&outcome.tag));
        };
        let formats = Formats::default();
        answer::description(&mut self.writer, &rows.fields, &formats);
        let tag = counted(&outcome.tag, rows.rows.len());
        self.rows(rows, 0..rows.rows.len(), &formats).await?;
        self.writer.message(&reply::command_complete(&tag))
    }

    async fn rows(
        &mut self,
        rows: &Rows,
        range: std::ops::Range<usize>,
        formats: &Formats,
    ) -> Result<(), WireError> {
        for i in range {
            answer::row(&mut self.writer, rows, i, formats, &mut self.scratch);
            if self.writer.pending_len() >= ANSWER_BYTES {
                self.writer.flush().await?;
            }
        }
        Ok(())
    }

    /// Reports an error; a transaction block fails, a transaction without block is rolled back.
    fn fail(&mut self, refusal: &Refusal) -> Result<(), WireError> {
        let metrics = &self.member.metrics;
        metrics.errors.with_label_values(&[refusal.state]).inc();
        match &mut self.tx {
            Some(tx) if tx.block => {
                tx.failed = true;
                tx.held = None;
            }
            _ => self.tx = None,
        }
        self.writer
            .message(&reply::error(refusal.state, &refusal.message, ""))
    }

    /// Ends a message or a batch: commits what has no block, reports the position and readiness.
    fn finish(&mut self) -> Result<(), WireError> {
        if self.tx.as_ref().is_some_and(|tx| !tx.block)
            && let Err(refusal) = self.commit()
        {
            self.fail(&refusal)?;
        }
        if self.tx.is_none() {
            self.portals.clear();
        }
        if let Some(seen) = self.seen
            && self.reported != self.seen
            && !self.managing
        {
            self.reported = self.seen;
            self.writer.message(&reply::parameter_status(
                "upstream_position",
                &seen.to_string(),
            ))?;
        }
        let status = match &self.tx {
            None => TransactionStatus::Idle,
            Some(tx) if tx.failed => TransactionStatus::Error,
            Some(_) => TransactionStatus::Transaction,
        };
        self.settled = true;
        self.writer.message(&reply::ready_for_query(status))
    }

    fn commit(&mut self) -> Result<(), Refusal> {
        let Some(tx) = self.tx.take() else {
            return Ok(());
        };
        let mut store = self.member.store.borrow_mut();
        if tx.commit(&mut store)? {
            self.seen = Some(store.position());
            drop(store);
            self.member.metrics.commits.inc();
            self.member.announce_change();
        }
        Ok(())
    }

    fn parse(&mut self, name: String, sql: &str, oids: &[i32]) -> Result<(), Refusal> {
        if !name.is_empty() && self.statements.contains_key(&name) {
            let message = format!("prepared statement \"{name}\" already exists");
            return Err(Refusal::new("42P05", message));
        }
        if self.statements.len() + self.portals.len() >= NAMES {
            return Err(Refusal::new("54000", "too many prepared statements"));
        }
        let commands = self.member.parse(sql)?;
        let command = match &*commands {
            [] => None,
            [command] => Some(Rc::clone(command)),
            _ => {
                let message = "cannot insert multiple commands into a prepared statement";
                return Err(Refusal::new("42601", message));
            }
        };
        if let Some(command) = &command {
            self.check_failed(command)?;
        }
        let given = oids
            .iter()
            .map(|oid| Type::from_oid(*oid))
            .collect::<Result<Vec<_>, _>>()?;
        let types = match &command {
            Some(command) => {
                self.with_tables(|tables| types::parameters(command, tables, &given))?
            }
            None => Vec::new(),
        };
        self.statements
            .insert(name, Rc::new(Prepared { command, types }));
        self.writer.parts(b'1', &[]);
        Ok(())
    }

    fn with_tables<T>(&self, f: impl FnOnce(&crate::table::Tables) -> T) -> T {
        match self.tx.as_ref().and_then(Tx::tables) {
            Some(tables) => f(tables),
            None => f(self.member.store.borrow().tables()),
        }
    }

    fn check_failed(&self, command: &Command) -> Result<(), Refusal> {
        if self.tx.as_ref().is_some_and(|tx| tx.failed)
            && !matches!(command, Command::Commit | Command::Rollback)
        {
            let message =
                "current transaction is aborted, commands ignored until end of transaction block";
            return Err(Refusal::new("25P02", message));
        }
        Ok(())
    }

    fn bind(&mut self, portal: String, statement: &str, rest: &Bytes) -> Result<(), Refusal> {
        let prepared = self.prepared(statement)?;
        if let Some(command) = &prepared.command {
            self.check_failed(command)?;
        }
        if !portal.is_empty() && self.portals.contains_key(&portal) {
            let message = format!("cursor \"{portal}\" already exists");
            return Err(Refusal::new("42P03", message));
        }
        let bound = Portal::bind(&prepared, rest)?;
        self.portals.insert(portal, bound);
        self.writer.parts(b'2', &[]);
        Ok(())
    }

    fn prepared(&self, name: &str) -> Result<Rc<Prepared>, Refusal> {
        self.statements.get(name).cloned().ok_or_else(|| {
            Refusal::new(
                "26000",
                format!("prepared statement \"{name}\" does not exist"),
            )
        })
    }

    fn describe(&mut self, target: &Target) -> Result<(), Refusal> {
        let (prepared, formats) = match target {
            Target::Statement(name) => {
                let prepared = self.prepared(name)?;
                answer::parameters(&mut self.writer, &prepared.types);
                (prepared, Formats::default())
            }
            Target::Portal(name) => {
                let portal = self.portals.get(name).ok_or_else(|| no_portal(name))?;
                (Rc::clone(&portal.statement), portal.formats.clone())
            }
        };
        match self.fields(&prepared)? {
            Some(fields) => answer::description(&mut self.writer, &fields, &formats),
            None => self.writer.parts(b'n', &[]),
        }
        Ok(())
    }

    fn fields(&self, prepared: &Prepared) -> Result<Option<Vec<Field>>, Refusal> {
        match &prepared.command {
            Some(command) => {
                self.with_tables(|tables| types::fields(command, tables, &prepared.types))
            }
            None => Ok(None),
        }
    }

    async fn execute(&mut self, name: String, most: i32) -> Result<Result<(), Refusal>, WireError> {
        // The portal is out of the map while it runs, and goes back unless it failed.
        let Some(mut portal) = self.portals.remove(&name) else {
            return Ok(Err(no_portal(&name)));
        };
        let Some(command) = portal.statement.command.clone() else {
            self.writer.parts(b'I', &[]);
            self.portals.insert(name, portal);
            return Ok(Ok(()));
        };
        if portal.tag.is_none() {
            let types = Rc::clone(&portal.statement);
            let outcome = self.statement(&command, &portal.params, &types.types).await;
            match outcome {
                Ok(outcome) => {
                    portal.rest = outcome.rows.map(|rows| (rows, 0));
                    portal.tag = Some(outcome.tag);
                }
                Err(refusal) => return Ok(Err(refusal)),
            }
        }
        let tag = portal.tag.clone().unwrap_or_default();
        if let Some((rows, sent)) = &mut portal.rest {
            let left = rows.rows.len() - *sent;
            let count = usize::try_from(most)
                .ok()
                .filter(|most| *most > 0)
                .map_or(left, |most| most.min(left));
            self.rows(rows, *sent..*sent + count, &portal.formats)
                .await?;
            *sent += count;
            if *sent < rows.rows.len() {
                self.writer.parts(b's', &[]);
            } else {
                self.writer
                    .message(&reply::command_complete(&counted(&tag, count)))?;
            }
        } else {
            self.writer.message(&reply::command_complete(&tag))?;
        }
        // COMMIT and ROLLBACK end every portal, this one included.
        if self.tx.is_some() {
            self.portals.insert(name, portal);
        }
        Ok(Ok(()))
    }

    /// Runs one statement.
    async fn statement(
        &mut self,
        command: &Rc<Command>,
        params: &[Value],
        types: &[Type],
    ) -> Result<Outcome, Refusal> {
        self.check_failed(command)?;
        let metrics = &self.member.metrics;
        metrics
            .statements
            .with_label_values(&[command.verb()])
            .inc();
        match &**command {
            Command::Begin(read_only) => {
                let tx = self.tx.get_or_insert_default();
                tx.block = true;
                tx.read_only |= *read_only;
                Ok(Outcome::tag("BEGIN"))
            }
            Command::Commit if self.tx.as_ref().is_some_and(|tx| tx.failed) => {
                self.tx = None;
                Ok(Outcome::tag("ROLLBACK"))
            }
            Command::Commit => self.commit().map(|()| Outcome::tag("COMMIT")),
            Command::Rollback => {
                self.tx = None;
                Ok(Outcome::tag("ROLLBACK"))
            }
            Command::Set(name, value) => {
                match value {
                    Some(value) => self.variables.insert(name.clone(), value.clone()),
                    None => match self.defaults.get(name) {
                        Some(value) => self.variables.insert(name.clone(), value.clone()),
                        None => self.variables.remove(name),
                    },
                };
                Ok(Outcome::tag("SET"))
            }
            Command::Show(name) => self.show(name),
            Command::Discard => {
                if self.tx.as_ref().is_some_and(|tx| tx.block) {
                    let message = "DISCARD ALL cannot run inside a transaction block";
                    return Err(Refusal::new("25001", message));
                }
                self.statements.clear();
                self.portals.clear();
                self.variables.clone_from(&self.defaults);
                Ok(Outcome::tag("DISCARD ALL"))
            }
            Command::ResetAll => {
                self.variables.clone_from(&self.defaults);
                Ok(Outcome::tag("RESET"))
            }
            Command::Deallocate(name) => {
                match name {
                    Some(name) => drop(self.statements.remove(name)),
                    None => self.statements.clear(),
                }
                Ok(Outcome::tag("DEALLOCATE"))
            }
            _ => self.on_tables(command, params, types).await,
        }
    }

    fn show(&self, name: &str) -> Result<Outcome, Refusal> {
        let value = match (self.variables.get(name), name) {
            (Some(value), _) => value.as_str(),
            (None, "server_version") => VERSION,
            (None, "server_encoding" | "client_encoding") => "UTF8",
            (None, "standard_conforming_strings" | "integer_datetimes") => "on",
            (None, "transaction_isolation" | "default_transaction_isolation") => "serializable",
            (None, "transaction_read_only") => {
                let read_only = self.tx.as_ref().is_some_and(|tx| tx.read_only)
                    || !self.member.store.borrow().is_primary();
                if read_only { "on" } else { "off" }
            }
            (None, "timezone") => "UTC",
            (None, "search_path" | "application_name") => "",
            (None, _) => {
                let message = format!("unrecognized configuration parameter \"{name}\"");
                return Err(Refusal::new("42704", message));
            }
        };
        Ok(Outcome {
            tag: "SHOW".to_owned(),
            rows: Some(Rows {
                fields: vec![Field::new(name, Type::Text)],
                rows: vec![vec![Value::text(value)]],
            }),
        })
    }

    /// Runs a statement that reads or writes tables, in a slot.
    async fn on_tables(
        &mut self,
        command: &Command,
        params: &[Value],
        types: &[Type],
    ) -> Result<Outcome, Refusal> {
        let member = Rc::clone(&self.member);
        let writes = command.writes();
        let first = self.tx.as_ref().is_none_or(|tx| tx.block);
        let tx = self.tx.get_or_insert_default();
        let is_primary = member.store.borrow().is_primary();
        if writes && (tx.read_only || tx.snapshot.is_some() || !is_primary) {
            return Err(read_only(command.verb()));
        }
        if tx.block && tx.held.is_none() && (tx.read_only || !is_primary) && tx.snapshot.is_none() {
            tx.snapshot = Some(member.store.borrow().snapshot());
        }
        let locking = matches!(command, Command::Select(select) if select.update);
        let need = if tx.snapshot.is_none() && (writes || locking || tx.block) {
            let store = member.store.borrow();
            exec::need(command, tx.tables().unwrap_or(store.tables()), params)
        } else {
            None
        };
        if need.is_some() {
            tx.enter(member.store.borrow().epoch());
        }
        let mut pause = if self.managing {
            Duration::ZERO
        } else {
            member.cost()
        };
        if let Command::Sleep(seconds) = command {
            pause += duration(&Scope::bare(params).eval(seconds)?)?;
        }
        let free = match &need {
            Some(need) => {
                let held = tx.held.get_or_insert_with(|| member.locks.owner());
                held.take(need)?.is_none()
            }
            None => true,
        };
        let mut slot = (free && !self.managing)
            .then(|| member.slots.take())
            .flatten();
        if !free || (slot.is_none() && !self.managing) || !pause.is_zero() {
            // Answers to earlier batches must not wait for this statement.
            if first && let Err(cause) = self.writer.flush().await {
                return Err(Refusal::new("08006", cause.to_string()));
            }
            let exempt = self.managing;
            let waiting = async {
                if let (false, Some(need), Some(held)) = (free, &need, &mut tx.held) {
                    held.wait(need).await?;
                }
                if slot.is_none() && !exempt {
                    slot = Some(member.slots.wait().await);
                }
                if !pause.is_zero() {
                    compio::time::sleep_until(Instant::now() + pause).await;
                }
                Ok::<_, Refusal>(slot)
            };
            let cancel = self.handle.cancel.listen();
            slot = match select(pin!(waiting), cancel).await {
                Either::Left((slot, _cancel)) => slot?,
                Either::Right(_) => {
                    let message = "canceling statement due to user request";
                    return Err(Refusal::new("57014", message));
                }
            };
        }
        let outcome = {
            let mut store = member.store.borrow_mut();
            if writes && !store.is_primary() {
                return Err(read_only(command.verb()));
            }
            tx.check(&store)?;
            self.seen = Some(
                tx.snapshot
                    .as_ref()
                    .map_or_else(|| store.position(), |snapshot| snapshot.position),
            );
            if let Command::Sleep(_) = command {
                Ok(slept())
            } else if let Some(snapshot) = &tx.snapshot {
                on_copy(&snapshot.tables, command, params, types)
            } else if !writes && tx.tables().is_none() {
                on_copy(store.tables(), command, params, types)
            } else {
                let mut next_row = *store.next_row();
                let work = tx.refresh(&store);
                let outcome = work.run(command, params, types, &mut next_row);
                *store.next_row() = next_row;
                outcome
            }
        };
        drop(slot);
        outcome
    }
}

fn on_copy(
    tables: &crate::table::Tables,
    command: &Command,
    params: &[Value],
    types: &[Type],
) -> Result<Outcome, Refusal> {
    let mut work = Work {
        tables: tables.clone(),
        changes: Vec::new(),
    };
    work.run(command, params, types, &mut 0)
}

fn slept() -> Outcome {
    Outcome {
        tag: "SELECT".to_owned(),
        rows: Some(Rows {
            fields: vec![Field::new("pg_sleep", Type::Void)],
            rows: vec![vec![Value::text("")]],
        }),
    }
}

fn duration(value: &Value) -> Result<Duration, Refusal> {
    let seconds: f64 = match value {
        Value::Null => 0.0,
        value => match value.clone().cast(Type::Float8)? {
            Value::Text(text) => text.parse().unwrap_or_default(),
            _ => 0.0,
        },
    };
    Duration::try_from_secs_f64(seconds.max(0.0))
        .map_err(|_range| Refusal::new("22003", "pg_sleep is out of range"))
}

fn no_portal(name: &str) -> Refusal {
    Refusal::new("34000", format!("portal \"{name}\" does not exist"))
}

/// Command tag with the count of returned rows where PostgreSQL gives one.
fn counted(tag: &str, rows: usize) -> String {
    if tag == "SELECT" {
        format!("SELECT {rows}")
    } else {
        tag.to_owned()
    }
}
