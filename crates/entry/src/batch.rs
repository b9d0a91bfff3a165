//! A batch of extended-query messages, and its encoding for a pooled connection.

use std::{collections::VecDeque, rc::Rc};

use bytes::{BufMut, Bytes, BytesMut};
use wire::Writer;

use crate::{
    answer::Expect,
    fleet::Lease,
    statements::{NameChange, PreparedStatement},
};

/// Maximum number of prepared statements on one pooled connection.
const MAX_PREPARED: usize = 256;
/// Name of a statement that exists on no connection. Binding it makes the upstream fail the batch,
/// as the protocol requires when the proxy refuses one of its messages.
const MISSING_STATEMENT: &str = "goldcrestrail_missing";

/// One message of a batch, with names resolved.
#[derive(Debug)]
pub enum Step {
    /// Prepares a statement under the name that the caller gave.
    Parse(String, Rc<PreparedStatement>),
    /// Binds a portal; the last field tells whether the caller already has the answer.
    Bind(String, Rc<PreparedStatement>, Bytes, bool),
    /// Describes a statement.
    DescribeStatement(Rc<PreparedStatement>),
    /// Describes a portal.
    DescribePortal(String),
    /// Runs a portal, up to this number of rows.
    Execute(String, i32),
    /// Closes a portal.
    ClosePortal(String),
    /// Answered by the proxy, with the change of names that belongs to it.
    Local(Vec<u8>, Option<NameChange>),
    /// Refused by the proxy with this error, which ends the batch.
    Fail(Vec<u8>),
}

/// Messages up to a `Sync` or `Flush`, with names resolved.
#[derive(Debug, Default)]
pub struct Batch {
    /// Messages in order.
    pub steps: Vec<Step>,
}

impl Batch {
    /// Whether the proxy answers all messages itself.
    #[must_use]
    pub fn is_local(&self) -> bool {
        let upstream = |step: &Step| !matches!(step, Step::Local(..) | Step::Fail(_));
        !self.steps.iter().any(upstream)
    }

    /// Writes the messages of the batch for the connection of `lease`, ending with a `Sync`, and
    /// returns the expected answers.
    pub fn send<L: Lease>(&self, lease: &mut L) -> VecDeque<Expect> {
        let mut encoder = BatchEncoder {
            expects: VecDeque::with_capacity(self.steps.len() + 1),
            scratch: BytesMut::with_capacity(256),
            unnamed: None,
            in_use: Vec::new(),
        };
        for step in &self.steps {
            encoder.encode_step(step, lease);
            if matches!(step, Step::Fail(_)) {
                break;
            }
        }
        lease.client().writer.parts(b'S', &[]);
        encoder.expects
    }
}

struct BatchEncoder<'a> {
    expects: VecDeque<Expect>,
    scratch: BytesMut,
    /// Unnamed statement on the connection, once this batch has prepared it.
    unnamed: Option<&'a Rc<PreparedStatement>>,
    /// Names that this batch prepares or uses, which it must not evict.
    in_use: Vec<&'a str>,
}

impl<'a> BatchEncoder<'a> {
    fn encode_step<L: Lease>(&mut self, step: &'a Step, lease: &mut L) {
        match step {
            Step::Parse(name, prepared) => self.parse(name, prepared, lease),
            Step::Bind(portal, prepared, rest, answered) => {
                self.ensure_prepared(prepared, lease);
                self.put_text(portal);
                self.put_text(&prepared.upstream_name);
                self.scratch.put_slice(rest);
                self.put_message(b'B', &mut lease.client().writer);
                self.expects.push_back(Expect::Bind(!answered));
            }
            Step::DescribeStatement(prepared) => {
                self.ensure_prepared(prepared, lease);
                self.scratch.put_u8(b'S');
                self.put_text(&prepared.upstream_name);
                self.put_message(b'D', &mut lease.client().writer);
                self.expects.push_back(Expect::Describe);
            }
            Step::DescribePortal(portal) => {
                self.scratch.put_u8(b'P');
                self.put_text(portal);
                self.put_message(b'D', &mut lease.client().writer);
                self.expects.push_back(Expect::Describe);
            }
            Step::Execute(portal, rows) => {
                self.put_text(portal);
                self.scratch.put_i32(*rows);
                self.put_message(b'E', &mut lease.client().writer);
                self.expects.push_back(Expect::Execute);
            }
            Step::ClosePortal(portal) => {
                self.scratch.put_u8(b'P');
                self.put_text(portal);
                self.put_message(b'C', &mut lease.client().writer);
                self.expects.push_back(Expect::ClosePortal);
            }
            Step::Local(message, change) => {
                let expect = Expect::Local(message.clone(), change.clone());
                self.expects.push_back(expect);
            }
            Step::Fail(message) => {
                self.put_text("");
                self.put_text(MISSING_STATEMENT);
                self.scratch.put_slice(&[0; 6]);
                self.put_message(b'B', &mut lease.client().writer);
                self.expects.push_back(Expect::Fail(message.clone()));
            }
        }
    }

