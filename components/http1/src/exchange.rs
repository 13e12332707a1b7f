//! One small request and its whole answer, as control calls need them.

use crate::body::{BodyError, Decoder, Piece};
use crate::channel::{Channel, ChannelError};
use crate::headers::Headers;
use bytes::Bytes;
use std::io;
use std::time::Duration;
use thiserror::Error;

/// Why a call has no answer.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// Nothing was sent.
    #[error("no channel: {0}")]
    NotSent(io::Error),
    /// The call was sent and may have been carried out.
    #[error("no whole answer: {0}")]
    NoAnswer(String),
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The fields.
    pub headers: Headers,
    /// The body.
    pub body: Bytes,
    /// Whether the channel can be used again.
    pub reusable: bool,
}

/// What an answer may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerLimits {
    /// Time until it is whole, from the start of the request.
    pub time: Duration,
    /// Bytes of its body.
    pub body_bytes: usize,
}

/// Sends `request` on a channel and reads its answer.
///
/// # Errors
/// [`ExchangeError::NoAnswer`], also where the answer exceeds its limits.
pub async fn exchange(
    channel: &mut Channel,
    request: &[u8],
    limits: AnswerLimits,
) -> Result<Answer, ExchangeError> {
    let exchanging = async {
        channel.write(request).await.map_err(ChannelError::from)?;
        read_answer(channel, limits.body_bytes).await
    };
    match tokio::time::timeout(limits.time, exchanging).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(error)) => Err(ExchangeError::NoAnswer(error.to_string())),
        Err(_) => Err(ExchangeError::NoAnswer("no answer in time".into())),
    }
}

async fn read_answer(channel: &mut Channel, body_bytes_max: usize) -> Result<Answer, ChannelError> {
    let head = channel.response().await?;
    let mut decoder = Decoder::new(head.framing);
    let mut body = Vec::new();
    loop {
        match decoder.next(&mut channel.buffer).map_err(broken)? {
            Piece::Data(data) if body.len() + data.len() > body_bytes_max => {
                return Err(
                    io::Error::new(io::ErrorKind::InvalidData, "the body is too long").into(),
                );
            }
            Piece::Data(data) => body.extend_from_slice(&data),
            Piece::End => break,
            Piece::More => {
                if channel.fill().await? == 0 {
                    decoder.closed().map_err(broken)?;
                    break;
                }
            }
        }
    }
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        body: body.into(),
        reusable: !head.closes && channel.buffer.is_empty(),
    })
}

fn broken(error: BodyError) -> ChannelError {
    ChannelError::Io(io::Error::new(io::ErrorKind::InvalidData, error))
}
