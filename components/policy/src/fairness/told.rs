//! What entry boxes tell a dispatcher that is new to them: what the requests of each account used lately. It is each box's
//! own count, so that no box's word is taken twice, and a dispatcher takes in only what it did not charge itself.

use crate::fairness::siblings::WINDOW_MS;
use crate::fairness::tree::Share;
use crate::pool::Pool;
use prelude::BoxId;
use std::collections::{HashMap, HashSet};

/// A box that said nothing for so long may have had another dispatcher meanwhile: boxes tell theirs each second.
const SILENT_MS: u64 = 1_500;

/// Since when a box is heard without a pause.
#[derive(Clone, Copy, Debug)]
struct Known {
    since_ms: u64,
    latest_ms: u64,
}

/// The boxes whose use a dispatcher charges itself, and since when.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownBoxes {
    boxes: HashMap<BoxId, Known>,
}

impl KnownBoxes {
    /// Notes that a box was heard.
    pub fn heard(&mut self, id: BoxId, now_ms: u64) {
        let known = self.boxes.entry(id).or_insert(Known {
            since_ms: now_ms,
            latest_ms: now_ms,
        });
        if now_ms > known.latest_ms + SILENT_MS {
            known.since_ms = now_ms;
        }
        known.latest_ms = now_ms;
    }

    /// The part of the window before now in which this dispatcher did not hear of a box; from then on it does.
    fn take_unknown_part(&mut self, id: BoxId, now_ms: u64) -> f64 {
        self.heard(id, now_ms);
        let Some(known) = self.boxes.get_mut(&id) else {
            return 0.0;
        };
        let known_ms = now_ms.saturating_sub(known.since_ms) as f64;
        // What is taken in now is not taken in again.
        known.since_ms = known.since_ms.min(now_ms.saturating_sub(WINDOW_MS as u64));
        (1.0 - known_ms / WINDOW_MS).max(0.0)
    }

    /// Forgets boxes.
    pub fn forget(&mut self, boxes: &HashSet<BoxId>) {
        self.boxes.retain(|id, _| !boxes.contains(id));
    }
}

/// What the requests of one account at one box used in the window before now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsedLately {
    /// The account.
    pub share: Share,
    /// Memory that they held, in tokens times milliseconds.
    pub held_token_ms: u64,
    /// Tokens of the prompts that were begun.
    pub prompt_tokens: u32,
}

impl Pool {
    /// Takes in what the requests of a box used before this dispatcher was told of them. True where it did not hear the box
    /// lately, which may have had another dispatcher.
    pub fn adopt_use(&mut self, entry: BoxId, used: &[UsedLately], now_ms: u64) -> bool {
        let part = self.observed_boxes.take_unknown_part(entry, now_ms);
        // The time before it is told is in its words, and is charged for nothing that it adopts.
        self.tree.pass(now_ms);
        if part <= 0.0 {
            return false;
        }
        let rate = self.prefill_rate.tokens_per_ms();
        for one in used {
            let read_ms = f64::from(one.prompt_tokens) / rate;
            let held_ms = self.tree.engine_ms(one.held_token_ms as f64);
            self.tree.told(&one.share, (read_ms + held_ms) * part);
        }
        true
    }
}

#[cfg(test)]
#[path = "told_tests.rs"]
mod tests;
