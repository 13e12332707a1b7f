//! A retry budget: retries are a share of fresh requests, so that faults do not multiply load.

/// A bucket of tokens, filled by fresh requests and spent by retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
}

/// Retries that may be made at once after a quiet time.
const BURST: f64 = 20.0;

impl RetryBudget {
    /// A full bucket that gains `share` of a retry for each fresh request.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            tokens: BURST,
        }
    }

    /// Counts a fresh request.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.share).min(BURST);
    }

    /// Takes one retry, where the budget has one left.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[cfg(test)]
#[path = "budget_tests.rs"]
mod tests;
