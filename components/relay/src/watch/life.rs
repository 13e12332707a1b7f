//! One life of a target as its entries tell of it: how it begins, goes on and is over.

use crate::rate_limit::state::TargetRateLimit;
use crate::watch::targets::{Belief, Target};
use policy::{OutlierEjection, Probation, RetryAfterBackoff, Warmup};
use prelude::DataCentreId;
use routing::{TargetEntry, TargetPhase};

/// A target that will be cold for so much longer than was known has turned cold anew; what is less is the spread of
/// its own word.
const COLD_LONGER_MS: u64 = 500;

impl Target {
    /// A life of which nothing is known but its entry.
    pub(super) fn new(entry: TargetEntry, left: bool, now_ms: u64) -> Self {
        let says_so = entry.phase == TargetPhase::Leaving;
        let leaves = left || says_so;
        let mut target = Self {
            id: entry.life().id(),
            data_centre: DataCentreId::from_name(&entry.data_centre),
            belief: match leaves {
                true => Belief::Leaving,
                false => Belief::Ready,
            },
            missing: None,
            cold_until_ms: now_ms + u64::from(entry.cold_left_ms),
            warmup: Warmup::new(rand::random(), now_ms),
            open: 0,
            open_bytes: 0,
            load: None,
            backoff: RetryAfterBackoff::default(),
            rate_limit: TargetRateLimit::default(),
            suspicion: OutlierEjection::default(),
            trial: Probation::default(),
            full_until_ms: 0,
            leaves_by_word: leaves && !says_so,
            says_it_leaves: false,
            left: leaves,
            entry,
        };
        target.tell_phase();
        target
    }

    /// Has its entry say what is believed, so that peers are told the same.
    pub(super) fn tell_phase(&mut self) {
        if self.belief == Belief::Leaving {
            self.entry.phase = TargetPhase::Leaving;
        }
    }

    /// Takes a newer entry of this life in. Says whether it turned cold by that.
    pub(super) fn renew(&mut self, entry: TargetEntry, now_ms: u64) -> bool {
        let leaving = entry.phase == TargetPhase::Leaving;
        let stays_left = self.left && (entry.born_ms.is_some() || self.says_it_leaves);
        let vanished = self.belief == Belief::Gone;
        // A life that was seen to leave never takes work again; one that vanished may come back,
        // as the platform drops entries while its store is in trouble.
        self.belief = match (self.belief, leaving || stays_left) {
            (Belief::Leaving, _) | (_, true) => Belief::Leaving,
            _ => Belief::Ready,
        };
        self.missing = None;
        self.leaves_by_word = !leaving && (self.leaves_by_word || (vanished && stays_left));
        self.left = self.belief == Belief::Leaving;
        let cold_until_ms = now_ms + u64::from(entry.cold_left_ms);
        let turned_cold =
            entry.cold_left_ms > 0 && cold_until_ms > self.cold_until_ms + COLD_LONGER_MS;
        if turned_cold {
            self.cold_until_ms = cold_until_ms;
            self.warmup = Warmup::new(rand::random(), now_ms);
        }
        self.entry = entry;
        self.tell_phase();
        turned_cold
    }

    /// Notes that a new life has begun under its name, and says whether that is news of it.
    pub(super) fn is_over(&mut self) -> bool {
        let was = std::mem::replace(&mut self.belief, Belief::Gone);
        self.missing = None;
        was != Belief::Gone
    }
}
