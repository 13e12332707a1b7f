//! Prefix cache events of an engine, named like vLLM's KV-cache events. vLLM publishes them over
//! ZeroMQ; this client polls them over HTTP, as a replay that starts after a sequence number.

use serde::Deserialize;

/// Insertion into or eviction from an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number of the engine's event; a gap means that events were lost.
    pub seq: u64,
    /// Hash of the cached prefix.
    pub prefix: u64,
    /// `true` if the prefix was stored, `false` if it was removed.
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
