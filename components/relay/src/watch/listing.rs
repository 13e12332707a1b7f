//! How the store's words on lives are taken in: entries and lists. A word of a former life changes
//! nothing, however late it comes and whatever its version is.

use crate::watch::pasts::Past;
use crate::watch::targets::{Belief, Change, Missing, Target, TargetBook, TargetSlot};
use prelude::Version;
use routing::{TargetEntry, TargetLife, TargetPhase};
use std::collections::HashSet;

impl TargetBook {
    /// The newest life under a name.
    pub(super) fn newest(&self, instance: &str) -> Option<(TargetSlot, &Target)> {
        let slot = *self.by_instance.get(instance)?;
        Some((slot, self.targets.get(slot)?))
    }

    /// What is known of a name whose lives are not listed any more.
    pub(super) fn past_of(&self, life: &TargetLife) -> Past {
        match life.born_ms {
            Some(_) => self.pasts.of(&life.instance),
            // Where names are not used again, a name says all.
            None => Past {
                born_ms: self.pasts.of(&life.instance).born_ms,
                ..Past::default()
            },
        }
    }

    pub(super) fn hear(&mut self, life: &TargetLife, leaves: bool) {
        if life.born_ms.is_some() {
            self.pasts.heard(life, leaves);
        }
    }

    /// Takes the entry of one target in.
    pub fn listed(&mut self, entry: TargetEntry, now_ms: u64) -> Option<Change> {
        let life = entry.life();
        let past = self.past_of(&life);
        if life.born_ms < past.born_ms || self.may_be_copied(&entry, now_ms) {
            return None;
        }
        let newest = self.newest(&life.instance);
        let known = newest.map(|(slot, target)| (slot, target.entry.born_ms));
        match known {
            Some((_, born_ms)) if life.born_ms < born_ms => None,
            Some((slot, born_ms)) if life.born_ms == born_ms => self.renewed(slot, entry, now_ms),
            _ if entry.version < past.unlisted_at => {
                self.hear(&life, entry.phase == TargetPhase::Leaving);
                self.over(&life)
            }
            Some((former, _)) => {
                let was_known = self.targets.get_mut(former).is_some_and(Target::is_over);
                let came = self.came(entry, now_ms);
                let slot = *self.by_instance.get(&life.instance)?;
                match was_known {
                    true => Some(Change::Restarted { former, slot }),
                    false => came,
                }
            }
            None => self.came(entry, now_ms),
        }
    }

    fn renewed(&mut self, slot: TargetSlot, entry: TargetEntry, now_ms: u64) -> Option<Change> {
        let version = entry.version;
        let target = self.targets.get_mut(slot)?;
        if version < target.entry.version {
            return None;
        }
        let was = target.belief;
        let service = target.entry.service.clone();
        let turned_cold = target.renew(entry, now_ms);
        let now = target.belief;
        self.entry_changed(slot, &service);
        if was == now && !(turned_cold && now == Belief::Ready) {
            return None;
        }
        self.changed_at = self.changed_at.max(version);
        Some(match now {
            Belief::Ready if was == now => Change::Cold(slot),
            Belief::Ready => Change::Came(slot),
            _ => Change::Leaves(slot),
        })
    }

    fn came(&mut self, entry: TargetEntry, now_ms: u64) -> Option<Change> {
        let life = entry.life();
        self.changed_at = self.changed_at.max(entry.version);
        let past = self.past_of(&life);
        let left = past.left && past.born_ms == life.born_ms;
        let target = Target::new(entry, left, now_ms);
        let belief = target.belief;
        let slot = self.insert(target);
        Some(match belief {
            Belief::Leaving => Change::Leaves(slot),
            _ => Change::Came(slot),
        })
    }

    /// Notes that a life was heard of that is newer than what is kept under its name.
    pub(super) fn over(&mut self, life: &TargetLife) -> Option<Change> {
        let (slot, target) = self.newest(&life.instance)?;
        if target.entry.born_ms >= life.born_ms {
            return None;
        }
        let was_known = self.targets.get_mut(slot).is_some_and(Target::is_over);
        was_known.then_some(Change::Went(slot))
    }

    /// Notes that no target of a name is listed any more.
    pub fn unlisted(&mut self, instance: &str, version: Version) -> Option<Change> {
        self.pasts.unlisted(instance, version);
        let (slot, _) = self.newest(instance)?;
        let target = self.targets.get_mut(slot)?;
        if target.belief == Belief::Gone || version < target.entry.version {
            return None;
        }
        target.belief = Belief::Gone;
        target.missing = None;
        target.entry.version = version;
        self.changed_at = self.changed_at.max(version);
        Some(Change::Went(slot))
    }

    /// Notes that a life is listed no more. A newer one under its name is not concerned.
    pub fn life_unlisted(&mut self, life: &TargetLife, version: Version) -> Option<Change> {
        self.hear(life, false);
        let newest = self.newest(&life.instance).map(|(_, t)| t.entry.born_ms);
        let newest = newest.unwrap_or_else(|| self.past_of(life).born_ms);
        match life.born_ms < newest {
            true => None,
            false => {
                let went = self.unlisted(&life.instance, version);
                went.or_else(|| self.over(life))
            }
        }
    }

    /// Notes that the entry of a target that takes work is missing in a store that has just come back, or that it is
    /// listed no more.
    pub fn missed(&mut self, instance: &str, missing: Missing) -> Option<Change> {
        let (slot, _) = self.newest(instance)?;
        let target = self.targets.get_mut(slot)?;
        if target.belief != Belief::Ready {
            return self.unlisted(instance, missing.version);
        }
        target.missing = target.missing.or(Some(missing));
        self.index.missing.insert(slot);
        None
    }

    /// The names whose entries are still missing after the time that they had, with the version of that.
    pub fn still_missing(&mut self, now_ms: u64) -> Vec<(Box<str>, Version)> {
        let targets = &self.targets;
        let is_missing =
            |slot: &TargetSlot| targets.get(*slot).is_some_and(|t| t.missing.is_some());
        self.index.missing.retain(is_missing);
        let missing = self.those(self.index.missing.iter().copied());
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
        self.replace_part(entries, &|_| true, version, missing_until_ms, now_ms)
    }

    /// The same for a part of the list: the targets whose names `is_in`. A name that is listed with a former life only
    /// is not missing: its newest life is as it was.
    pub(crate) fn replace_part(
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
            changes.extend(self.listed(entry, now_ms));
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
                Some(until_ms) => self.missed(&instance, Missing { until_ms, version }),
                None => self.unlisted(&instance, version),
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
