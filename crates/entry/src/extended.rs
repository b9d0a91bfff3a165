//! Extended queries: resolving the names of a batch before it is carried out.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use sql::Kind;
use wire::{FrontendMessage, Target, pg::Message, reply};

use crate::{
    batch::{Batch, Step, message},
    fleet::Fleet,
    request::{Meaning, Request},
    session::{ABORTED, Disconnected, Session, State, columns, refused},
    statements::{NameChange, Portal, Prepared},
};

type Refused = (&'static str, String);

impl<F: Fleet> Session<F> {
    /// Carries out a batch, ended by a `Sync` or a `Flush`.
    pub(crate) async fn extended(
        &mut self,
        fronts: Vec<FrontendMessage>,
        sync: bool,
    ) -> Result<(), Disconnected> {
        let mut batch = Batch {
            steps: Vec::with_capacity(fronts.len()),
        };
        let mut meaning = Meaning {
            sync,
            ..Meaning::default()
        };
        let mut failed = false;
        for front in fronts {
            if let Err((sqlstate, text)) = self.resolve(front, &mut batch, &mut meaning) {
                batch.steps.push(Step::Fail(error(sqlstate, &text)));
                failed = true;
                break;
            }
        }
        // The answers to a Flush leave before the Sync that commits, so that the write needs a
        // transaction that stays open until then.
        let unfinished = !sync && meaning.executes && matches!(self.state, State::Idle);
        if unfinished && meaning.primary && !meaning.begins && !meaning.ends {
            let key = meaning.key.clone();
            if !self.begin_implicit(key).await? {
                self.names.end_batch();
                self.skipping = true;
                return self.flush().await;
            }
        }
        // In a transaction the upstream has to learn of a refusal, because it ends the transaction.
        let notify = failed && matches!(self.state, State::Open(_));
        if notify || !batch.is_local() {
            return self.perform(&Request::Extended(&batch), meaning).await;
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
            return self.ready().await;
        }
        self.skipping |= failed;
        self.flush().await
    }

    fn resolve(
        &mut self,
        front: FrontendMessage,
        batch: &mut Batch,
        meaning: &mut Meaning,
    ) -> Result<(), Refused> {
        match front {
            FrontendMessage::Parse { name, query, types } => {
                self.parse(name, query, types, batch, meaning)
            }
            FrontendMessage::Bind {
                portal,
                statement,
                rest,
            } => {
                let prepared = self.find(&statement)?;
                // A portal of a transaction is never bound again, so that its values need not stay.
                let kept = match self.state {
                    State::Open(_) => Bytes::new(),
                    _ => rest.clone(),
                };
                let bound = Portal {
                    name: portal.clone(),
                    prepared: Rc::clone(&prepared),
                    rest: kept,
                };
                if !self.names.open(bound) {
                    return Err(("54000", "too many portals; close some".into()));
                }
                if self.local(&prepared).is_some() {
                    batch.steps.push(Step::Local(message(b'2', &[]), None));
                } else {
                    self.usable()?;
                    meaning.needs(&prepared);
                    batch.steps.push(Step::Bind(portal, prepared, rest, false));
                }
                Ok(())
            }
            FrontendMessage::Describe(Target::Statement(name)) => {
                let prepared = self.find(&name)?;
                if let Some(local) = self.local(&prepared) {
                    let mut messages = message(b't', &[0, 0]);
                    messages.extend(describe(&local));
                    batch.steps.push(Step::Local(messages, None));
                } else {
                    self.usable()?;
                    meaning.needs(&prepared);
                    batch.steps.push(Step::DescribeStatement(prepared));
                }
                Ok(())
            }
            FrontendMessage::Describe(Target::Portal(name)) => {
                let portal = self.portal(&name)?;
                if let Some(local) = self.local(&portal.prepared) {
                    batch.steps.push(Step::Local(describe(&local), None));
                } else {
                    self.bind_again(portal, batch, meaning);
                    batch.steps.push(Step::DescribePortal(name));
                }
                Ok(())
            }
            FrontendMessage::Execute { portal, rows } => self.execute(portal, rows, batch, meaning),
            FrontendMessage::Close(Target::Statement(name)) => {
                let change = NameChange::Remove(name);
                self.names.propose(change.clone());
                batch
                    .steps
                    .push(Step::Local(message(b'3', &[]), Some(change)));
                Ok(())
            }
            FrontendMessage::Close(Target::Portal(name)) => {
                let upstream = match self.names.portal(&name) {
                    Some(portal) => self.local(&portal.prepared).is_none(),
                    None => false,
                };
                let here = batch
                    .steps
                    .iter()
                    .any(|step| matches!(step, Step::Bind(bound, ..) if *bound == name));
                self.names.close(&name);
                batch.steps.push(
                    if upstream && (here || matches!(self.state, State::Open(_))) {
                        Step::ClosePortal(name)
                    } else {
                        Step::Local(message(b'3', &[]), None)
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
        meaning: &mut Meaning,
    ) -> Result<(), Refused> {
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
        if let Some(refusal) = refused(&script) {
            return Err(refusal);
        }
        let prepared = Rc::new(Prepared::new(!name.is_empty(), query, types, script));
        let change = NameChange::Add(name.clone(), Rc::clone(&prepared));
        self.names.propose(change.clone());
        if self.local(&prepared).is_some() {
            batch
                .steps
                .push(Step::Local(message(b'1', &[]), Some(change)));
        } else {
            self.usable()?;
            meaning.needs(&prepared);
            batch.steps.push(Step::Parse(name, prepared));
        }
        Ok(())
    }

    fn execute(
        &mut self,
        name: String,
        rows: i32,
        batch: &mut Batch,
        meaning: &mut Meaning,
    ) -> Result<(), Refused> {
        let portal = self.portal(&name)?;
        if let Some(local) = self.local(&portal.prepared) {
            let messages = match local {
                Local::Empty => message(b'I', &[]),
                Local::Kind(kind) => self.run_local(&kind, false)?,
            };
            batch.steps.push(Step::Local(messages, None));
            return Ok(());
        }
        let service = self.service();
        let rules = service
            .as_deref()
            .map_or(&[][..], |service| &service.non_idempotent);
        meaning.runs(&portal.prepared.script, 0, &portal.prepared.text, rules);
        self.bind_again(portal, batch, meaning);
        batch.steps.push(Step::Execute(name, rows));
        Ok(())
    }

    /// Binds a portal anew that an earlier `Flush` has bound outside a transaction, where it is
    /// gone with the connection.
    fn bind_again(&self, portal: Portal, batch: &mut Batch, meaning: &mut Meaning) {
        meaning.needs(&portal.prepared);
        let bound = batch
            .steps
            .iter()
            .any(|step| matches!(step, Step::Bind(name, ..) if *name == portal.name));
        if !bound && !matches!(self.state, State::Open(_)) {
            batch
                .steps
                .push(Step::Bind(portal.name, portal.prepared, portal.rest, true));
        }
    }

    fn find(&self, name: &str) -> Result<Rc<Prepared>, Refused> {
        self.names.find(name).ok_or_else(|| {
            (
                "26000",
                format!("prepared statement \"{name}\" does not exist"),
            )
        })
    }

    fn portal(&self, name: &str) -> Result<Portal, Refused> {
        self.names
            .portal(name)
            .cloned()
            .ok_or_else(|| ("34000", format!("portal \"{name}\" does not exist")))
    }

    /// Refuses what can't run in the transaction at hand.
    fn usable(&self) -> Result<(), Refused> {
        if matches!(self.state, State::Lost) {
            return Err((ABORTED.0, ABORTED.1.to_owned()));
        }
        Ok(())
    }

    /// The statement as one that is answered here, if it is.
    fn local(&self, prepared: &Prepared) -> Option<Local> {
        match prepared.script.statements.as_slice() {
            [] if !matches!(self.state, State::Open(_)) => Some(Local::Empty),
            [only] => self.local_kind(&only.kind).map(Local::Kind),
            _ => None,
        }
    }
}

/// A statement that is answered here.
enum Local {
    /// No statement at all.
    Empty,
    /// One statement.
    Kind(Kind),
}

fn describe(local: &Local) -> Vec<u8> {
    match local {
        Local::Kind(Kind::Show(name)) => columns(name),
        Local::Kind(Kind::Release("SELECT 1")) => columns("pg_advisory_unlock_all"),
        _ => message(b'n', &[]),
    }
}

fn error(sqlstate: &str, text: &str) -> Vec<u8> {
    let mut out = BytesMut::new();
    let _encoded = reply::error(sqlstate, text, "").encode(&mut out);
    out.into()
}
