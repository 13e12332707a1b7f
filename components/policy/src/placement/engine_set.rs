//! The engines of a pool, indexed by ID and, for idle ones, by data centre. The number of engines
//! that a decision checks does not grow with the pool.

use crate::placement::forecast::Forecast;
use crate::placement::ledger::{EngineInfo, EngineLedger, EngineState, StreamKey};
use prelude::{DataCentreId, TargetId};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Maximum candidates per decision; smaller pools are considered whole. In a larger pool where 3 of
/// 100 engines have room and none is idle, a decision misses all of them once in twenty times; the
/// next decision checks others.
const CANDIDATES_MAX: usize = 96;
/// Maximum idle candidates in the data centre of the request.
const NEAR_IDLE_MAX: usize = 32;
/// Maximum idle candidates in all other data centres together.
const FAR_IDLE_MAX: usize = 32;
/// Maximum idle engines checked per idle candidate: cold ones may have reached their rate limit.
const IDLE_CHECKS_PER_CANDIDATE: usize = 2;

/// Position of an engine in the order of insertion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct EngineSlot(u64);

/// Total capacity of the engines that take work.
#[derive(Clone, Debug, Default)]
struct LiveCapacity {
    count: usize,
    memory_tokens: u64,
    /// Number of engines by memory size.
    by_capacity: BTreeMap<u64, usize>,
}

impl LiveCapacity {
    fn add(&mut self, capacity_tokens: u64) {
        self.count += 1;
        self.memory_tokens += capacity_tokens;
        *self.by_capacity.entry(capacity_tokens).or_default() += 1;
    }

    fn remove(&mut self, capacity_tokens: u64) {
        self.count -= 1;
        self.memory_tokens -= capacity_tokens;
        if let Some(count) = self.by_capacity.get_mut(&capacity_tokens) {
            *count -= 1;
            if *count == 0 {
                self.by_capacity.remove(&capacity_tokens);
            }
        }
    }
}

/// The engines of a pool, in order of insertion.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineSet {
    ledgers: BTreeMap<EngineSlot, EngineLedger>,
    by_id: HashMap<TargetId, EngineSlot>,
    /// Engines that take work and run no streams, by data centre.
    idle: BTreeMap<DataCentreId, BTreeSet<EngineSlot>>,
    /// Engines that run streams.
    busy: BTreeSet<EngineSlot>,
    live: LiveCapacity,
    next: u64,
    /// Where the next rotation over the engines continues.
    cursor: EngineSlot,
    checks: Cell<u64>,
}

impl EngineSet {
    /// Number of engines.
    pub fn len(&self) -> usize {
        self.ledgers.len()
    }

    /// Number of engines that take work.
    pub fn live_count(&self) -> usize {
        self.live.count
    }

    /// Total memory of the engines that take work, in tokens.
    pub fn live_tokens(&self) -> u64 {
        self.live.memory_tokens
    }

    /// Memory of the largest engine that takes work, in tokens; `None` if none does.
    pub fn largest_live_tokens(&self) -> Option<u64> {
        self.live.by_capacity.keys().next_back().copied()
    }

    /// Number of engine lookups so far, including repeated ones.
    pub fn checks(&self) -> u64 {
        self.checks.get()
    }

    fn count_checks(&self, engines: usize) {
        self.checks.set(self.checks.get() + engines as u64);
    }

    /// Iterates over all engines.
    pub fn iter(&self) -> impl Iterator<Item = &EngineLedger> + Clone {
        self.ledgers.values().inspect(move |_| self.count_checks(1))
    }

