//! State of a member: tables, log, term and role.

use std::{net::SocketAddr, path::Path};

use base::{Position, StoreId, Term};

use crate::{
    exec::Workspace,
    log::{self, Entry, LogError, LogFile, Record},
    sql_error::SqlError,
    table::{Change, Tables},
    value::Value,
};

/// Replication role of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Accepts writes in its term.
    Primary,
    /// Read-only; follows the primary of a term once a FOLLOW command names one.
    Replica(Option<(SocketAddr, Term)>),
}

/// Terms in order, each with the offset of the last entry before it.
pub type Terms = Vec<(Term, u64)>;

/// Durable state: the log file and the tables, term and role rebuilt from it.
#[derive(Debug)]
pub struct Store {
    id: StoreId,
    role: Role,
    tables: Tables,
    log: LogFile,
    /// Reported term: the term this member leads as primary, or the term of the primary whose log
    /// contains this member's whole log.
    term: Term,
    terms: Terms,
    /// Start and end of each entry in the file; the entry at offset n is at index n - 1.
    entry_ranges: Vec<(u64, u64)>,
    next_row: i64,
    /// Incremented on each change of role or of the adopted log, which aborts running transactions.
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
            entry_ranges: Vec::new(),
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
                    store.entry_ranges.push((at, end));
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
                    store.entry_ranges.truncate(kept);
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

    /// Replication role.
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

    /// Position of the end of the log.
    pub fn position(&self) -> Position {
        Position::new(self.term, self.offset())
    }

    /// Terms in order, each with the offset of the last entry before it.
    pub fn terms(&self) -> &[(Term, u64)] {
        &self.terms
    }

    /// Counter that changes whenever running transactions must abort.
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Last number given to a row without primary key.
    pub const fn next_row(&mut self) -> &mut i64 {
        &mut self.next_row
    }

    fn offset(&self) -> u64 {
        u64::try_from(self.entry_ranges.len()).unwrap_or_default()
    }

    /// Highest term seen in a command or adopted from a primary.
    fn known_term(&self) -> Term {
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

    /// Appends the changes of a transaction to the log and installs its tables.
    pub fn commit(&mut self, workspace: Workspace) {
        let entry = Entry {
            term: self.term,
            offset: self.offset() + 1,
            changes: workspace.changes,
        };
        let bytes = log::encode(&Record::Entry(entry));
        let at = self.log.append(&bytes);
        self.entry_ranges.push((at, self.log.length()));
        self.tables = workspace.tables;
    }

    /// Becomes primary of a term.
    ///
    /// # Errors
    /// 55000 when the term is not newer and this member is not its primary already.
    pub fn promote(&mut self, term: Term) -> Result<(), SqlError> {
        if self.is_primary() && self.term == term {
            return Ok(());
        }
        if term <= self.known_term() {
            return Err(SqlError::new(
                "55000",
                format!(
                    "term {term} is not newer than term {} of this member",
                    self.known_term()
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

    /// Starts to follow the primary of a term; logs are compared once it is connected.
    ///
    /// # Errors
    /// 55000 when the term is older than the one known, or this member is its primary.
    pub fn follow(&mut self, primary: SocketAddr, term: Term) -> Result<(), SqlError> {
        if term < self.known_term() {
            return Err(SqlError::new(
                "55000",
                format!(
                    "term {term} is older than term {} of this member",
                    self.known_term()
                ),
            ));
        }
        if self.is_primary() && self.term == term {
            return Err(SqlError::new(
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

    /// Offset of the last entry in common with another log, given by its terms and length.
    pub fn common_offset(&self, terms: &[(Term, u64)], offset: u64) -> u64 {
        common_prefix((&self.terms, self.offset()), (terms, offset))
    }

    /// Rejects changes from a replication stream that outlived its FOLLOW command.
    fn check_role(&self, role: Role) -> Result<(), SqlError> {
        if self.role == role {
            Ok(())
        } else {
            Err(SqlError::new("55000", "another order has come since"))
        }
    }

    /// Truncates entries that the primary followed in `role` does not have, and adopts its terms.
    ///
    /// Returns the number of truncated entries.
    ///
    /// # Errors
    /// 55000 when the role has changed since.
    pub fn adopt(
        &mut self,
        role: Role,
        term: Term,
        offset: u64,
        terms: Terms,
    ) -> Result<u64, SqlError> {
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
            self.entry_ranges
                .truncate(usize::try_from(offset).unwrap_or(usize::MAX));
            self.rebuild_tables();
        }
        Ok(cut)
    }

    fn rebuild_tables(&mut self) {
        self.tables = Tables::default();
        for i in 0..self.entry_ranges.len() {
            let (from, to) = self.entry_ranges[i];
            let bytes = self.log.read(from, to).unwrap_or_default();
            let mut records = log::parse(&bytes).records;
            let Some((_, Record::Entry(entry))) = records.pop() else {
                panic!("cannot read entry {} back from the log file", i + 1);
            };
            self.apply(&entry.changes);
        }
    }

    /// Encoded entries after `offset`, up to about `max_bytes`, with the offset of the last one.
    ///
    /// # Errors
    /// The log file can't be read.
    pub fn entries(&self, offset: u64, max_bytes: u64) -> std::io::Result<(Vec<u8>, u64)> {
        let mut bytes = Vec::new();
        let mut last = offset;
        let first = usize::try_from(offset).unwrap_or(usize::MAX);
        for (from, to) in self.entry_ranges.get(first..).unwrap_or_default() {
            if !bytes.is_empty() && bytes.len() as u64 + (to - from) > max_bytes {
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
    /// 55000 when the role has changed since, 08P01 when the entries do not continue the log.
    /// Nothing is appended on an error.
    pub fn receive(&mut self, role: Role, bytes: &[u8]) -> Result<usize, SqlError> {
        self.check_role(role)?;
        let parsed = log::parse(bytes);
        let mut entries = Vec::with_capacity(parsed.records.len());
        if parsed.length != bytes.len() as u64 {
            return Err(SqlError::new("08P01", "received entries are damaged"));
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
                _ => return Err(SqlError::new("08P01", format!("entry {next} is missing"))),
            }
        }
        let start = self.log.append(bytes);
        let count = entries.len();
        for (at, end, entry) in entries {
            self.entry_ranges.push((start + at, start + end));
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

/// Offset of the last common entry of two logs, given by their terms and lengths.
///
/// Entries with the same offset and term come from the same primary, so all earlier entries match
/// too.
fn common_prefix(left: (&[(Term, u64)], u64), right: (&[(Term, u64)], u64)) -> u64 {
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

/// Consistent, read-only view of the committed tables.
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
