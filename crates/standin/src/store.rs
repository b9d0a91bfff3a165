//! State of a member: tables, log, term and role.

use std::{net::SocketAddr, path::Path};

use base::{Position, StoreId, Term};

use crate::{
    exec::Work,
    log::{self, Entry, LogError, LogFile, Record},
    refusal::Refusal,
    table::{Change, Tables},
    value::Value,
};

/// Part that a member plays in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Accepts writes in its term.
    Primary,
    /// Follows the primary of a term, once it was ordered to.
    Replica(Option<(SocketAddr, Term)>),
}

/// Terms in order, each with the offset of the last entry before it.
pub type Terms = Vec<(Term, u64)>;

/// Tables with everything that must survive a restart.
#[derive(Debug)]
pub struct Store {
    id: StoreId,
    role: Role,
    tables: Tables,
    log: LogFile,
    /// Term reported: of which this member is primary, or whose primary's log holds all of its log.
    term: Term,
    terms: Terms,
    /// Start of each entry in the file; the entry at offset n is at index n - 1.
    starts: Vec<(u64, u64)>,
    next_row: i64,
    /// Counts what ends running transactions: changes of role and truncations.
    epoch: u64,
}

impl Store {
    /// Opens the store in a data folder; an empty one gets a new random id.
    ///
    /// # Errors
    /// The log file can't be read or written, or is damaged.
    pub fn open(folder: &Path) -> Result<Self, LogError> {
        let (log, records) = LogFile::open(folder)?;
        let mut store = Self {
            id: StoreId::new(),
            role: Role::Replica(None),
            tables: Tables::default(),
            log,
            term: 0,
            terms: Terms::new(),
            starts: Vec::new(),
            next_row: 0,
            epoch: 0,
        };
        let mut entries = Vec::new();
        let ends: Vec<u64> = records
            .iter()
            .skip(1)
            .map(|(at, _record)| *at)
            .chain([store.log.length()])
            .collect();
        for ((at, record), end) in records.into_iter().zip(ends) {
            match record {
                Record::Store(id) => store.id = id,
                Record::Entry(entry) => {
                    entries.push(entry);
                    store.starts.push((at, end));
                }
                Record::Lead(term) => {
                    store.terms.push((term, store.offset()));
                    store.term = term;
                    store.role = Role::Primary;
                }
                Record::Follow(term, address) => {
                    store.role = Role::Replica(Some((address, term)));
                }
                Record::Adopt {
                    term,
                    offset,
                    terms,
                } => {
                    let kept = usize::try_from(offset).unwrap_or(usize::MAX);
                    entries.truncate(kept);
                    store.starts.truncate(kept);
                    store.term = term;
                    store.terms = terms;
                }
            }
        }
        for entry in &entries {
            store.apply(&entry.changes);
        }
        if store.id.is_empty() {
            store.id = format!("{:016x}", rand::random::<u64>());
            store
                .log
                .append(&log::encode(&Record::Store(store.id.clone())));
        }
        Ok(store)
    }

    /// Random id of the data folder.
    pub const fn id(&self) -> &StoreId {
        &self.id
    }

    /// Part that this member plays.
    pub const fn role(&self) -> Role {
        self.role
    }

    /// Whether this member accepts writes.
    pub fn is_primary(&self) -> bool {
        self.role == Role::Primary
    }

    /// Committed tables.
    pub const fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Where the log ends.
    pub fn position(&self) -> Position {
        Position::new(self.term, self.offset())
    }

    /// Terms in order, each with the offset of the last entry before it.
    pub fn terms(&self) -> &[(Term, u64)] {
        &self.terms
    }

    /// Count of changes of role and truncations.
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Last number given to a row without primary key.
    pub const fn next_row(&mut self) -> &mut i64 {
        &mut self.next_row
    }

    fn offset(&self) -> u64 {
        u64::try_from(self.starts.len()).unwrap_or_default()
    }

    /// Highest term that this member was told of.
    fn known(&self) -> Term {
        match self.role {
            Role::Replica(Some((_, term))) => self.term.max(term),
            _ => self.term,
        }
    }

    fn apply(&mut self, changes: &[Change]) {
        for change in changes {
            if let Change::Put(name, key, _) = change
                && let [Value::Int(n)] = **key
                && self
                    .tables
                    .get(name)
                    .is_ok_and(|table| table.schema.key.is_empty())
            {
                self.next_row = self.next_row.max(n);
            }
            self.tables.apply(change);
        }
    }

    /// Commits the work of a transaction of which `work.tables` are the tables afterwards.
    pub fn commit(&mut self, work: Work) {
        let entry = Entry {
            term: self.term,
            offset: self.offset() + 1,
            changes: work.changes,
        };
        let bytes = log::encode(&Record::Entry(entry));
        let at = self.log.append(&bytes);
        self.starts.push((at, self.log.length()));
        self.tables = work.tables;
    }

    /// Becomes primary of a term.
    ///
    /// # Errors
    /// 55000 when the term is not newer and this member is not its primary already.
    pub fn promote(&mut self, term: Term) -> Result<(), Refusal> {
        if self.is_primary() && self.term == term {
            return Ok(());
        }
        if term <= self.known() {
            return Err(Refusal::new(
                "55000",
                format!(
                    "term {term} is not newer than term {} of this member",
                    self.known()
                ),
            ));
        }
        self.log.append(&log::encode(&Record::Lead(term)));
        self.terms.push((term, self.offset()));
        self.term = term;
        self.role = Role::Primary;
        self.epoch += 1;
        Ok(())
    }

