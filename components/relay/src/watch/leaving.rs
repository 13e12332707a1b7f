//! Which lives leave by their own word, and what peers say of that.

use crate::watch::targets::{Belief, Change, Target, TargetBook, TargetSlot};
use routing::TargetLife;

impl TargetBook {
    /// Believes a target that says itself that it leaves. No entry takes that back, whatever it says and whenever it was
    /// written.
    pub fn says_it_leaves(&mut self, slot: TargetSlot) -> Option<Change> {
        self.targets.get_mut(slot)?.says_it_leaves = true;
        self.leaves(slot)
    }

    /// Believes that a target leaves, by its own word, a peer's, or because nothing listens there.
    pub fn leaves(&mut self, slot: TargetSlot) -> Option<Change> {
        let target = self.targets.get_mut(slot)?;
        target.left = true;
        if target.belief != Belief::Ready {
            return None;
        }
        target.belief = Belief::Leaving;
        target.leaves_by_word = true;
        target.tell_phase();
        self.index.leaving.insert(slot);
        Some(Change::Leaves(slot))
    }

    /// The lives that leave by their own word. What the store says of leaving travels with its changes.
    pub fn leaving(&self) -> Vec<TargetLife> {
        let leaves = |t: &&Target| t.belief == Belief::Leaving && t.leaves_by_word;
        let told = self.those(self.index.leaving.iter().copied());
        let leaving = told.map(|(_, target)| target).filter(leaves);
        leaving.map(|target| target.entry.life()).collect()
    }

    /// Believes a peer's word on which lives leave. A life that is not known yet is taken for leaving once it is listed.
    pub fn told_leaving(&mut self, lives: &[TargetLife]) -> Vec<Change> {
        let told = lives.iter().filter_map(|life| self.told_leaves(life));
        told.collect()
    }

    fn told_leaves(&mut self, life: &TargetLife) -> Option<Change> {
        if life.born_ms < self.past_of(life).born_ms {
            return None;
        }
        let known = self.newest(&life.instance);
        match known.map(|(slot, target)| (slot, target.entry.born_ms)) {
            Some((slot, born_ms)) if born_ms == life.born_ms => self.leaves(slot),
            Some((_, born_ms)) if born_ms > life.born_ms => None,
            _ => {
                self.hear(life, true);
                self.over(life)
            }
        }
    }
}
