//! Where a body ends, and its bytes one piece at a time.

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// Longest line before a chunk, and longest line of a trailer.
const LINE_BYTES_MAX: usize = 1024;
/// Longest trailer.
const TRAILER_BYTES_MAX: usize = 8192;

/// Where a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After so many bytes.
    Length(u64),
    /// After the last chunk.
    Chunked,
    /// With the channel.
    UntilClose,
}

/// Why a body cannot be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    /// Its chunks are not well formed.
    #[error("the body's chunks are not well formed")]
    Malformed,
    /// The channel ended before the body did.
    #[error("the body ended early")]
    Short,
}

/// What could be read of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Some of its bytes.
    Data(Bytes),
    /// Nothing until more has come.
    More,
    /// Its end.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Fixed { left: u64 },
    ToClose,
    Size,
    Chunk { left: u64 },
    ChunkEnd,
    Trailer { bytes: usize },
    Done,
}

/// Takes a body out of the bytes of a channel.
#[derive(Clone, Copy, Debug)]
pub struct Decoder(State);

impl Decoder {
    /// A decoder at the start of a body.
    pub fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::Length(left) => State::Fixed { left },
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::ToClose,
        })
    }

    /// Takes the next piece out of `buffer`.
    ///
    /// # Errors
    /// [`BodyError::Malformed`].
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Piece, BodyError> {
        loop {
            match self.0 {
                State::Done | State::Fixed { left: 0 } => {
                    self.0 = State::Done;
                    return Ok(Piece::End);
                }
                _ if buffer.is_empty() => return Ok(Piece::More),
                State::Fixed { left } => {
                    let data = take(buffer, left);
                    self.0 = State::Fixed {
                        left: left - data.len() as u64,
                    };
                    return Ok(Piece::Data(data));
                }
                State::ToClose => return Ok(Piece::Data(buffer.split().freeze())),
                State::Chunk { left } => {
                    let data = take(buffer, left);
                    let left = left - data.len() as u64;
                    self.0 = match left {
                        0 => State::ChunkEnd,
                        left => State::Chunk { left },
                    };
                    return Ok(Piece::Data(data));
                }
                State::ChunkEnd | State::Size | State::Trailer { .. } => {
                    let Some(line) = line(buffer)? else {
                        return Ok(Piece::More);
                    };
                    self.0 = self.after_line(&line)?;
                }
            }
        }
    }

    /// What it means that the channel was closed in good order.
    ///
    /// # Errors
    /// [`BodyError::Short`], where the body had not ended.
    pub fn closed(&mut self) -> Result<(), BodyError> {
        match self.0 {
            State::Done | State::ToClose | State::Fixed { left: 0 } => {
                self.0 = State::Done;
                Ok(())
            }
            _ => Err(BodyError::Short),
        }
    }

    fn after_line(&self, line: &[u8]) -> Result<State, BodyError> {
        match self.0 {
            State::ChunkEnd if line.is_empty() => Ok(State::Size),
            State::Size => match chunk_size(line)? {
                0 => Ok(State::Trailer { bytes: 0 }),
                left => Ok(State::Chunk { left }),
            },
            State::Trailer { .. } if line.is_empty() => Ok(State::Done),
            State::Trailer { bytes } if bytes + line.len() <= TRAILER_BYTES_MAX => {
                Ok(State::Trailer {
                    bytes: bytes + line.len(),
                })
            }
            _ => Err(BodyError::Malformed),
        }
    }
}

fn take(buffer: &mut BytesMut, most: u64) -> Bytes {
    let length = usize::try_from(most)
        .unwrap_or(usize::MAX)
        .min(buffer.len());
    buffer.split_to(length).freeze()
}

/// Takes a line that ends in CR LF, without its end.
fn line(buffer: &mut BytesMut) -> Result<Option<Bytes>, BodyError> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return match buffer.len() > LINE_BYTES_MAX {
            true => Err(BodyError::Malformed),
            false => Ok(None),
        };
    };
    if end == 0 || buffer[end - 1] != b'\r' || end > LINE_BYTES_MAX {
        return Err(BodyError::Malformed);
    }
    let line = buffer.split_to(end - 1).freeze();
    buffer.advance(2);
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line
        .iter()
        .take_while(|byte| byte.is_ascii_hexdigit())
        .count();
    let rest = line[digits..]
        .iter()
        .find(|byte| !matches!(byte, b' ' | b'\t'));
    if digits == 0 || digits > 15 || rest.is_some_and(|byte| *byte != b';') {
        return Err(BodyError::Malformed);
    }
    let text = std::str::from_utf8(&line[..digits]).map_err(|_| BodyError::Malformed)?;
    u64::from_str_radix(text, 16).map_err(|_| BodyError::Malformed)
}

/// Writes one chunk of a chunked body.
pub fn push_chunk(out: &mut Vec<u8>, data: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}
