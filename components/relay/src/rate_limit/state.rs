//! Rate limit state of a box.

use crate::rate_limit::coordinator::TokenGrants;
use crate::watch::targets::TargetSlot;
use policy::{AnnouncedRate, FallbackShare, HintBudget, RateObservation};
use prelude::TargetId;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};

/// A limit is published again only if it differs from the last published one by more than this share.
const CHANGE_TOLERANCE: f64 = 0.2;

/// The rate limit of one incarnation of a target, as this box knows it.
#[derive(Clone, Debug, Default)]
pub struct TargetRateLimit {
    /// The limit that the target announced in its answers.
    pub announced: AnnouncedRate,
    /// Since when a limit is known, on this box's clock.
    pub limited_since_ms: u64,
    /// The limit, per second, that was last logged and sent to other boxes.
    published_per_s: Option<f64>,
    /// This box's own share of the limit, used while it reaches no coordinator.
    pub fallback_share: FallbackShare,
    /// No tokens are available before this time, according to the last denial.
    pub no_token_until_ms: u64,
}

impl TargetRateLimit {
    /// Applies an observation. Returns whether the limit changed.
    pub(super) fn observe(&mut self, observation: RateObservation, now_ms: u64) -> bool {
        let was_limited = self.announced.is_limited();
        let is_changed = self.announced.observe(observation, now_ms);
        if !was_limited {
            self.limited_since_ms = now_ms;
        }
        is_changed
    }

    /// The limit to publish now and the one published before, both per second. None if they differ by no more than the
    /// tolerance.
    pub(super) fn take_change(&mut self) -> Option<(Option<f64>, Option<f64>)> {
        let observation = self.announced.effective();
        let limit_per_s = observation.and_then(|observation| observation.limit_per_s);
        let is_unchanged = match (limit_per_s, self.published_per_s) {
            (Some(limit), Some(published)) => {
                (limit - published).abs() <= published * CHANGE_TOLERANCE
            }
            (limit, published) => limit == published,
        };
        if is_unchanged {
            return None;
        }
        let before = std::mem::replace(&mut self.published_per_s, limit_per_s);
        Some((limit_per_s, before))
    }
}

/// Rate limit state of a box across all targets.
#[derive(Default)]
pub(crate) struct RateLimits {
    /// Token grants of the targets that this box coordinates.
    pub(super) grants: RefCell<HashMap<TargetId, TokenGrants>>,
    /// Targets whose limits are to be broadcast.
    pub(super) pending_rates: RefCell<HashSet<TargetSlot>>,
    /// A task that broadcasts the pending limits is running.
    pub(super) is_sending: Cell<bool>,
    /// Limits how often this box broadcasts.
    pub(super) send_budget: RefCell<HintBudget>,
    /// When this box last checked a coordinator that another box considers unreachable.
    pub(super) last_check_ms: Cell<u64>,
}
