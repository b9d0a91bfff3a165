//! Fake databases of a group, with term, role, log and store ID.

use std::rc::Rc;

use base::{Position, Term};
use route::Status;

use crate::network::{MEMBER, Node};

/// Log of transactions: the term and the ID of each.
pub(crate) type Entries = Rc<Vec<(Term, u64)>>;

/// A database that implements the upstream interface as in the design document.
#[derive(Debug, Default)]
pub(crate) struct Database {
    pub(crate) node: Node,
    /// Number of times that the disk was lost, part of the store ID.
    pub(crate) stores: u32,
    pub(crate) log: Entries,
    pub(crate) primary: bool,
    term: Term,
    /// Highest term of any order received.
    ordered_term: Term,
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

/// Number of the member with that name.
pub(crate) fn node(name: &str) -> Node {
    (MEMBER..MEMBER + 3)
        .find(|node| self::name(*node) == name)
        .expect("records only name members of this group")
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

    /// Appends a write to the log; `None` unless the database is primary.
    pub(crate) fn write(&mut self, id: u64) -> Option<Position> {
        if !self.primary {
            return None;
        }
        Rc::make_mut(&mut self.log).push((self.term, id));
        Some(self.position())
    }

    /// Handles an order to become primary of `term`; returns whether it was carried out.
    pub(crate) fn promote(&mut self, term: Term) -> bool {
        if self.primary && self.term == term {
            return true;
        }
        if term <= self.term.max(self.ordered_term) {
            return false;
        }
        self.term = term;
        self.ordered_term = term;
        self.primary = true;
        self.follows = None;
        true
    }

    /// Handles an order to follow the primary of `term`.
    pub(crate) fn follow(&mut self, primary: Node, term: Term) {
        if term < self.ordered_term.max(self.term) || (self.primary && term == self.term) {
            return;
        }
        self.ordered_term = term;
        self.primary = false;
        self.follows = Some(primary);
    }

    /// Replaces the log by a copy of the log of the primary of `term`, unless the copy is outdated.
    pub(crate) fn receive(&mut self, from: Node, term: Term, log: Entries) {
        if self.follows != Some(from) || term != self.ordered_term {
            return;
        }
        // Within a term the log only grows; an outdated copy must not shorten it.
        if self.term < term || log.len() > self.log.len() {
            self.log = log;
            self.term = term;
        }
    }

    /// Restarts as a replica that follows no primary; if the disk was lost, with an empty new
    /// store.
    pub(crate) fn restart(&mut self, disk_lost: bool) {
        self.primary = false;
        self.follows = None;
        if disk_lost {
            *self = Self {
                stores: self.stores + 1,
                ..Self::new(self.node)
            };
        }
    }
}
