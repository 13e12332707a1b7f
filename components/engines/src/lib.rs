//! HTTP client of model engines: starts, resumes and cancels generations, reads load and cache
//! events, and sends fenced orders.

mod cache;
mod client;
mod load;
mod stream;

pub use cache::CacheEvent;
pub use client::{Endpoint, EngineClient, OrderError, ResumeError, StartError};
pub use load::{LoadReport, parse_load};
pub use stream::{EngineEvent, EngineStream, StreamError};
