//! Limit on a box's concurrent calls at one target, learnt from the target's refusals: one more for each round of answers,
//! a share less at a refusal (additive increase, multiplicative decrease). Boxes that don't see each other's calls thereby
//! converge to sharing a full target.

/// Limit before the first refusal, and the largest: more than the slots and the queue of any target, so no limit.
const MAX_LIMIT: f64 = 256.0;
/// Share of the limit that is left after a refusal. With a larger share, calls are refused again at once; with a smaller
/// one, slots stay empty while callers wait.
const DECREASE_FACTOR: f64 = 0.85;
/// Refusals within this time count as one: the calls were sent before the first refusal arrived.
const REFUSAL_WINDOW_MS: u64 = 100;

/// The limit of one box at one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimit {
    max_calls: f64,
    decreased_ms: Option<u64>,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            max_calls: MAX_LIMIT,
            decreased_ms: None,
        }
    }
}

impl ConcurrencyLimit {
    /// Records that the target refused a call as full while `open` other calls of this box were in progress there.
    pub fn record_refusal(&mut self, open: u32, now_ms: u64) {
        if self
            .decreased_ms
            .is_some_and(|decreased_ms| now_ms < decreased_ms + REFUSAL_WINDOW_MS)
        {
            return;
        }
        self.max_calls = (self.max_calls.min(f64::from(open)) * DECREASE_FACTOR).max(1.0);
        self.decreased_ms = Some(now_ms);
    }

    /// Records an answer while `open` other calls of this box are in progress there. The limit rises only if it was
    /// reached.
    pub fn record_answer(&mut self, open: u32) {
        if f64::from(open) + 1.0 >= self.max_calls {
            self.max_calls = (self.max_calls + 1.0 / self.max_calls).min(MAX_LIMIT);
        }
    }

    /// Whether one more call may be sent while `open` calls of this box are in progress there.
    pub fn has_room(&self, open: u32) -> bool {
        f64::from(open) + 1.0 <= self.max_calls
    }

    /// The limit; none before the first refusal.
    pub fn max_calls(&self) -> Option<f64> {
        self.decreased_ms.map(|_| self.max_calls)
    }
}

#[cfg(test)]
#[path = "limit_tests.rs"]
mod tests;
