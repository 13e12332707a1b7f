//! The engines of a pool, so kept that decisions need no pass over all of them: by their keys, and those that take work
//! and run nothing, by data centre. What a decision looks at does not grow with the pool.

use crate::placement::forecast::Forecast;
use crate::placement::ledger::{EngineInfo, EngineLedger, EngineState, StreamKey};
use prelude::{DataCentreId, TargetId};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Engines that one decision weighs. A pool of so many is weighed whole. In a larger one of which 3 in 100 have room, a
/// decision that finds no idle one misses all of these once in twenty times, and looks at others the next time.
const WEIGHED_MAX: usize = 96;
/// Of these, idle ones in the data centre of the request.
const NEAR_IDLE: usize = 32;
/// Idle ones of all other data centres together.
const FAR_IDLE: usize = 32;
/// Idle engines that are looked at for one that is weighed, at the most: cold ones may have what they bear.
const IDLE_LOOKS: usize = 2;

/// An engine's place in the order in which engines came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct EngineSlot(u64);

/// What the engines that take work have together.
#[derive(Clone, Debug, Default)]
struct LiveRoom {
    count: usize,
    memory_tokens: u64,
    /// How many have so much memory.
    by_capacity: BTreeMap<u64, usize>,
}

impl LiveRoom {
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

/// The engines of a pool, in the order in which they came.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineSet {
    ledgers: BTreeMap<EngineSlot, EngineLedger>,
    by_id: HashMap<TargetId, EngineSlot>,
    /// Those that take work and run nothing.
    idle: BTreeMap<DataCentreId, BTreeSet<EngineSlot>>,
    /// Those that run something.
    busy: BTreeSet<EngineSlot>,
    live: LiveRoom,
    next: u64,
    /// Where the next look at any engines begins.
    cursor: EngineSlot,
    looks: Cell<u64>,
}

