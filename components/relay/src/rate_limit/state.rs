//! What a box keeps for rate limits.

use crate::rate_limit::coordinator::Grants;
use crate::watch::targets::TargetSlot;
use policy::{AnnouncedRate, FallbackShare, HintBudget, RateObservation};
use prelude::TargetId;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};

/// A limit that differs by no more than this share from the one that others were sent is not sent again.
const SAME_SHARE: f64 = 0.2;

/// The rate limit of one life of a target, as this box knows it.
#[derive(Clone, Debug, Default)]
pub struct TargetRateLimit {
    /// What its answers announced.
    pub announced: AnnouncedRate,
    /// Since when a limit is known.
    pub limited_since_ms: u64,
    /// The limit when it was last logged, and sent to other boxes.
    shown_per_s: Option<f64>,
    /// What this box may send while it reaches no coordinator.
    pub share: FallbackShare,
    /// There are no tokens until then, by the coordinator's last answer.
    pub no_token_until_ms: u64,
}

impl TargetRateLimit {
    /// Takes a word in. Says whether the limit changed.
    pub(super) fn observe(&mut self, word: RateObservation, now_ms: u64) -> bool {
        let was_limited = self.announced.is_limited();
        let is_changed = self.announced.observe(word, now_ms);
        if !was_limited {
            self.limited_since_ms = now_ms;
        }
        is_changed
    }

    /// The limit that is to be shown now, and the one that was shown before; none where they are much the same.
    pub(super) fn take_shown(&mut self) -> Option<(Option<f64>, Option<f64>)> {
        let word = self.announced.effective();
        let limit_per_s = word.and_then(|word| word.limit_per_s);
        let is_same = match (limit_per_s, self.shown_per_s) {
            (Some(limit), Some(shown)) => (limit - shown).abs() <= shown * SAME_SHARE,
            (limit, shown) => limit == shown,
        };
        if is_same {
            return None;
        }
        let before = std::mem::replace(&mut self.shown_per_s, limit_per_s);
        Some((limit_per_s, before))
    }
}

/// What a box keeps for all targets.
#[derive(Default)]
pub(crate) struct RateLimits {
    /// The tokens of the targets whose coordinator this box is.
    pub(super) grants: RefCell<HashMap<TargetId, Grants>>,
    /// Limits that are to be sent to all boxes.
    pub(super) pending: RefCell<HashSet<TargetSlot>>,
    /// They are being sent.
    pub(super) sending: Cell<bool>,
    /// How often this box sends limits to all boxes.
    pub(super) budget: RefCell<HintBudget>,
    /// When a coordinator that another box passed over was last called.
    pub(super) checked_ms: Cell<u64>,
}
