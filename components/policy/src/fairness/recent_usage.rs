//! Recent usage that boxes report to a dispatcher that is new to them. Each box reports what its
//! own requests used, so nothing is counted twice across boxes, and the dispatcher charges only the
//! part of the window that it did not observe itself.

use crate::fairness::siblings::FAIRNESS_WINDOW_MS;
use crate::fairness::tree::Share;
use crate::pool::Pool;
use prelude::BoxId;
use std::collections::{HashMap, HashSet};

/// A box that was silent for longer may have used another dispatcher: boxes contact theirs every
/// second.
const MAX_SILENCE_MS: u64 = 1_500;

/// Period of contact with a box without a gap.
#[derive(Clone, Copy, Debug)]
struct ContactPeriod {
    since_ms: u64,
    latest_ms: u64,
}

/// The boxes whose usage this dispatcher charges itself, and since when.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObservedBoxes {
    boxes: HashMap<BoxId, ContactPeriod>,
}

impl ObservedBoxes {
    /// Records a contact with a box.
    pub fn record_contact(&mut self, id: BoxId, now_ms: u64) {
        let contact = self.boxes.entry(id).or_insert(ContactPeriod {
            since_ms: now_ms,
            latest_ms: now_ms,
        });
        if now_ms > contact.latest_ms + MAX_SILENCE_MS {
            contact.since_ms = now_ms;
        }
        contact.latest_ms = now_ms;
    }

    /// Returns the fraction of the window before now in which this dispatcher did not observe a
    /// box, and marks the window as observed.
    fn take_unobserved_part(&mut self, id: BoxId, now_ms: u64) -> f64 {
        self.record_contact(id, now_ms);
        let Some(contact) = self.boxes.get_mut(&id) else {
            return 0.0;
        };
        let observed_ms = now_ms.saturating_sub(contact.since_ms) as f64;
        // The same usage is not charged again.
        contact.since_ms = contact
            .since_ms
            .min(now_ms.saturating_sub(FAIRNESS_WINDOW_MS as u64));
        (1.0 - observed_ms / FAIRNESS_WINDOW_MS).max(0.0)
    }

    /// Removes boxes.
    pub fn forget(&mut self, boxes: &HashSet<BoxId>) {
        self.boxes.retain(|id, _| !boxes.contains(id));
    }
}

/// What the requests of one account at one box used in the window before now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecentUsage {
    /// The account, with its weights.
    pub share: Share,
    /// Memory in use, in tokens times milliseconds.
    pub held_token_ms: u64,
    /// Prompt tokens of requests that started.
    pub prompt_tokens: u32,
}

impl Pool {
    /// Charges usage that a box reports from the time before this dispatcher observed it. Returns
    /// whether the dispatcher had no recent contact with the box, which may have used another one.
    pub fn adopt_usage(&mut self, entry: BoxId, usage: &[RecentUsage], now_ms: u64) -> bool {
        let unobserved_part = self.observed_boxes.take_unobserved_part(entry, now_ms);
        // The time before the report is covered by it; adopted streams are charged from now on.
        self.tree.advance(now_ms);
        if unobserved_part <= 0.0 {
            return false;
        }
        let tokens_per_ms = self.prefill_rate.tokens_per_ms();
        for account_usage in usage {
            let prefill_ms = f64::from(account_usage.prompt_tokens) / tokens_per_ms;
            let memory_ms = self.tree.engine_ms(account_usage.held_token_ms as f64);
            self.tree.charge_reported(
                &account_usage.share,
                (prefill_ms + memory_ms) * unobserved_part,
            );
        }
        true
    }
}

#[cfg(test)]
#[path = "recent_usage_tests.rs"]
mod tests;
