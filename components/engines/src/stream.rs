//! The events of one generation, checked to come in order and from that generation only.

use eventsource_stream::{EventStream, Eventsource};
use futures::StreamExt;
use http_body_util::BodyDataStream;
use thiserror::Error;
use tokio::time::{Duration, timeout};

/// One event of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The next chunk of the answer.
    Chunk {
        /// Counts the chunks of a generation from zero.
        index: u64,
        /// The chunk's JSON, as the engine wrote it.
        data: String,
    },
    /// The answer is whole.
    Done,
}

/// Why a stream gave no further event. The generation may still live at the engine.
#[derive(Debug, Error)]
pub enum StreamError {
    /// The link broke.
    #[error("the link to the engine broke: {0}")]
    Broken(String),
    /// The link ended before the answer did.
    #[error("the engine's stream ended before its answer was whole")]
    EndedEarly,
    /// Nothing came for too long.
    #[error("the engine was silent for {silence_ms} ms")]
    Silent {
        /// How long was waited.
        silence_ms: u64,
    },
    /// An event came that is not the next of this generation.
    #[error("expected chunk {expected} of this generation, got `{got}`")]
    OutOfOrder {
        /// The next index.
        expected: u64,
        /// The id that came.
        got: String,
    },
}

type Events = EventStream<BodyDataStream<reqwest::Body>>;

/// An open stream from an engine.
pub struct EngineStream {
    events: Events,
    generation: String,
    next_index: u64,
    silence_ms: u64,
}

impl EngineStream {
    pub(crate) fn new(
        response: reqwest::Response,
        generation: String,
        next_index: u64,
        silence_ms: u64,
    ) -> Self {
        let body = http::Response::from(response).into_body();
        Self {
            events: BodyDataStream::new(body).eventsource(),
            generation,
            next_index,
            silence_ms,
        }
    }

    /// The index that the next chunk must have.
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Waits for the next event.
    ///
    /// # Errors
    /// [`StreamError`]; the stream is of no further use then, and may be resumed at the engine from
    /// [`EngineStream::next_index`].
    pub async fn next(&mut self) -> Result<EngineEvent, StreamError> {
        let wait = Duration::from_millis(self.silence_ms);
        let event = match timeout(wait, self.events.next()).await {
            Err(_) => {
                return Err(StreamError::Silent {
                    silence_ms: self.silence_ms,
                });
            }
            Ok(None) => return Err(StreamError::EndedEarly),
            Ok(Some(Err(error))) => return Err(StreamError::Broken(error.to_string())),
            Ok(Some(Ok(event))) => event,
        };
        if event.data == "[DONE]" {
            return Ok(EngineEvent::Done);
        }
        let index = chunk_index(&event.id, &self.generation);
        if index != Some(self.next_index) {
            return Err(StreamError::OutOfOrder {
                expected: self.next_index,
                got: event.id,
            });
        }
        self.next_index += 1;
        Ok(EngineEvent::Chunk {
            index: self.next_index - 1,
            data: event.data,
        })
    }
}

/// The index in an event id of the form `GENERATION:INDEX`, where it is of this generation.
fn chunk_index(id: &str, generation: &str) -> Option<u64> {
    let rest = id.strip_prefix(generation)?;
    rest.strip_prefix(':')?.parse().ok()
}

#[cfg(test)]
#[path = "stream_tests.rs"]
mod tests;
