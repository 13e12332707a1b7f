//! The targets that this box knows, with its observations of each. Leaving is recorded per incarnation, never per
//! address or name. Entries and lists are applied in [`crate::watch::listing`].

use crate::membership::clocks::NotBefore;
use crate::watch::index::TargetIndex;
use crate::watch::retained::RetainedTargets;
pub(crate) use crate::watch::target::{COLD_PENALTY_SHARE, REMOTE_PENALTY_SHARE};
pub use crate::watch::target::{ColdRate, Missing, Target, TargetState};
use crate::watch::tombstones::Tombstones;
use peers::EngineFault;
use prelude::{DataCentreId, TargetId, Version};
use rand::seq::IteratorRandom;
use routing::TargetEntry;
use slotmap::{SlotMap, new_key_type};
use std::cell::Cell;
use std::collections::{HashMap, HashSet};

new_key_type! {
    /// Key of a target in this box's slot map.
    pub struct TargetSlot;
}

/// How long a target's answer that it is full counts, in ms.
const FULL_VALID_MS: u64 = 100;

/// The targets that a box knows.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    pub(super) targets: SlotMap<TargetSlot, Target>,
    pub(super) index: TargetIndex,
    /// The newest incarnation of each name. A previous one is only found by its slot.
    pub(super) by_instance: HashMap<Box<str>, TargetSlot>,
    pub(super) by_id: HashMap<TargetId, TargetSlot>,
    pub(super) tombstones: Tombstones,
    pub(super) retained: RetainedTargets,
    /// The store's version up to which the list is complete.
    pub current_to: Version,
    /// The version of the last relevant change: a target was added, leaves, or was removed.
    pub changed_at: Version,
    /// Until when the store's list may be stale, after its era rose.
    pub(super) settles_until_ms: Option<u64>,
    /// When the list was last confirmed to be current.
    pub(crate) confirmed: Option<NotBefore>,
    /// A list was applied: from the store, possibly some seconds stale, or from a peer.
    pub(super) known: bool,
    evacuated: HashSet<DataCentreId>,
    /// Counts checks of single targets.
    checks: Cell<u64>,
}

/// A change of the registry, for the rest of the box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The target may be used from now on.
    Added(TargetSlot),
    /// The target takes no new work from now on.
    Leaving(TargetSlot),
    /// The target is no longer listed.
    Removed(TargetSlot),
    /// The target takes work, and is slow for some time.
    TurnedCold(TargetSlot),
    /// A new incarnation started under the name of a previous one, which has ended.
    Restarted {
        /// The incarnation that ended.
        previous: TargetSlot,
        /// The new incarnation.
        slot: TargetSlot,
    },
}

impl TargetRegistry {
    /// The target in a slot.
    pub fn get(&self, slot: TargetSlot) -> Option<&Target> {
        self.targets.get(slot)
    }

    /// The target in a slot.
    pub fn get_mut(&mut self, slot: TargetSlot) -> Option<&mut Target> {
        self.targets.get_mut(slot)
    }

    /// The slot of a target.
    pub fn slot_of(&self, id: TargetId) -> Option<TargetSlot> {
        self.by_id.get(&id).copied()
    }

    /// Sets the evacuated data centres, whose targets get no new work.
    pub fn evacuate(&mut self, data_centres: HashSet<DataCentreId>) {
        self.evacuated = data_centres;
    }

    /// Whether a target is in an evacuated data centre.
    pub fn is_evacuated(&self, target: &Target) -> bool {
        self.evacuated.contains(&target.data_centre)
    }

    /// Whether a target takes new work. Every placement, send, copy and poll uses this check.
    pub fn takes_work(&self, target: &Target) -> bool {
        target.state == TargetState::Ready && !target.is_refusing && !self.is_evacuated(target)
    }

    /// Whether any list of targets is known.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Number of incarnations of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// The entries of all listed targets, each with the rest of its cold period.
    pub fn entries(&self, now_ms: u64) -> Vec<TargetEntry> {
        let listed = self.all().map(|(_, target)| target);
        let listed = listed.filter(|t| t.state != TargetState::Gone);
        listed.map(|target| target.entry_at(now_ms)).collect()
    }

    /// All targets.
    pub fn all(&self) -> impl Iterator<Item = (TargetSlot, &Target)> {
        self.targets.iter().inspect(move |_| self.count_check())
    }

    /// Total checks of single targets, which measure the cost of maintenance.
    pub fn checks(&self) -> u64 {
        self.checks.get()
    }

    fn count_check(&self) {
        self.checks.set(self.checks.get() + 1);
    }

    /// Targets on probation that are due for a probe.
    pub fn due_probes(&mut self, now_ms: u64) -> Vec<TargetSlot> {
        let targets = &self.targets;
        let is_on = |slot: &TargetSlot| {
            targets
                .get(*slot)
                .is_some_and(|t| t.probation.is_on(now_ms))
        };
        self.index.on_probation.retain(is_on);
        let open = |(_, target): &(TargetSlot, &Target)| {
            self.takes_work(target) && target.probation.needs_probe(now_ms)
        };
        let on_probation = self.resolve(self.index.on_probation.iter().copied());
        on_probation.filter(open).map(|(slot, _)| slot).collect()
    }

