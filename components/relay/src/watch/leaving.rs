//! Leaving incarnations that targets announce themselves or peers report.

use crate::watch::targets::{Change, Target, TargetRegistry, TargetSlot, TargetState};
use routing::TargetLife;

impl TargetRegistry {
    /// Records that a target announced its leaving itself. No entry reverts that, whatever its content or version.
    pub fn record_leaving_announcement(&mut self, slot: TargetSlot) -> Option<Change> {
        self.targets.get_mut(slot)?.announced_leaving = true;
        self.mark_leaving(slot)
    }

    /// Marks a target as leaving: it announced it, a peer reported it, or another target listens at its address.
    pub fn mark_leaving(&mut self, slot: TargetSlot) -> Option<Change> {
        let target = self.targets.get_mut(slot)?;
        target.was_leaving = true;
        if target.state != TargetState::Ready {
            return None;
        }
        target.state = TargetState::Leaving;
        target.leaving_reported = true;
        target.sync_entry_phase();
        self.index.leaving.insert(slot);
        Some(Change::Leaving(slot))
    }

    /// Leaving incarnations that the store has not reported. Those in the store are broadcast with its other changes.
    pub fn leaving(&self) -> Vec<TargetLife> {
        let leaves = |t: &&Target| t.state == TargetState::Leaving && t.leaving_reported;
        let reported = self.resolve(self.index.leaving.iter().copied());
        let leaving = reported.map(|(_, target)| target).filter(leaves);
        leaving.map(|target| target.entry.life()).collect()
    }

    /// Applies a peer's report of leaving incarnations. An incarnation that is not known yet becomes leaving as soon
    /// as it is listed.
    pub fn apply_leaving(&mut self, incarnations: &[TargetLife]) -> Vec<Change> {
        let reported = incarnations
            .iter()
            .filter_map(|incarnation| self.apply_leaving_one(incarnation));
        reported.collect()
    }

    fn apply_leaving_one(&mut self, incarnation: &TargetLife) -> Option<Change> {
        if incarnation.born_ms < self.tombstone_of(incarnation).born_ms {
            return None;
        }
        let known = self.newest(&incarnation.instance);
        match known.map(|(slot, target)| (slot, target.entry.born_ms)) {
            Some((slot, born_ms)) if born_ms == incarnation.born_ms => self.mark_leaving(slot),
            Some((_, born_ms)) if born_ms > incarnation.born_ms => None,
            _ => {
                self.record_incarnation(incarnation, true);
                self.end_older_incarnation(incarnation)
            }
        }
    }
}
