//! Which lives leave by their own word, and what peers say of that.

use crate::watch::targets::{Change, Target, TargetRegistry, TargetSlot, TargetState};
use routing::TargetLife;

impl TargetRegistry {
    /// Believes a target that says itself that it leaves. No entry takes that back, whatever it says and whenever it was
    /// written.
    pub fn record_leaving_announcement(&mut self, slot: TargetSlot) -> Option<Change> {
        self.targets.get_mut(slot)?.announced_leaving = true;
        self.mark_leaving(slot)
    }

    /// Believes that a target leaves, by its own word, a peer's, or because nothing listens there.
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

    /// The lives that leave by their own word. What the store says of leaving travels with its changes.
    pub fn leaving(&self) -> Vec<TargetLife> {
        let leaves = |t: &&Target| t.state == TargetState::Leaving && t.leaving_reported;
        let told = self.resolve(self.index.leaving.iter().copied());
        let leaving = told.map(|(_, target)| target).filter(leaves);
        leaving.map(|target| target.entry.life()).collect()
    }

    /// Believes a peer's word on which lives leave. A life that is not known yet is taken for leaving once it is listed.
    pub fn apply_leaving(&mut self, lives: &[TargetLife]) -> Vec<Change> {
        let told = lives.iter().filter_map(|life| self.apply_leaving_one(life));
        told.collect()
    }

    fn apply_leaving_one(&mut self, life: &TargetLife) -> Option<Change> {
        if life.born_ms < self.tombstone_of(life).born_ms {
            return None;
        }
        let known = self.newest(&life.instance);
        match known.map(|(slot, target)| (slot, target.entry.born_ms)) {
            Some((slot, born_ms)) if born_ms == life.born_ms => self.mark_leaving(slot),
            Some((_, born_ms)) if born_ms > life.born_ms => None,
            _ => {
                self.record_incarnation(life, true);
                self.end_older_incarnation(life)
            }
        }
    }
}
