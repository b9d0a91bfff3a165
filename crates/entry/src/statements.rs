//! Prepared statements and portals of a caller, which outlive the pooled connections they run on.

use std::rc::Rc;

use base::{Map, document::digest};
use bytes::Bytes;
use sql::Script;

/// Statements and portals that one caller may hold.
const NAMES: usize = 1_000;
/// Bytes of statement texts that one caller may hold.
const TEXT_BYTES: usize = 1 << 20;

/// A statement text with its parameter types.
#[derive(Debug)]
pub struct Prepared {
    /// Text of the statement.
    pub text: String,
    /// Parameter types as object ids.
    pub types: Vec<i32>,
    /// Meaning of the text.
    pub script: Rc<Script>,
    /// Name on pooled connections; empty for the unnamed statement.
    pub upstream: String,
}

impl Prepared {
    /// Makes a statement; a named one gets a name on pooled connections that depends on nothing
    /// but its text and types, so that all callers share it.
    #[must_use]
    pub fn new(named: bool, text: String, types: Vec<i32>, script: Rc<Script>) -> Self {
        let upstream = if named {
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
            upstream,
        }
    }
}

/// A statement that is bound to values.
#[derive(Debug, Clone)]
pub struct Portal {
    /// Name that the caller gave.
    pub name: String,
    /// Statement that it runs.
    pub prepared: Rc<Prepared>,
    /// Formats and values as they came in the `Bind`.
    pub rest: Bytes,
}

/// A change of a caller's names that takes effect once it is acknowledged.
#[derive(Debug, Clone)]
pub enum NameChange {
    /// The name stands for a statement.
    Add(String, Rc<Prepared>),
    /// The name stands for nothing.
    Remove(String),
}

/// Names of one caller.
#[derive(Debug, Default)]
pub struct Names {
    statements: Map<String, Rc<Prepared>>,
    text_bytes: usize,
    pending: Vec<NameChange>,
    /// Open portals.
    pub portals: Vec<Portal>,
}

impl Names {
    /// Finds a statement, changes of the running batch included.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<Rc<Prepared>> {
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

    /// Whether a further statement of `bytes` would be too much.
    #[must_use]
    pub fn is_full(&self, bytes: usize) -> bool {
        self.statements.len() + self.pending.len() >= NAMES
            || self.text_bytes + bytes > TEXT_BYTES.max(bytes)
    }

    /// Notes a change that the running batch makes.
    pub fn propose(&mut self, change: NameChange) {
        self.pending.push(change);
    }

    /// Ends the running batch: changes that were not acknowledged are forgotten.
    pub fn end_batch(&mut self) {
        self.pending = Vec::new();
    }

    /// Puts an acknowledged change into effect.
    pub fn apply(&mut self, change: NameChange) {
        let replaced = match change {
            NameChange::Add(name, prepared) => {
                self.text_bytes += prepared.text.len();
                self.statements.insert(name, prepared)
            }
            NameChange::Remove(name) => self.statements.remove(&name),
        };
        if let Some(replaced) = replaced {
            self.text_bytes -= replaced.text.len();
        }
    }

    /// Forgets all statements.
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

    /// Opens a portal, in place of one of the same name; false when there are too many.
    pub fn open(&mut self, portal: Portal) -> bool {
        self.close(&portal.name);
        if self.portals.len() >= NAMES {
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
