//! Data centres that operators have evacuated: their targets get nothing new until the order is taken back.

use prelude::Version;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The evacuated data centres, as the store had them at a version. Sets that are read from one store are ordered by
/// their versions, so a box that adopts only newer ones never goes back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The store's version of the last change that is known of; the default where there was none.
    pub version: Version,
    /// Their names.
    pub data_centres: BTreeSet<Box<str>>,
    /// It joins what was known with what a copy says: the set as it is read at the same version is newer.
    pub is_joined: bool,
}

/// An order to evacuate a data centre, or that it was taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationOrder<'a> {
    /// Name of the data centre.
    pub data_centre: &'a str,
    /// Whether the order holds, or was taken back.
    pub holds: bool,
    /// The store's version of the change.
    pub version: Version,
}

impl Evacuations {
    /// Takes in the whole set as it was read at a version. Says whether it changed.
    pub fn read(&mut self, data_centres: BTreeSet<Box<str>>, version: Version) -> bool {
        if version < self.version {
            return false;
        }
        // Also where nothing changed: a set that came back to what it was is newer than one in between.
        self.version = version;
        let changed = data_centres != self.data_centres;
        self.data_centres = data_centres;
        self.is_joined = false;
        changed
    }

    /// Takes in one order, or that it was taken back. Says whether the set changed.
    pub fn ordered(&mut self, data_centre: &str, holds: bool, version: Version) -> bool {
        self.ordered_together([EvacuationOrder {
            data_centre,
            holds,
            version,
        }])
    }

    /// Takes in all orders of one answer of the store. A transaction gives several orders the same version, so no version may
    /// be taken for known before all its orders are. Says whether the set changed.
    pub fn ordered_together<'a>(
        &mut self,
        orders: impl IntoIterator<Item = EvacuationOrder<'a>>,
    ) -> bool {
        let known_version = self.version;
        let before = self.data_centres.clone();
        for order in orders {
            if order.version <= known_version {
                continue;
            }
            self.version = self.version.max(order.version);
            match order.holds {
                true => self.data_centres.insert(order.data_centre.into()),
                false => self.data_centres.remove(order.data_centre),
            };
        }
        self.data_centres != before
    }

    /// Takes over what another box knows, where that is newer. Says whether the set changed.
    pub fn adopt(&mut self, other: &Self) -> bool {
        if !other.is_later_than(self) {
            return false;
        }
        let changed = self.data_centres != other.data_centres;
        self.clone_from(other);
        changed
    }

    /// The set as a store has it that has just come back from a copy. It is older than each order that is written from then on.
    pub fn of_copy(data_centres: BTreeSet<Box<str>>, read_at: Version) -> Self {
        Self {
            version: Version::new(read_at.era(), 0),
            data_centres,
            is_joined: true,
        }
    }

    /// Applies a list read at `read_at` from a store that may have lost recent writes. `listed` maps each data centre to the
    /// version at which its order was written. All of them are in force, and known orders that are not listed stay in
    /// force. Returns whether the set changed.
    pub fn join_list(&mut self, listed: BTreeMap<Box<str>, Version>, read_at: Version) -> bool {
        if read_at < self.version {
            return false;
        }
        let written_at = listed.values().copied().max().unwrap_or_default();
        let mut copy = Self::of_copy(listed.into_keys().collect(), read_at);
        // Boxes that know only older orders accept the set from this one.
        copy.version = copy.version.max(written_at);
        self.unite(&copy)
    }

    /// Takes over all that another set holds beside what this one does, unless it is an older one of the same era: what was
    /// taken back since would come back with it. Says whether the set changed.
    pub fn join(&mut self, other: &Self) -> bool {
        let is_same_era = other.version.era() == self.version.era();
        if is_same_era && !other.is_later_than(self) && !self.both_start_era(other) {
            return false;
        }
        self.unite(other)
    }

    fn unite(&mut self, other: &Self) -> bool {
        let before = self.data_centres.len();
        self.version = self.version.max(other.version);
        self.is_joined = true;
        self.data_centres.extend(other.data_centres.iter().cloned());
        self.data_centres.len() > before
    }

    /// Whether another box that has `other` may know less than this one.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.is_later_than(other) && self.data_centres != other.data_centres
    }

    /// Whether both sets join what was known with a copy, and nothing written since. An order that only one of them has was
    /// not withdrawn.
    fn both_start_era(&self, other: &Self) -> bool {
        let is_start = self.version.revision() == 0 && self.version == other.version;
        is_start && self.is_joined && other.is_joined
    }

    /// Whether the set contains orders that the store of an era may have lost.
    pub fn is_kept_in(&self, era: u32) -> bool {
        let may_be_lost = self.is_joined || self.version.era() < era;
        may_be_lost && !self.data_centres.is_empty()
    }

    fn is_later_than(&self, other: &Self) -> bool {
        (self.version, !self.is_joined) > (other.version, !other.is_joined)
    }
}
