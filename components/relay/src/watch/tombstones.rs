//! Tombstones of names whose incarnations were removed: the newest incarnation, whether it left, and when it was
//! removed. Without them a late update of a previous incarnation would revive a dead target.

use prelude::Version;
use routing::TargetLife;
use std::collections::{HashMap, VecDeque};

/// Minimum number of tombstones kept, the latest ones: some 100 KB.
const NAMES_MIN: usize = 1_024;
/// Tombstones kept as a share of the known targets. Late updates arrive within seconds, and no fleet replaces this
/// share in that time.
const NAMES_SHARE: f64 = 0.5;

/// The tombstone of a name. An incarnation without a birth time counts as older than all that have one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Tombstone {
    /// Birth time of the newest incarnation; `None` if none had one.
    pub born_ms: Option<u64>,
    /// That incarnation was seen to leave.
    pub was_leaving: bool,
    /// The store's version at which the name was not listed.
    pub unlisted_at: Version,
}

/// The latest tombstones by name.
#[derive(Debug, Default)]
pub(super) struct Tombstones {
    tombstones: HashMap<Box<str>, Tombstone>,
    order: VecDeque<Box<str>>,
    targets: usize,
}

impl Tombstones {
    /// The tombstone of a name; empty if there is none.
    pub fn get(&self, instance: &str) -> Tombstone {
        self.tombstones.get(instance).copied().unwrap_or_default()
    }

    /// Records an incarnation, and whether it leaves.
    pub fn record_incarnation(&mut self, incarnation: &TargetLife, leaves: bool) {
        let tombstone = self.entry_mut(&incarnation.instance);
        if incarnation.born_ms > tombstone.born_ms {
            tombstone.born_ms = incarnation.born_ms;
            tombstone.was_leaving = leaves;
        } else if incarnation.born_ms == tombstone.born_ms {
            tombstone.was_leaving |= leaves;
        }
    }

    /// Records that a name was not listed at a version.
    pub fn record_unlisted(&mut self, instance: &str, version: Version) {
        let tombstone = self.entry_mut(instance);
        tombstone.unlisted_at = tombstone.unlisted_at.max(version);
    }

    /// Sets the number of known targets, which scales the capacity.
    pub fn set_target_count(&mut self, targets: usize) {
        self.targets = self.targets.max(targets);
    }

    /// Number of tombstones.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.tombstones.len()
    }

    fn entry_mut(&mut self, instance: &str) -> &mut Tombstone {
        if !self.tombstones.contains_key(instance) {
            self.order.push_back(instance.into());
            let names_max = (self.targets as f64 * NAMES_SHARE) as usize;
            if self.order.len() > names_max.max(NAMES_MIN)
                && let Some(oldest) = self.order.pop_front()
            {
                self.tombstones.remove(&oldest);
            }
        }
        self.tombstones.entry(instance.into()).or_default()
    }
}
