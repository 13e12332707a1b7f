//! By what targets are found without a pass over all of them: their services, and what holds for few of them.

use crate::watch::targets::{Target, TargetSlot};
use std::collections::{BTreeSet, HashMap};

/// What targets are found by. A set may name targets that have changed since: whoever reads it looks at each.
#[derive(Debug, Default)]
pub(super) struct TargetIndex {
    by_service: HashMap<Box<str>, BTreeSet<TargetSlot>>,
    /// Those that leave by their own word.
    pub leaving: BTreeSet<TargetSlot>,
    /// Those whose entries are missing in a store that has just come back.
    pub missing: BTreeSet<TargetSlot>,
    /// Those that failed a generation, on the box that dispatches to them.
    pub on_probation: BTreeSet<TargetSlot>,
    /// Those of which something holds for a time: they are cold, on trial, or failed this box.
    pub transient: BTreeSet<TargetSlot>,
    /// Those that asked this box for a pause.
    pub backing_off: BTreeSet<TargetSlot>,
    /// Those that announce a rate limit.
    pub rate_limited: BTreeSet<TargetSlot>,
    /// Those that have requests of this box.
    pub in_use: BTreeSet<TargetSlot>,
}

impl TargetIndex {
    pub fn add(&mut self, slot: TargetSlot, target: &Target) {
        let service = target.entry.service.clone();
        self.by_service.entry(service).or_default().insert(slot);
        if target.entry.cold_left_ms > 0 {
            self.transient.insert(slot);
        }
        self.update_leaving(slot, target);
    }

    pub fn remove(&mut self, slot: TargetSlot, service: &str) {
        self.remove_from_service(slot, service);
        for set in [
            &mut self.leaving,
            &mut self.missing,
            &mut self.on_probation,
            &mut self.transient,
            &mut self.backing_off,
            &mut self.rate_limited,
            &mut self.in_use,
        ] {
            set.remove(&slot);
        }
    }

    /// Notes that a target has another service than it had.
    pub fn remove_from_service(&mut self, slot: TargetSlot, service: &str) {
        if let Some(slots) = self.by_service.get_mut(service) {
            slots.remove(&slot);
            if slots.is_empty() {
                self.by_service.remove(service);
            }
        }
    }

    pub fn update_leaving(&mut self, slot: TargetSlot, target: &Target) {
        if target.leaving_reported {
            self.leaving.insert(slot);
        }
    }

    pub fn count_of_service(&self, service: &str) -> usize {
        self.by_service.get(service).map_or(0, BTreeSet::len)
    }

    /// The targets of a service, in the order of the arena.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = TargetSlot> + '_ {
        self.by_service.get(service).into_iter().flatten().copied()
    }
}
