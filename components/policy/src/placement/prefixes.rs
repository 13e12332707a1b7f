//! Which engines have which prompt prefix cached, from events that come late and with gaps. An entry
//! is a hint with an age, never a fact.

use prelude::TargetId;
use std::collections::HashMap;

/// Entries kept; the oldest go first.
const ENTRIES_MAX: usize = 4096;
/// After this time a hint counts for nothing.
const HINT_LIFE_MS: u64 = 60_000;
/// Part of a hint's worth that is left after a gap in its engine's events.
const WORTH_AFTER_GAP: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct Hint {
    seen_ms: u64,
    worth: f64,
}

/// Hints by engine and prefix.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    hints: HashMap<(TargetId, u64), Hint>,
    last_seq: HashMap<TargetId, u64>,
}

impl PrefixIndex {
    /// Notes an event of an engine. A jump in `seq` says that events were lost, among which the
    /// prefix may have been removed: all hints of that engine are then worth less.
    pub fn event(&mut self, target: TargetId, seq: u64, prefix: u64, stored: bool, now_ms: u64) {
        let last = self
            .last_seq
            .insert(target, seq)
            .unwrap_or(seq.saturating_sub(1));
        if seq != last + 1 {
            self.devalue(target);
        }
        if stored {
            self.note(target, prefix, now_ms);
        } else {
            self.hints.remove(&(target, prefix));
        }
    }

    /// Notes that a prompt with this prefix was sent to an engine.
    pub fn note(&mut self, target: TargetId, prefix: u64, now_ms: u64) {
        if self.hints.len() >= ENTRIES_MAX {
            self.drop_oldest();
        }
        let hint = Hint {
            seen_ms: now_ms,
            worth: 1.0,
        };
        self.hints.insert((target, prefix), hint);
    }

    /// Forgets an engine.
    pub fn forget(&mut self, target: TargetId) {
        self.hints.retain(|(holder, _), _| *holder != target);
        self.last_seq.remove(&target);
    }

    /// How likely the prefix is cached, between 0 and 1.
    pub fn worth(&self, target: TargetId, prefix: u64, now_ms: u64) -> f64 {
        let Some(hint) = self.hints.get(&(target, prefix)) else {
            return 0.0;
        };
        let age_ms = now_ms.saturating_sub(hint.seen_ms);
        let left = 1.0 - age_ms as f64 / HINT_LIFE_MS as f64;
        hint.worth * left.max(0.0)
    }

    /// The last event seen of an engine.
    pub fn last_seq(&self, target: TargetId) -> u64 {
        self.last_seq.get(&target).copied().unwrap_or(0)
    }

    fn devalue(&mut self, target: TargetId) {
        let of_target = self
            .hints
            .iter_mut()
            .filter(|((holder, _), _)| *holder == target);
        of_target.for_each(|(_, hint)| hint.worth *= WORTH_AFTER_GAP);
    }

    fn drop_oldest(&mut self) {
        let mut ages: Vec<u64> = self.hints.values().map(|hint| hint.seen_ms).collect();
        let middle = ages.len() / 2;
        let (_, median, _) = ages.select_nth_unstable(middle);
        let median = *median;
        self.hints.retain(|_, hint| hint.seen_ms > median);
    }
}

#[cfg(test)]
#[path = "prefixes_tests.rs"]
mod tests;
