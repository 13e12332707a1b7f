//! HTTP API for callers: chat completions, plain services and health checks. An implementation of
//! [`Front`] handles the requests.

mod chat;
mod errors;
mod front;
mod routes;
mod seal;
mod server;
mod sse;
mod unstreamed;

pub use chat::{ChatRequest, parse_chat};
pub use errors::{ErrorBody, ErrorDetail};
pub use front::{
    CallerEvent, ChatAnswer, Front, OpenedStream, ServiceAnswer, ServiceCall, StreamFailure,
};
pub use seal::{ResumeSeal, StreamAddress};
pub use server::{ServeLimits, serve};
