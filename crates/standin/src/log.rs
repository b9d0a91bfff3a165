//! Log file of a member: committed transactions, terms and orders, in one file that only grows.
//!
//! A record is its body's length and CRC-32, each a 32-bit little-endian number, and the body.

use std::{
    fmt, fs,
    io::{self, Read as _, Seek as _, Write as _},
    net::SocketAddr,
    os::unix::fs::FileExt as _,
    path::{Path, PathBuf},
};

use base::{StoreId, Term};
use serde::{Deserialize, Serialize};

use crate::table::Change;

/// Bytes before the body of a record.
const HEAD_BYTES: usize = 8;
/// Longest body of a record, in bytes.
const BODY_BYTES: usize = 256 << 20;

/// A committed transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the primary that committed it.
    pub term: Term,
    /// Position in the log, counted from 1.
    pub offset: u64,
    /// Changes in order.
    pub changes: Vec<Change>,
}

/// One record of the file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Id of the store, the first record.
    Store(StoreId),
    /// Committed transaction.
    Entry(Entry),
    /// This member became primary of a term.
    Lead(Term),
    /// This member was ordered to follow the primary of a term.
    Follow(Term, SocketAddr),
    /// The log became a prefix of the primary's: entries after `offset` no longer count, and the
    /// terms began where `terms` says.
    Adopt {
        /// Term of the primary.
        term: Term,
        /// Last entry that the primary has as well.
        offset: u64,
        /// Terms in order, each with the offset of the last entry before it.
        terms: Vec<(Term, u64)>,
    },
}

/// Why a log file can't be used.
#[derive(Debug)]
pub enum LogError {
    /// The file can't be read or written.
    Io(PathBuf, io::Error),
    /// A record before the end of the file is damaged.
    Damaged(PathBuf, u64),
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(path, cause) => write!(
                f,
                "{}: {cause}; make the data folder readable and writable",
                path.display()
            ),
            Self::Damaged(path, at) => write!(
                f,
                "{}: the record at byte {at} is damaged; empty the data folder, so that the \
                 member starts as a new replica",
                path.display()
            ),
        }
    }
}

impl std::error::Error for LogError {}

/// Encodes a record with its length and checksum.
///
/// # Panics
/// The record is over the longest length, which a transaction in memory can't reach.
#[must_use]
pub fn encode(record: &Record) -> Vec<u8> {
    let body = postcard::to_allocvec(record).expect("records can be serialized");
    assert!(
        body.len() <= BODY_BYTES,
        "a transaction is too large to log"
    );
    let length = u32::try_from(body.len()).expect("bodies are under 256 MiB");
    let mut bytes = Vec::with_capacity(HEAD_BYTES + body.len());
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// What a log file holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parsed {
    /// Records, each with the byte where it starts.
    pub records: Vec<(u64, Record)>,
    /// Bytes that hold these records; what follows is a torn tail.
    pub length: u64,
    /// Where a damaged record starts that is not at the end of the file.
    pub damaged: Option<u64>,
}

/// Parses the content of a log file.
///
/// The last record may be incomplete or damaged, as after a crash in mid-write; it is left out.
#[must_use]
pub fn parse(bytes: &[u8]) -> Parsed {
    let mut parsed = Parsed {
        records: Vec::new(),
        length: 0,
        damaged: None,
    };
    let mut rest = bytes;
    while let Some((head, tail)) = rest.split_at_checked(HEAD_BYTES) {
        let number =
            |i: usize| u32::from_le_bytes([head[i], head[i + 1], head[i + 2], head[i + 3]]);
        let length = usize::try_from(number(0)).unwrap_or(usize::MAX);
        // A crash of the host can leave zeros where the file had grown already.
        if length == 0 && rest.iter().all(|&byte| byte == 0) {
            break;
        }
        let Some((body, tail)) = tail.split_at_checked(length) else {
            break;
        };
        let whole = length <= BODY_BYTES && crc32fast::hash(body) == number(4);
        let record = whole.then(|| postcard::from_bytes(body).ok()).flatten();
        let Some(record) = record else {
            if !tail.is_empty() {
                parsed.damaged = Some(parsed.length);
            }
            break;
        };
        parsed.records.push((parsed.length, record));
        parsed.length += u64::try_from(HEAD_BYTES + length).unwrap_or_default();
        rest = tail;
    }
    parsed
}

/// The open log file.
#[derive(Debug)]
pub struct LogFile {
    file: fs::File,
    path: PathBuf,
    length: u64,
}

impl LogFile {
    /// Opens the file in a data folder, creating both, and cuts a torn tail.
    ///
    /// # Errors
    /// The file can't be read or written, or a record before its end is damaged.
    pub fn open(folder: &Path) -> Result<(Self, Vec<(u64, Record)>), LogError> {
        let path = folder.join("log");
        let failed = |cause| LogError::Io(path.clone(), cause);
        fs::create_dir_all(folder).map_err(failed)?;
        let mut file = fs::OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)
            .map_err(failed)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(failed)?;
        let parsed = parse(&bytes);
        if let Some(at) = parsed.damaged {
            return Err(LogError::Damaged(path, at));
        }
        file.set_len(parsed.length).map_err(failed)?;
        file.seek(io::SeekFrom::Start(parsed.length))
            .map_err(failed)?;
        let log = Self {
            file,
            path,
            length: parsed.length,
        };
        Ok((log, parsed.records))
    }

    /// Appends encoded records in one write and returns where the first starts.
    ///
    /// The bytes are with the operating system afterwards: they outlive the process, which is the
    /// failure that the tests cause, but not a power failure.
    ///
    /// # Panics
    /// The file can't be written; the member must not go on with a log that lacks a commit.
    pub fn append(&mut self, bytes: &[u8]) -> u64 {
        let at = self.length;
        if let Err(cause) = self.file.write_all(bytes) {
            panic!(
                "{}: {cause}; free space in the data folder",
                self.path.display()
            );
        }
        self.length += u64::try_from(bytes.len()).unwrap_or_default();
        at
    }

    /// Reads encoded records from byte `from` up to byte `to`.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn read(&self, from: u64, to: u64) -> io::Result<Vec<u8>> {
        let length = usize::try_from(to - from).map_err(io::Error::other)?;
        let mut bytes = vec![0; length];
        self.file.read_exact_at(&mut bytes, from)?;
        Ok(bytes)
    }

    /// Bytes in the file.
    #[must_use]
    pub const fn length(&self) -> u64 {
        self.length
    }
}
