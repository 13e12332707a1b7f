//! Data centres that operators have evacuated: their targets get nothing new until the order is taken back.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The evacuated data centres, as the store had them at a revision. Sets that are read from one store are ordered by
/// their revisions, so a box that adopts only newer ones never goes back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The store's revision of the last change that is known of; 0 where there was none.
    pub revision: u64,
    /// Their names.
    pub data_centres: BTreeSet<Box<str>>,
}

impl Evacuations {
    /// Takes in the whole set as it was read at a revision. Says whether it changed.
    pub fn read(&mut self, data_centres: BTreeSet<Box<str>>, revision: u64) -> bool {
        if revision < self.revision {
            return false;
        }
        // Also where nothing changed: a set that came back to what it was is newer than one in between.
        self.revision = revision;
        let changed = data_centres != self.data_centres;
        self.data_centres = data_centres;
        changed
    }

    /// Takes in one order, or that it was taken back. Says whether the set changed.
    pub fn ordered(&mut self, data_centre: &str, holds: bool, revision: u64) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        match holds {
            true => self.data_centres.insert(data_centre.into()),
            false => self.data_centres.remove(data_centre),
        }
    }

    /// Takes over what another box knows, where that is newer. Says whether the set changed.
    pub fn adopt(&mut self, other: &Self) -> bool {
        if other.revision <= self.revision {
            return false;
        }
        let changed = self.data_centres != other.data_centres;
        self.clone_from(other);
        changed
    }

    /// Whether another box that has `other` may know less than this one.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.revision > other.revision && self.data_centres != other.data_centres
    }
}
