//! Fake databases of a group: term, role, log and store id.

use std::rc::Rc;

use base::{Position, Term};
use route::Status;

use crate::network::{MEMBER, Node};

/// Transactions with the term that wrote each.
pub(crate) type Entries = Rc<Vec<(Term, u64)>>;

/// A database, which implements the upstream interface of the design page.
#[derive(Debug, Default)]
pub(crate) struct Database {
    pub(crate) node: Node,
    pub(crate) stores: u32,
    pub(crate) log: Entries,
    pub(crate) primary: bool,
    term: Term,
    /// Highest term of an order.
    seen: Term,
    pub(crate) follows: Option<Node>,
}

/// Name of a member.
pub(crate) fn name(node: Node) -> String {
    ["a", "b", "c"][node - MEMBER].to_owned()
}

/// Address of a member.
pub(crate) fn address(node: Node) -> String {
    format!("127.0.{}.61:5432", node - MEMBER + 1)
}

/// Member with that name.
pub(crate) fn node(name: &str) -> Node {
    (MEMBER..MEMBER + 3)
        .find(|node| self::name(*node) == name)
        .expect("records name members of the world")
}

impl Database {
    pub(crate) fn new(node: Node) -> Self {
        Self {
            node,
            ..Self::default()
        }
    }

    pub(crate) fn store(&self) -> String {
        format!("store-{}-{}", name(self.node), self.stores)
    }

    pub(crate) fn position(&self) -> Position {
        Position::new(self.term, u64::try_from(self.log.len()).unwrap_or(u64::MAX))
    }

    pub(crate) fn status(&self) -> Status {
        Status {
            member: name(self.node),
            store: self.store(),
            primary: self.primary,
            position: self.position(),
            following: self.follows.map(address).unwrap_or_default(),
        }
    }

    /// Commits a write, on a primary only.
    pub(crate) fn write(&mut self, id: u64) -> Option<Position> {
        if !self.primary {
            return None;
        }
        Rc::make_mut(&mut self.log).push((self.term, id));
        Some(self.position())
    }

    /// Order to become primary of `term`; returns whether it is obeyed.
    pub(crate) fn promote(&mut self, term: Term) -> bool {
        if self.primary && self.term == term {
            return true;
        }
        if term <= self.term.max(self.seen) {
            return false;
        }
        self.term = term;
        self.seen = term;
        self.primary = true;
        self.follows = None;
        true
    }

    /// Order to follow the primary of `term`.
    pub(crate) fn follow(&mut self, primary: Node, term: Term) {
        if term < self.seen.max(self.term) || (self.primary && term == self.term) {
            return;
        }
        self.seen = term;
        self.primary = false;
        self.follows = Some(primary);
    }

    /// Takes over the log of the primary of `term`, which may be an old copy.
    pub(crate) fn receive(&mut self, from: Node, term: Term, log: Entries) {
        if self.follows != Some(from) || term != self.seen {
            return;
        }
        // In one term the log only grows; a copy of an older moment must not shorten it.
        if self.term < term || log.len() > self.log.len() {
            self.log = log;
            self.term = term;
        }
    }

    /// Starts again: as a replica that follows nobody, and without data when the disk is lost.
    pub(crate) fn restart(&mut self, wiped: bool) {
        self.primary = false;
        self.follows = None;
        if wiped {
            *self = Self {
                stores: self.stores + 1,
                ..Self::new(self.node)
            };
        }
    }
}
