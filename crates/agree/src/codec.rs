//! Format of the files: frames with length and CRC-32, log batches, snapshots.
//!
//! A frame is `length, CRC of the length, CRC of the body` (4 bytes each, little endian) and the
//! body. One write to the log is one frame, and the next write starts only after the sync of the
//! previous one, so a crash can tear the last frame only.

use std::collections::BTreeMap;

use base::HostName;

use crate::log::Entry;

const HEADER: usize = 12;
/// Unit of atomic disk writes. A torn frame lacks whole sectors; a frame with a wrong checksum and
/// no missing sector was damaged after it had been synced.
const SECTOR: usize = 512;

/// One durable write to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Commit index that was known when the frame was written.
    pub commit: u64,
    /// Entries with consecutive indexes; they replace everything in the log from the first on.
    pub entries: Vec<Entry>,
}

/// Content of a log file.
#[derive(Debug, PartialEq, Eq)]
pub struct LogFile {
    /// Whole frames in the order in which they were written.
    pub frames: Vec<Frame>,
    /// Whether a torn frame follows them.
    pub torn: bool,
}

/// Adds the header to a body.
pub fn seal(body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len())
        .expect("a file stays under 4 GiB")
        .to_le_bytes();
    let mut bytes = Vec::with_capacity(HEADER + body.len());
    bytes.extend(length);
    bytes.extend(crc32fast::hash(&length).to_le_bytes());
    bytes.extend(crc32fast::hash(body).to_le_bytes());
    bytes.extend(body);
    bytes
}

enum Opened<'a> {
    Whole(&'a [u8], usize),
    Torn,
    Corrupt(&'static str),
}

fn word(bytes: &[u8], at: usize) -> [u8; 4] {
    [bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]
}

fn open(bytes: &[u8], at: usize) -> Opened<'_> {
    let rest = &bytes[at..];
    if rest.len() < HEADER || rest.iter().all(|byte| *byte == 0) {
        return Opened::Torn;
    }
    let length = word(rest, 0);
    if crc32fast::hash(&length).to_le_bytes() != word(rest, 4) {
        if missing(bytes, at, at + HEADER) {
            return Opened::Torn;
        }
        return Opened::Corrupt("wrong checksum of a length");
    }
    let end = HEADER + u32::from_le_bytes(length) as usize;
    let Some(body) = rest.get(HEADER..end) else {
        return Opened::Torn;
    };
    if crc32fast::hash(body).to_le_bytes() == word(rest, 8) {
        return Opened::Whole(body, at + end);
    }
    if rest.len() == end && missing(bytes, at, at + end) {
        return Opened::Torn;
    }
    Opened::Corrupt("wrong checksum of a record")
}

/// Whether the part of a file contains a sector that was never written: only zeros between two
/// sector borders, or between a border and the end of the file.
fn missing(bytes: &[u8], from: usize, to: usize) -> bool {
    let mut at = from;
    while at < to {
        let next = ((at / SECTOR + 1) * SECTOR).min(to);
        let zero = bytes[at..next].iter().all(|byte| *byte == 0);
        if zero && (next - at == SECTOR || (next == bytes.len() && at.is_multiple_of(SECTOR))) {
            return true;
        }
        at = next;
    }
    false
}

/// Takes the body out of a file that is one frame.
pub fn unseal(bytes: &[u8]) -> Result<&[u8], String> {
    match open(bytes, 0) {
        Opened::Whole(body, end) if end == bytes.len() => Ok(body),
        Opened::Whole(..) => Err("bytes after the record".into()),
        Opened::Torn => Err("the record is incomplete".into()),
        Opened::Corrupt(cause) => Err(cause.into()),
    }
}

/// Encodes one write to the log.
pub fn encode_frame(commit: u64, entries: &[Entry]) -> Vec<u8> {
    let mut body = Vec::new();
    body.extend(commit.to_le_bytes());
    body.extend(entries.first().map_or(0, |entry| entry.index).to_le_bytes());
    for entry in entries {
        let length = u32::try_from(entry.payload.len()).expect("payloads are bounded");
        body.extend(entry.term.to_le_bytes());
        body.extend(length.to_le_bytes());
        body.extend(&*entry.payload);
    }
    seal(&body)
}

impl Frame {
    /// Bytes of the frame in the file.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode_frame(self.commit, &self.entries)
    }

    fn decode(body: &[u8]) -> Option<Self> {
        let (commit, rest) = number(body)?;
        let (first, mut rest) = number(rest)?;
        let mut entries = Vec::new();
        while !rest.is_empty() {
            let (term, after) = number(rest)?;
            let (length, after) = after.split_first_chunk()?;
            let length = u32::from_le_bytes(*length) as usize;
            let (payload, after) = after.split_at_checked(length)?;
            entries.push(Entry {
                index: first.checked_add(entries.len() as u64)?,
                term,
                payload: payload.into(),
            });
            rest = after;
        }
        Some(Self { commit, entries })
    }
}

fn number(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let (number, rest) = bytes.split_first_chunk()?;
    Some((u64::from_le_bytes(*number), rest))
}

/// Parses a log file.
///
/// # Errors
/// The file is damaged in a way that a crash during a write does not explain.
///
/// ```
/// let frame = agree::Frame { commit: 0, entries: Vec::new() };
/// let mut bytes = frame.encode();
/// bytes.extend(&frame.encode()[..5]);
/// let file = agree::parse_log(&bytes).unwrap();
/// assert_eq!((file.frames, file.torn), (vec![frame], true));
/// ```
pub fn parse_log(bytes: &[u8]) -> Result<LogFile, String> {
    let mut file = LogFile {
        frames: Vec::new(),
        torn: false,
    };
    let mut at = 0;
    while at < bytes.len() {
        match open(bytes, at) {
            Opened::Whole(body, next) => {
                let frame =
                    Frame::decode(body).ok_or_else(|| format!("malformed record at byte {at}"))?;
                file.frames.push(frame);
                at = next;
            }
            Opened::Torn => {
                file.torn = true;
                break;
            }
            Opened::Corrupt(cause) => return Err(format!("{cause} at byte {at}")),
        }
    }
    Ok(file)
}

/// Who is a voter: the incarnation of each host.
pub type Members = BTreeMap<HostName, u64>;

/// Snapshot of the machine.
#[derive(Debug, PartialEq, Eq)]
pub struct Snapshot {
    pub index: u64,
    pub term: u64,
    pub members: Members,
    pub machine: Vec<u8>,
}

impl Snapshot {
    pub fn encode(&self) -> Vec<u8> {
        let members = serde_json::to_vec(&self.members).expect("a map of names to numbers");
        let mut body = Vec::with_capacity(members.len() + self.machine.len() + 24);
        body.extend(self.index.to_le_bytes());
        body.extend(self.term.to_le_bytes());
        body.extend((members.len() as u64).to_le_bytes());
        body.extend(members);
        body.extend(&self.machine);
        seal(&body)
    }

    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        let malformed = || "malformed record".to_owned();
        let (index, rest) = number(unseal(bytes)?).ok_or_else(malformed)?;
        let (term, rest) = number(rest).ok_or_else(malformed)?;
        let (length, rest) = number(rest).ok_or_else(malformed)?;
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        let (members, machine) = rest.split_at_checked(length).ok_or_else(malformed)?;
        Ok(Self {
            index,
            term,
            members: serde_json::from_slice(members).map_err(|cause| cause.to_string())?,
            machine: machine.to_vec(),
        })
    }
}
