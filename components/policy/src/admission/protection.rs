//! Reading that is kept for more urgent work that is likely to come. An engine reads one prompt after another, so that a
//! prompt that may wait for seconds holds up one that is due sooner and comes a moment later. A less urgent request is
//! therefore placed only while enough engines will have read what they have by the time its own prompt is read, for the
//! more urgent requests that come until then by the rate of the last second or two.
//!
//! Nothing is kept where nothing more urgent comes: what came is forgotten by half within a second.

use crate::admission::queue::Place;
use crate::placement::ledger::{EngineLedger, EngineState};
use crate::pool::Pool;

/// Share of the more urgent requests that are likely to come for which an engine is left free. The others come while
/// one becomes free, and wait for a part of one prompt.
const KEPT_SHARE: f64 = 0.5;

impl Pool {
    /// Whether the first request of a place leaves enough engines free to read for what is likely to come and is more
    /// urgent.
    pub(crate) fn leaves_reading(&self, place: Place, now_ms: u64) -> bool {
        let Some(demand) = self.queue.front(place) else {
            return true;
        };
        let rank = demand.rank_in_use();
        let per_ms = self.outlook.coming.requests_before(rank, now_ms);
        let read_ms = self.read_ms(demand);
        let kept = per_ms * read_ms * KEPT_SHARE;
        if !self.settings.protection || kept < 1.0 {
            return true;
        }
        let is_free = |ledger: &&EngineLedger| {
            let left_ms = ledger.reading.left_ms(&self.reading_rate, now_ms);
            ledger.state == EngineState::Live && left_ms <= read_ms
        };
        self.engines.iter().filter(is_free).count() as f64 > kept
    }
}

#[cfg(test)]
#[path = "protection_tests.rs"]
mod tests;
