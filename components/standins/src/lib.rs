//! Small stand-ins of the systems that shuntpier serves and uses: a model engine, a plain service,
//! the platform's key-value service and its box list. Used by the demo, the tests and the bench.

mod boxlist;
mod engine;
mod host;
mod link;
mod service;
mod store;

pub use boxlist::{BoxEntry, BoxList};
pub use engine::{EngineSettings, StandinEngine, StartRecord, token_text};
pub use host::{Host, HostError};
pub use link::Link;
pub use service::{ServiceRun, StandinService};
pub use store::{StandinStore, StoreFaults};
