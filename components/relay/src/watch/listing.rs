//! How the store's words on lives are taken in: entries and lists. A word of a previous life changes
//! nothing, however late it comes and whatever its version is.

use crate::watch::targets::{Change, Missing, Target, TargetRegistry, TargetSlot, TargetState};
use crate::watch::tombstones::Tombstone;
use prelude::Version;
use routing::{TargetEntry, TargetLife, TargetPhase};
use std::collections::HashSet;

impl TargetRegistry {
    /// The newest life under a name.
    pub(super) fn newest(&self, instance: &str) -> Option<(TargetSlot, &Target)> {
        let slot = *self.by_instance.get(instance)?;
        Some((slot, self.targets.get(slot)?))
    }

    /// What is known of a name whose lives are not listed any more.
    pub(super) fn tombstone_of(&self, life: &TargetLife) -> Tombstone {
        match life.born_ms {
            Some(_) => self.tombstones.get(&life.instance),
            // Where names are not used again, a name says all.
            None => Tombstone {
                born_ms: self.tombstones.get(&life.instance).born_ms,
                ..Tombstone::default()
            },
        }
    }

    pub(super) fn record_incarnation(&mut self, life: &TargetLife, leaves: bool) {
        if life.born_ms.is_some() {
            self.tombstones.record_incarnation(life, leaves);
        }
    }

    /// Takes the entry of one target in.
    pub fn apply_entry(&mut self, entry: TargetEntry, now_ms: u64) -> Option<Change> {
        let life = entry.life();
        let tombstone = self.tombstone_of(&life);
        if life.born_ms < tombstone.born_ms || self.may_be_stale(&entry, now_ms) {
            return None;
        }
        let newest = self.newest(&life.instance);
        let known = newest.map(|(slot, target)| (slot, target.entry.born_ms));
        match known {
            Some((_, born_ms)) if life.born_ms < born_ms => None,
            Some((slot, born_ms)) if life.born_ms == born_ms => {
                self.apply_newer_entry(slot, entry, now_ms)
            }
            _ if entry.version < tombstone.unlisted_at => {
                self.record_incarnation(&life, entry.phase == TargetPhase::Leaving);
                self.end_older_incarnation(&life)
            }
            Some((previous, _)) => {
                let was_known = self
                    .targets
                    .get_mut(previous)
                    .is_some_and(Target::mark_gone);
                let came = self.add_target(entry, now_ms);
                let slot = *self.by_instance.get(&life.instance)?;
                match was_known {
                    true => Some(Change::Restarted { previous, slot }),
                    false => came,
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
        let was = target.state;
        let service = target.entry.service.clone();
        let turned_cold = target.update_entry(entry, now_ms);
        let now = target.state;
        self.reindex(slot, &service);
        if was == now && !(turned_cold && now == TargetState::Ready) {
            return None;
        }
        self.changed_at = self.changed_at.max(version);
        Some(match now {
            TargetState::Ready if was == now => Change::TurnedCold(slot),
            TargetState::Ready => Change::Added(slot),
            _ => Change::Leaving(slot),
        })
    }

    fn add_target(&mut self, entry: TargetEntry, now_ms: u64) -> Option<Change> {
        let life = entry.life();
        self.changed_at = self.changed_at.max(entry.version);
        let tombstone = self.tombstone_of(&life);
        let left = tombstone.was_leaving && tombstone.born_ms == life.born_ms;
        let target = Target::new(entry, left, now_ms);
        let state = target.state;
        let slot = self.insert(target);
        Some(match state {
            TargetState::Leaving => Change::Leaving(slot),
            _ => Change::Added(slot),
        })
    }

    /// Notes that a life was heard of that is newer than what is kept under its name.
    pub(super) fn end_older_incarnation(&mut self, life: &TargetLife) -> Option<Change> {
        let (slot, target) = self.newest(&life.instance)?;
        if target.entry.born_ms >= life.born_ms {
            return None;
        }
        let was_known = self.targets.get_mut(slot).is_some_and(Target::mark_gone);
        was_known.then_some(Change::Removed(slot))
    }

    /// Notes that no target of a name is listed any more.
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

    /// Notes that a life is listed no more. A newer one under its name is not concerned.
    pub fn unlist_incarnation(&mut self, life: &TargetLife, version: Version) -> Option<Change> {
        self.record_incarnation(life, false);
        let newest = self.newest(&life.instance).map(|(_, t)| t.entry.born_ms);
        let newest = newest.unwrap_or_else(|| self.tombstone_of(life).born_ms);
        match life.born_ms < newest {
            true => None,
            false => {
                let went = self.unlist(&life.instance, version);
                went.or_else(|| self.end_older_incarnation(life))
            }
        }
    }

    /// Notes that the entry of a target that takes work is missing in a store that has just come back, or that it is
    /// listed no more.
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

    /// The names whose entries are still missing after the time that they had, with the version of that.
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

    /// Takes a whole list in, as it was at `version`. Where the store has just come back, entries that are missing
    /// have until `missing_until_ms` to be written again.
    pub fn replace(
        &mut self,
        entries: Vec<TargetEntry>,
        version: Version,
        missing_until_ms: Option<u64>,
        now_ms: u64,
    ) -> Vec<Change> {
        self.replace_subset(entries, &|_| true, version, missing_until_ms, now_ms)
    }

    /// The same for a part of the list: the targets whose names `is_in`. A name that is listed with a previous life only
    /// is not missing: its newest life is as it was.
    pub(crate) fn replace_subset(
        &mut self,
        entries: Vec<TargetEntry>,
        is_in: &impl Fn(&str) -> bool,
        version: Version,
        missing_until_ms: Option<u64>,
        now_ms: u64,
    ) -> Vec<Change> {
        // A copy lacks what came since: it is written again, if it lives.
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
