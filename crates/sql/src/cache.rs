//! Bounded cache of parsed scripts.

use std::{mem, rc::Rc};

use base::Map;

use crate::Script;

/// Maximum size of a cached text, in bytes.
const TEXT_BYTES: usize = 2 << 10;

/// Caches scripts by text in two generations. When the young generation is full, it replaces the
/// old one. A hit in the old generation moves the entry to the young one, so that texts in use stay
/// cached without an LRU list.
#[derive(Debug)]
pub struct Cache {
    generation_size: usize,
    young: Map<Box<str>, Rc<Script>>,
    old: Map<Box<str>, Rc<Script>>,
}

impl Cache {
    /// Creates a cache of at most `entries` scripts.
    #[must_use]
    pub fn new(entries: usize) -> Self {
        Self {
            generation_size: (entries / 2).max(1),
            young: Map::default(),
            old: Map::default(),
        }
    }

    /// Returns the script of `text`, parsing the text if it is not cached.
    pub fn script(&mut self, text: &str) -> Rc<Script> {
        if let Some(script) = self.young.get(text) {
            return Rc::clone(script);
        }
        if let Some((text, script)) = self.old.remove_entry(text) {
            self.insert(text, Rc::clone(&script));
            return script;
        }
        let script = Rc::new(Script::parse(text));
        if text.len() <= TEXT_BYTES {
            self.insert(text.into(), Rc::clone(&script));
        }
        script
    }

    /// Number of cached scripts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether the cache is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn insert(&mut self, text: Box<str>, script: Rc<Script>) {
        if self.young.len() >= self.generation_size {
            self.old = mem::take(&mut self.young);
        }
        self.young.insert(text, script);
    }
}
