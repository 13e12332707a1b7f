//! Retry budget: retries are limited to a share of new requests, so that failures do not multiply the load.

/// Token bucket that new requests fill and retries drain.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retry_share: f64,
    tokens: f64,
}

/// Depth of the bucket: the largest burst of retries after an idle period.
const BURST: f64 = 20.0;

impl RetryBudget {
    /// Creates a full bucket that gains `retry_share` tokens for each new request.
    pub fn new(retry_share: f64) -> Self {
        Self {
            retry_share,
            tokens: BURST,
        }
    }

    /// Counts a new request.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.retry_share).min(BURST);
    }

    /// Takes one retry if the budget allows it. Returns whether it does.
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
