//! The targets that this box knows, and what it has on each. Whether a target leaves is kept for each of
//! its lives, never for its address or name. How words on lives are taken in is in [`crate::watch::listing`].

use crate::watch::index::TargetIndex;
use crate::watch::pasts::Pasts;
use peers::EngineFault;
use platform::WorkerLoad;
use policy::{Suspicion, Trial, Warmup};
use prelude::{DataCentreId, TargetId, Version};
use routing::TargetEntry;
use slotmap::{SlotMap, new_key_type};
use std::cell::Cell;
use std::collections::{HashMap, HashSet};

new_key_type! {
    /// A target in this box's arena.
    pub struct TargetSlot;
}

/// What a box believes of one life of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Belief {
    /// It takes new work.
    Ready,
    /// It serves what it has.
    Leaving,
    /// It is listed no more. It may still serve what it has.
    Gone,
}

/// An entry that a store lacks that has just come back from trouble. Entries lapse while it is away, and those
/// of targets that live are written again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Missing {
    /// When the target is taken to be gone.
    pub until_ms: u64,
    /// The store's version at which its entry was missed.
    pub version: Version,
}

/// One life of a target.
#[derive(Clone, Debug)]
pub struct Target {
    /// As it is listed.
    pub entry: TargetEntry,
    /// Its key in the policies.
    pub id: TargetId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it takes new work.
    pub belief: Belief,
    /// Its entry was missing when the store came back: it is gone if it is still missing then, as of that version.
    pub missing: Option<Missing>,
    /// Until when it is slow from its start.
    pub cold_until_ms: u64,
    /// This box's part of what it bears until then.
    pub warmup: Warmup,
    /// Requests that this box has there.
    pub open: u32,
    /// Bytes of these requests.
    pub open_bytes: u64,
    /// What it last said of its load, and when.
    pub load: Option<(WorkerLoad, u64)>,
    /// Its latest failures.
    pub suspicion: Suspicion,
    /// Whether it may be given work after it failed some, on the box that dispatches to it.
    pub trial: Trial,
    /// Until when it counts as full, by its own word.
    pub full_until_ms: u64,
    /// That it leaves is known from itself or from a box that it told; the store has not said so.
    pub leaves_by_word: bool,
    /// It was seen to leave. Where lives name their births, it takes no work again even if it vanishes and comes back.
    pub left: bool,
}

/// How long a target's word that it is full is believed.
const FULL_MS: u64 = 100;
/// How long its word on its load counts.
const LOAD_LIFE_MS: u64 = 1_000;
/// What a target in another data centre must be emptier by, as a share of its slots.
pub(crate) const FAR_SHARE: f64 = 0.3;
/// Slots of a target that does not say how many it has.
const SLOTS_UNKNOWN: f64 = 8.0;
/// What a target that has just started is taken to have on it, as a share of its slots.
pub(crate) const COLD_SHARE: f64 = 0.5;

/// What cold targets of a service bear, as one box may use it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdRate {
    /// Requests a second at one target, from all boxes together; none where it bears as many as come.
    pub rate_per_s: Option<f64>,
    /// Among how many boxes that is divided.
    pub boxes: usize,
}

impl ColdRate {
    /// Whether a target bears one more request now.
    pub(crate) fn allows(self, target: &Target, now_ms: u64) -> bool {
        let is_cold = now_ms < target.cold_until_ms;
        let rate_per_s = self.rate_per_s.filter(|_| is_cold);
        rate_per_s.is_none_or(|rate| target.warmup.allows(rate, self.boxes, now_ms))
    }

    fn sent(self, target: &mut Target, now_ms: u64) {
        if let Some(rate_per_s) = self.rate_per_s.filter(|_| now_ms < target.cold_until_ms) {
            target.warmup.sent(rate_per_s, self.boxes, now_ms);
        }
    }
}

impl Target {
    /// Its entry as others are told it, cold for what is left of that.
    pub(super) fn told(&self, now_ms: u64) -> TargetEntry {
        TargetEntry {
            cold_left_ms: self.cold_until_ms.saturating_sub(now_ms) as u32,
            ..self.entry.clone()
        }
    }

