//! Event stream of one generation. Checks that chunks arrive in order and belong to the generation.

use eventsource_stream::{EventStream, Eventsource};
use futures::StreamExt;
use http_body_util::BodyDataStream;
use thiserror::Error;
use tokio::time::{Duration, timeout};

/// One event of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The next chunk of the generated answer.
    Chunk {
        /// Index of the chunk in its generation, from zero.
        index: u64,
        /// JSON of the chunk, as the engine sent it.
        data: String,
    },
    /// The answer is complete.
    Done,
}

/// Why a stream stopped. The generation may still be running at the engine.
#[derive(Debug, Error)]
pub enum StreamError {
    /// The connection failed.
    #[error("the link to the engine broke: {0}")]
    Broken(String),
    /// The connection was closed before the answer was complete.
    #[error("the engine's stream ended before its answer was whole")]
    EndedEarly,
    /// No event arrived within the timeout.
    #[error("the engine was silent for {silence_ms} ms")]
    Silent {
        /// The timeout, in milliseconds.
        silence_ms: u64,
    },
    /// An event arrived that is not the next chunk of this generation.
    #[error("expected chunk {expected} of this generation, got `{got}`")]
    OutOfOrder {
        /// Index of the next chunk.
        expected: u64,
        /// Event id that was received.
        got: String,
    },
}

type SseEvents = EventStream<BodyDataStream<reqwest::Body>>;

/// An open stream from an engine.
pub struct EngineStream {
    events: SseEvents,
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

    /// Index that the next chunk must have.
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Waits for the next event.
    ///
    /// # Errors
    /// [`StreamError`]; the stream is unusable afterwards. The generation may be resumed at the
    /// engine from [`EngineStream::next_index`].
    pub async fn next(&mut self) -> Result<EngineEvent, StreamError> {
        let silence_timeout = Duration::from_millis(self.silence_ms);
        let event = match timeout(silence_timeout, self.events.next()).await {
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

/// Returns the index from an event id of the form `GENERATION:INDEX`, or `None` if the id is
/// malformed or of another generation.
fn chunk_index(id: &str, generation: &str) -> Option<u64> {
    let rest = id.strip_prefix(generation)?;
    rest.strip_prefix(':')?.parse().ok()
}

#[cfg(test)]
#[path = "stream_tests.rs"]
mod tests;
