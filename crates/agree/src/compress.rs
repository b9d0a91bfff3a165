//! Compression of long texts in entries and snapshots. A configuration shrinks to about a tenth.

use std::io::{self, Read as _, Write as _};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

/// Compresses bytes, quickly rather than well.
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(bytes);
    written
        .and_then(|()| encoder.finish())
        .expect("a vector takes any bytes")
}

/// Decompresses up to `limit` bytes.
///
/// # Errors
/// The bytes are damaged, or they decompress to more.
pub fn decompress(bytes: &[u8], limit: usize) -> io::Result<Vec<u8>> {
    let mut decompressed = Vec::new();
    let most = limit as u64 + 1;
    DeflateDecoder::new(bytes)
        .take(most)
        .read_to_end(&mut decompressed)?;
    if decompressed.len() > limit {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("more than {limit} bytes"),
        ));
    }
    Ok(decompressed)
}