    /// How full it is, as a share of its slots, by its last word and our own requests.
    pub fn fullness(&self, now_ms: u64) -> f64 {
        let slots = f64::from(self.entry.slots).max(1.0);
        let slots = match self.entry.slots {
            0 => SLOTS_UNKNOWN,
            _ => slots,
        };
        let told = self
            .load
            .filter(|(_, at_ms)| now_ms < at_ms + LOAD_LIFE_MS)
            .map_or(0.0, |(load, at_ms)| {
                let age = (now_ms - at_ms) as f64 / LOAD_LIFE_MS as f64;
                f64::from(load.running + load.waiting) * (1.0 - age)
            });
        told.max(f64::from(self.open)) / slots
    }
}

/// All targets.
#[derive(Debug, Default)]
pub struct TargetBook {
    pub(super) targets: SlotMap<TargetSlot, Target>,
    pub(super) index: TargetIndex,
    /// The newest life of each name. A former one is only found by its key.
    pub(super) by_instance: HashMap<Box<str>, TargetSlot>,
    pub(super) by_id: HashMap<TargetId, TargetSlot>,
    pub(super) pasts: Pasts,
    /// The store's version up to which everything is known.
    pub current_to: Version,
    /// The version of the last change that matters: a target came, leaves, or went.
    pub changed_at: Version,
    /// Until when what the store says may be a copy's, as its era rose.
    pub(super) settles_until_ms: Option<u64>,
    /// When it was last confirmed that the book is current.
    pub confirmed_ms: Option<u64>,
    /// A list was taken in: from the store, perhaps as it was some seconds ago, or from a peer.
    pub(super) known: bool,
    evacuated: HashSet<DataCentreId>,
    /// Targets that were looked at, each time counted.
    looks: Cell<u64>,
}

/// What a change of the book means for the rest of the box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A target may be used from now on.
    Came(TargetSlot),
    /// It takes no new work from now on.
    Leaves(TargetSlot),
    /// It is listed no more.
    Went(TargetSlot),
    /// It takes work, and is slow for a time.
    Cold(TargetSlot),
    /// A new life has begun under the name of a former one, which is over.
    Restarted {
        /// The life that is over.
        former: TargetSlot,
        /// The new life.
        slot: TargetSlot,
    },
}

impl TargetBook {
    /// One target.
    pub fn get(&self, slot: TargetSlot) -> Option<&Target> {
        self.targets.get(slot)
    }

    /// One target.
    pub fn get_mut(&mut self, slot: TargetSlot) -> Option<&mut Target> {
        self.targets.get_mut(slot)
    }

    /// The target of a key.
    pub fn slot_of(&self, id: TargetId) -> Option<TargetSlot> {
        self.by_id.get(&id).copied()
    }

    /// Sets the data centres whose targets get nothing new.
    pub fn evacuate(&mut self, data_centres: HashSet<DataCentreId>) {
        self.evacuated = data_centres;
    }

    /// Whether a target stands in an evacuated data centre.
    pub fn is_evacuated(&self, target: &Target) -> bool {
        self.evacuated.contains(&target.data_centre)
    }

    /// Whether a target takes new work: every placement, send, copy and question goes by this.
    pub fn takes_work(&self, target: &Target) -> bool {
        target.belief == Belief::Ready && !self.is_evacuated(target)
    }

    /// Whether any list of targets is known.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// How many lives of targets it holds.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// All targets that are still listed, cold for what is left of that.
    pub fn entries(&self, now_ms: u64) -> Vec<TargetEntry> {
        let listed = self.all().map(|(_, target)| target);
        let listed = listed.filter(|t| t.belief != Belief::Gone);
        listed.map(|target| target.told(now_ms)).collect()
    }

    /// All targets.
    pub fn all(&self) -> impl Iterator<Item = (TargetSlot, &Target)> {
        self.targets.iter().inspect(move |_| self.looked())
    }

    /// How many targets were looked at, each time counted: what upkeep costs grows with it.
    pub fn looks(&self) -> u64 {
        self.looks.get()
    }

    fn looked(&self) {
        self.looks.set(self.looks.get() + 1);
    }

