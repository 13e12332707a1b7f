//! One life of a target as its entries tell of it: how it begins, goes on and is over.

use crate::rate_limit::state::TargetRateLimit;
use crate::watch::targets::{Target, TargetState};
use policy::{OutlierEjection, Probation, RetryAfterBackoff, Warmup};
use prelude::DataCentreId;
use routing::{TargetEntry, TargetPhase};

/// A target that will be cold for so much longer than was known has turned cold anew; what is less is the spread of
/// its own word.
const COLD_EXTENSION_MIN_MS: u64 = 500;

impl Target {
    /// A life of which nothing is known but its entry.
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
            was_leaving: leaves,
            entry,
        };
        target.sync_entry_phase();
        target
    }

    /// Has its entry say what is believed, so that peers are told the same.
    pub(super) fn sync_entry_phase(&mut self) {
        if self.state == TargetState::Leaving {
            self.entry.phase = TargetPhase::Leaving;
        }
    }

    /// Takes a newer entry of this life in. Says whether it turned cold by that.
    pub(super) fn update_entry(&mut self, entry: TargetEntry, now_ms: u64) -> bool {
        let leaving = entry.phase == TargetPhase::Leaving;
        let stays_left = self.was_leaving && (entry.born_ms.is_some() || self.announced_leaving);
        let vanished = self.state == TargetState::Gone;
        // A life that was seen to leave never takes work again; one that vanished may come back,
        // as the platform drops entries while its store is in trouble.
        self.state = match (self.state, leaving || stays_left) {
            (TargetState::Leaving, _) | (_, true) => TargetState::Leaving,
            _ => TargetState::Ready,
        };
        self.missing = None;
        self.leaving_reported = !leaving && (self.leaving_reported || (vanished && stays_left));
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

    /// Notes that a new life has begun under its name, and says whether that is news of it.
    pub(super) fn mark_gone(&mut self) -> bool {
        let was = std::mem::replace(&mut self.state, TargetState::Gone);
        self.missing = None;
        was != TargetState::Gone
    }
}
