//! Texts of the configurations that entry processes may have, and the changes between them.

use std::{collections::VecDeque, io, rc::Rc};

use base::{Version, patch};

/// Texts that are kept. An entry process that is further behind gets the whole text.
const KEPT: usize = 16;

/// The newest texts, and the changes to the newest one that were asked for.
#[derive(Debug, Default)]
pub struct Documents {
    /// From the oldest to the newest.
    texts: VecDeque<(Version, Rc<str>)>,
    changes: Vec<(Version, Rc<[u8]>)>,
}

impl Documents {
    /// Notes the text in force.
    pub fn add(&mut self, version: Version, text: &str) {
        let newest = self.texts.back();
        if newest.is_some_and(|(newest, _)| *newest >= version) {
            return;
        }
        self.changes.clear();
        self.texts.push_back((version, text.into()));
        if self.texts.len() > KEPT {
            self.texts.pop_front();
        }
    }

    /// Change to the newest text from that of version `from`, or from an empty one when that is not
    /// kept, with the version that it starts from. It is made once for all that ask.
    ///
    /// # Errors
    /// Never: it is made in memory.
    pub fn patch_from(&mut self, from: Version) -> io::Result<(Version, Rc<[u8]>)> {
        let old = self.texts.iter().find(|(version, _)| *version == from);
        let (base, old) = old.map_or((0, ""), |(version, text)| (*version, &**text));
        if let Some((_, change)) = self.changes.iter().find(|(known, _)| *known == base) {
            return Ok((base, Rc::clone(change)));
        }
        let new = self.texts.back().map_or("", |(_, text)| text);
        let change: Rc<[u8]> = patch::make(old, new)?.into();
        self.changes.push((base, Rc::clone(&change)));
        Ok((base, change))
    }
}