    /// The targets on trial that are to be asked now.
    pub fn open_trials(&mut self, now_ms: u64) -> Vec<TargetSlot> {
        let targets = &self.targets;
        let is_on = |slot: &TargetSlot| targets.get(*slot).is_some_and(|t| t.trial.is_on(now_ms));
        self.index.on_trial.retain(is_on);
        let open = |(_, target): &(TargetSlot, &Target)| {
            self.takes_work(target) && target.trial.is_open(now_ms)
        };
        let tried = self.those(self.index.on_trial.iter().copied());
        tried.filter(open).map(|(slot, _)| slot).collect()
    }

    /// Notes that a target failed this box.
    pub fn failed(&mut self, slot: TargetSlot, now_ms: u64) {
        if let Some(target) = self.targets.get_mut(slot) {
            target.suspicion.failed(now_ms);
            self.index.passing.insert(slot);
        }
    }

    /// The targets of which something held for a time when this was asked last: what is over by now is told once.
    pub fn take_passing(&mut self, now_ms: u64) -> Vec<TargetId> {
        let passing = self.those(self.index.passing.iter().copied());
        let ids = passing.map(|(_, target)| target.id).collect();
        let targets = &self.targets;
        let holds = |target: &Target| {
            now_ms < target.cold_until_ms
                || target.trial.is_on(now_ms)
                || target.suspicion.is_passed_over(now_ms)
        };
        let is_passing = |slot: &TargetSlot| targets.get(*slot).is_some_and(holds);
        self.index.passing.retain(is_passing);
        ids
    }

    /// Whether more than half of the targets of a service that take work but for their trials are on trial.
    pub fn most_on_trial(&self, service: &str, now_ms: u64) -> bool {
        let is_ready = |(_, target): &(TargetSlot, &Target)| target.belief == Belief::Ready;
        let tried = self.those(self.index.on_trial.iter().copied());
        let of_service = tried.filter(|(_, target)| &*target.entry.service == service);
        let on = of_service.filter(|(_, target)| target.trial.is_on(now_ms));
        let on = on.filter(is_ready).count();
        // Mostly there is none, and the others need not be counted.
        on > 0 && on * 2 > self.of_service(service).filter(is_ready).count()
    }

