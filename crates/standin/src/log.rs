//! Append-only log file of a member: committed transactions, terms and role changes.
//!
//! A record consists of the length and the CRC-32 of its body, each a 32-bit little-endian number,
//! followed by the body.

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

/// Size of the record header, in bytes.
const HEADER_BYTES: usize = 8;
/// Longest body of a record, in bytes.
const MAX_BODY_BYTES: usize = 256 << 20;

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
    /// Id of the store; always the first record.
    Store(StoreId),
    /// Committed transaction.
    Entry(Entry),
    /// This member became primary of a term.
    Lead(Term),
    /// This member started to follow the primary of a term.
    Follow(Term, SocketAddr),
    /// The log was truncated to its common prefix with the primary's log: entries after `offset`
    /// are void, and `terms` replaces the list of terms.
    Adopt {
        /// Term of the primary.
        term: Term,
        /// Offset of the last common entry.
        offset: u64,
        /// Terms in order, each with the offset of the last entry before it.
        terms: Vec<(Term, u64)>,
    },
}

/// Error opening a log file.
#[derive(Debug)]
pub enum LogError {
    /// The file can't be read or written.
    Io(PathBuf, io::Error),
    /// The record at this byte is corrupt and is not the last one.
    Damaged(PathBuf, u64),
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(path, cause) => write!(
                f,
                "cannot access log file {}: {cause}; make the data folder readable and writable",
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
/// The encoded record is over 256 MiB, which no transaction is expected to reach.
#[must_use]
pub fn encode(record: &Record) -> Vec<u8> {
    let body = postcard::to_allocvec(record).expect("records can be serialized");
    assert!(
        body.len() <= MAX_BODY_BYTES,
        "a transaction is too large to log"
    );
    let length = u32::try_from(body.len()).expect("bodies are under 256 MiB");
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Parsed content of a log file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parsed {
    /// Records, each with its byte offset.
    pub records: Vec<(u64, Record)>,
    /// Length of these records in bytes; any bytes after them are a torn write.
    pub length: u64,
    /// Byte offset of a corrupt record that is not the last one.
    pub damaged: Option<u64>,
}

/// Parses the content of a log file.
///
/// A crash during a write can leave the last record incomplete or corrupt; such a record is
/// ignored.
#[must_use]
pub fn parse(bytes: &[u8]) -> Parsed {
    let mut parsed = Parsed {
        records: Vec::new(),
        length: 0,
        damaged: None,
    };
    let mut rest = bytes;
    while let Some((header, tail)) = rest.split_at_checked(HEADER_BYTES) {
        let number =
            |i: usize| u32::from_le_bytes([header[i], header[i + 1], header[i + 2], header[i + 3]]);
        let length = usize::try_from(number(0)).unwrap_or(usize::MAX);
        // After a crash of the host the file may end in zeros, if it was extended before its data
        // was written.
        if length == 0 && rest.iter().all(|&byte| byte == 0) {
            break;
        }
        let Some((body, tail)) = tail.split_at_checked(length) else {
            break;
        };
        let intact = length <= MAX_BODY_BYTES && crc32fast::hash(body) == number(4);
        let record = intact.then(|| postcard::from_bytes(body).ok()).flatten();
        let Some(record) = record else {
            if !tail.is_empty() {
                parsed.damaged = Some(parsed.length);
            }
            break;
        };
        parsed.records.push((parsed.length, record));
        parsed.length += u64::try_from(HEADER_BYTES + length).unwrap_or_default();
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
    /// Opens the file in a data folder, creating both if needed, and truncates a torn write.
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
    /// The file is not synced: the bytes survive a crash of the process, the failure that tests
    /// cause, but not a power failure.
    ///
    /// # Panics
    /// The file can't be written; continuing would lose a commit from the log.
    pub fn append(&mut self, bytes: &[u8]) -> u64 {
        let at = self.length;
        if let Err(cause) = self.file.write_all(bytes) {
            panic!(
                "cannot write log file {}: {cause}; free space in the data folder",
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
