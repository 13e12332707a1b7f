//! How many calls a box has at one target at once, learnt from what the target refuses: one step more for each round of
//! answers, less by a share at a refusal (additive increase, multiplicative decrease), so that boxes that don't see each other's calls come to share a full target.

/// The bound before a target refused anything: more than slots and queue of any, so none.
const MOST: f64 = 256.0;
/// The share of the bound that is left after a refusal. More is refused again at once; less leaves slots empty that callers wait for.
const KEPT_SHARE: f64 = 0.85;
/// Refusals within this time are one word: the calls were sent before the first of them was heard.
const ONE_WORD_MS: u64 = 100;

/// The bound of one box at one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimit {
    max_calls: f64,
    cut_ms: Option<u64>,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            max_calls: MOST,
            cut_ms: None,
        }
    }
}

impl ConcurrencyLimit {
    /// Notes that the target refused a call as full, with so many others of this box there.
    pub fn record_refusal(&mut self, open: u32, now_ms: u64) {
        if self
            .cut_ms
            .is_some_and(|cut_ms| now_ms < cut_ms + ONE_WORD_MS)
        {
            return;
        }
        self.max_calls = (self.max_calls.min(f64::from(open)) * KEPT_SHARE).max(1.0);
        self.cut_ms = Some(now_ms);
    }

    /// Notes an answer, with so many calls of this box there: the bound rises only where it was reached.
    pub fn record_answer(&mut self, open: u32) {
        if f64::from(open) + 1.0 >= self.max_calls {
            self.max_calls = (self.max_calls + 1.0 / self.max_calls).min(MOST);
        }
    }

    /// Whether one more call goes there.
    pub fn has_room(&self, open: u32) -> bool {
        f64::from(open) + 1.0 <= self.max_calls
    }

    /// The bound; none where nothing was refused yet.
    pub fn max_calls(&self) -> Option<f64> {
        self.cut_ms.map(|_| self.max_calls)
    }
}

#[cfg(test)]
#[path = "limit_tests.rs"]
mod tests;
