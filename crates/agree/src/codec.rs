//! File formats: frames with a length and CRC-32 checksums, which hold writes to the log, snapshots
//! or the hard state.
//!
//! A frame is `length, CRC of the length, CRC of the body` (4 bytes each, little endian) and the
//! body. One write to the log is one frame, and the next write starts only after the sync of the
//! previous one, so a crash can tear the last frame only.

use std::collections::BTreeMap;

use base::HostName;

use crate::{
    compress::{compress, decompress},
    log::Entry,
};

/// Size of the frame header.
const HEADER_BYTES: usize = 12;
/// Unit of atomic disk writes. A torn frame lacks whole sectors; a frame with a wrong checksum but
/// no unwritten sector was damaged after it had been synced.
const SECTOR_BYTES: usize = 512;

/// One write to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Commit index that was known when the frame was written.
    pub commit: u64,
    /// Entries with consecutive indexes; they replace all entries from the first index on.
    pub entries: Vec<Entry>,
}

/// Content of a log file.
#[derive(Debug, PartialEq, Eq)]
pub struct LogFile {
    /// Complete frames in the order in which they were written.
    pub frames: Vec<Frame>,
    /// Whether a torn frame follows them.
    pub torn: bool,
}

/// Encodes a frame around a body.
pub fn wrap_frame(body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len())
        .expect("a file stays under 4 GiB")
        .to_le_bytes();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend(length);
    bytes.extend(crc32fast::hash(&length).to_le_bytes());
    bytes.extend(crc32fast::hash(body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// Result of decoding a frame; `Complete` has the body and the offset after the frame.
enum DecodedFrame<'a> {
    Complete(&'a [u8], usize),
    Torn,
    Corrupt(&'static str),
}

fn four_bytes(bytes: &[u8], at: usize) -> [u8; 4] {
    [bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]
}

fn decode_frame(bytes: &[u8], at: usize) -> DecodedFrame<'_> {
    let rest = &bytes[at..];
    if rest.len() < HEADER_BYTES || rest.iter().all(|byte| *byte == 0) {
        return DecodedFrame::Torn;
    }
    let length = four_bytes(rest, 0);
    if crc32fast::hash(&length).to_le_bytes() != four_bytes(rest, 4) {
        if has_unwritten_sector(bytes, at, at + HEADER_BYTES) {
            return DecodedFrame::Torn;
        }
        return DecodedFrame::Corrupt("wrong checksum of a length");
    }
    let end = HEADER_BYTES + u32::from_le_bytes(length) as usize;
    let Some(body) = rest.get(HEADER_BYTES..end) else {
        return DecodedFrame::Torn;
    };
    if crc32fast::hash(body).to_le_bytes() == four_bytes(rest, 8) {
        return DecodedFrame::Complete(body, at + end);
    }
    if rest.len() == end && has_unwritten_sector(bytes, at, at + end) {
        return DecodedFrame::Torn;
    }
    DecodedFrame::Corrupt("wrong checksum of a record")
}

/// Whether a range of a file contains a sector that was never written: only zeros between two
/// sector boundaries, or between a boundary and the end of the file.
fn has_unwritten_sector(bytes: &[u8], from: usize, to: usize) -> bool {
    let mut at = from;
    while at < to {
        let next = ((at / SECTOR_BYTES + 1) * SECTOR_BYTES).min(to);
        let zero = bytes[at..next].iter().all(|byte| *byte == 0);
        if zero
            && (next - at == SECTOR_BYTES
                || (next == bytes.len() && at.is_multiple_of(SECTOR_BYTES)))
        {
            return true;
        }
        at = next;
    }
    false
}

/// Decodes a file that consists of one frame and returns the body.
pub fn unwrap_frame(bytes: &[u8]) -> Result<&[u8], String> {
    match decode_frame(bytes, 0) {
        DecodedFrame::Complete(body, end) if end == bytes.len() => Ok(body),
        DecodedFrame::Complete(..) => Err("bytes after the record".into()),
        DecodedFrame::Torn => Err("the record is incomplete".into()),
        DecodedFrame::Corrupt(cause) => Err(cause.into()),
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
    wrap_frame(&body)
}

impl Frame {
    /// Encodes the frame.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode_frame(self.commit, &self.entries)
    }

    fn decode(body: &[u8]) -> Option<Self> {
        let (commit, rest) = split_u64(body)?;
        let (first, mut rest) = split_u64(rest)?;
        let mut entries = Vec::new();
        while !rest.is_empty() {
            let (term, after) = split_u64(rest)?;
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

fn split_u64(bytes: &[u8]) -> Option<(u64, &[u8])> {
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
        match decode_frame(bytes, at) {
            DecodedFrame::Complete(body, next) => {
                let frame =
                    Frame::decode(body).ok_or_else(|| format!("malformed record at byte {at}"))?;
                file.frames.push(frame);
                at = next;
            }
            DecodedFrame::Torn => {
                file.torn = true;
                break;
            }
            DecodedFrame::Corrupt(cause) => return Err(format!("{cause} at byte {at}")),
        }
    }
    Ok(file)
}

/// Flag in the length of the membership: the state of the machine is compressed.
const COMPRESSED: u64 = 1 << 63;
/// Largest state of the machine that is decompressed; it holds configuration, not data.
const MAX_MACHINE_BYTES: usize = 1 << 30;

/// Membership: the incarnation of each host that is a voter.
pub type Members = BTreeMap<HostName, u64>;

/// Snapshot of the state machine and the membership at a log index.
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
        let machine = compress(&self.machine);
        let mut body = Vec::with_capacity(members.len() + machine.len() + 24);
        body.extend(self.index.to_le_bytes());
        body.extend(self.term.to_le_bytes());
        body.extend((members.len() as u64 | COMPRESSED).to_le_bytes());
        body.extend(members);
        body.extend(machine);
        wrap_frame(&body)
    }

    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        let malformed = || "malformed record".to_owned();
        let (index, rest) = split_u64(unwrap_frame(bytes)?).ok_or_else(malformed)?;
        let (term, rest) = split_u64(rest).ok_or_else(malformed)?;
        let (length, rest) = split_u64(rest).ok_or_else(malformed)?;
        let is_compressed = length & COMPRESSED != 0;
        let length = usize::try_from(length & !COMPRESSED).unwrap_or(usize::MAX);
        let (members, machine) = rest.split_at_checked(length).ok_or_else(malformed)?;
        let machine = if is_compressed {
            decompress(machine, MAX_MACHINE_BYTES).map_err(|cause| cause.to_string())?
        } else {
            machine.to_vec()
        };
        Ok(Self {
            index,
            term,
            members: serde_json::from_slice(members).map_err(|cause| cause.to_string())?,
            machine,
        })
    }
}
