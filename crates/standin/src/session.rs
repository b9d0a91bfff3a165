//! A PostgreSQL protocol session after login.

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
    command::Command,
    eval::Scope,
    exec::{self, Outcome, Rows, Workspace},
    management::ManagementCommand,
    member::{Member, SessionHandle},
    prepared::{Formats, Portal, Prepared},
    response,
    sql_error::SqlError,
    tx::{Tx, read_only_error},
    types::{self, Field},
    value::{Type, Value},
};

/// Version reported to clients.
pub const VERSION: &str = "16.0 (goldcrestrail stand-in)";
/// Buffered response bytes that trigger a flush.
const RESPONSE_BYTES: usize = 64 << 10;
/// Maximum number of prepared statements and portals of a session, taken together.
const MAX_NAMES: usize = 10_000;

/// State of one data or management session.
pub(crate) struct Session {
    member: Rc<Member>,
    reader: Reader,
    pub(crate) writer: Writer,
    handle: Rc<SessionHandle>,
    is_management: bool,
    statements: Map<String, Rc<Prepared>>,
    portals: Map<String, Portal>,
    variables: Map<String, String>,
    /// Startup parameters, restored by RESET and DISCARD ALL.
    defaults: Map<String, String>,
    tx: Option<Tx>,
    /// Set after an error in an extended query: messages are ignored until Sync.
    skip_until_sync: bool,
    /// Whether every buffered response belongs to a finished batch. Responses of an open batch are
    /// held back until Sync or Flush, so that no client sees a command complete before its
    /// transaction is committed.
    batch_finished: bool,
    /// Log position at which the last statement ran.
    seen_position: Option<Position>,
    /// Log position last reported to the client.
    reported_position: Option<Position>,
    scratch: BytesMut,
}

impl Session {
    /// Creates a session after login; `defaults` are its startup parameters.
    pub(crate) fn new(
        member: Rc<Member>,
        reader: Reader,
        writer: Writer,
        handle: Rc<SessionHandle>,
        is_management: bool,
        defaults: Map<String, String>,
    ) -> Self {
        Self {
            member,
            reader,
            writer,
            handle,
            is_management,
            statements: Map::default(),
            portals: Map::default(),
            variables: defaults.clone(),
            defaults,
            tx: None,
            skip_until_sync: false,
            batch_finished: true,
            seen_position: None,
            reported_position: None,
            scratch: BytesMut::new(),
        }
    }

