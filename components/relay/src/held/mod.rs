//! What the box keeps for callers and targets that read slowly: counted, bounded for the box and for each client account,
//! and slowing its source.

mod book;
pub(crate) mod deliver;
mod part;
pub(crate) mod unsent;

pub(crate) use book::Bounds;
pub(crate) use part::{Held, Holdings};
