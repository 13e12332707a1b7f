//! Lifecycle of one incarnation of a target as its entries report it.

use crate::rate_limit::state::TargetRateLimit;
use crate::watch::targets::{Target, TargetState};
use policy::{OutlierEjection, Probation, RetryAfterBackoff, Warmup};
use prelude::DataCentreId;
use routing::{TargetEntry, TargetPhase};

/// A target whose cold period grows by more than this has turned cold again; a smaller difference is jitter of its
/// own reports.
const COLD_EXTENSION_MIN_MS: u64 = 500;

impl Target {
    /// An incarnation of which only the entry is known. `left`: it was seen to leave before.
    pub(super) fn new(entry: TargetEntry, left: bool, now_ms: u64) -> Self {
        let says_so = entry.phase == TargetPhase::Leaving;
        let leaves = left || says_so;
        let mut target = Self {
            id: entry.life().id(),
            data_centre: DataCentreId::from_name(&entry.data_centre),
            state: match leaves {
                true => TargetState::Leaving,
                false => TargetState::Ready,
            },
            missing: None,
            cold_until_ms: now_ms + u64::from(entry.cold_left_ms),
            warmup: Warmup::new(rand::random(), now_ms),
            open: 0,
            open_bytes: 0,
            load: None,
            backoff: RetryAfterBackoff::default(),
            rate_limit: TargetRateLimit::default(),
            outlier: OutlierEjection::default(),
            probation: Probation::default(),
            full_until_ms: 0,
            leaving_reported: leaves && !says_so,
            announced_leaving: false,
            is_refusing: false,
            was_leaving: leaves,
            entry,
        };
        target.sync_entry_phase();
        target
    }

    /// An incarnation that was removed and is listed again. `left`: it was seen to leave meanwhile.
    pub(super) fn relisted(mut self, entry: TargetEntry, left: bool, now_ms: u64) -> Self {
        self.was_leaving |= left;
        // Nothing probes a removed target.
        self.is_refusing = false;
        self.update_entry(entry, now_ms);
        self
    }

    /// Whether it announced anything or this box observed anything that its entry does not contain.
    pub(super) fn has_state(&self) -> bool {
        self.announced_leaving
            || self.rate_limit.announced.is_limited()
            || self.backoff != RetryAfterBackoff::default()
            || self.outlier != OutlierEjection::default()
            || self.probation != Probation::default()
    }

    /// Sets the phase of the entry to the believed state, so that peers receive it.
    pub(super) fn sync_entry_phase(&mut self) {
        if self.state == TargetState::Leaving {
            self.entry.phase = TargetPhase::Leaving;
        }
    }

    /// Applies a newer entry of this incarnation. Returns whether the target turned cold.
    pub(super) fn update_entry(&mut self, entry: TargetEntry, now_ms: u64) -> bool {
        let leaving = entry.phase == TargetPhase::Leaving;
        let stays_left = self.was_leaving && (entry.born_ms.is_some() || self.announced_leaving);
        let was_gone = self.state == TargetState::Gone;
        // An incarnation that was seen to leave never takes work again. One that was removed may return, as entries
        // lapse while the store has trouble.
        self.state = match (self.state, leaving || stays_left) {
            (TargetState::Leaving, _) | (_, true) => TargetState::Leaving,
            _ => TargetState::Ready,
        };
        self.missing = None;
        self.leaving_reported = !leaving && (self.leaving_reported || (was_gone && stays_left));
        self.was_leaving = self.state == TargetState::Leaving;
        let cold_until_ms = now_ms + u64::from(entry.cold_left_ms);
        let turned_cold =
            entry.cold_left_ms > 0 && cold_until_ms > self.cold_until_ms + COLD_EXTENSION_MIN_MS;
        if turned_cold {
            self.cold_until_ms = cold_until_ms;
            self.warmup = Warmup::new(rand::random(), now_ms);
        }
        self.entry = entry;
        self.sync_entry_phase();
        turned_cold
    }

    /// Marks the incarnation as gone after a newer one started. Returns whether that is a change.
    pub(super) fn mark_gone(&mut self) -> bool {
        let previous_state = std::mem::replace(&mut self.state, TargetState::Gone);
        self.missing = None;
        previous_state != TargetState::Gone
    }
}
