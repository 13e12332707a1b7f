//! The cache of prompt prefixes, in the memory that running sequences leave free, and its events.

use serde::Serialize;
use std::collections::VecDeque;

/// What vLLM's cache events say, reduced to whole prefixes.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "type")]
pub(super) enum CacheEvent {
    BlockStored { block_hashes: Vec<u64> },
    BlockRemoved { block_hashes: Vec<u64> },
}

/// One published event.
#[derive(Clone, Debug, Serialize)]
pub(super) struct PublishedEvent {
    pub seq: u64,
    #[serde(skip)]
    pub at_ms: u64,
    pub event: CacheEvent,
}

const EVENTS_KEPT: usize = 1024;

/// Prefixes in the order of their last use, oldest first.
#[derive(Default)]
pub(super) struct Prefixes {
    cached: VecDeque<(u64, u32)>,
    events: VecDeque<PublishedEvent>,
    next_seq: u64,
}

impl Prefixes {
    /// Whether the prefix is cached; makes it the last used.
    pub fn touch(&mut self, hash: u64) -> bool {
        let Some(at) = self.cached.iter().position(|entry| entry.0 == hash) else {
            return false;
        };
        if let Some(entry) = self.cached.remove(at) {
            self.cached.push_back(entry);
        }
        true
    }

    pub fn store(&mut self, hash: u64, tokens: u32, now_ms: u64) {
        if self.touch(hash) {
            return;
        }
        self.cached.push_back((hash, tokens));
        let event = CacheEvent::BlockStored {
            block_hashes: vec![hash],
        };
        self.publish(event, now_ms);
    }

    /// Drops the prefixes used longest ago until the rest fits into `free_tokens`.
    pub fn shrink(&mut self, free_tokens: u64, now_ms: u64) {
        let mut used: u64 = self.cached.iter().map(|entry| u64::from(entry.1)).sum();
        while used > free_tokens {
            let Some((hash, tokens)) = self.cached.pop_front() else {
                return;
            };
            used -= u64::from(tokens);
            let event = CacheEvent::BlockRemoved {
                block_hashes: vec![hash],
            };
            self.publish(event, now_ms);
        }
    }

    /// Events after `seq` that are at least `lag_ms` old.
    pub fn published(&self, seq: u64, lag_ms: u64, now_ms: u64) -> Vec<PublishedEvent> {
        self.events
            .iter()
            .filter(|event| event.seq > seq && event.at_ms + lag_ms <= now_ms)
            .cloned()
            .collect()
    }

    fn publish(&mut self, event: CacheEvent, now_ms: u64) {
        self.next_seq += 1;
        self.events.push_back(PublishedEvent {
            seq: self.next_seq,
            at_ms: now_ms,
            event,
        });
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}
