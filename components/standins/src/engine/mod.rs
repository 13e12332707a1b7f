//! A stand-in model engine: it batches continuously, has limited memory for tokens, preempts and
//! recomputes when that fills midway, caches prompt prefixes, and reports load with a lag.

mod api;
mod core;
mod outputs;
mod prefixes;
mod request;
mod server;

pub use request::token_text;
pub use server::{EngineSettings, StandinEngine, StartRecord};
