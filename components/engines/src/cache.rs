//! Events of an engine's prefix cache, with the names of vLLM's KV-cache events. vLLM publishes them
//! over ZeroMQ; here they are read over HTTP, as a replay from a sequence number on.

use serde::Deserialize;

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Counts the engine's events; a jump says that some were lost.
    pub seq: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether it was stored, or else removed.
    pub stored: bool,
}

#[derive(Deserialize)]
pub(crate) struct PublishedEvent {
    seq: u64,
    event: EventBody,
}

#[derive(Deserialize)]
#[serde(tag = "type")]
enum EventBody {
    BlockStored { block_hashes: Vec<u64> },
    BlockRemoved { block_hashes: Vec<u64> },
}

impl PublishedEvent {
    pub fn flatten(self) -> Vec<CacheEvent> {
        let (hashes, stored) = match self.event {
            EventBody::BlockStored { block_hashes } => (block_hashes, true),
            EventBody::BlockRemoved { block_hashes } => (block_hashes, false),
        };
        let seq = self.seq;
        let event = |prefix| CacheEvent {
            seq,
            prefix,
            stored,
        };
        hashes.into_iter().map(event).collect()
    }
}
