//! Extended queries: resolves the statement and portal names of a batch before it runs.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use sql::Kind;
use wire::{FrontendMessage, Target, pg::Message, reply};

use crate::{
    batch::{Batch, Step, encode_message},
    fleet::Fleet,
    request::{Request, RequestInfo},
    session::{ABORTED, Disconnected, Session, State, row_description, unsupported_statement},
    statements::{NameChange, Portal, PreparedStatement},
};

type LocalError = (&'static str, String);

impl<F: Fleet> Session<F> {
    /// Runs a batch that ended with a `Sync` or a `Flush`.
    pub(crate) async fn run_batch(
        &mut self,
        messages: Vec<FrontendMessage>,
        sync: bool,
    ) -> Result<(), Disconnected> {
        let mut batch = Batch {
            steps: Vec::with_capacity(messages.len()),
        };
        let mut info = RequestInfo {
            sync,
            ..RequestInfo::default()
        };
        let mut failed = false;
        for message in messages {
            if let Err((sqlstate, text)) = self.resolve_message(message, &mut batch, &mut info) {
                batch.steps.push(Step::Fail(error(sqlstate, &text)));
                failed = true;
                break;
            }
        }
        // The answers to a Flush are sent before the Sync that commits, so a write needs a
        // transaction that stays open until then.
        let ended_by_flush = !sync && info.executes && matches!(self.state, State::Idle);
        if ended_by_flush && info.needs_primary && !info.begins_writable && !info.may_end {
            let key = info.key.clone();
            if !self.begin_implicit(key).await? {
                self.names.end_batch();
                self.skipping = true;
                return self.flush().await;
            }
        }
        // In a transaction the upstream must see the error too, because it aborts the transaction.
        let notify = failed && matches!(self.state, State::Open(_));
        if notify || !batch.is_local() {
            return self.handle_request(&Request::Extended(&batch), info).await;
        }
        for step in batch.steps {
            match step {
                Step::Local(messages, change) => {
                    self.writer.bytes(&messages);
                    if let Some(change) = change {
                        self.names.apply(change);
                    }
                }
                Step::Fail(messages) => self.writer.bytes(&messages),
                _ => {}
            }
        }
        self.names.end_batch();
        if sync {
            return self.send_ready().await;
        }
        self.skipping |= failed;
        self.flush().await
    }

    fn resolve_message(
        &mut self,
        message: FrontendMessage,
        batch: &mut Batch,
        info: &mut RequestInfo,
    ) -> Result<(), LocalError> {
        match message {
            FrontendMessage::Parse { name, query, types } => {
                self.parse(name, query, types, batch, info)
            }
            FrontendMessage::Bind {
                portal,
                statement,
                rest,
            } => {
                let prepared = self.find_statement(&statement)?;
                // A portal in a transaction is never rebound, so its values need not be stored.
                let values = match self.state {
                    State::Open(_) => Bytes::new(),
                    _ => rest.clone(),
                };
                let bound = Portal {
                    name: portal.clone(),
                    prepared: Rc::clone(&prepared),
                    values,
                };
                if !self.names.open(bound) {
                    return Err(("54000", "too many portals; close some".into()));
                }
                if self.local_statement(&prepared).is_some() {
                    batch
                        .steps
                        .push(Step::Local(encode_message(b'2', &[]), None));
                } else {
                    self.check_not_aborted()?;
                    info.add_prepared(&prepared);
                    batch.steps.push(Step::Bind(portal, prepared, rest, false));
                }
                Ok(())
            }
            FrontendMessage::Describe(Target::Statement(name)) => {
                let prepared = self.find_statement(&name)?;
                if let Some(local) = self.local_statement(&prepared) {
                    let mut messages = encode_message(b't', &[0, 0]);
                    messages.extend(describe(&local));
                    batch.steps.push(Step::Local(messages, None));
                } else {
                    self.check_not_aborted()?;
                    info.add_prepared(&prepared);
                    batch.steps.push(Step::DescribeStatement(prepared));
                }
                Ok(())
            }
            FrontendMessage::Describe(Target::Portal(name)) => {
                let portal = self.find_portal(&name)?;
                if let Some(local) = self.local_statement(&portal.prepared) {
                    batch.steps.push(Step::Local(describe(&local), None));
                } else {
                    self.rebind_portal(portal, batch, info);
                    batch.steps.push(Step::DescribePortal(name));
                }
                Ok(())
            }
            FrontendMessage::Execute { portal, rows } => self.execute(portal, rows, batch, info),
            FrontendMessage::Close(Target::Statement(name)) => {
                let change = NameChange::Remove(name);
                self.names.add_pending(change.clone());
                batch
                    .steps
                    .push(Step::Local(encode_message(b'3', &[]), Some(change)));
                Ok(())
            }
            FrontendMessage::Close(Target::Portal(name)) => {
                let upstream = match self.names.portal(&name) {
                    Some(portal) => self.local_statement(&portal.prepared).is_none(),
                    None => false,
                };
                let bound_in_batch = batch
                    .steps
                    .iter()
                    .any(|step| matches!(step, Step::Bind(bound, ..) if *bound == name));
                self.names.close(&name);
                batch.steps.push(
                    if upstream && (bound_in_batch || matches!(self.state, State::Open(_))) {
                        Step::ClosePortal(name)
                    } else {
                        Step::Local(encode_message(b'3', &[]), None)
                    },
                );
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn parse(
        &mut self,
        name: String,
        query: String,
        types: Vec<i32>,
        batch: &mut Batch,
        info: &mut RequestInfo,
    ) -> Result<(), LocalError> {
        if !name.is_empty() && self.names.find(&name).is_some() {
            return Err((
                "42P05",
                format!("prepared statement \"{name}\" already exists"),
            ));
        }
        if !name.is_empty() && self.names.is_full(query.len()) {
            return Err((
                "54000",
                "too many prepared statements in this session; close some".into(),
            ));
        }
        let script = self.shared.classify(&query);
        if let Some(refusal) = unsupported_statement(&script) {
            return Err(refusal);
        }
        let prepared = Rc::new(PreparedStatement::new(
            !name.is_empty(),
            query,
            types,
            script,
        ));
        let change = NameChange::Add(name.clone(), Rc::clone(&prepared));
        self.names.add_pending(change.clone());
        if self.local_statement(&prepared).is_some() {
            batch
                .steps
                .push(Step::Local(encode_message(b'1', &[]), Some(change)));
        } else {
            self.check_not_aborted()?;
            info.add_prepared(&prepared);
            batch.steps.push(Step::Parse(name, prepared));
        }
        Ok(())
    }

    fn execute(
        &mut self,
        name: String,
        rows: i32,
        batch: &mut Batch,
        info: &mut RequestInfo,
    ) -> Result<(), LocalError> {
        let portal = self.find_portal(&name)?;
        if let Some(local) = self.local_statement(&portal.prepared) {
            let messages = match local {
                LocalStatement::Empty => encode_message(b'I', &[]),
                LocalStatement::Kind(kind) => self.run_local(&kind, false)?,
            };
            batch.steps.push(Step::Local(messages, None));
            return Ok(());
        }
        let service = self.service();
        let rules = service
            .as_deref()
            .map_or(&[][..], |service| &service.non_idempotent);
        info.add_executed(&portal.prepared.script, 0, &portal.prepared.text, rules);
        self.rebind_portal(portal, batch, info);
        batch.steps.push(Step::Execute(name, rows));
        Ok(())
    }

    /// Rebinds a portal that was bound before an earlier `Flush` outside a transaction, because it
    /// was lost when the connection was returned.
    fn rebind_portal(&self, portal: Portal, batch: &mut Batch, info: &mut RequestInfo) {
        info.add_prepared(&portal.prepared);
        let bound = batch
            .steps
            .iter()
            .any(|step| matches!(step, Step::Bind(name, ..) if *name == portal.name));
        if !bound && !matches!(self.state, State::Open(_)) {
            batch.steps.push(Step::Bind(
                portal.name,
                portal.prepared,
                portal.values,
                true,
            ));
        }
    }

    fn find_statement(&self, name: &str) -> Result<Rc<PreparedStatement>, LocalError> {
        self.names.find(name).ok_or_else(|| {
            (
                "26000",
                format!("prepared statement \"{name}\" does not exist"),
            )
        })
    }

    fn find_portal(&self, name: &str) -> Result<Portal, LocalError> {
        self.names
            .portal(name)
            .cloned()
            .ok_or_else(|| ("34000", format!("portal \"{name}\" does not exist")))
    }

    /// Fails if the transaction is aborted.
    fn check_not_aborted(&self) -> Result<(), LocalError> {
        if matches!(self.state, State::Aborted) {
            return Err((ABORTED.0, ABORTED.1.to_owned()));
        }
        Ok(())
    }

    /// Returns the statement if the proxy answers it itself.
    fn local_statement(&self, prepared: &PreparedStatement) -> Option<LocalStatement> {
        match prepared.script.statements.as_slice() {
            [] if !matches!(self.state, State::Open(_)) => Some(LocalStatement::Empty),
            [only] => self.local_kind(&only.kind).map(LocalStatement::Kind),
            _ => None,
        }
    }
}

/// A statement that the proxy answers itself.
enum LocalStatement {
    /// Empty query string.
    Empty,
    /// One statement.
    Kind(Kind),
}

fn describe(local: &LocalStatement) -> Vec<u8> {
    match local {
        LocalStatement::Kind(Kind::Show(name)) => row_description(name),
        LocalStatement::Kind(Kind::Release("SELECT 1")) => {
            row_description("pg_advisory_unlock_all")
        }
        _ => encode_message(b'n', &[]),
    }
}

fn error(sqlstate: &str, text: &str) -> Vec<u8> {
    let mut out = BytesMut::new();
    let _encoded = reply::error(sqlstate, text, "").encode(&mut out);
    out.into()
}
