//! Tracks which engines have cached which prompt prefixes. Cache events arrive late and some are
//! lost, so entries are only hints that lose confidence with age.

use prelude::TargetId;
use std::collections::HashMap;

/// Maximum number of entries; the oldest are evicted.
const ENTRIES_MAX: usize = 4096;
/// Hints expire after this time.
const HINT_TTL_MS: u64 = 60_000;
/// Factor on the confidence of an engine's hints after a gap in its events.
const CONFIDENCE_AFTER_GAP: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct Hint {
    seen_ms: u64,
    confidence: f64,
}

/// Hints by engine and prefix.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    hints: HashMap<(TargetId, u64), Hint>,
    last_seq: HashMap<TargetId, u64>,
}

impl PrefixIndex {
    /// Applies a cache event of an engine. A gap in `seq` means that events were lost, which may
    /// have removed prefixes, so all hints for that engine lose confidence.
    pub fn apply_event(
        &mut self,
        target: TargetId,
        seq: u64,
        prefix: u64,
        stored: bool,
        now_ms: u64,
    ) {
        let previous_seq = self
            .last_seq
            .insert(target, seq)
            .unwrap_or(seq.saturating_sub(1));
        if seq != previous_seq + 1 {
            self.reduce_confidence(target);
        }
        if stored {
            self.record_prompt(target, prefix, now_ms);
        } else {
            self.hints.remove(&(target, prefix));
        }
    }

    /// Records that a prompt with this prefix was sent to an engine.
    pub fn record_prompt(&mut self, target: TargetId, prefix: u64, now_ms: u64) {
        if self.hints.len() >= ENTRIES_MAX {
            self.drop_oldest();
        }
        let hint = Hint {
            seen_ms: now_ms,
            confidence: 1.0,
        };
        self.hints.insert((target, prefix), hint);
    }

    /// Removes an engine.
    pub fn remove_engine(&mut self, target: TargetId) {
        self.hints.retain(|(holder, _), _| *holder != target);
        self.last_seq.remove(&target);
    }

    /// Estimated probability that the prefix is cached, between 0 and 1.
    pub fn confidence(&self, target: TargetId, prefix: u64, now_ms: u64) -> f64 {
        let Some(hint) = self.hints.get(&(target, prefix)) else {
            return 0.0;
        };
        let age_ms = now_ms.saturating_sub(hint.seen_ms);
        let freshness = 1.0 - age_ms as f64 / HINT_TTL_MS as f64;
        hint.confidence * freshness.max(0.0)
    }

    /// Sequence number of the last event received from an engine; 0 if none was.
    pub fn last_seq(&self, target: TargetId) -> u64 {
        self.last_seq.get(&target).copied().unwrap_or(0)
    }

    fn reduce_confidence(&mut self, target: TargetId) {
        let of_target = self
            .hints
            .iter_mut()
            .filter(|((holder, _), _)| *holder == target);
        of_target.for_each(|(_, hint)| hint.confidence *= CONFIDENCE_AFTER_GAP);
    }

    fn drop_oldest(&mut self) {
        let mut seen_ms: Vec<u64> = self.hints.values().map(|hint| hint.seen_ms).collect();
        let middle = seen_ms.len() / 2;
        let (_, median_ms, _) = seen_ms.select_nth_unstable(middle);
        let median_ms = *median_ms;
        self.hints.retain(|_, hint| hint.seen_ms > median_ms);
    }
}

#[cfg(test)]
#[path = "prefixes_tests.rs"]
mod tests;
