//! Log in memory and the payloads of its entries.

use std::{borrow::Cow, collections::VecDeque, rc::Rc};

use base::HostName;

use crate::{
    compress::{compress, decompress},
    node::MAX_PAYLOAD_BYTES,
};

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Position in the log, from 1.
    pub index: u64,
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Byte that tells the kind, followed by the content.
    pub payload: Rc<[u8]>,
}

const NOOP: u8 = 0;
const READMIT: u8 = 1;
const COMMAND: u8 = 2;
const COMPRESSED_COMMAND: u8 = 3;

/// Commands of at least this many bytes are compressed.
const COMPRESS_FROM: usize = 4 << 10;

/// Content of an entry.
#[derive(Debug, PartialEq, Eq)]
pub enum Payload<'a> {
    /// Empty entry that a new leader appends, so that it can commit entries of earlier terms.
    Noop,
    /// Readmission: the named host is a voter with this incarnation from this entry on.
    Readmit(HostName, u64),
    /// Command for the state machine.
    Command(Cow<'a, [u8]>),
    /// Payload of a kind that this version does not know.
    Unknown,
}

impl Payload<'_> {
    pub fn parse(bytes: &[u8]) -> Payload<'_> {
        match bytes.split_first() {
            Some((&NOOP, _)) => Payload::Noop,
            Some((&COMMAND, rest)) => Payload::Command(rest.into()),
            Some((&COMPRESSED_COMMAND, rest)) => decompress(rest, MAX_PAYLOAD_BYTES)
                .map_or(Payload::Unknown, |content| Payload::Command(content.into())),
            Some((&READMIT, rest)) => parse_readmit(rest)
                .map_or(Payload::Unknown, |(name, incarnation)| {
                    Payload::Readmit(name, incarnation)
                }),
            _ => Payload::Unknown,
        }
    }

    pub fn encode(&self) -> Rc<[u8]> {
        let mut bytes = Vec::new();
        match self {
            Self::Noop | Self::Unknown => bytes.push(NOOP),
            Self::Readmit(name, incarnation) => {
                bytes.push(READMIT);
                bytes.extend(incarnation.to_le_bytes());
                bytes.extend(name.as_bytes());
            }
            Self::Command(content) if content.len() >= COMPRESS_FROM => {
                bytes.push(COMPRESSED_COMMAND);
                bytes.extend(compress(content));
            }
            Self::Command(content) => {
                bytes.reserve_exact(content.len() + 1);
                bytes.push(COMMAND);
                bytes.extend(&**content);
            }
        }
        bytes.into()
    }
}

fn parse_readmit(bytes: &[u8]) -> Option<(HostName, u64)> {
    let (incarnation, name) = bytes.split_first_chunk()?;
    let name = std::str::from_utf8(name).ok()?;
    Some((name.to_owned(), u64::from_le_bytes(*incarnation)))
}

impl Entry {
    /// Host and incarnation that this entry readmits, if it does.
    pub(crate) fn readmission(&self) -> Option<(HostName, u64)> {
        let (kind, rest) = self.payload.split_first()?;
        (*kind == READMIT).then(|| parse_readmit(rest)).flatten()
    }
}

/// Consecutive entries after a snapshot.
#[derive(Debug, Default)]
pub struct Log {
    /// Index and term of the entry before the first one held.
    base: (u64, u64),
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl Log {
    pub fn new(base: (u64, u64)) -> Self {
        Self {
            base,
            ..Self::default()
        }
    }

    /// Index of the last entry, or of the snapshot when no entry is held.
    pub fn last_index(&self) -> u64 {
        self.base.0 + self.entries.len() as u64
    }

    /// Index of the first entry that is held.
    pub const fn first_index(&self) -> u64 {
        self.base.0 + 1
    }

    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base.1, |entry| entry.term)
    }

    /// Size of the payloads held.
    pub const fn payload_bytes(&self) -> usize {
        self.bytes
    }

    /// Position of the entry with an index in `entries`.
    fn position(&self, index: u64) -> Option<usize> {
        let position = index.checked_sub(self.first_index())?;
        usize::try_from(position)
            .ok()
            .filter(|position| *position < self.entries.len())
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.position(index)?)
    }

    /// Term of the entry at `index`, if that is held or directly before the first one held.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Appends the entry that follows the last one.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(
            entry.index,
            self.last_index() + 1,
            "log entries are consecutive"
        );
        self.bytes += entry.payload.len();
        self.entries.push_back(entry);
    }

    /// Drops all entries after `index`.
    pub fn truncate(&mut self, index: u64) {
        while self.last_index() > index {
            let Some(entry) = self.entries.pop_back() else {
                return;
            };
            self.bytes -= entry.payload.len();
        }
    }

    /// Drops all entries up to `index`.
    pub fn compact(&mut self, index: u64) {
        while self.base.0 < index {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= entry.payload.len();
            self.base = (entry.index, entry.term);
        }
    }

    /// Drops the oldest entries up to `index` while those left up to there have more than `limit` bytes.
    pub fn compact_to_bytes(&mut self, index: u64, limit: usize) {
        let mut kept = 0;
        let mut first = index + 1;
        while first > self.first_index()
            && let Some(entry) = self.get(first - 1)
        {
            kept += entry.payload.len() + ENTRY_OVERHEAD;
            if kept > limit {
                break;
            }
            first -= 1;
        }
        self.compact(first - 1);
    }

    /// Whether the entries from `first` to `last` have more than `limit` bytes.
    pub fn exceeds(&self, first: u64, last: u64, limit: usize) -> bool {
        let mut size = 0;
        (first..=last)
            .map_while(|index| self.get(index))
            .any(|entry| {
                size += entry.payload.len() + ENTRY_OVERHEAD;
                size > limit
            })
    }

    /// Entries from `index` on, up to about `limit` bytes, but at least one if there is one.
    pub fn batch(&self, index: u64, limit: usize) -> Vec<Entry> {
        let Some(start) = self.position(index) else {
            return Vec::new();
        };
        let mut size = 0;
        let mut batch = Vec::new();
        for entry in self.entries.range(start..) {
            if !batch.is_empty() && size + entry.payload.len() > limit {
                break;
            }
            size += entry.payload.len() + ENTRY_OVERHEAD;
            batch.push(entry.clone());
        }
        batch
    }
}

/// Bytes that an entry needs in addition to its payload, in the file and in a message.
const ENTRY_OVERHEAD: usize = 32;
