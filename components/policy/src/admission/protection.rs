//! Reading that is kept for work that goes first and is likely to come. An engine reads one prompt after another, so that a
//! prompt that may wait for seconds holds up one that is due sooner and comes a moment later. A request that goes behind
//! others is therefore placed only while enough engines will have read what they have by the time its own prompt is read,
//! for what goes first and comes until then by the rate of the last second or two: more urgent requests, and for an account
//! that asks for more than all others together those of the others.
//!
//! Nothing is kept where nothing else comes: what came is forgotten by half within a second.

use crate::admission::queue::Place;
use crate::demand::{Demand, RANK_COUNT};
use crate::placement::ledger::{EngineLedger, EngineState};
use crate::pool::Pool;

/// Share of the more urgent requests that are likely to come for which an engine is left free. The others come while
/// one becomes free, and wait for a part of one prompt.
const KEPT_SHARE: f64 = 0.5;
/// Standard deviations of how many come that are kept beside their mean where an account floods: callers of other accounts
/// find an engine free in 97 of 100 cases.
const KEPT_DEVIATIONS: f64 = 2.0;

impl Pool {
    /// Whether the first request of a place leaves enough engines free to read for what is likely to come and goes first.
    pub(crate) fn leaves_reading(&self, place: Place, now_ms: u64) -> bool {
        let Some(demand) = self.queue.front(place) else {
            return true;
        };
        let read_ms = self.read_ms(demand);
        let kept = self.kept_engines(demand, read_ms, now_ms);
        if kept < 1.0 {
            return true;
        }
        let is_free = |ledger: &&EngineLedger| {
            let left_ms = ledger.prefill.remaining_ms(&self.prefill_rate, now_ms);
            ledger.state == EngineState::Live && left_ms <= read_ms
        };
        // More than are kept, or all were looked at.
        let mut free = self.engines.iter().filter(is_free);
        free.nth(kept as usize).is_some()
    }

    /// Whether a place is of an account that floods and asks for more than all others.
    pub(crate) fn outweighs_others(&self, place: Place) -> bool {
        let front = self.queue.front(place);
        front.is_some_and(|demand| self.tree.outweighs_others(&demand.share))
    }

    /// Engines that are kept free while a prompt is read. The requests of accounts that flood are not among what comes.
    fn kept_engines(&self, demand: &Demand, read_ms: f64, now_ms: u64) -> f64 {
        let coming = &self.admission_forecast.coming;
        if self.tree.outweighs_others(&demand.share) {
            let mean = coming.requests_before(RANK_COUNT as u8, now_ms) * read_ms;
            return mean + KEPT_DEVIATIONS * mean.sqrt();
        }
        if !self.settings.protection {
            return 0.0;
        }
        coming.requests_before(demand.clamped_rank(), now_ms) * read_ms * KEPT_SHARE
    }
}

#[cfg(test)]
#[path = "protection_tests.rs"]
mod tests;
