//! Unusable entries of targets. Each is logged once: lists are read repeatedly, and one bad entry would flood the
//! log.

use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of keys; beyond it the set is cleared, and all are logged again.
const KEYS_MAX: usize = 1_024;

/// Hash of the unusable value under each key.
#[derive(Debug, Default)]
pub struct RefusedEntries(HashMap<Box<str>, u64>);

impl RefusedEntries {
    /// Records that the value under a key is unusable. Returns whether that is new.
    pub fn record_refusal(&mut self, key: &str, value: &[u8]) -> bool {
        let hash = xxh3_64(value);
        if self.0.get(key) == Some(&hash) {
            return false;
        }
        if self.0.len() >= KEYS_MAX {
            self.0.clear();
        }
        self.0.insert(key.into(), hash);
        true
    }

    /// Records that the key has no unusable value any more.
    pub fn clear(&mut self, key: &str) {
        self.0.remove(key);
    }
}

#[cfg(test)]
#[path = "refused_tests.rs"]
mod tests;
