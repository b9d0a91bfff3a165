//! A batch of extended queries: what the caller asks for, and the messages that carry it out on a
//! pooled connection.

use std::{collections::VecDeque, rc::Rc};

use bytes::{BufMut, Bytes, BytesMut};
use wire::Writer;

use crate::{
    answer::Expect,
    fleet::Lease,
    statements::{NameChange, Prepared},
};

/// Statements that are kept prepared on one pooled connection.
const PREPARED: usize = 256;
/// Statement that exists on no connection. Binding it makes the upstream fail the batch, as the
/// protocol demands when a message of it is refused here.
const MISSING: &str = "goldcrestrail_missing";

/// One message of a batch, with names resolved.
#[derive(Debug)]
pub enum Step {
    /// Prepares a statement under the caller's name.
    Parse(String, Rc<Prepared>),
    /// Makes a portal; the last field tells whether the caller has its answer already.
    Bind(String, Rc<Prepared>, Bytes, bool),
    /// Describes a statement.
    DescribeStatement(Rc<Prepared>),
    /// Describes a portal.
    DescribePortal(String),
    /// Runs a portal, up to so many rows.
    Execute(String, i32),
    /// Closes a portal.
    ClosePortal(String),
    /// Is answered here, with the change of names that goes with it.
    Local(Vec<u8>, Option<NameChange>),
    /// Is refused here, and ends the batch.
    Fail(Vec<u8>),
}

/// Messages up to a `Sync` or `Flush`, with names resolved.
#[derive(Debug, Default)]
pub struct Batch {
    /// Messages in order.
    pub steps: Vec<Step>,
}

impl Batch {
    /// Whether everything is answered here.
    #[must_use]
    pub fn is_local(&self) -> bool {
        let upstream = |step: &Step| !matches!(step, Step::Local(..) | Step::Fail(_));
        !self.steps.iter().any(upstream)
    }

    /// Adds the messages that carry the batch out on `lease`, with the `Sync` at their end, and
    /// returns what has to be answered.
    pub fn send<L: Lease>(&self, lease: &mut L) -> VecDeque<Expect> {
        let mut sending = Sending {
            expects: VecDeque::with_capacity(self.steps.len() + 1),
            scratch: BytesMut::with_capacity(256),
            unnamed: None,
            fresh: Vec::new(),
        };
        for step in &self.steps {
            sending.step(step, lease);
            if matches!(step, Step::Fail(_)) {
                break;
            }
        }
        lease.client().writer.parts(b'S', &[]);
        sending.expects
    }
}

struct Sending<'a> {
    expects: VecDeque<Expect>,
    scratch: BytesMut,
    /// Unnamed statement on the connection, once it is known.
    unnamed: Option<&'a Rc<Prepared>>,
    /// Names that this batch prepares or uses; they must not be evicted for another of them.
    fresh: Vec<&'a str>,
}

impl<'a> Sending<'a> {
    fn step<L: Lease>(&mut self, step: &'a Step, lease: &mut L) {
        match step {
            Step::Parse(name, prepared) => self.parse(name, prepared, lease),
            Step::Bind(portal, prepared, rest, known) => {
                self.ensure(prepared, lease);
                self.text(portal);
                self.text(&prepared.upstream);
                self.scratch.put_slice(rest);
                self.message(b'B', &mut lease.client().writer);
                self.expects.push_back(Expect::Bind(!known));
            }
            Step::DescribeStatement(prepared) => {
                self.ensure(prepared, lease);
                self.scratch.put_u8(b'S');
                self.text(&prepared.upstream);
                self.message(b'D', &mut lease.client().writer);
                self.expects.push_back(Expect::Describe);
            }
            Step::DescribePortal(portal) => {
                self.scratch.put_u8(b'P');
                self.text(portal);
                self.message(b'D', &mut lease.client().writer);
                self.expects.push_back(Expect::Describe);
            }
            Step::Execute(portal, rows) => {
                self.text(portal);
                self.scratch.put_i32(*rows);
                self.message(b'E', &mut lease.client().writer);
                self.expects.push_back(Expect::Execute);
            }
            Step::ClosePortal(portal) => {
                self.scratch.put_u8(b'P');
                self.text(portal);
                self.message(b'C', &mut lease.client().writer);
                self.expects.push_back(Expect::ClosePortal);
            }
            Step::Local(message, change) => {
                let known = Expect::Local(message.clone(), change.clone());
                self.expects.push_back(known);
            }
            Step::Fail(message) => {
                self.text("");
                self.text(MISSING);
                self.scratch.put_slice(&[0; 6]);
                self.message(b'B', &mut lease.client().writer);
                self.expects.push_back(Expect::Fail(message.clone()));
            }
        }
    }

