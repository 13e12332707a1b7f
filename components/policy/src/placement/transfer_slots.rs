//! Transfer slots for the links of engines that generations leave. Copies on a link run one at a
//! time: if all started at once, the last part of the first copy, during which its generation is
//! stopped, would wait for the others.

use prelude::{PermitId, TargetId};
use std::collections::HashMap;

/// A slot expires after this time, in case its holder is gone.
const SLOT_TIMEOUT_MS: u64 = 1_500;
/// A waiter that does not ask again within this time is dropped.
const WAITER_TTL_MS: u64 = 500;

#[derive(Clone, Copy, Debug)]
struct Waiter {
    copy_tokens: u32,
    last_asked_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct Link {
    /// Permit, destination and expiry time of the copy that holds the slot.
    holder: Option<(PermitId, TargetId, u64)>,
    waiters: HashMap<PermitId, Waiter>,
}

/// The transfer slots of all links that generations leave.
#[derive(Clone, Debug, Default)]
pub struct TransferSlots(HashMap<TargetId, Link>);

impl TransferSlots {
    /// Tries to acquire the slot on the link of `from`. Waiters with the smallest copy go first, so
    /// that the most generations leave in time. Returns true if the slot is available or already
    /// held.
    pub fn try_acquire(
        &mut self,
        from: TargetId,
        permit: PermitId,
        copy_tokens: u32,
        now_ms: u64,
    ) -> bool {
        let link = self.0.entry(from).or_default();
        link.waiters
            .retain(|_, waiter| waiter.last_asked_ms + WAITER_TTL_MS > now_ms);
        if let Some((holder, _, until_ms)) = link.holder {
            if holder == permit {
                return true;
            }
            if now_ms < until_ms {
                let last_asked_ms = now_ms;
                let waiter = Waiter {
                    copy_tokens,
                    last_asked_ms,
                };
                link.waiters.insert(permit, waiter);
                return false;
            }
            link.holder = None;
        }
        let has_smaller = link
            .waiters
            .iter()
            .any(|(other, waiter)| *other != permit && waiter.copy_tokens < copy_tokens);
        if has_smaller {
            let last_asked_ms = now_ms;
            let waiter = Waiter {
                copy_tokens,
                last_asked_ms,
            };
            link.waiters.insert(permit, waiter);
            return false;
        }
        link.waiters.remove(&permit);
        true
    }

    /// Records that a copy to `to` takes the slot.
    pub fn start_transfer(&mut self, from: TargetId, permit: PermitId, to: TargetId, now_ms: u64) {
        let link = self.0.entry(from).or_default();
        link.holder = Some((permit, to, now_ms + SLOT_TIMEOUT_MS));
    }

    /// Releases the slot, or withdraws a waiter.
    pub fn release(&mut self, from: TargetId, permit: PermitId) {
        let Some(link) = self.0.get_mut(&from) else {
            return;
        };
        link.waiters.remove(&permit);
        if link.holder.is_some_and(|(holder, _, _)| holder == permit) {
            link.holder = None;
        }
        if link.holder.is_none() && link.waiters.is_empty() {
            self.0.remove(&from);
        }
    }

    /// The engines that are receiving copies.
    pub fn inbound_targets(&self, now_ms: u64) -> Vec<TargetId> {
        let holders = self.0.values().filter_map(|link| link.holder);
        holders
            .filter(|(_, _, until_ms)| now_ms < *until_ms)
            .map(|(_, to, _)| to)
            .collect()
    }
}

#[cfg(test)]
#[path = "transfer_slots_tests.rs"]
mod tests;
