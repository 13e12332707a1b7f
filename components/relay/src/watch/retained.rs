//! State of removed incarnations. A target whose entry lapses or cannot be read for a moment is still the same process
//! when it is listed again: its announcements hold, and so do this box's observations of it.

use crate::watch::targets::Target;
use prelude::TargetId;
use std::collections::{HashMap, VecDeque};

/// Maximum number of removed incarnations kept, the latest ones: at most some 500 KB.
const RETAINED_MAX: usize = 1_024;

/// The latest removed incarnations that have state beyond their entries.
#[derive(Debug, Default)]
pub(super) struct RetainedTargets {
    by_id: HashMap<TargetId, Target>,
    order: VecDeque<TargetId>,
}

impl RetainedTargets {
    /// Keeps a removed incarnation, unless only its entry was known.
    pub fn retain(&mut self, target: Target) {
        if !target.has_state() {
            return;
        }
        self.order.push_back(target.id);
        self.by_id.insert(target.id, target);
        if self.order.len() > RETAINED_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_id.remove(&oldest);
        }
    }

    /// Takes an incarnation that is listed again.
    pub fn take(&mut self, id: TargetId) -> Option<Target> {
        let target = self.by_id.remove(&id)?;
        self.order.retain(|other| *other != id);
        Some(target)
    }
}

#[cfg(test)]
#[path = "retained_tests.rs"]
mod tests;
