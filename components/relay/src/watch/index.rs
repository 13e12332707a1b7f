//! Index of targets by service and by rare state, which avoids scans over all targets.

use crate::watch::targets::{Target, TargetSlot};
use std::collections::{BTreeSet, HashMap};

/// Sets of targets. They may contain targets that have changed since, so readers check each one.
#[derive(Debug, Default)]
pub(super) struct TargetIndex {
    by_service: HashMap<Box<str>, BTreeSet<TargetSlot>>,
    /// Leaving targets whose leaving the store has not reported.
    pub leaving: BTreeSet<TargetSlot>,
    /// Targets whose entries are missing in a store that has just recovered.
    pub missing: BTreeSet<TargetSlot>,
    /// Targets that failed a generation, on the box that dispatches to them.
    pub on_probation: BTreeSet<TargetSlot>,
    /// Targets with transient state: cold, on probation, rate limited, or with recent failures.
    pub transient: BTreeSet<TargetSlot>,
    /// Targets that asked this box for a pause.
    pub backing_off: BTreeSet<TargetSlot>,
    /// Targets that announce a rate limit.
    pub rate_limited: BTreeSet<TargetSlot>,
    /// Targets with open requests of this box.
    pub in_use: BTreeSet<TargetSlot>,
}

impl TargetIndex {
    pub fn add(&mut self, slot: TargetSlot, target: &Target) {
        let service = target.entry.service.clone();
        self.by_service.entry(service).or_default().insert(slot);
        if target.entry.cold_left_ms > 0 {
            self.transient.insert(slot);
        }
        if target.has_state() {
            self.add_state(slot, target);
        }
        self.update_leaving(slot, target);
    }

    /// Adds a target to the sets of rare states.
    fn add_state(&mut self, slot: TargetSlot, target: &Target) {
        self.on_probation.insert(slot);
        self.transient.insert(slot);
        self.backing_off.insert(slot);
        if target.rate_limit.announced.is_limited() {
            self.rate_limited.insert(slot);
        }
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

    /// Removes a target from the index of a service.
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

    /// The targets of a service, in the order of their slots.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = TargetSlot> + '_ {
        self.by_service.get(service).into_iter().flatten().copied()
    }
}
