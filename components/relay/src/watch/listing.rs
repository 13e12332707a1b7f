//! Applies the store's entries and lists to the registry. Updates of a previous incarnation never change the newest
//! one, whatever their order and version.

use crate::watch::targets::{Change, Missing, Target, TargetRegistry, TargetSlot, TargetState};
use crate::watch::tombstones::Tombstone;
use prelude::Version;
use routing::{TargetEntry, TargetLife, TargetPhase};
use std::collections::HashSet;

impl TargetRegistry {
    /// The newest incarnation under a name.
    pub(super) fn newest(&self, instance: &str) -> Option<(TargetSlot, &Target)> {
        let slot = *self.by_instance.get(instance)?;
        Some((slot, self.targets.get(slot)?))
    }

    /// The tombstone of an incarnation's name; empty if there is none.
    pub(super) fn tombstone_of(&self, incarnation: &TargetLife) -> Tombstone {
        match incarnation.born_ms {
            Some(_) => self.tombstones.get(&incarnation.instance),
            // Without a birth time, names are not reused, so the name alone identifies the incarnation.
            None => Tombstone {
                born_ms: self.tombstones.get(&incarnation.instance).born_ms,
                ..Tombstone::default()
            },
        }
    }

    pub(super) fn record_incarnation(&mut self, incarnation: &TargetLife, leaves: bool) {
        if incarnation.born_ms.is_some() {
            self.tombstones.record_incarnation(incarnation, leaves);
        }
    }

    /// Applies the entry of one target.
    pub fn apply_entry(&mut self, entry: TargetEntry, now_ms: u64) -> Option<Change> {
        let incarnation = entry.life();
        let tombstone = self.tombstone_of(&incarnation);
        if incarnation.born_ms < tombstone.born_ms || self.may_be_stale(&entry, now_ms) {
            return None;
        }
        let newest = self.newest(&incarnation.instance);
        let known = newest.map(|(slot, target)| (slot, target.entry.born_ms));
        match known {
            Some((_, born_ms)) if incarnation.born_ms < born_ms => None,
            Some((slot, born_ms)) if incarnation.born_ms == born_ms => {
                self.apply_newer_entry(slot, entry, now_ms)
            }
            _ if entry.version < tombstone.unlisted_at => {
                self.record_incarnation(&incarnation, entry.phase == TargetPhase::Leaving);
                self.end_older_incarnation(&incarnation)
            }
            Some((previous, _)) => {
                let was_listed = self
                    .targets
                    .get_mut(previous)
                    .is_some_and(Target::mark_gone);
                let added = self.add_target(entry, now_ms);
                let slot = *self.by_instance.get(&incarnation.instance)?;
                match was_listed {
                    true => Some(Change::Restarted { previous, slot }),
                    false => added,
                }
            }
            None => self.add_target(entry, now_ms),
        }
    }

    fn apply_newer_entry(
        &mut self,
        slot: TargetSlot,
        entry: TargetEntry,
        now_ms: u64,
    ) -> Option<Change> {
        let version = entry.version;
        let target = self.targets.get_mut(slot)?;
        if version < target.entry.version {
            return None;
        }
        let old_state = target.state;
        let service = target.entry.service.clone();
        let turned_cold = target.update_entry(entry, now_ms);
        let new_state = target.state;
        self.reindex(slot, &service);
        if old_state == new_state && !(turned_cold && new_state == TargetState::Ready) {
            return None;
        }
        self.changed_at = self.changed_at.max(version);
        Some(match new_state {
            TargetState::Ready if old_state == new_state => Change::TurnedCold(slot),
            TargetState::Ready => Change::Added(slot),
            _ => Change::Leaving(slot),
        })
    }

    fn add_target(&mut self, entry: TargetEntry, now_ms: u64) -> Option<Change> {
        let incarnation = entry.life();
        self.changed_at = self.changed_at.max(entry.version);
        let tombstone = self.tombstone_of(&incarnation);
        let left = tombstone.was_leaving && tombstone.born_ms == incarnation.born_ms;
        let target = match self.retained.take(incarnation.id()) {
            Some(removed) => removed.relisted(entry, left, now_ms),
            None => Target::new(entry, left, now_ms),
        };
        let state = target.state;
        let slot = self.insert(target);
        Some(match state {
            TargetState::Leaving => Change::Leaving(slot),
            _ => Change::Added(slot),
        })
    }

    /// Ends the incarnation kept under the name if `incarnation` is newer.
    pub(super) fn end_older_incarnation(&mut self, incarnation: &TargetLife) -> Option<Change> {
        let (slot, target) = self.newest(&incarnation.instance)?;
        if target.entry.born_ms >= incarnation.born_ms {
            return None;
        }
        let was_listed = self.targets.get_mut(slot).is_some_and(Target::mark_gone);
        was_listed.then_some(Change::Removed(slot))
    }