    pub(super) fn those<'a>(
        &'a self,
        slots: impl Iterator<Item = TargetSlot> + 'a,
    ) -> impl Iterator<Item = (TargetSlot, &'a Target)> {
        let found = slots.filter_map(move |slot| Some((slot, self.targets.get(slot)?)));
        found.inspect(move |_| self.looked())
    }

    /// Takes a life of a target in.
    pub(super) fn insert(&mut self, target: Target) -> TargetSlot {
        let (id, instance) = (target.id, target.entry.instance.clone());
        let slot = self.targets.insert(target);
        if let Some(target) = self.targets.get(slot) {
            self.index.add(slot, target);
        }
        self.by_instance.insert(instance, slot);
        self.by_id.insert(id, slot);
        self.pasts.sized_for(self.targets.len());
        slot
    }

    /// Takes what is found of a target in anew after its entry changed; it served `before`.
    pub(super) fn entry_changed(&mut self, slot: TargetSlot, before: &str) {
        if let Some(target) = self.targets.get(slot) {
            if &*target.entry.service != before {
                self.index.moved_from(slot, before);
            }
            self.index.add(slot, target);
        }
    }

    /// The targets that have requests of this box.
    pub fn in_use(&self) -> Vec<TargetSlot> {
        self.index.in_use.iter().copied().collect()
    }

    /// Notes that a target failed a generation, or was silent to one. Says whether that counts as a failure.
    pub fn failed_generation(&mut self, slot: TargetSlot, fault: EngineFault, now_ms: u64) -> bool {
        let Some(target) = self.targets.get_mut(slot) else {
            return false;
        };
        self.index.on_trial.insert(slot);
        self.index.passing.insert(slot);
        match fault {
            EngineFault::Broke => {
                target.trial.failed(now_ms);
                true
            }
            EngineFault::Silent => target.trial.silent(now_ms),
        }
    }

    /// The targets of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (TargetSlot, &'a Target)> {
        self.those(self.index.of_service(service))
    }

    /// How many targets a service has.
    pub fn count_of_service(&self, service: &str) -> usize {
        self.index.count_of_service(service)
    }

    /// Notes that a target said that it is full.
    pub fn full(&mut self, slot: TargetSlot, now_ms: u64) {
        if let Some(target) = self.targets.get_mut(slot) {
            target.full_until_ms = now_ms + FULL_MS;
        }
    }

    /// Notes that a target was chosen for a request.
    pub fn chosen(&mut self, slot: TargetSlot, cold: ColdRate, now_ms: u64) {
        if let Some(target) = self.targets.get_mut(slot) {
            cold.sent(target, now_ms);
        }
    }

    /// Notes that a target holds so many bytes more of a request.
    pub fn holds(&mut self, slot: TargetSlot, bytes: u64) {
        if let Some(target) = self.targets.get_mut(slot) {
            target.open_bytes += bytes;
        }
    }

    /// Notes that it holds so many less.
    pub fn dropped(&mut self, slot: TargetSlot, bytes: u64) {
        if let Some(target) = self.targets.get_mut(slot) {
            target.open_bytes = target.open_bytes.saturating_sub(bytes);
        }
    }

    /// Notes a request that was sent to a target.
    pub fn opened(&mut self, slot: TargetSlot) {
        if let Some(target) = self.targets.get_mut(slot) {
            target.open += 1;
            self.index.in_use.insert(slot);
        }
    }

    /// Notes that a request ended, and forgets a target that is gone with its last one.
    pub fn closed(&mut self, slot: TargetSlot) {
        let Some(target) = self.targets.get_mut(slot) else {
            return;
        };
        target.open = target.open.saturating_sub(1);
        if target.open == 0 {
            self.index.in_use.remove(&slot);
        }
        self.sweep(slot);
    }

    /// Forgets a target that is gone and has nothing of ours.
    pub fn sweep(&mut self, slot: TargetSlot) {
        let idle = |target: &Target| target.belief == Belief::Gone && target.open == 0;
        if !self.targets.get(slot).is_some_and(idle) {
            return;
        }
        if let Some(target) = self.targets.remove(slot) {
            let instance = &target.entry.instance;
            self.index.remove(slot, &target.entry.service);
            if target.entry.born_ms.is_some() {
                self.pasts.heard(&target.entry.life(), target.left);
            }
            if self.by_instance.get(instance) == Some(&slot) {
                self.by_instance.remove(instance);
            }
            self.by_id.remove(&target.id);
        }
    }

    /// The best target for a plain request: the emptiest, near ones first. Those in `tried` are only
    /// taken where there is no other, and cold ones as far as `cold` says that they bear it.
    pub fn choose(
        &self,
        service: &str,
        near: DataCentreId,
        tried: &[TargetSlot],
        cold: ColdRate,
        now_ms: u64,
    ) -> Option<TargetSlot> {
        let rank = |(slot, target): (TargetSlot, &Target)| {
            let far = f64::from(u8::from(target.data_centre != near)) * FAR_SHARE;
            let cold = f64::from(u8::from(now_ms < target.cold_until_ms)) * COLD_SHARE;
            let passed_over = target.suspicion.is_passed_over(now_ms);
            let full = now_ms < target.full_until_ms;
            let doubt = target.suspicion.failed_share();
            let order = (
                tried.contains(&slot),
                passed_over,
                full,
                target.fullness(now_ms) + far + cold + doubt,
            );
            (order, slot)
        };
        let ready = self
            .of_service(service)
            .filter(|(_, target)| self.takes_work(target) && cold.allows(target, now_ms));
        let best = ready.map(rank).min_by(|(a, _), (b, _)| {
            let doubts = (a.0, a.1, a.2).cmp(&(b.0, b.1, b.2));
            doubts.then(a.3.total_cmp(&b.3))
        });
        best.map(|(_, slot)| slot)
    }
}

#[cfg(test)]
#[path = "targets_size_tests.rs"]
mod size_tests;
