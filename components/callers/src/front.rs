//! What the HTTP side asks of the rest of the box.

use crate::chat::ChatRequest;
use bytes::Bytes;
use prelude::{AccountId, Refusal, RunState};
use std::future::Future;
use tokio::sync::mpsc;

/// One event of an answer, as the caller gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerEvent {
    /// A generation began, or was taken up again; its chunks follow. Before the first chunk this may
    /// come again, when the generation had to be started elsewhere.
    Began {
        /// Prefix of the ids of the events, from which any box can resume the stream.
        seal: String,
    },
    /// The next chunk.
    Chunk {
        /// Counts the chunks of the answer from zero.
        index: u64,
        /// JSON of the chunk.
        data: String,
    },
    /// The answer is whole.
    Done,
    /// The answer ends here and is not whole.
    Failed(StreamFailure),
}

/// Why an answer ended before it was whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamFailure {
    /// What the caller can rely on.
    pub run: RunState,
    /// For a person.
    pub message: String,
    /// Chunks that were delivered.
    pub delivered: u64,
    /// When to come back, where that helps.
    pub retry_after_ms: Option<u64>,
}

/// An answer that is being streamed.
pub struct OpenedStream {
    /// The events, in order.
    pub events: mpsc::Receiver<CallerEvent>,
}

/// What became of a request for a generation.
pub enum ChatAnswer {
    /// It runs.
    Stream(OpenedStream),
    /// It was not run.
    Refused(Refusal),
    /// It was not run because it is wrong.
    Invalid(String),
    /// The stream that was to be resumed is not known to this account.
    UnknownStream,
    /// The stream that was to be resumed ended with its engine.
    Lost(StreamFailure),
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Name of the service in the settings.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path below the service, with its query.
    pub path: String,
    /// The `Idempotency-Key`.
    pub key: Option<String>,
    /// Type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// What became of a call of a plain service.
#[derive(Clone, Debug)]
pub enum ServiceAnswer {
    /// It ran; this is the service's answer.
    Done {
        /// HTTP status.
        status: u16,
        /// Type of the body.
        content_type: Option<String>,
        /// The body.
        body: Bytes,
        /// Whether this is the recorded answer of an earlier request with the same key.
        replayed: bool,
    },
    /// It was not run.
    Refused(Refusal),
    /// It was not run because it is wrong.
    Invalid(String),
    /// It was not run: the key belongs to another request.
    KeyReused,
    /// No such service.
    NoService,
    /// It may have run, and will not be run again.
    Unknown(String),
}

/// The box behind the HTTP side.
pub trait Front: Clone + Send + Sync + 'static {
    /// The account to which a bearer key belongs.
    fn authenticate(&self, key: &str) -> Option<AccountId>;

    /// Names of the models that are served.
    fn models(&self) -> Vec<String>;

    /// Whether the balancer shall send new requests.
    fn ready(&self) -> bool;

    /// Starts a generation.
    fn chat(
        &self,
        account: AccountId,
        request: ChatRequest,
    ) -> impl Future<Output = ChatAnswer> + Send;

    /// Goes on with a stream after the event `last_event_id`.
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