    /// Iterates over all engines.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut EngineLedger> {
        let checks = &self.checks;
        self.ledgers
            .values_mut()
            .inspect(move |_| checks.set(checks.get() + 1))
    }

    /// The engines that run streams.
    pub fn busy(&self) -> Vec<EngineSlot> {
        self.busy.iter().copied().collect()
    }

    pub fn get(&self, target: TargetId) -> Option<&EngineLedger> {
        self.count_checks(1);
        self.ledgers.get(self.by_id.get(&target)?)
    }

    /// Returns an engine by ID. Only the methods of this set may change its streams, state or data
    /// centre, which the indexes depend on.
    pub fn get_mut(&mut self, target: TargetId) -> Option<&mut EngineLedger> {
        let slot = *self.by_id.get(&target)?;
        self.slot_mut(slot)
    }

    pub fn slot_mut(&mut self, slot: EngineSlot) -> Option<&mut EngineLedger> {
        self.count_checks(1);
        self.ledgers.get_mut(&slot)
    }

    /// Inserts an engine or updates its info.
    pub fn upsert(&mut self, info: EngineInfo) {
        let slot = *self.by_id.entry(info.id).or_insert_with(|| {
            self.next += 1;
            EngineSlot(self.next)
        });
        self.count_checks(1);
        match self.ledgers.get_mut(&slot) {
            Some(ledger) if ledger.info == info => {}
            Some(_) => self.update(slot, |ledger| ledger.info = info),
            None => {
                self.ledgers.insert(slot, EngineLedger::new(info));
                self.index(slot);
            }
        }
    }

    /// Removes an engine.
    pub fn remove(&mut self, target: TargetId) {
        let Some(slot) = self.by_id.remove(&target) else {
            return;
        };
        self.unindex(slot);
        self.ledgers.remove(&slot);
    }

    /// Sets whether an engine takes new work. Returns true if that changed.
    pub fn set_state(&mut self, target: TargetId, state: EngineState) -> bool {
        let Some(slot) = self.by_id.get(&target).copied() else {
            return false;
        };
        self.count_checks(1);
        let is_changed = self.ledgers.get(&slot).is_some_and(|l| l.state != state);
        if is_changed {
            self.update(slot, |ledger| ledger.state = state);
        }
        is_changed
    }

    /// Adds a newly placed stream to an engine. Returns `None` if the engine is unknown.
    pub fn add_stream(
        &mut self,
        target: TargetId,
        key: StreamKey,
        forecast: &Forecast,
        now_ms: u64,
    ) -> Option<&mut EngineLedger> {
        let slot = *self.by_id.get(&target)?;
        self.update(slot, |ledger| {
            if ledger.streams.is_empty() {
                ledger.record_own_tokens(0.0, now_ms);
            }
            ledger.add_stream(key, forecast);
        });
        self.slot_mut(slot)
    }

    /// Removes a stream from an engine.
    pub fn remove_stream(&mut self, target: TargetId, key: StreamKey, now_ms: u64) {
        let Some(slot) = self.by_id.get(&target).copied() else {
            return;
        };
        self.count_checks(1);
        self.update(slot, |ledger| {
            ledger.remove_stream(key, now_ms);
            if ledger.streams.is_empty() {
                ledger.record_own_tokens(0.0, now_ms);
            }
        });
    }

    /// The candidates for a decision, in order of insertion: all engines of a small pool. In a
    /// larger one, the first idle engines, preferably in data centre `near`, and more from a
    /// rotation over all engines that continues with each call.
    pub fn candidates(&mut self, near: Option<DataCentreId>, now_ms: u64) -> Vec<EngineSlot> {
        if self.ledgers.len() <= CANDIDATES_MAX {
            return self.ledgers.keys().copied().collect();
        }
        let mut candidates: BTreeSet<EngineSlot> = BTreeSet::new();
        let near_idle = near.and_then(|near| self.idle.get(&near));
        let has_budget = |slot: &&EngineSlot| self.within_rate_limits(**slot, now_ms);
        if let Some(idle) = near_idle {
            let checked = idle.iter().take(NEAR_IDLE_MAX * IDLE_CHECKS_PER_CANDIDATE);
            candidates.extend(checked.filter(has_budget).take(NEAR_IDLE_MAX));
        }
        let elsewhere = self
            .idle
            .iter()
            .filter(|(data_centre, _)| Some(**data_centre) != near);
        let per_data_centre = FAR_IDLE_MAX / elsewhere.clone().count().clamp(1, FAR_IDLE_MAX);
        for (_, idle) in elsewhere.take(FAR_IDLE_MAX) {
            let checked = idle
                .iter()
                .take(per_data_centre * IDLE_CHECKS_PER_CANDIDATE);
            candidates.extend(checked.filter(has_budget).take(per_data_centre));
        }
        let remaining = CANDIDATES_MAX - candidates.len();
        candidates.extend(self.next_in_rotation(remaining));
        candidates.into_iter().collect()
    }

    /// The next engines in the rotation over all of them.
    fn next_in_rotation(&mut self, count: usize) -> Vec<EngineSlot> {
        let from_cursor = self.ledgers.range(self.cursor..).map(|(slot, _)| *slot);
        let from_start = self.ledgers.keys().copied();
        let mut rotation = from_cursor.chain(from_start);
        let next: Vec<EngineSlot> = rotation.by_ref().take(count).collect();
        self.cursor = rotation.next().unwrap_or_default();
        next
    }

    fn within_rate_limits(&self, slot: EngineSlot, now_ms: u64) -> bool {
        self.count_checks(1);
        let ledger = self.ledgers.get(&slot);
        ledger.is_some_and(|ledger| ledger.within_rate_limits(now_ms))
    }

    /// Changes an engine and updates the indexes.
    fn update(&mut self, slot: EngineSlot, apply: impl FnOnce(&mut EngineLedger)) {
        self.unindex(slot);
        if let Some(ledger) = self.ledgers.get_mut(&slot) {
            apply(ledger);
        }
        self.index(slot);
    }

    fn index(&mut self, slot: EngineSlot) {
        let Some(ledger) = self.ledgers.get(&slot) else {
            return;
        };
        let is_live = ledger.state == EngineState::Live;
        if is_live {
            self.live.add(ledger.info.capacity_tokens);
        }
        match ledger.streams.is_empty() {
            false => {
                self.busy.insert(slot);
            }
            true if is_live => {
                let data_centre = ledger.info.data_centre;
                self.idle.entry(data_centre).or_default().insert(slot);
            }
            true => {}
        }
    }

    fn unindex(&mut self, slot: EngineSlot) {
        let Some(ledger) = self.ledgers.get(&slot) else {
            return;
        };
        if ledger.state == EngineState::Live {
            self.live.remove(ledger.info.capacity_tokens);
        }
        self.busy.remove(&slot);
        if let Some(idle) = self.idle.get_mut(&ledger.info.data_centre) {
            idle.remove(&slot);
        }
    }
}

#[cfg(test)]
#[path = "engine_set_tests.rs"]
mod tests;
