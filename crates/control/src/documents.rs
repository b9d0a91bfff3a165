//! Recent configuration texts, and patches from them to the newest one.

use std::{collections::VecDeque, io, rc::Rc};

use base::{Version, patch};

/// Number of texts that are kept. An entry process that is further behind gets the whole text.
const MAX_TEXTS: usize = 16;

/// The most recent texts, and the patches to the newest one that were requested so far.
#[derive(Debug, Default)]
pub struct Documents {
    /// Oldest first.
    texts: VecDeque<(Version, Rc<str>)>,
    patches: Vec<(Version, Rc<[u8]>)>,
}

impl Documents {
    /// Adds the text in force. An older version than the newest is ignored.
    pub fn add(&mut self, version: Version, text: &str) {
        let newest = self.texts.back();
        if newest.is_some_and(|(newest, _)| *newest >= version) {
            return;
        }
        self.patches.clear();
        self.texts.push_back((version, text.into()));
        if self.texts.len() > MAX_TEXTS {
            self.texts.pop_front();
        }
    }

    /// Patch from the text of version `from` to the newest text, with the version that it starts
    /// from. If `from` is not kept, the patch starts from an empty text, version 0. A patch is
    /// computed once for all callers.
    ///
    /// # Errors
    /// Never: patches are made in memory.
    pub fn patch_from(&mut self, from: Version) -> io::Result<(Version, Rc<[u8]>)> {
        let old = self.texts.iter().find(|(version, _)| *version == from);
        let (base, old) = old.map_or((0, ""), |(version, text)| (*version, &**text));
        if let Some((_, patch)) = self.patches.iter().find(|(known, _)| *known == base) {
            return Ok((base, Rc::clone(patch)));
        }
        let new = self.texts.back().map_or("", |(_, text)| text);
        let patch: Rc<[u8]> = patch::diff(old, new)?.into();
        self.patches.push((base, Rc::clone(&patch)));
        Ok((base, patch))
    }
}
