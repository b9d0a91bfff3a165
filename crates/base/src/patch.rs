//! Changes between two texts, in a form that is short on the wire.
//!
//! A text is taken as blocks that each begin with a line starting with `[`, as the tables of TOML
//! do. A change names runs of blocks of the old text and holds the others, compressed.

use std::io::{self, Read as _, Write as _};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize};

use crate::Map;

/// Longest change once it is decompressed, in bytes: well above a document of 100,000 routes.
const BYTES_MAX: u64 = 64 << 20;

/// A part of the new text.
#[derive(Debug, Serialize, Deserialize)]
enum Part<'a> {
    /// Blocks of the old text: the first and how many.
    Old(usize, usize),
    /// Text.
    New(&'a str),
}

/// Makes the change that leads from `old` to `new`.
///
/// ```
/// use base::patch;
///
/// let old = "a = 1\n[[route]]\nname = \"x\"\n";
/// let new = "a = 1\n[[route]]\nname = \"x\"\n[[route]]\nname = \"y\"\n";
/// let change = patch::diff(old, new)?;
/// assert_eq!(patch::apply(old, &change)?, new);
/// # std::io::Result::Ok(())
/// ```
///
/// # Errors
/// Never: it writes into memory.
pub fn diff(old: &str, new: &str) -> io::Result<Vec<u8>> {
    let before = blocks(old);
    let places: Map<&str, usize> = before.iter().enumerate().map(|(i, b)| (*b, i)).collect();
    let mut parts: Vec<Part<'_>> = Vec::new();
    // Where the text of the last part ends in `new`, so that it can grow.
    let mut start = 0;
    let mut end = 0;
    for block in blocks(new) {
        let from = end;
        end += block.len();
        match (places.get(block), parts.last_mut()) {
            (Some(&place), Some(Part::Old(first, count))) if *first + *count == place => {
                *count += 1;
            }
            (Some(&place), _) => parts.push(Part::Old(place, 1)),
            (None, Some(Part::New(text))) => *text = &new[start..end],
            (None, _) => {
                start = from;
                parts.push(Part::New(block));
            }
        }
    }
    let plain = postcard::to_stdvec(&parts).map_err(io::Error::other)?;
    let mut packed = DeflateEncoder::new(Vec::new(), Compression::fast());
    packed.write_all(&plain)?;
    packed.finish()
}

/// Applies a change to the text that it was made from.
///
/// # Errors
/// The change is damaged or belongs to another text.
pub fn apply(old: &str, change: &[u8]) -> io::Result<String> {
    let mut plain = Vec::new();
    DeflateDecoder::new(change)
        .take(BYTES_MAX)
        .read_to_end(&mut plain)?;
    let wrong = |cause: &str| io::Error::new(io::ErrorKind::InvalidData, cause);
    let parts: Vec<Part<'_>> =
        postcard::from_bytes(&plain).map_err(|cause| wrong(&cause.to_string()))?;
    let before = blocks(old);
    let mut new = String::new();
    for part in parts {
        match part {
            Part::Old(first, count) => {
                let last = first.checked_add(count);
                let old = last.and_then(|last| before.get(first..last));
                let old = old.ok_or_else(|| wrong("the change belongs to another text"))?;
                new.extend(old.iter().copied());
            }
            Part::New(text) => new.push_str(text),
        }
    }
    Ok(new)
}

/// Splits a text before each line that starts with `[`.
fn blocks(text: &str) -> Vec<&str> {
    let mut blocks = Vec::new();
    let mut start = 0;
    for (at, _) in text.match_indices("\n[") {
        blocks.push(&text[start..=at]);
        start = at + 1;
    }
    if start < text.len() {
        blocks.push(&text[start..]);
    }
    blocks
}
