//! Reconciles the target lists of two boxes without sending either list: targets are hashed into buckets by name, and
//! only buckets with different hashes are sent (range-based set reconciliation; compare the hash trees of DeCandia et
//! al., "Dynamo", SOSP 2007, with one level).

use crate::watch::targets::{Change, Target, TargetRegistry, TargetState};
use peers::{TargetChanges, TargetList, TargetPatch, TargetSummary};
use prelude::Version;
use routing::TargetEntry;
use std::collections::HashSet;
use xxhash_rust::xxh3::xxh3_64;

/// Average number of targets per bucket: a summary of 3,000 targets takes 1.5 KB, and a change of one target costs
/// some 600 bytes.
const BUCKET_TARGETS: usize = 16;
/// Maximum number of buckets, also for summaries of other boxes.
const BUCKETS_MAX: usize = 1_024;

fn bucket_of(instance: &str, count: usize) -> usize {
    (xxh3_64(instance.as_bytes()) % count as u64) as usize
}

/// Hash that one target contributes to its bucket.
fn hash_of(target: &Target) -> u64 {
    // The id of an incarnation covers its name and birth.
    let name = target.id.0;
    match target.state {
        TargetState::Leaving => !name.rotate_left(1),
        _ => name.rotate_left(2),
    }
}

fn is_listed(target: &Target) -> bool {
    target.state != TargetState::Gone
}

impl TargetRegistry {
    fn bucket_hashes(&self, count: usize) -> Vec<u64> {
        let mut hashes = vec![0; count];
        for (_, target) in self.all().filter(|(_, target)| is_listed(target)) {
            hashes[bucket_of(&target.entry.instance, count)] ^= hash_of(target);
        }
        hashes
    }

    /// A hash of the whole list.
    pub fn root(&self) -> u64 {
        let listed = self.all().filter(|(_, target)| is_listed(target));
        listed.fold(0, |root, (_, target)| root ^ hash_of(target))
    }

    /// The changes of a list that was read again, for boxes that know everything up to `after`.
    pub fn changes_since(&self, changes: &[Change], after: Version, now_ms: u64) -> TargetChanges {
        let (mut listed, mut unlisted) = (Vec::new(), Vec::new());
        for change in changes {
            let (Change::Added(slot)
            | Change::Leaving(slot)
            | Change::Removed(slot)
            | Change::TurnedCold(slot)
            | Change::Restarted { slot, .. }) = change;
            match self.get(*slot) {
                Some(gone) if !is_listed(gone) => {
                    unlisted.push((gone.entry.life(), gone.entry.version));
                }
                Some(target) => listed.push(target.entry_at(now_ms)),
                None => {}
            }
        }
        TargetChanges {
            after,
            listed: TargetList::new(&listed),
            unlisted,
            root: Some(self.root()),
        }
    }

    /// Applies the changes that another box broadcasts; that box knows all changes up to `changed_at` and the list as
    /// of `current_to`. Does nothing if this box is missing earlier changes.
    pub fn apply_changes(
        &mut self,
        update: TargetChanges,
        changed_at: Version,
        current_to: Version,
        now_ms: u64,
    ) -> Vec<Change> {
        if !self.is_known() || self.changed_at < update.after {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for entry in update.listed.entries() {
            changes.extend(self.apply_entry(entry, now_ms));
        }
        for (incarnation, version) in update.unlisted {
            changes.extend(self.unlist_incarnation(&incarnation, version));
        }
        if update.root.is_none_or(|root| root == self.root()) {
            self.changed_at = self.changed_at.max(changed_at);
            self.current_to = self.current_to.max(current_to);
        } else {
            // The lists still differ, because a target came and went while the sender knew of neither; this box
            // requests a patch.
            self.changed_at = update.after;
        }
        changes
    }

    /// Bucket hashes of this list; empty if no list is known.
    pub fn summary(&self) -> TargetSummary {
        if !self.is_known() {
            return TargetSummary::default();
        }
        let listed = self.all().filter(|(_, target)| is_listed(target)).count();
        let count = (listed / BUCKET_TARGETS).next_power_of_two();
        TargetSummary {
            buckets: self.bucket_hashes(count.min(BUCKETS_MAX)),
        }
    }

    /// The patch that makes the list behind a summary equal to this one; `None` if they are equal.
    pub fn patch_for(&self, other: &TargetSummary, now_ms: u64) -> Option<TargetPatch> {
        let count = other.buckets.len().clamp(1, BUCKETS_MAX);
        let own = self.bucket_hashes(count);
        let differs = |at: &usize| other.buckets.get(*at) != Some(&own[*at]);
        let buckets: HashSet<usize> = (0..count).filter(differs).collect();
        if buckets.is_empty() {
            return None;
        }
        let is_in = |target: &Target| {
            is_listed(target) && buckets.contains(&bucket_of(&target.entry.instance, count))
        };
        let targets = self.all().map(|(_, target)| target);
        let listed = targets.filter(|target| is_in(target));
        let listed: Vec<TargetEntry> = listed.map(|target| target.entry_at(now_ms)).collect();
        Some(TargetPatch {
            bucket_count: count as u32,
            buckets: buckets.into_iter().map(|at| at as u32).collect(),
            listed: TargetList::new(&listed),
        })
    }

    /// Applies another box's buckets, as of `version` of its list.
    pub fn apply_patch(
        &mut self,
        patch: TargetPatch,
        version: Version,
        now_ms: u64,
    ) -> Vec<Change> {
        let count = (patch.bucket_count as usize).clamp(1, BUCKETS_MAX);
        let buckets: HashSet<usize> = patch.buckets.iter().map(|at| *at as usize).collect();
        let is_in = |instance: &str| buckets.contains(&bucket_of(instance, count));
        self.replace_subset(patch.listed.entries(), &is_in, version, None, now_ms)
    }
}

#[cfg(test)]
#[path = "reconcile_tests.rs"]
mod tests;
