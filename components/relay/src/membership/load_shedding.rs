//! Load shedding: an overloaded box may report that it is not ready, but only a few boxes at once. The box that ranks first for
//! the coordinator role grants the permissions and counts them.

use crate::state::Relay;
use prelude::BoxId;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// One of every this many ready boxes may shed load: the others then carry a third more.
const READY_BOXES_PER_PERMISSION: usize = 4;
/// How long a permission is valid: three times the interval of its renewal, so that lost renewals are tolerated.
const PERMISSION_MS: u64 = 6_000;
/// Timeout for a permission call: longer than for other calls, because the calling box is overloaded and slow itself.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Key of the coordinator role, for rendezvous hashing.
const COORDINATOR_ROLE: u64 = 0x5ba2;

/// Boxes that are permitted to shed load, with the time in ms at which each permission expires.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadShedding(HashMap<BoxId, u64>);

impl LoadShedding {
    /// Grants a box the permission to shed load, or renews it; false if too many others hold one. `ready` is the number of boxes
    /// that take requests, including those that shed load.
    pub(crate) fn try_acquire(&mut self, from: BoxId, ready: usize, now_ms: u64) -> bool {
        self.0.retain(|_, until_ms| *until_ms > now_ms);
        let others = self.0.keys().filter(|id| **id != from).count();
        let max_others = match ready {
            0 | 1 => 0,
            ready => (ready / READY_BOXES_PER_PERMISSION).max(1),
        };
        if others >= max_others {
            self.0.remove(&from);
            return false;
        }
        self.0.insert(from, now_ms + PERMISSION_MS);
        true
    }

    /// Whether a box other than `me` holds a permission now.
    pub(crate) fn is_granted_to_others(&self, me: BoxId, now_ms: u64) -> bool {
        let mut others = self.0.iter().filter(|(id, _)| **id != me);
        others.any(|(_, until_ms)| *until_ms > now_ms)
    }
}

impl Relay {
    /// Answers an overloaded box, which may be this one, as coordinator.
    pub(crate) fn grant_load_shedding(&self, from: BoxId) -> bool {
        if from != self.id && self.is_shedding_load() {
            // If the role moved, two coordinators could together let all boxes shed load.
            return false;
        }
        let now_ms = self.now_ms();
        let ready = self
            .members
            .borrow()
            .ranked(COORDINATOR_ROLE, self.is_stopping(), now_ms)
            .len();
        let granted = self
            .load_shedding
            .borrow_mut()
            .try_acquire(from, ready, now_ms);
        slog::info!(self.log, "load shedding requested"; "box" => from.0, "allowed" => granted,
            "ready" => ready);
        granted
    }

    /// Requests permission for this box to shed load. No answer counts as a refusal.
    pub(crate) async fn request_load_shedding(self: &Rc<Self>) -> bool {
        let now_ms = self.now_ms();
        let ranked = self
            .members
            .borrow()
            .ranked(COORDINATOR_ROLE, self.is_stopping(), now_ms);
        let Some(coordinator) = ranked.first().copied() else {
            return false;
        };
        let has_granted = self
            .load_shedding
            .borrow()
            .is_granted_to_others(self.id, now_ms);
        // A box that has granted permissions counts its own with them, whichever box coordinates now.
        if has_granted || coordinator == self.id {
            return self.grant_load_shedding(self.id);
        }
        let from = self.id;
        let call = self
            .peers
            .call(coordinator, CALL_TIMEOUT, |client, context| async move {
                client.stand_back(context, from).await
            });
        self.record_peer_result(coordinator, call.await, "stand back")
            .unwrap_or(false)
    }
}

/// Time in ms at which a permission requested at `requested_ms` expires.
pub(crate) fn shedding_until_ms(requested_ms: u64) -> u64 {
    requested_ms + PERMISSION_MS
}

#[cfg(test)]
#[path = "load_shedding_tests.rs"]
mod tests;
