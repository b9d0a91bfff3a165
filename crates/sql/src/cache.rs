//! Scripts by text, bounded.

use std::{mem, rc::Rc};

use base::Map;

use crate::Script;

/// Longest text that is kept, in bytes.
const TEXT_BYTES: usize = 2 << 10;

/// Keeps the scripts of recent texts in two generations: the younger fills up and then replaces
/// the older one, so that a text in use stays without any bookkeeping per use.
#[derive(Debug)]
pub struct Cache {
    half: usize,
    young: Map<Box<str>, Rc<Script>>,
    old: Map<Box<str>, Rc<Script>>,
}

impl Cache {
    /// Keeps at most `entries` scripts.
    #[must_use]
    pub fn new(entries: usize) -> Self {
        Self {
            half: (entries / 2).max(1),
            young: Map::default(),
            old: Map::default(),
        }
    }

    /// Returns the script of `text`, parsing it when it is not kept.
    pub fn script(&mut self, text: &str) -> Rc<Script> {
        if let Some(script) = self.young.get(text) {
            return Rc::clone(script);
        }
        if let Some((text, script)) = self.old.remove_entry(text) {
            self.keep(text, Rc::clone(&script));
            return script;
        }
        let script = Rc::new(Script::parse(text));
        if text.len() <= TEXT_BYTES {
            self.keep(text.into(), Rc::clone(&script));
        }
        script
    }

    /// Number of scripts kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether nothing is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn keep(&mut self, text: Box<str>, script: Rc<Script>) {
        if self.young.len() >= self.half {
            self.old = mem::take(&mut self.young);
        }
        self.young.insert(text, script);
    }
}
