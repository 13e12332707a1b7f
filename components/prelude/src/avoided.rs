//! Targets that a request is not to be placed on.

use crate::ids::TargetId;
use serde::{Deserialize, Serialize};

/// Targets that are kept; more are not.
const KEPT: usize = 6;

/// Targets that a request is not to be placed on: they failed it, or asked its box for a pause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Avoided([Option<TargetId>; KEPT]);

impl Avoided {
    /// Whether a target is among them.
    pub fn contains(&self, target: TargetId) -> bool {
        self.0.contains(&Some(target))
    }

    /// Adds a target, where there is a place left.
    pub fn insert(&mut self, target: TargetId) {
        if self.contains(target) {
            return;
        }
        if let Some(place) = self.0.iter_mut().find(|place| place.is_none()) {
            *place = Some(target);
        }
    }
}

impl From<Option<TargetId>> for Avoided {
    fn from(target: Option<TargetId>) -> Self {
        target.into_iter().collect()
    }
}

impl FromIterator<TargetId> for Avoided {
    fn from_iter<I: IntoIterator<Item = TargetId>>(targets: I) -> Self {
        let mut avoided = Self::default();
        for target in targets {
            avoided.insert(target);
        }
        avoided
    }
}

#[cfg(test)]
#[path = "avoided_tests.rs"]
mod tests;
