//! Interface between the HTTP server and the request handling of the box.

use crate::chat::ChatRequest;
use bytes::Bytes;
use prelude::{AccountId, Refusal, RunState};
use std::future::Future;
use tokio::sync::mpsc;

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerEvent {
    /// A generation was started or resumed; its chunks follow. This event repeats if the generation
    /// is restarted on another engine before its first chunk.
    Began {
        /// Prefix of the event ids: a signed resume token with which any box can resume the stream.
        seal: String,
    },
    /// The next chunk.
    Chunk {
        /// Index of the chunk in the answer, from zero.
        index: u64,
        /// JSON of the chunk.
        data: String,
    },
    /// The answer is complete.
    Done,
    /// The stream ended before the answer was complete.
    Failed(StreamFailure),
}

/// Why a stream ended before the answer was complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamFailure {
    /// Whether and how far the request was run.
    pub run: RunState,
    /// Human-readable reason.
    pub message: String,
    /// Number of chunks delivered to the caller.
    pub delivered: u64,
    /// Delay in milliseconds after which a retry may succeed.
    pub retry_after_ms: Option<u64>,
}

/// An open stream of an answer.
pub struct OpenedStream {
    /// The events, in order.
    pub events: mpsc::Receiver<CallerEvent>,
}

/// Result of a chat-completions request.
pub enum ChatAnswer {
    /// The generation is running.
    Stream(OpenedStream),
    /// The request was not run.
    Refused(Refusal),
    /// The request is invalid and was not run. Holds the message for the caller.
    Invalid(String),
    /// The resume token is invalid or belongs to another account.
    UnknownStream,
    /// The stream cannot be resumed, because its engine was lost.
    Lost(StreamFailure),
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Name of the service in the settings.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path relative to the service, with the query.
    pub path: String,
    /// Value of the `Idempotency-Key` header.
    pub key: Option<String>,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// Result of a call of a plain service.
#[derive(Clone, Debug)]
pub enum ServiceAnswer {
    /// The call ran; this is the response of the service.
    Done {
        /// HTTP status.
        status: u16,
        /// Content type of the body.
        content_type: Option<String>,
        /// The body.
        body: Bytes,
        /// Whether this is the recorded response to an earlier request with the same key.
        replayed: bool,
    },
    /// The request was not run.
    Refused(Refusal),
    /// The request is invalid and was not run. Holds the message for the caller.
    Invalid(String),
    /// The call was not run: its key was already used for a different request.
    KeyReused,
    /// The service does not exist.
    NoService,
    /// The call may have run, and is not retried.
    Unknown(String),
}

/// Handler of the requests that the HTTP server accepts.
pub trait Front: Clone + Send + Sync + 'static {
    /// Returns the account to which a bearer key belongs.
    fn authenticate(&self, key: &str) -> Option<AccountId>;

    /// Returns the names of the served models.
    fn models(&self) -> Vec<String>;

    /// Returns whether the load balancer should send new requests (readiness).
    fn ready(&self) -> bool;

    /// Starts a generation.
    fn chat(
        &self,
        account: AccountId,
        request: ChatRequest,
    ) -> impl Future<Output = ChatAnswer> + Send;

    /// Resumes a stream after the event `last_event_id`.
    fn resume(
        &self,
        account: AccountId,
        last_event_id: &str,
    ) -> impl Future<Output = ChatAnswer> + Send;

    /// Calls a plain service.
    fn call(
        &self,
        account: AccountId,
        call: ServiceCall,
    ) -> impl Future<Output = ServiceAnswer> + Send;
}