    /// Starts to follow the primary of a term; entries are compared once it is reached.
    ///
    /// # Errors
    /// 55000 when the term is older than the one known, or this member is its primary.
    pub fn follow(&mut self, primary: SocketAddr, term: Term) -> Result<(), Refusal> {
        if term < self.known() {
            return Err(Refusal::new(
                "55000",
                format!(
                    "term {term} is older than term {} of this member",
                    self.known()
                ),
            ));
        }
        if self.is_primary() && self.term == term {
            return Err(Refusal::new(
                "55000",
                format!("this member is the primary of term {term}"),
            ));
        }
        let role = Role::Replica(Some((primary, term)));
        if self.role != role {
            self.log
                .append(&log::encode(&Record::Follow(term, primary)));
            self.role = role;
            self.epoch += 1;
        }
        Ok(())
    }

    /// Last offset up to which another log, given by its terms and length, is the same as this one.
    pub fn common(&self, terms: &[(Term, u64)], offset: u64) -> u64 {
        common((&self.terms, self.offset()), (terms, offset))
    }

    /// A stream may still run when another order has come; it must change nothing then.
    fn check_role(&self, role: Role) -> Result<(), Refusal> {
        if self.role == role {
            Ok(())
        } else {
            Err(Refusal::new("55000", "another order has come since"))
        }
    }

    /// Cuts the entries that the primary followed in `role` does not have and takes over its term.
    ///
    /// Returns the number of entries cut.
    ///
    /// # Errors
    /// 55000 when another order has come since.
    pub fn adopt(
        &mut self,
        role: Role,
        term: Term,
        offset: u64,
        terms: Terms,
    ) -> Result<u64, Refusal> {
        self.check_role(role)?;
        let cut = self.offset().saturating_sub(offset);
        if cut == 0 && self.term == term && self.terms == terms {
            return Ok(0);
        }
        self.log.append(&log::encode(&Record::Adopt {
            term,
            offset,
            terms: terms.clone(),
        }));
        self.term = term;
        self.terms = terms;
        self.epoch += 1;
        if cut > 0 {
            self.starts
                .truncate(usize::try_from(offset).unwrap_or(usize::MAX));
            self.rebuild();
        }
        Ok(cut)
    }

    fn rebuild(&mut self) {
        self.tables = Tables::default();
        for i in 0..self.starts.len() {
            let (from, to) = self.starts[i];
            let bytes = self.log.read(from, to).unwrap_or_default();
            let mut records = log::parse(&bytes).records;
            let Some((_, Record::Entry(entry))) = records.pop() else {
                panic!("entry {} can't be read back from the log file", i + 1);
            };
            self.apply(&entry.changes);
        }
    }

    /// Encoded entries after `offset`, at most about `most` bytes, with the offset of the last.
    ///
    /// # Errors
    /// The log file can't be read.
    pub fn entries(&self, offset: u64, most: u64) -> std::io::Result<(Vec<u8>, u64)> {
        let mut bytes = Vec::new();
        let mut last = offset;
        let first = usize::try_from(offset).unwrap_or(usize::MAX);
        for (from, to) in self.starts.get(first..).unwrap_or_default() {
            if !bytes.is_empty() && bytes.len() as u64 + (to - from) > most {
                break;
            }
            bytes.extend(self.log.read(*from, *to)?);
            last += 1;
        }
        Ok((bytes, last))
    }

    /// Appends entries received from the primary followed in `role`.
    ///
    /// # Errors
    /// 55000 when another order has come since, 08P01 when they do not continue the log; nothing
    /// was appended then.
    pub fn receive(&mut self, role: Role, bytes: &[u8]) -> Result<usize, Refusal> {
        self.check_role(role)?;
        let parsed = log::parse(bytes);
        let mut entries = Vec::with_capacity(parsed.records.len());
        if parsed.length != bytes.len() as u64 {
            return Err(Refusal::new("08P01", "received entries are damaged"));
        }
        let ends: Vec<u64> = parsed
            .records
            .iter()
            .skip(1)
            .map(|(at, _record)| *at)
            .chain([parsed.length])
            .collect();
        let received = parsed.records.into_iter().zip(ends);
        for (next, ((at, record), end)) in (self.offset() + 1..).zip(received) {
            match record {
                Record::Entry(entry)
                    if entry.offset == next && entry.term == term_at(&self.terms, next) =>
                {
                    entries.push((at, end, entry));
                }
                _ => return Err(Refusal::new("08P01", format!("entry {next} is missing"))),
            }
        }
        let start = self.log.append(bytes);
        let count = entries.len();
        for (at, end, entry) in entries {
            self.starts.push((start + at, start + end));
            self.apply(&entry.changes);
        }
        Ok(count)
    }
}

/// Term of the entry at `offset`.
fn term_at(terms: &[(Term, u64)], offset: u64) -> Term {
    terms
        .iter()
        .rev()
        .find(|(_, start)| *start < offset)
        .map_or(0, |(term, _)| *term)
}

/// Last offset up to which two logs, given by their terms and lengths, are the same.
///
/// Entries with the same offset and term were made by one primary, so that everything before them
/// is the same as well.
fn common(left: (&[(Term, u64)], u64), right: (&[(Term, u64)], u64)) -> u64 {
    let mut offset = left.1.min(right.1);
    while offset > 0 && term_at(left.0, offset) != term_at(right.0, offset) {
        let start = |terms: &[(Term, u64)]| {
            terms
                .iter()
                .rev()
                .find(|(_, start)| *start < offset)
                .map_or(0, |(_, start)| *start)
        };
        offset = start(left.0).max(start(right.0)).min(offset - 1);
    }
    offset
}

/// Shared tables for a read without transaction.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Tables.
    pub tables: Tables,
    /// Position of the last transaction in them.
    pub position: Position,
}

impl Store {
    /// Takes a snapshot.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            tables: self.tables.clone(),
            position: self.position(),
        }
    }
}
