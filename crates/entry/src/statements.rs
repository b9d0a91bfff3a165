//! Prepared statements and portals of a caller. They last beyond the lease of a pooled connection.

use std::rc::Rc;

use base::{Map, document::digest};
use bytes::Bytes;
use sql::Script;

/// Maximum number of statements, and of portals, of one caller.
const MAX_NAMES: usize = 1_000;
/// Maximum total size of the statement texts of one caller, in bytes.
const MAX_TEXT_BYTES: usize = 1 << 20;

/// A prepared statement: text and parameter types.
#[derive(Debug)]
pub struct PreparedStatement {
    /// Text of the statement.
    pub text: String,
    /// Object ids of the parameter types.
    pub types: Vec<i32>,
    /// Classification of the text.
    pub script: Rc<Script>,
    /// Name on pooled connections; empty for the unnamed statement.
    pub upstream_name: String,
}

impl PreparedStatement {
    /// Creates a statement. The name of a named one on pooled connections depends only on its text
    /// and types, so that all callers share it.
    #[must_use]
    pub fn new(named: bool, text: String, types: Vec<i32>, script: Rc<Script>) -> Self {
        let upstream_name = if named {
            let mut name = digest(&format!("{types:?}{text}"));
            name.truncate(40);
            name.insert_str(0, "g_");
            name
        } else {
            String::new()
        };
        Self {
            text,
            types,
            script,
            upstream_name,
        }
    }
}

/// A statement bound to values.
#[derive(Debug, Clone)]
pub struct Portal {
    /// Name that the caller gave.
    pub name: String,
    /// Statement that it runs.
    pub prepared: Rc<PreparedStatement>,
    /// Formats and values as encoded in the `Bind` message.
    pub values: Bytes,
}

/// A change of a caller's statement names that takes effect once the upstream acknowledges it.
#[derive(Debug, Clone)]
pub enum NameChange {
    /// Defines the name.
    Add(String, Rc<PreparedStatement>),
    /// Removes the name.
    Remove(String),
}

/// Statement and portal names of one caller.
#[derive(Debug, Default)]
pub struct Names {
    statements: Map<String, Rc<PreparedStatement>>,
    text_bytes: usize,
    pending: Vec<NameChange>,
    /// Open portals.
    pub portals: Vec<Portal>,
}

impl Names {
    /// Finds a statement, including pending changes of the running batch.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<Rc<PreparedStatement>> {
        for change in self.pending.iter().rev() {
            match change {
                NameChange::Add(added, prepared) if added == name => {
                    return Some(Rc::clone(prepared));
                }
                NameChange::Remove(removed) if removed == name => return None,
                _ => {}
            }
        }
        self.statements.get(name).cloned()
    }

    /// Whether another statement of `bytes` would exceed a limit.
    #[must_use]
    pub fn is_full(&self, bytes: usize) -> bool {
        self.statements.len() + self.pending.len() >= MAX_NAMES
            || self.text_bytes + bytes > MAX_TEXT_BYTES.max(bytes)
    }

    /// Size of the statements' names and texts, in bytes.
    #[must_use]
    pub const fn text_bytes(&self) -> usize {
        self.text_bytes
    }

    /// Adds a pending change of the running batch.
    pub fn add_pending(&mut self, change: NameChange) {
        self.pending.push(change);
    }

    /// Ends the running batch and drops the changes that were not acknowledged.
    pub fn end_batch(&mut self) {
        self.pending = Vec::new();
    }

    /// Applies an acknowledged change.
    pub fn apply(&mut self, change: NameChange) {
        let replaced = match change {
            NameChange::Add(name, prepared) => {
                let length = name.len();
                self.text_bytes += length + prepared.text.len();
                (length, self.statements.insert(name, prepared))
            }
            NameChange::Remove(name) => (name.len(), self.statements.remove(&name)),
        };
        if let (length, Some(replaced)) = replaced {
            self.text_bytes -= length + replaced.text.len();
        }
    }

    /// Removes all statements.
    pub fn clear(&mut self) {
        self.statements = Map::default();
        self.text_bytes = 0;
        self.pending.clear();
    }

    /// Finds an open portal.
    #[must_use]
    pub fn portal(&self, name: &str) -> Option<&Portal> {
        self.portals.iter().find(|portal| portal.name == name)
    }

    /// Opens a portal and replaces one of the same name; returns false if there are too many.
    pub fn open(&mut self, portal: Portal) -> bool {
        self.close(&portal.name);
        if self.portals.len() >= MAX_NAMES {
            return false;
        }
        self.portals.push(portal);
        true
    }

    /// Closes a portal.
    pub fn close(&mut self, name: &str) {
        self.portals.retain(|portal| portal.name != name);
    }
}
