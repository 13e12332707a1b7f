//! The state of one target on a box: its entry, what the box believes about it, and what it observed.

use crate::rate_limit::state::TargetRateLimit;
use platform::TargetLoad;
use policy::{OutlierEjection, Probation, RetryAfterBackoff, Warmup};
use prelude::{DataCentreId, TargetId, Version};
use routing::TargetEntry;

/// State of one incarnation of a target, as a box believes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// Takes new work.
    Ready,
    /// Finishes the requests that it has, and takes no new ones.
    Leaving,
    /// No longer listed; it may still finish requests.
    Gone,
}

/// Marks an entry that is missing in a store that has just recovered. Entries lapse while the store is unreachable,
/// and live targets write theirs again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Missing {
    /// End of the grace period, when the target counts as gone.
    pub until_ms: u64,
    /// The store's version at which the entry was missing.
    pub version: Version,
}

/// One incarnation of a target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its entry in the list.
    pub entry: TargetEntry,
    /// Its key in the policies.
    pub id: TargetId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Set while its entry is missing in a recovered store; it is removed if that lasts to the end of the grace
    /// period.
    pub missing: Option<Missing>,
    /// End of its cold period, in which it is slow after a start.
    pub cold_until_ms: u64,
    /// This box's share of the rate that the target can take while it is cold.
    pub warmup: Warmup,
    /// Number of requests that this box has open there.
    pub open: u32,
    /// Bytes of these requests.
    pub open_bytes: u64,
    /// The load that it last reported, and when.
    pub load: Option<(TargetLoad, u64)>,
    /// The pause that it asked this box for.
    pub backoff: RetryAfterBackoff,
    /// The rate limit that it announces.
    pub rate_limit: TargetRateLimit,
    /// Outlier ejection by its recent failures.
    pub outlier: OutlierEjection,
    /// Probation after failed generations, on the box that dispatches to it.
    pub probation: Probation,
    /// Until when it counts as full, by its own answer.
    pub full_until_ms: u64,
    /// Its leaving is known from itself or a peer; the store has not reported it.
    pub leaving_reported: bool,
    /// It announced its leaving itself, which no entry reverts.
    pub announced_leaving: bool,
    /// Its last connection from this box was refused; it is probed until it accepts one.
    pub is_refusing: bool,
    /// It was seen to leave. If its entries carry a birth time, it never takes work again, even if it is removed and
    /// listed again.
    pub was_leaving: bool,
}

/// How long a reported load counts, in ms.
const LOAD_VALID_MS: u64 = 1_000;
/// How much emptier a target in another data centre must be, as a share of its slots.
pub(crate) const REMOTE_PENALTY_SHARE: f64 = 0.3;
/// Assumed slots of a target that does not report them.
const DEFAULT_SLOTS: f64 = 8.0;
/// Extra load assumed on a cold target, as a share of its slots.
pub(crate) const COLD_PENALTY_SHARE: f64 = 0.5;

/// The rate that cold targets of a service can take, for use by one box.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdRate {
    /// Requests per second at one target from all boxes together; `None` if unlimited.
    pub rate_per_s: Option<f64>,
    /// Number of boxes that share the rate.
    pub boxes: usize,
}

impl ColdRate {
    /// Whether a target can take one more request now.
    pub(crate) fn allows(self, target: &Target, now_ms: u64) -> bool {
        let is_cold = now_ms < target.cold_until_ms;
        let rate_per_s = self.rate_per_s.filter(|_| is_cold);
        rate_per_s.is_none_or(|rate| target.warmup.allows(rate, self.boxes, now_ms))
    }

    pub(super) fn record_send(self, target: &mut Target, now_ms: u64) {
        if self.rate_per_s.is_some() && now_ms < target.cold_until_ms {
            target.warmup.record_send(now_ms);
        }
    }
}

impl Target {
    /// Its entry as sent to other boxes, with the rest of its cold period.
    pub(super) fn entry_at(&self, now_ms: u64) -> TargetEntry {
        TargetEntry {
            cold_left_ms: self.cold_until_ms.saturating_sub(now_ms) as u32,
            ..self.entry.clone()
        }
    }

    /// Whether it takes no requests right now: it reported that it is full, asked for a pause, or is out of rate
    /// tokens.
    pub(crate) fn is_full(&self, now_ms: u64) -> bool {
        now_ms < self.full_until_ms
            || self.backoff.remaining_ms(now_ms).is_some()
            || self.is_out_of_tokens(now_ms)
    }

    /// Whether its rate limit leaves no token, as far as this box knows.
    pub(crate) fn is_out_of_tokens(&self, now_ms: u64) -> bool {
        now_ms < self.rate_limit.no_token_until_ms
    }

    /// Load as a share of its slots, from its last report and this box's own requests.
    pub fn fullness(&self, now_ms: u64) -> f64 {
        let slots = f64::from(self.entry.slots).max(1.0);
        let slots = match self.entry.slots {
            0 => DEFAULT_SLOTS,
            _ => slots,
        };
        let reported = self
            .load
            .filter(|(_, at_ms)| now_ms < at_ms + LOAD_VALID_MS)
            .map_or(0.0, |(load, at_ms)| {
                let age = (now_ms - at_ms) as f64 / LOAD_VALID_MS as f64;
                f64::from(load.running + load.waiting) * (1.0 - age)
            });
        reported.max(f64::from(self.open)) / slots
    }
}