    fn parse<L: Lease>(&mut self, name: &str, prepared: &'a Rc<PreparedStatement>, lease: &mut L) {
        let change = NameChange::Add(name.to_owned(), Rc::clone(prepared));
        if self.is_prepared(prepared, lease) {
            self.in_use.push(&prepared.upstream_name);
            let expect = Expect::Local(encode_message(b'1', &[]), Some(change));
            self.expects.push_back(expect);
        } else {
            self.prepare(prepared, Some(change), lease);
        }
    }

    /// Whether a named statement is prepared on the connection when the batch reaches this step.
    fn is_prepared<L: Lease>(&self, prepared: &PreparedStatement, lease: &mut L) -> bool {
        !prepared.upstream_name.is_empty()
            && (self.in_use.contains(&prepared.upstream_name.as_str())
                || lease.prepared().contains(&prepared.upstream_name)
                    && !self.is_evicted(&prepared.upstream_name))
    }

    /// Whether this batch evicts a statement.
    fn is_evicted(&self, name: &str) -> bool {
        let mut expects = self.expects.iter();
        expects.any(|expect| matches!(expect, Expect::Evict(evicted) if evicted == name))
    }

    /// Prepares a statement unless the connection already has it.
    fn ensure_prepared<L: Lease>(&mut self, prepared: &'a Rc<PreparedStatement>, lease: &mut L) {
        if prepared.upstream_name.is_empty() {
            if !self
                .unnamed
                .is_some_and(|unnamed| Rc::ptr_eq(unnamed, prepared))
            {
                self.prepare(prepared, None, lease);
            }
        } else if self.is_prepared(prepared, lease) {
            self.in_use.push(&prepared.upstream_name);
        } else {
            self.prepare(prepared, None, lease);
        }
    }

    fn prepare<L: Lease>(
        &mut self,
        prepared: &'a Rc<PreparedStatement>,
        change: Option<NameChange>,
        lease: &mut L,
    ) {
        if prepared.upstream_name.is_empty() {
            self.unnamed = Some(prepared);
        } else {
            if lease.prepared().len() + self.in_use.len() >= MAX_PREPARED {
                self.evict(lease);
            }
            self.in_use.push(&prepared.upstream_name);
        }
        self.put_text(&prepared.upstream_name);
        self.put_text(&prepared.text);
        let count = i16::try_from(prepared.types.len()).unwrap_or(i16::MAX);
        self.scratch.put_i16(count);
        for type_id in prepared.types.iter().take(count.unsigned_abs().into()) {
            self.scratch.put_i32(*type_id);
        }
        self.put_message(b'P', &mut lease.client().writer);
        let expect = Expect::Parse(prepared.upstream_name.clone(), change);
        self.expects.push_back(expect);
    }

    fn evict<L: Lease>(&mut self, lease: &mut L) {
        let evicted = lease
            .prepared()
            .iter()
            .find(|name| !self.in_use.contains(&name.as_str()) && !self.is_evicted(name))
            .cloned();
        if let Some(evicted) = evicted {
            self.scratch.put_u8(b'S');
            self.put_text(&evicted);
            self.put_message(b'C', &mut lease.client().writer);
            self.expects.push_back(Expect::Evict(evicted));
        }
    }

    fn put_text(&mut self, text: &str) {
        self.scratch.put_slice(text.as_bytes());
        self.scratch.put_u8(0);
    }

    fn put_message(&mut self, tag: u8, writer: &mut Writer) {
        writer.parts(tag, &self.scratch);
        self.scratch.clear();
    }
}

/// Encodes one protocol message.
#[must_use]
pub fn encode_message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = BytesMut::new();
    wire::writer::encode(&mut out, tag, body);
    out.into()
}
