//! HTTP towards callers: chat completions, plain services, health. What the answers are is decided
//! by whoever implements [`Front`].

mod chat;
mod errors;
mod front;
mod routes;
mod seal;
mod server;
mod sse;
mod whole;

pub use chat::{ChatRequest, parse_chat};
pub use errors::{ErrorBody, ErrorDetail};
pub use front::{
    CallerEvent, ChatAnswer, Front, OpenedStream, ServiceAnswer, ServiceCall, StreamFailure,
};
pub use seal::{ResumeSeal, StreamAddress};
pub use server::{ServeLimits, serve};
