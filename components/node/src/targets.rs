//! What a box knows of each target's lives. Words on a life are joined by their maximum: live, then
//! leaving, then gone, never back. A target that comes back does so in a higher life.

use peers::{StateOfTarget, TargetWord};
use policy::{EngineState, RetryAfterBackoff};
use prelude::{TargetId, TargetIncarnation, TargetKey};
use std::collections::{HashMap, HashSet};

/// Failed connections in a row after which a target is taken for dead.
const FAILURES_MAX: u32 = 3;

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    life: TargetIncarnation,
    leaving: Option<TargetIncarnation>,
    gone: Option<TargetIncarnation>,
    failures: u32,
    own_open: u32,
    /// The pause that it asked this box for.
    backoff: RetryAfterBackoff,
}

/// All targets.
#[derive(Debug, Default)]
pub(crate) struct TargetTable {
    records: HashMap<TargetId, Record>,
    listed_leaving: HashSet<TargetId>,
}

impl TargetTable {
    /// The target in its newest life.
    pub fn key(&self, id: TargetId) -> TargetKey {
        let incarnation = self
            .records
            .get(&id)
            .map_or(TargetIncarnation(0), |r| r.life);
        TargetKey { id, incarnation }
    }

    /// Whether a target takes new work.
    pub fn state(&self, id: TargetId) -> EngineState {
        let record = self.records.get(&id).copied().unwrap_or_default();
        if record.gone.is_some_and(|life| life >= record.life) {
            EngineState::Gone
        } else if record.leaving.is_some_and(|life| life >= record.life)
            || self.listed_leaving.contains(&id)
        {
            EngineState::Leaving
        } else {
            EngineState::Live
        }
    }

    /// Whether one life of a target is known to be over.
    pub fn is_gone(&self, key: TargetKey) -> bool {
        self.records.get(&key.id).is_some_and(|record| {
            record.gone.is_some_and(|life| life >= key.incarnation)
                || (key.incarnation.0 > 0 && record.life > key.incarnation)
        })
    }

    /// Whether one life of a target was known to leave.
    pub fn was_leaving(&self, key: TargetKey) -> bool {
        let left = |record: &Record| record.leaving.is_some_and(|life| life >= key.incarnation);
        self.listed_leaving.contains(&key.id) || self.records.get(&key.id).is_some_and(left)
    }

    /// Notes that a target answered, in this life.
    pub fn answered(&mut self, key: TargetKey) {
        let record = self.records.entry(key.id).or_default();
        record.failures = 0;
        record.life = record.life.max(key.incarnation);
    }

    /// Notes that a target could not be reached. True where it is now to be taken for dead.
    pub fn failed(&mut self, id: TargetId) -> bool {
        let record = self.records.entry(id).or_default();
        record.failures += 1;
        record.failures == FAILURES_MAX
    }

    /// Takes a word in. True where it is new.
    pub fn word(&mut self, word: TargetWord) -> bool {
        let record = self.records.entry(word.target.id).or_default();
        let life = word.target.incarnation;
        let known = match word.state {
            StateOfTarget::Leaving => &mut record.leaving,
            StateOfTarget::Gone => &mut record.gone,
        };
        if known.is_some_and(|known| known >= life) {
            return false;
        }
        *known = Some(life);
        record.life = record.life.max(life);
        true
    }

    /// The words that are still of use, for others.
    pub fn words(&self) -> Vec<TargetWord> {
        let mut words = Vec::new();
        for (id, record) in &self.records {
            let said = [
                (record.leaving, StateOfTarget::Leaving),
                (record.gone, StateOfTarget::Gone),
            ];
            for (life, state) in said {
                let Some(incarnation) = life.filter(|life| *life >= record.life) else {
                    continue;
                };
                let target = TargetKey {
                    id: *id,
                    incarnation,
                };
                words.push(TargetWord { target, state });
            }
        }
        words
    }

    /// Takes the box list's word on which targets leave.
    pub fn set_listed_leaving(&mut self, leaving: HashSet<TargetId>) -> bool {
        let changed = self.listed_leaving != leaving;
        self.listed_leaving = leaving;
        changed
    }

    /// Notes that a target turned a call of this box away and asked for a pause.
    pub fn asked_for_pause(&mut self, id: TargetId, pause_ms: u64, now_ms: u64) {
        let record = self.records.entry(id).or_default();
        record
            .backoff
            .record_pause(pause_ms, rand::random(), now_ms);
    }

    /// What is left of the pause that a target asked this box for; none where it takes calls.
    pub fn pause_left_ms(&self, id: TargetId, now_ms: u64) -> Option<u64> {
        self.records.get(&id)?.backoff.remaining_ms(now_ms)
    }

    /// The targets that asked this box for pauses which are not over.
    pub fn paused(&self, now_ms: u64) -> Vec<TargetId> {
        let is_paused = |record: &Record| record.backoff.remaining_ms(now_ms).is_some();
        let paused = self.records.iter().filter(|(_, record)| is_paused(record));
        paused.map(|(id, _)| *id).collect()
    }

    /// Notes that a call is sent to a target.
    pub fn sent(&mut self, id: TargetId, now_ms: u64) {
        if let Some(record) = self.records.get_mut(&id) {
            record.backoff.record_sent(now_ms);
        }
    }

    /// Notes that a target took a call that was sent at a time.
    pub fn took(&mut self, id: TargetId, sent_ms: u64) {
        if let Some(record) = self.records.get_mut(&id) {
            record.backoff.record_accepted(sent_ms);
        }
    }

    /// Counts a stream or call of this box.
    pub fn opened(&mut self, id: TargetId) {
        self.records.entry(id).or_default().own_open += 1;
    }

    /// Counts its end.
    pub fn closed(&mut self, id: TargetId) {
        let record = self.records.entry(id).or_default();
        record.own_open = record.own_open.saturating_sub(1);
    }

    /// Streams and calls of this box.
    pub fn own_open(&self, id: TargetId) -> u32 {
        self.records.get(&id).map_or(0, |record| record.own_open)
    }
}

#[cfg(test)]
#[path = "targets_tests.rs"]
mod tests;