    /// Handles messages until the session ends.
    pub(crate) async fn run(&mut self) -> Result<(), WireError> {
        loop {
            let frame = match self.reader.buffered()? {
                Some(frame) if self.writer.pending_len() < RESPONSE_BYTES => Some(frame),
                Some(frame) => {
                    self.writer.flush().await?;
                    Some(frame)
                }
                None => {
                    if self.batch_finished {
                        self.writer.flush().await?;
                    }
                    match self.next_message().await? {
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
            self.member.faults.wait_unfrozen().await;
            let front = FrontendMessage::parse(&frame)?;
            if self.skip_until_sync
                && !matches!(front, FrontendMessage::Sync | FrontendMessage::Terminate)
            {
                continue;
            }
            if front == FrontendMessage::Terminate {
                return Ok(());
            }
            self.batch_finished = false;
            if let Err(error) = self.handle(front).await? {
                self.report_error(&error)?;
                self.skip_until_sync = true;
            }
            self.member.faults.wait_unfrozen().await;
        }
    }

    /// Waits for the next message; outside a transaction also for the shutdown of the process.
    async fn next_message(&mut self) -> Result<Either<Option<wire::Frame>, ()>, WireError> {
        let idle = self.tx.is_none() && !self.skip_until_sync && !self.reader.has_bytes();
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
        // The read is not cancel-safe, so one future is polled across wake-ups.
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

    /// Timeout for the next message within a transaction block, if one is set.
    fn idle_limit(&self) -> Option<Duration> {
        let in_block = self.tx.as_ref().is_some_and(|tx| tx.explicit);
        let limit = self.variables.get("idle_in_transaction_session_timeout");
        let millis = limit.and_then(|limit| limit.parse().ok()).unwrap_or(0);
        (in_block && millis > 0).then(|| Duration::from_millis(millis))
    }

    /// Handles one message. After an SQL error in an extended query the caller skips messages up to
    /// Sync.
    async fn handle(&mut self, front: FrontendMessage) -> Result<Result<(), SqlError>, WireError> {
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
                self.skip_until_sync = false;
                self.finish_batch()?;
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
        if let Err(error) = self.run_simple_query(sql).await? {
            self.report_error(&error)?;
        }
        self.finish_batch()
    }

    async fn run_simple_query(&mut self, sql: &str) -> Result<Result<(), SqlError>, WireError> {
        if self.is_management {
            match ManagementCommand::parse(sql) {
                Ok(None) => {}
                Ok(Some(command)) => {
                    return match command.run(&self.member) {
                        Ok(outcome) => self.answer(&outcome).await.map(Ok),
                        Err(error) => Ok(Err(error)),
                    };
                }
                Err(error) => return Ok(Err(error)),
            }
        }
        let commands = match self.member.parse(sql) {
            Ok(commands) => commands,
            Err(error) => return Ok(Err(error)),
        };
        if commands.is_empty() {
            self.writer.parts(b'I', &[]);
        }
        for command in &*commands {
            match self.statement(command, &[], &[]).await {
                Ok(outcome) => self.answer(&outcome).await?,
                Err(error) => return Ok(Err(error)),
            }
        }
        Ok(Ok(()))
    }

    async fn answer(&mut self, outcome: &Outcome) -> Result<(), WireError> {
        let Some(rows) = &outcome.rows else {
            return self.writer.message(&reply::command_complete(&outcome.tag));
        };
        let formats = Formats::default();
        response::description(&mut self.writer, &rows.fields, &formats);
        let tag = tag_with_count(&outcome.tag, rows.rows.len());
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
            response::row(&mut self.writer, rows, i, formats, &mut self.scratch);
            if self.writer.pending_len() >= RESPONSE_BYTES {
                self.writer.flush().await?;
            }
        }
        Ok(())
    }

    /// Reports an error; aborts an explicit transaction block and rolls back an implicit
    /// transaction.
    fn report_error(&mut self, error: &SqlError) -> Result<(), WireError> {
        let metrics = &self.member.metrics;
        metrics.errors.with_label_values(&[error.state]).inc();
        match &mut self.tx {
            Some(tx) if tx.explicit => {
                tx.failed = true;
                tx.locks = None;
            }
            _ => self.tx = None,
        }
        self.writer
            .message(&reply::error(error.state, &error.message, ""))
    }

    /// Ends a simple query or a batch: commits an implicit transaction, then reports the log
    /// position and `ReadyForQuery`.
    fn finish_batch(&mut self) -> Result<(), WireError> {
        if self.tx.as_ref().is_some_and(|tx| !tx.explicit)
            && let Err(error) = self.commit()
        {
            self.report_error(&error)?;
        }
        if self.tx.is_none() {
            self.portals.clear();
        }
        if let Some(seen) = self.seen_position
            && self.reported_position != self.seen_position
            && !self.is_management
        {
            self.reported_position = self.seen_position;
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
        self.batch_finished = true;
        self.writer.message(&reply::ready_for_query(status))
    }

    fn commit(&mut self) -> Result<(), SqlError> {
        let Some(tx) = self.tx.take() else {
            return Ok(());
        };
        let mut store = self.member.store.borrow_mut();
        if tx.commit(&mut store)? {
            self.seen_position = Some(store.position());
            drop(store);
            self.member.metrics.commits.inc();
            self.member.notify_change();
        }
        Ok(())
    }

    fn parse(&mut self, name: String, sql: &str, oids: &[i32]) -> Result<(), SqlError> {
        if !name.is_empty() && self.statements.contains_key(&name) {
            let message = format!("prepared statement \"{name}\" already exists");
            return Err(SqlError::new("42P05", message));
        }
        if self.statements.len() + self.portals.len() >= MAX_NAMES {
            return Err(SqlError::new("54000", "too many prepared statements"));
        }
        let commands = self.member.parse(sql)?;
        let command = match &*commands {
            [] => None,
            [command] => Some(Rc::clone(command)),
            _ => {
                let message = "cannot insert multiple commands into a prepared statement";
                return Err(SqlError::new("42601", message));
            }
        };
        if let Some(command) = &command {
            self.check_not_aborted(command)?;
        }
        let given = oids
            .iter()
            .map(|oid| Type::from_oid(*oid))
            .collect::<Result<Vec<_>, _>>()?;
        let types = match &command {
            Some(command) => {
                self.with_tables(|tables| types::parameter_types(command, tables, &given))?
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

    fn check_not_aborted(&self, command: &Command) -> Result<(), SqlError> {
        if self.tx.as_ref().is_some_and(|tx| tx.failed)
            && !matches!(command, Command::Commit | Command::Rollback)
        {
            let message =
                "current transaction is aborted, commands ignored until end of transaction block";
            return Err(SqlError::new("25P02", message));
        }
        Ok(())
    }

    fn bind(&mut self, portal: String, statement: &str, rest: &Bytes) -> Result<(), SqlError> {
        let prepared = self.prepared(statement)?;
        if let Some(command) = &prepared.command {
            self.check_not_aborted(command)?;
        }
        if !portal.is_empty() && self.portals.contains_key(&portal) {
            let message = format!("cursor \"{portal}\" already exists");
            return Err(SqlError::new("42P03", message));
        }
        let bound = Portal::bind(&prepared, rest)?;
        self.portals.insert(portal, bound);
        self.writer.parts(b'2', &[]);
        Ok(())
    }

    fn prepared(&self, name: &str) -> Result<Rc<Prepared>, SqlError> {
        self.statements.get(name).cloned().ok_or_else(|| {
            SqlError::new(
                "26000",
                format!("prepared statement \"{name}\" does not exist"),
            )
        })
    }

    fn describe(&mut self, target: &Target) -> Result<(), SqlError> {
        let (prepared, formats) = match target {
            Target::Statement(name) => {
                let prepared = self.prepared(name)?;
                response::parameters(&mut self.writer, &prepared.types);
                (prepared, Formats::default())
            }
            Target::Portal(name) => {
                let portal = self.portals.get(name).ok_or_else(|| unknown_portal(name))?;
                (Rc::clone(&portal.statement), portal.formats.clone())
            }
        };
        match self.fields(&prepared)? {
            Some(fields) => response::description(&mut self.writer, &fields, &formats),
            None => self.writer.parts(b'n', &[]),
        }
        Ok(())
    }

    fn fields(&self, prepared: &Prepared) -> Result<Option<Vec<Field>>, SqlError> {
        match &prepared.command {
            Some(command) => {
                self.with_tables(|tables| types::result_fields(command, tables, &prepared.types))
            }
            None => Ok(None),
        }
    }

    async fn execute(
        &mut self,
        name: String,
        max_rows: i32,
    ) -> Result<Result<(), SqlError>, WireError> {
        // The portal is removed while it runs and reinserted unless the statement fails.
        let Some(mut portal) = self.portals.remove(&name) else {
            return Ok(Err(unknown_portal(&name)));
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
                Err(error) => return Ok(Err(error)),
            }
        }
        let tag = portal.tag.clone().unwrap_or_default();
        if let Some((rows, sent)) = &mut portal.rest {
            let left = rows.rows.len() - *sent;
            let count = usize::try_from(max_rows)
                .ok()
                .filter(|max_rows| *max_rows > 0)
                .map_or(left, |max_rows| max_rows.min(left));
            self.rows(rows, *sent..*sent + count, &portal.formats)
                .await?;
            *sent += count;
            if *sent < rows.rows.len() {
                self.writer.parts(b's', &[]);
            } else {
                self.writer
                    .message(&reply::command_complete(&tag_with_count(&tag, count)))?;
            }
        } else {
            self.writer.message(&reply::command_complete(&tag))?;
        }
        // COMMIT and ROLLBACK close every portal, including this one.
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
    ) -> Result<Outcome, SqlError> {
        self.check_not_aborted(command)?;
        let metrics = &self.member.metrics;
        metrics
            .statements
            .with_label_values(&[command.verb()])
            .inc();
        match &**command {
            Command::Begin(read_only) => {
                let tx = self.tx.get_or_insert_default();
                tx.explicit = true;
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
                if self.tx.as_ref().is_some_and(|tx| tx.explicit) {
                    let message = "DISCARD ALL cannot run inside a transaction block";
                    return Err(SqlError::new("25001", message));
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
            _ => self.run_on_tables(command, params, types).await,
        }
    }

    fn show(&self, name: &str) -> Result<Outcome, SqlError> {
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
                return Err(SqlError::new("42704", message));
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

    /// Runs a statement that reads or writes tables. Statements of data sessions hold an execution
    /// slot.
    async fn run_on_tables(
        &mut self,
        command: &Command,
        params: &[Value],
        types: &[Type],
    ) -> Result<Outcome, SqlError> {
        let member = Rc::clone(&self.member);
        let writes = command.writes();
        let first = self.tx.as_ref().is_none_or(|tx| tx.explicit);
        let tx = self.tx.get_or_insert_default();
        let is_primary = member.store.borrow().is_primary();
        if writes && (tx.read_only || tx.snapshot.is_some() || !is_primary) {
            return Err(read_only_error(command.verb()));
        }
        if tx.explicit
            && tx.locks.is_none()
            && (tx.read_only || !is_primary)
            && tx.snapshot.is_none()
        {
            tx.snapshot = Some(member.store.borrow().snapshot());
        }
        let locking = matches!(command, Command::Select(select) if select.for_update);
        let lock_request = if tx.snapshot.is_none() && (writes || locking || tx.explicit) {
            let store = member.store.borrow();
            exec::required_locks(command, tx.tables().unwrap_or(store.tables()), params)
        } else {
            None
        };
        if lock_request.is_some() {
            tx.record_epoch(member.store.borrow().epoch());
        }
        let mut delay = if self.is_management {
            Duration::ZERO
        } else {
            member.statement_time()
        };
        if let Command::Sleep(seconds) = command {
            delay += sleep_duration(&Scope::without_table(params).eval(seconds)?)?;
        }
        let locks_granted = match &lock_request {
            Some(lock_request) => {
                let locks = tx.locks.get_or_insert_with(|| member.locks.new_owner());
                locks.try_acquire(lock_request)?.is_none()
            }
            None => true,
        };
        let mut slot = (locks_granted && !self.is_management)
            .then(|| member.slots.try_acquire())
            .flatten();
        if !locks_granted || (slot.is_none() && !self.is_management) || !delay.is_zero() {
            // Flush responses of earlier batches, which must not wait for this statement.
            if first && let Err(cause) = self.writer.flush().await {
                return Err(SqlError::new("08006", cause.to_string()));
            }
            let needs_no_slot = self.is_management;
            let waiting = async {
                if let (false, Some(lock_request), Some(locks)) =
                    (locks_granted, &lock_request, &mut tx.locks)
                {
                    locks.acquire(lock_request).await?;
                }
                if slot.is_none() && !needs_no_slot {
                    slot = Some(member.slots.acquire().await);
                }
                if !delay.is_zero() {
                    compio::time::sleep_until(Instant::now() + delay).await;
                }
                Ok::<_, SqlError>(slot)
            };
            let cancel = self.handle.cancel.listen();
            slot = match select(pin!(waiting), cancel).await {
                Either::Left((slot, _cancel)) => slot?,
                Either::Right(_) => {
                    let message = "canceling statement due to user request";
                    return Err(SqlError::new("57014", message));
                }
            };
        }
        let outcome = {
            let mut store = member.store.borrow_mut();
            if writes && !store.is_primary() {
                return Err(read_only_error(command.verb()));
            }
            tx.check_epoch(&store)?;
            self.seen_position = Some(
                tx.snapshot
                    .as_ref()
                    .map_or_else(|| store.position(), |snapshot| snapshot.position),
            );
            if let Command::Sleep(_) = command {
                Ok(sleep_outcome())
            } else if let Some(snapshot) = &tx.snapshot {
                run_on_snapshot(&snapshot.tables, command, params, types)
            } else if !writes && tx.tables().is_none() {
                run_on_snapshot(store.tables(), command, params, types)
            } else {
                let mut next_row = *store.next_row();
                let workspace = tx.rebase(&store);
                let outcome = workspace.run(command, params, types, &mut next_row);
                *store.next_row() = next_row;
                outcome
            }
        };
        drop(slot);
        outcome
    }
}

fn run_on_snapshot(
    tables: &crate::table::Tables,
    command: &Command,
    params: &[Value],
    types: &[Type],
) -> Result<Outcome, SqlError> {
    let mut workspace = Workspace {
        tables: tables.clone(),
        changes: Vec::new(),
    };
    workspace.run(command, params, types, &mut 0)
}

fn sleep_outcome() -> Outcome {
    Outcome {
        tag: "SELECT".to_owned(),
        rows: Some(Rows {
            fields: vec![Field::new("pg_sleep", Type::Void)],
            rows: vec![vec![Value::text("")]],
        }),
    }
}

fn sleep_duration(value: &Value) -> Result<Duration, SqlError> {
    let seconds: f64 = match value {
        Value::Null => 0.0,
        value => match value.clone().cast(Type::Float8)? {
            Value::Text(text) => text.parse().unwrap_or_default(),
            _ => 0.0,
        },
    };
    Duration::try_from_secs_f64(seconds.max(0.0))
        .map_err(|_range| SqlError::new("22003", "pg_sleep is out of range"))
}

fn unknown_portal(name: &str) -> SqlError {
    SqlError::new("34000", format!("portal \"{name}\" does not exist"))
}

/// Command tag, with the number of returned rows for SELECT as in PostgreSQL.
fn tag_with_count(tag: &str, rows: usize) -> String {
    if tag == "SELECT" {
        format!("SELECT {rows}")
    } else {
        tag.to_owned()
    }
}
