//! Entries of targets that name no target to use. Each is told once: a list is read again and again, and one bad entry
//! would fill the log.

use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// Keys that are kept; beyond them, all are told anew.
const KEYS_MAX: usize = 1_024;

/// What was refused under which key, as a hash of its bytes.
#[derive(Debug, Default)]
pub struct RefusedEntries(HashMap<Box<str>, u64>);

impl RefusedEntries {
    /// Notes that the bytes under a key were refused. Says whether that is new.
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

    /// Notes that nothing refused lies under a key any more.
    pub fn clear(&mut self, key: &str) {
        self.0.remove(key);
    }
}

#[cfg(test)]
#[path = "refused_tests.rs"]
mod tests;
