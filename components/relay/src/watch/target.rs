//! One target as a box knows it: what its entry says, what is believed of it, and what it showed.

use crate::rate_limit::state::TargetRateLimit;
use platform::TargetLoad;
use policy::{OutlierEjection, Probation, RetryAfterBackoff, Warmup};
use prelude::{DataCentreId, TargetId, Version};
use routing::TargetEntry;

/// What a box believes of one life of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It takes new work.
    Ready,
    /// It serves what it has.
    Leaving,
    /// It is listed no more. It may still serve what it has.
    Gone,
}

/// An entry that a store lacks that has just come back from trouble. Entries lapse while it is away, and those
/// of targets that live are written again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Missing {
    /// When the target is taken to be gone.
    pub until_ms: u64,
    /// The store's version at which its entry was missed.
    pub version: Version,
}

/// One life of a target.
#[derive(Clone, Debug)]
pub struct Target {
    /// As it is listed.
    pub entry: TargetEntry,
    /// Its key in the policies.
    pub id: TargetId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Its entry was missing when the store came back: it is gone if it is still missing then, as of that version.
    pub missing: Option<Missing>,
    /// Until when it is slow from its start.
    pub cold_until_ms: u64,
    /// This box's part of what it bears until then.
    pub warmup: Warmup,
    /// Requests that this box has there.
    pub open: u32,
    /// Bytes of these requests.
    pub open_bytes: u64,
    /// What it last said of its load, and when.
    pub load: Option<(TargetLoad, u64)>,
    /// The pause that it asked this box for.
    pub backoff: RetryAfterBackoff,
    /// The rate limit that it announces.
    pub rate_limit: TargetRateLimit,
    /// Its latest failures.
    pub outlier: OutlierEjection,
    /// Whether it may be given work after it failed some, on the box that dispatches to it.
    pub probation: Probation,
    /// Until when it counts as full, by its own word.
    pub full_until_ms: u64,
    /// That it leaves is known from itself or from a box that it told; the store has not said so.
    pub leaving_reported: bool,
    /// It said itself that it leaves, which no entry takes back.
    pub announced_leaving: bool,
    /// It was seen to leave. Where lives name their births, it takes no work again even if it vanishes and comes back.
    pub was_leaving: bool,
}

/// How long its word on its load counts.
const LOAD_VALID_MS: u64 = 1_000;
/// What a target in another data centre must be emptier by, as a share of its slots.
pub(crate) const FAR_SHARE: f64 = 0.3;
/// Slots of a target that does not say how many it has.
const SLOTS_UNKNOWN: f64 = 8.0;
/// What a target that has just started is taken to have on it, as a share of its slots.
pub(crate) const COLD_SHARE: f64 = 0.5;

/// What cold targets of a service bear, as one box may use it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdRate {
    /// Requests a second at one target, from all boxes together; none where it bears as many as come.
    pub rate_per_s: Option<f64>,
    /// Among how many boxes that is divided.
    pub boxes: usize,
}

impl ColdRate {
    /// Whether a target bears one more request now.
    pub(crate) fn allows(self, target: &Target, now_ms: u64) -> bool {
        let is_cold = now_ms < target.cold_until_ms;
        let rate_per_s = self.rate_per_s.filter(|_| is_cold);
        rate_per_s.is_none_or(|rate| target.warmup.allows(rate, self.boxes, now_ms))
    }

    pub(super) fn record_send(self, target: &mut Target, now_ms: u64) {
        if self.rate_per_s.is_some() && now_ms < target.cold_until_ms {
            target.warmup.sent(now_ms);
        }
    }
}

impl Target {
    /// Its entry as others are told it, cold for what is left of that.
    pub(super) fn entry_at(&self, now_ms: u64) -> TargetEntry {
        TargetEntry {
            cold_left_ms: self.cold_until_ms.saturating_sub(now_ms) as u32,
            ..self.entry.clone()
        }
    }

    /// Whether it takes no more right now: it is full by its own word, asked for a pause, or has no tokens left.
    pub(crate) fn is_full(&self, now_ms: u64) -> bool {
        now_ms < self.full_until_ms
            || self.backoff.remaining_ms(now_ms).is_some()
            || self.is_out_of_tokens(now_ms)
    }

    /// Whether its rate limit leaves no token, as far as this box knows.
    pub(crate) fn is_out_of_tokens(&self, now_ms: u64) -> bool {
        now_ms < self.rate_limit.no_token_until_ms
    }

    /// How full it is, as a share of its slots, by its last word and our own requests.
    pub fn fullness(&self, now_ms: u64) -> f64 {
        let slots = f64::from(self.entry.slots).max(1.0);
        let slots = match self.entry.slots {
            0 => SLOTS_UNKNOWN,
            _ => slots,
        };
        let told = self
            .load
            .filter(|(_, at_ms)| now_ms < at_ms + LOAD_VALID_MS)
            .map_or(0.0, |(load, at_ms)| {
                let age = (now_ms - at_ms) as f64 / LOAD_VALID_MS as f64;
                f64::from(load.running + load.waiting) * (1.0 - age)
            });
        told.max(f64::from(self.open)) / slots
    }
}
