//! Compact patches between two texts, for sending configuration changes over the network.
//!
//! A text is split into blocks, each of which begins with a line that starts with `[`, like a TOML
//! table. A patch refers to runs of blocks of the old text, contains the new blocks, and is
//! compressed.

use std::io::{self, Read as _, Write as _};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize};

use crate::Map;

/// Maximum size of a decompressed patch, in bytes: well above a document of 100,000 routes.
const MAX_PATCH_BYTES: u64 = 64 << 20;

/// A part of the new text.
#[derive(Debug, Serialize, Deserialize)]
enum Part<'a> {
    /// Run of blocks of the old text: index of the first block and number of blocks.
    Old(usize, usize),
    /// Text that the old text does not contain.
    New(&'a str),
}

/// Creates the patch that turns `old` into `new`.
///
/// ```
/// use base::patch;
///
/// let old = "a = 1\n[[route]]\nname = \"x\"\n";
/// let new = "a = 1\n[[route]]\nname = \"x\"\n[[route]]\nname = \"y\"\n";
/// let patch = patch::diff(old, new)?;
/// assert_eq!(patch::apply(old, &patch)?, new);
/// # std::io::Result::Ok(())
/// ```
///
/// # Errors
/// Never in practice, because it writes to memory only.
pub fn diff(old: &str, new: &str) -> io::Result<Vec<u8>> {
    let old_blocks = blocks(old);
    let positions: Map<&str, usize> = old_blocks
        .iter()
        .enumerate()
        .map(|(i, b)| (*b, i))
        .collect();
    let mut parts: Vec<Part<'_>> = Vec::new();
    // Bounds of the last `New` part within `new`, so that following blocks can extend it.
    let mut start = 0;
    let mut end = 0;
    for block in blocks(new) {
        let from = end;
        end += block.len();
        match (positions.get(block), parts.last_mut()) {
            (Some(&position), Some(Part::Old(first, count))) if *first + *count == position => {
                *count += 1;
            }
            (Some(&position), _) => parts.push(Part::Old(position, 1)),
            (None, Some(Part::New(text))) => *text = &new[start..end],
            (None, _) => {
                start = from;
                parts.push(Part::New(block));
            }
        }
    }
    let encoded = postcard::to_stdvec(&parts).map_err(io::Error::other)?;
    let mut compressed = DeflateEncoder::new(Vec::new(), Compression::fast());
    compressed.write_all(&encoded)?;
    compressed.finish()
}

/// Applies a patch to the text that it was created from.
///
/// # Errors
/// The patch is corrupt or was created from another text.
pub fn apply(old: &str, patch: &[u8]) -> io::Result<String> {
    let mut encoded = Vec::new();
    DeflateDecoder::new(patch)
        .take(MAX_PATCH_BYTES)
        .read_to_end(&mut encoded)?;
    let invalid = |cause: &str| io::Error::new(io::ErrorKind::InvalidData, cause);
    let parts: Vec<Part<'_>> =
        postcard::from_bytes(&encoded).map_err(|cause| invalid(&cause.to_string()))?;
    let old_blocks = blocks(old);
    let mut new = String::new();
    for part in parts {
        match part {
            Part::Old(first, count) => {
                let last = first.checked_add(count);
                let old = last.and_then(|last| old_blocks.get(first..last));
                let old = old.ok_or_else(|| invalid("the patch was created from another text"))?;
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