    /// Records that a name is no longer listed.
    pub fn unlist(&mut self, instance: &str, version: Version) -> Option<Change> {
        self.tombstones.record_unlisted(instance, version);
        let (slot, _) = self.newest(instance)?;
        let target = self.targets.get_mut(slot)?;
        if target.state == TargetState::Gone || version < target.entry.version {
            return None;
        }
        target.state = TargetState::Gone;
        target.missing = None;
        target.entry.version = version;
        self.changed_at = self.changed_at.max(version);
        Some(Change::Removed(slot))
    }

    /// Records that an incarnation is no longer listed. A newer one under its name stays as it is.
    pub fn unlist_incarnation(
        &mut self,
        incarnation: &TargetLife,
        version: Version,
    ) -> Option<Change> {
        self.record_incarnation(incarnation, false);
        let newest = self
            .newest(&incarnation.instance)
            .map(|(_, t)| t.entry.born_ms);
        let newest = newest.unwrap_or_else(|| self.tombstone_of(incarnation).born_ms);
        match incarnation.born_ms < newest {
            true => None,
            false => {
                let removed = self.unlist(&incarnation.instance, version);
                removed.or_else(|| self.end_older_incarnation(incarnation))
            }
        }
    }

    /// Records that an entry is missing in a store that has just recovered. A target that takes work gets a grace
    /// period; any other is removed.
    pub fn mark_missing(&mut self, instance: &str, missing: Missing) -> Option<Change> {
        let (slot, _) = self.newest(instance)?;
        let target = self.targets.get_mut(slot)?;
        if target.state != TargetState::Ready {
            return self.unlist(instance, missing.version);
        }
        target.missing = target.missing.or(Some(missing));
        self.index.missing.insert(slot);
        None
    }

    /// Names whose entries are still missing at the end of the grace period, each with the version at which it was
    /// missing.
    pub fn expired_missing(&mut self, now_ms: u64) -> Vec<(Box<str>, Version)> {
        let targets = &self.targets;
        let is_missing =
            |slot: &TargetSlot| targets.get(*slot).is_some_and(|t| t.missing.is_some());
        self.index.missing.retain(is_missing);
        let missing = self.resolve(self.index.missing.iter().copied());
        let missing = missing.filter_map(|(_, target)| {
            let missing = target
                .missing
                .filter(|missing| missing.until_ms <= now_ms)?;
            Some((target.entry.instance.clone(), missing.version))
        });
        missing.collect()
    }

    /// Applies a complete list that has all changes up to `version`, and maybe some later ones. If the store has just recovered, missing entries have until
    /// `missing_until_ms` to be written again.
    pub fn replace(
        &mut self,
        entries: Vec<TargetEntry>,
        version: Version,
        missing_until_ms: Option<u64>,
        now_ms: u64,
    ) -> Vec<Change> {
        self.replace_subset(entries, &|_| true, version, missing_until_ms, now_ms)
    }

    /// Like [`Self::replace`] for the part of the list that `is_in` selects by name. A name that is listed with a
    /// previous incarnation only does not count as missing, and its newest incarnation stays as it is.
    pub(crate) fn replace_subset(
        &mut self,
        entries: Vec<TargetEntry>,
        is_in: &impl Fn(&str) -> bool,
        version: Version,
        missing_until_ms: Option<u64>,
        now_ms: u64,
    ) -> Vec<Change> {
        let changed_before = self.changed_at;
        // A stale backup does not contain recent entries; live targets write them again.
        let missing_until_ms = missing_until_ms.max(self.settling_until_ms(now_ms));
        let listed: HashSet<Box<str>> = entries.iter().map(|e| e.instance.clone()).collect();
        let mut changes: Vec<Change> = Vec::new();
        for entry in entries {
            changes.extend(self.apply_entry(entry, now_ms));
        }
        let is_missing = |instance: &str| is_in(instance) && !listed.contains(instance);
        let missing: Vec<Box<str>> = self
            .by_instance
            .keys()
            .filter(|instance| is_missing(instance))
            .cloned()
            .collect();
        for instance in missing {
            changes.extend(match missing_until_ms {
                Some(until_ms) => self.mark_missing(&instance, Missing { until_ms, version }),
                None => self.unlist(&instance, version),
            });
        }
        // Of changes after `version` the list may have a later one and lack an earlier one.
        self.changed_at = self.changed_at.min(changed_before.max(version));
        self.current_to = self.current_to.max(version);
        self.known = true;
        changes
    }
}

#[cfg(test)]
#[path = "listing_order_tests.rs"]
mod order_tests;
#[cfg(test)]
#[path = "listing_tests.rs"]
pub(crate) mod tests;
