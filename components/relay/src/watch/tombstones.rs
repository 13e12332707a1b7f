//! What is still known of a name once nothing is kept of its lives: which life was the newest, whether it left, and
//! when it was listed no more. Without it a late word of a previous life would bring a dead target back.

use prelude::Version;
use routing::TargetLife;
use std::collections::{HashMap, VecDeque};

/// Names of which this is kept at the least, the latest: some 100 KB.
const NAMES_MIN: usize = 1_024;
/// The same where there are many targets, as a share of them: late words come within seconds, and no fleet replaces so many
/// in that time.
const NAMES_SHARE: f64 = 0.5;

/// What is known of a name. A life without a birth counts as older than every life that has one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Tombstone {
    /// The birth of its newest life; none where it never had one that names its birth.
    pub born_ms: Option<u64>,
    /// That life was seen to leave.
    pub was_leaving: bool,
    /// The store's version at which the name was not listed.
    pub unlisted_at: Version,
}

/// The tombstones of names, the latest.
#[derive(Debug, Default)]
pub(super) struct Tombstones {
    tombstones: HashMap<Box<str>, Tombstone>,
    order: VecDeque<Box<str>>,
    targets: usize,
}

impl Tombstones {
    /// What is known of a name.
    pub fn get(&self, instance: &str) -> Tombstone {
        self.tombstones.get(instance).copied().unwrap_or_default()
    }

    /// Notes that a life was heard of, and whether it leaves.
    pub fn record_incarnation(&mut self, life: &TargetLife, leaves: bool) {
        let tombstone = self.entry_mut(&life.instance);
        if life.born_ms > tombstone.born_ms {
            tombstone.born_ms = life.born_ms;
            tombstone.was_leaving = leaves;
        } else if life.born_ms == tombstone.born_ms {
            tombstone.was_leaving |= leaves;
        }
    }

    /// Notes that a name was not listed at a version.
    pub fn record_unlisted(&mut self, instance: &str, version: Version) {
        let tombstone = self.entry_mut(instance);
        tombstone.unlisted_at = tombstone.unlisted_at.max(version);
    }

    /// Notes how many targets there are.
    pub fn set_target_count(&mut self, targets: usize) {
        self.targets = self.targets.max(targets);
    }

    /// How many names it knows of.
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