impl EngineSet {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.ledgers.len()
    }

    /// How many take work.
    pub fn live_count(&self) -> usize {
        self.live.count
    }

    /// The memory of those that take work.
    pub fn live_tokens(&self) -> u64 {
        self.live.memory_tokens
    }

    /// The most memory that one has which takes work; none where none does.
    pub fn largest_tokens(&self) -> Option<u64> {
        self.live.by_capacity.keys().next_back().copied()
    }

    /// How many engines were looked at, each time counted.
    pub fn looks(&self) -> u64 {
        self.looks.get()
    }

    fn looked(&self, engines: usize) {
        self.looks.set(self.looks.get() + engines as u64);
    }

    /// All engines.
    pub fn iter(&self) -> impl Iterator<Item = &EngineLedger> + Clone {
        self.ledgers.values().inspect(move |_| self.looked(1))
    }

    /// All engines.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut EngineLedger> {
        let looks = &self.looks;
        self.ledgers
            .values_mut()
            .inspect(move |_| looks.set(looks.get() + 1))
    }

    /// Those that run something.
    pub fn busy(&self) -> Vec<EngineSlot> {
        self.busy.iter().copied().collect()
    }

    pub fn get(&self, target: TargetId) -> Option<&EngineLedger> {
        self.looked(1);
        self.ledgers.get(self.by_id.get(&target)?)
    }

    /// An engine. Its streams, state and data centre are changed by the methods of this set alone.
    pub fn get_mut(&mut self, target: TargetId) -> Option<&mut EngineLedger> {
        let slot = *self.by_id.get(&target)?;
        self.at_mut(slot)
    }

    pub fn at_mut(&mut self, slot: EngineSlot) -> Option<&mut EngineLedger> {
        self.looked(1);
        self.ledgers.get_mut(&slot)
    }

    /// Takes an engine in, or what is new of it.
    pub fn set(&mut self, info: EngineInfo) {
        let slot = *self.by_id.entry(info.id).or_insert_with(|| {
            self.next += 1;
            EngineSlot(self.next)
        });
        self.looked(1);
        match self.ledgers.get_mut(&slot) {
            Some(ledger) if ledger.info == info => {}
            Some(_) => self.change(slot, |ledger| ledger.info = info),
            None => {
                self.ledgers.insert(slot, EngineLedger::new(info));
                self.note(slot);
            }
        }
    }

    /// Takes an engine out.
    pub fn remove(&mut self, target: TargetId) {
        let Some(slot) = self.by_id.remove(&target) else {
            return;
        };
        self.forget(slot);
        self.ledgers.remove(&slot);
    }

    /// Sets whether an engine takes new work. True where that is new.
    pub fn set_state(&mut self, target: TargetId, state: EngineState) -> bool {
        let Some(slot) = self.by_id.get(&target).copied() else {
            return false;
        };
        self.looked(1);
        let is_new = self.ledgers.get(&slot).is_some_and(|l| l.state != state);
        if is_new {
            self.change(slot, |ledger| ledger.state = state);
        }
        is_new
    }

    /// Adds a stream that was just placed at an engine. None where the engine is not known.
    pub fn add_stream(
        &mut self,
        target: TargetId,
        key: StreamKey,
        forecast: &Forecast,
        now_ms: u64,
    ) -> Option<&mut EngineLedger> {
        let slot = *self.by_id.get(&target)?;
        self.change(slot, |ledger| {
            if ledger.streams.is_empty() {
                ledger.remember(0.0, now_ms);
            }
            ledger.add(key, forecast);
        });
        self.at_mut(slot)
    }

    /// Takes a stream out.
    pub fn remove_stream(&mut self, target: TargetId, key: StreamKey, now_ms: u64) {
        let Some(slot) = self.by_id.get(&target).copied() else {
            return;
        };
        self.looked(1);
        self.change(slot, |ledger| {
            ledger.remove(key, now_ms);
            if ledger.streams.is_empty() {
                ledger.remember(0.0, now_ms);
            }
        });
    }

    /// The engines that a decision weighs, in their order: all of a small pool; of a larger one the first idle ones, those
    /// in the data centre `near` before others, and some more, which are others each time.
    pub fn weighed(&mut self, near: Option<DataCentreId>, now_ms: u64) -> Vec<EngineSlot> {
        if self.ledgers.len() <= WEIGHED_MAX {
            return self.ledgers.keys().copied().collect();
        }
        let mut weighed: BTreeSet<EngineSlot> = BTreeSet::new();
        let near_idle = near.and_then(|near| self.idle.get(&near));
        let bears = |slot: &&EngineSlot| self.bears_one_more(**slot, now_ms);
        if let Some(idle) = near_idle {
            let looked_at = idle.iter().take(NEAR_IDLE * IDLE_LOOKS);
            weighed.extend(looked_at.filter(bears).take(NEAR_IDLE));
        }
        let elsewhere = self.idle.iter().filter(|(place, _)| Some(**place) != near);
        let each = FAR_IDLE / elsewhere.clone().count().clamp(1, FAR_IDLE);
        for (_, idle) in elsewhere.take(FAR_IDLE) {
            let looked_at = idle.iter().take(each * IDLE_LOOKS);
            weighed.extend(looked_at.filter(bears).take(each));
        }
        let more = WEIGHED_MAX - weighed.len();
        weighed.extend(self.next_ones(more));
        weighed.into_iter().collect()
    }

    /// The engines that come next in a round over all of them.
    fn next_ones(&mut self, count: usize) -> Vec<EngineSlot> {
        let after = self.ledgers.range(self.cursor..).map(|(slot, _)| *slot);
        let from_start = self.ledgers.keys().copied();
        let mut round = after.chain(from_start);
        let next: Vec<EngineSlot> = round.by_ref().take(count).collect();
        self.cursor = round.next().unwrap_or_default();
        next
    }

    fn bears_one_more(&self, slot: EngineSlot, now_ms: u64) -> bool {
        self.looked(1);
        let ledger = self.ledgers.get(&slot);
        ledger.is_some_and(|ledger| ledger.bears_one_more(now_ms))
    }

    /// Changes an engine, and notes again what it is found by.
    fn change(&mut self, slot: EngineSlot, act: impl FnOnce(&mut EngineLedger)) {
        self.forget(slot);
        if let Some(ledger) = self.ledgers.get_mut(&slot) {
            act(ledger);
        }
        self.note(slot);
    }

    fn note(&mut self, slot: EngineSlot) {
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
                let place = ledger.info.data_centre;
                self.idle.entry(place).or_default().insert(slot);
            }
            true => {}
        }
    }

    fn forget(&mut self, slot: EngineSlot) {
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
