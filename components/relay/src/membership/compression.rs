//! Compression of the operators' declarations and of target snapshots. Declarations shrink to about a tenth of their size in the
//! store, which suits links of a few Mbit/s and changes in quick succession.

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use std::io::{self, Read, Write};

/// Longest text that is decompressed: several times the largest value that a store may hold.
const TEXT_BYTES_MAX: u64 = 8 * 1024 * 1024;

/// Compresses a text with DEFLATE.
pub(crate) fn compress(text: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let packed = encoder.write_all(text).and_then(|()| encoder.finish());
    packed.unwrap_or_else(|_| unreachable!("writing to memory does not fail"))
}

/// Decompresses a DEFLATE text.
///
/// # Errors
/// If the data is corrupt, or the text is longer than `TEXT_BYTES_MAX`.
pub(crate) fn decompress(packed: &[u8]) -> io::Result<Vec<u8>> {
    let mut text = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(TEXT_BYTES_MAX + 1);
    decoder.read_to_end(&mut text)?;
    match text.len() as u64 > TEXT_BYTES_MAX {
        true => Err(io::ErrorKind::FileTooLarge.into()),
        false => Ok(text),
    }
}

#[cfg(test)]
#[path = "compression_tests.rs"]
mod tests;