    /// Records that a target asked this box for a pause. Returns whether no pause was in force before.
    pub(crate) fn record_retry_after(
        &mut self,
        slot: TargetSlot,
        pause_ms: u64,
        now_ms: u64,
    ) -> bool {
        let Some(target) = self.targets.get_mut(slot) else {
            return false;
        };
        let is_new = target.backoff.remaining_ms(now_ms).is_none();
        target
            .backoff
            .record_pause(pause_ms, rand::random(), now_ms);
        self.index.backing_off.insert(slot);
        is_new
    }

    /// Targets of a service whose requested pause is in force, with the remaining ms.
    pub(crate) fn backing_off(&mut self, service: &str, now_ms: u64) -> Vec<(TargetId, u64)> {
        let targets = &self.targets;
        let is_on = |slot: &TargetSlot| targets.get(*slot).is_some_and(|t| t.backoff.is_on(now_ms));
        self.index.backing_off.retain(is_on);
        let backing_off = self.resolve(self.index.backing_off.iter().copied());
        let of_service = backing_off.filter(|(_, target)| &*target.entry.service == service);
        of_service
            .filter_map(|(_, target)| Some((target.id, target.backoff.remaining_ms(now_ms)?)))
            .collect()
    }

    /// Updates the index after the rate limit of a target changed.
    pub(crate) fn index_rate_limit(&mut self, slot: TargetSlot) {
        let Some(target) = self.targets.get(slot) else {
            return;
        };
        self.index.transient.insert(slot);
        match target.rate_limit.announced.is_limited() {
            true => self.index.rate_limited.insert(slot),
            false => self.index.rate_limited.remove(&slot),
        };
    }

    /// A random sample of up to `count` targets with a rate limit.
    pub(crate) fn sample_rate_limited(&self, count: usize) -> Vec<TargetSlot> {
        let limited = self.index.rate_limited.iter().copied();
        limited.choose_multiple(&mut rand::rng(), count)
    }

    /// Number of targets with a rate limit.
    pub(crate) fn rate_limited_count(&self) -> usize {
        self.index.rate_limited.len()
    }

    /// Records that a target failed a request of this box.
    pub fn record_failure(&mut self, slot: TargetSlot, now_ms: u64) {
        if let Some(target) = self.targets.get_mut(slot) {
            target.outlier.record_failure(now_ms);
            self.index.transient.insert(slot);
        }
    }

    /// Targets that had transient state at the last call; a target whose state has ended is returned once more.
    pub fn take_transient(&mut self, now_ms: u64) -> Vec<TargetId> {
        let transient = self.resolve(self.index.transient.iter().copied());
        let ids = transient.map(|(_, target)| target.id).collect();
        let targets = &self.targets;
        let is_in_force = |target: &Target| {
            now_ms < target.cold_until_ms
                || target.probation.is_on(now_ms)
                || target.outlier.is_ejected(now_ms)
                || target.rate_limit.announced.rate_per_s(now_ms).is_some()
        };
        let is_transient = |slot: &TargetSlot| targets.get(*slot).is_some_and(is_in_force);
        self.index.transient.retain(is_transient);
        ids
    }

    /// Whether more than half of the ready targets of a service are on probation.
    pub fn most_on_probation(&self, service: &str, now_ms: u64) -> bool {
        let is_ready = |(_, target): &(TargetSlot, &Target)| target.state == TargetState::Ready;
        let on_probation = self.resolve(self.index.on_probation.iter().copied());
        let of_service = on_probation.filter(|(_, target)| &*target.entry.service == service);
        let on = of_service.filter(|(_, target)| target.probation.is_on(now_ms));
        let on = on.filter(is_ready).count();
        // Usually none is on probation, and the others need not be counted.
        on > 0 && on * 2 > self.of_service(service).filter(is_ready).count()
    }