    fn parse<L: Lease>(&mut self, name: &str, prepared: &'a Rc<Prepared>, lease: &mut L) {
        let change = NameChange::Add(name.to_owned(), Rc::clone(prepared));
        if self.holds(prepared, lease) {
            self.fresh.push(&prepared.upstream);
            let known = Expect::Local(message(b'1', &[]), Some(change));
            self.expects.push_back(known);
        } else {
            self.prepare(prepared, Some(change), lease);
        }
    }

    /// Whether the connection has a named statement, or will have it by then.
    fn holds<L: Lease>(&self, prepared: &Prepared, lease: &mut L) -> bool {
        !prepared.upstream.is_empty()
            && (self.fresh.contains(&prepared.upstream.as_str())
                || lease.prepared().contains(&prepared.upstream)
                    && !self.closes(&prepared.upstream))
    }

    /// Whether this batch evicts a statement.
    fn closes(&self, name: &str) -> bool {
        let mut expects = self.expects.iter();
        expects.any(|expect| matches!(expect, Expect::Evict(closing) if closing == name))
    }

    /// Prepares a statement that the connection doesn't have.
    fn ensure<L: Lease>(&mut self, prepared: &'a Rc<Prepared>, lease: &mut L) {
        if prepared.upstream.is_empty() {
            if !self
                .unnamed
                .is_some_and(|known| Rc::ptr_eq(known, prepared))
            {
                self.prepare(prepared, None, lease);
            }
        } else if self.holds(prepared, lease) {
            self.fresh.push(&prepared.upstream);
        } else {
            self.prepare(prepared, None, lease);
        }
    }

    fn prepare<L: Lease>(
        &mut self,
        prepared: &'a Rc<Prepared>,
        change: Option<NameChange>,
        lease: &mut L,
    ) {
        if prepared.upstream.is_empty() {
            self.unnamed = Some(prepared);
        } else {
            if lease.prepared().len() + self.fresh.len() >= PREPARED {
                self.evict(lease);
            }
            self.fresh.push(&prepared.upstream);
        }
        self.text(&prepared.upstream);
        self.text(&prepared.text);
        let count = i16::try_from(prepared.types.len()).unwrap_or(i16::MAX);
        self.scratch.put_i16(count);
        for kind in prepared.types.iter().take(count.unsigned_abs().into()) {
            self.scratch.put_i32(*kind);
        }
        self.message(b'P', &mut lease.client().writer);
        let expect = Expect::Parse(prepared.upstream.clone(), change);
        self.expects.push_back(expect);
    }

    fn evict<L: Lease>(&mut self, lease: &mut L) {
        let victim = lease
            .prepared()
            .iter()
            .find(|name| !self.fresh.contains(&name.as_str()) && !self.closes(name))
            .cloned();
        if let Some(victim) = victim {
            self.scratch.put_u8(b'S');
            self.text(&victim);
            self.message(b'C', &mut lease.client().writer);
            self.expects.push_back(Expect::Evict(victim));
        }
    }

    fn text(&mut self, text: &str) {
        self.scratch.put_slice(text.as_bytes());
        self.scratch.put_u8(0);
    }

    fn message(&mut self, tag: u8, writer: &mut Writer) {
        writer.parts(tag, &self.scratch);
        self.scratch.clear();
    }
}

/// One message from its parts.
#[must_use]
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = BytesMut::new();
    wire::writer::encode(&mut out, tag, body);
    out.into()
}
