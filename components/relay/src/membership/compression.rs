//! The operators' declarations as they travel between boxes: some ten times shorter than they lie in the
//! store, for links of a few Mbit/s and changes that come in quick succession.

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use std::io::{self, Read, Write};

/// Longest text that is unpacked: some times the largest value that a store may hold.
const TEXT_BYTES_MAX: u64 = 8 * 1024 * 1024;

/// Packs a text.
pub(crate) fn compress(text: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let packed = encoder.write_all(text).and_then(|()| encoder.finish());
    packed.unwrap_or_else(|_| unreachable!("writing to memory does not fail"))
}

/// Unpacks a text.
///
/// # Errors
/// Where it is torn, or longer than any text of ours.
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