    pub(super) fn resolve<'a>(
        &'a self,
        slots: impl Iterator<Item = TargetSlot> + 'a,
    ) -> impl Iterator<Item = (TargetSlot, &'a Target)> {
        let found = slots.filter_map(move |slot| Some((slot, self.targets.get(slot)?)));
        found.inspect(move |_| self.count_check())
    }

    /// Inserts an incarnation of a target.
    pub(super) fn insert(&mut self, target: Target) -> TargetSlot {
        let (id, instance) = (target.id, target.entry.instance.clone());
        let slot = self.targets.insert(target);
        if let Some(target) = self.targets.get(slot) {
            self.index.add(slot, target);
        }
        self.by_instance.insert(instance, slot);
        self.by_id.insert(id, slot);
        self.tombstones.set_target_count(self.targets.len());
        slot
    }

    /// Updates the index after a target's entry changed; `before` is its previous service.
    pub(super) fn reindex(&mut self, slot: TargetSlot, before: &str) {
        if let Some(target) = self.targets.get(slot) {
            if &*target.entry.service != before {
                self.index.remove_from_service(slot, before);
            }
            self.index.add(slot, target);
        }
    }

    /// Targets with open requests of this box.
    pub fn in_use(&self) -> Vec<TargetSlot> {
        self.index.in_use.iter().copied().collect()
    }

    /// Records that a target failed a generation or was silent. Returns whether that counts as a failure.
    pub fn record_generation_failure(
        &mut self,
        slot: TargetSlot,
        fault: EngineFault,
        now_ms: u64,
    ) -> bool {
        let Some(target) = self.targets.get_mut(slot) else {
            return false;
        };
        self.index.on_probation.insert(slot);
        self.index.transient.insert(slot);
        match fault {
            EngineFault::Broke => {
                target.probation.record_failure(now_ms);
                true
            }
            EngineFault::Silent => target.probation.record_silence(now_ms),
        }
    }

    /// The targets of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (TargetSlot, &'a Target)> {
        self.resolve(self.index.of_service(service))
    }

    /// Number of targets of a service.
    pub fn count_of_service(&self, service: &str) -> usize {
        self.index.count_of_service(service)
    }

    /// Records that a target answered that it is full.
    pub fn record_full(&mut self, slot: TargetSlot, now_ms: u64) {
        if let Some(target) = self.targets.get_mut(slot) {
            target.full_until_ms = now_ms + FULL_VALID_MS;
        }
    }

    /// Records that a target was chosen for a request.
    pub fn record_chosen(&mut self, slot: TargetSlot, cold: ColdRate, now_ms: u64) {
        if let Some(target) = self.targets.get_mut(slot) {
            cold.record_send(target, now_ms);
        }
    }

    /// Adds bytes of a request that a target has received.
    pub fn add_open_bytes(&mut self, slot: TargetSlot, bytes: u64) {
        if let Some(target) = self.targets.get_mut(slot) {
            target.open_bytes += bytes;
        }
    }

    /// Subtracts bytes of a request that ended.
    pub fn remove_open_bytes(&mut self, slot: TargetSlot, bytes: u64) {
        if let Some(target) = self.targets.get_mut(slot) {
            target.open_bytes = target.open_bytes.saturating_sub(bytes);
        }
    }

    /// Records that a request was sent to a target.
    pub fn record_open(&mut self, slot: TargetSlot) {
        if let Some(target) = self.targets.get_mut(slot) {
            target.open += 1;
            self.index.in_use.insert(slot);
        }
    }

    /// Records that a request ended, and removes a target that is gone with its last request.
    pub fn record_close(&mut self, slot: TargetSlot) {
        let Some(target) = self.targets.get_mut(slot) else {
            return;
        };
        target.open = target.open.saturating_sub(1);
        if target.open == 0 {
            self.index.in_use.remove(&slot);
        }
        self.remove_if_idle(slot);
    }

    /// Removes a target that is gone and has no open requests of this box, leaving a tombstone.
    pub fn remove_if_idle(&mut self, slot: TargetSlot) {
        let idle = |target: &Target| target.state == TargetState::Gone && target.open == 0;
        if !self.targets.get(slot).is_some_and(idle) {
            return;
        }
        if let Some(target) = self.targets.remove(slot) {
            let instance = &target.entry.instance;
            self.index.remove(slot, &target.entry.service);
            if target.entry.born_ms.is_some() {
                self.tombstones
                    .record_incarnation(&target.entry.life(), target.was_leaving);
            }
            if self.by_instance.get(instance) == Some(&slot) {
                self.by_instance.remove(instance);
            }
            self.by_id.remove(&target.id);
            self.retained.retain(target);
        }
    }

    /// Picks the target for a plain request: the least loaded one, near ones first. Targets in `tried` are used only
    /// if there is no other, and cold ones only as far as `cold` allows.
    pub fn choose(
        &self,
        service: &str,
        near: DataCentreId,
        tried: &[TargetSlot],
        cold: ColdRate,
        now_ms: u64,
    ) -> Option<TargetSlot> {
        let rank = |(slot, target): (TargetSlot, &Target)| {
            let far = f64::from(u8::from(target.data_centre != near)) * REMOTE_PENALTY_SHARE;
            let cold = f64::from(u8::from(now_ms < target.cold_until_ms)) * COLD_PENALTY_SHARE;
            let ejected = target.outlier.is_ejected(now_ms);
            let full = target.is_full(now_ms);
            let failed_share = target.outlier.failed_share();
            let order = (
                tried.contains(&slot),
                ejected,
                full,
                target.fullness(now_ms) + far + cold + failed_share,
            );
            (order, slot)
        };
        let ready = self
            .of_service(service)
            .filter(|(_, target)| self.takes_work(target) && cold.allows(target, now_ms));
        let best = ready.map(rank).min_by(|(a, _), (b, _)| {
            let flags = (a.0, a.1, a.2).cmp(&(b.0, b.1, b.2));
            flags.then(a.3.total_cmp(&b.3))
        });
        best.map(|(_, slot)| slot)
    }
}

#[cfg(test)]
#[path = "targets_size_tests.rs"]
mod size_tests;
