//! Token bucket (Turner, 1986) whose rate and depth may change between uses.

/// Largest debt of a bucket, in tokens.
const DEBT_MAX: f64 = 8.0;

/// A token bucket. The caller passes its rate and depth with each use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    tokens: f64,
    refilled_ms: u64,
}

impl TokenBucket {
    /// Creates a bucket that contains `tokens`.
    pub fn new(tokens: f64, now_ms: u64) -> Self {
        Self {
            tokens,
            refilled_ms: now_ms,
        }
    }

    /// Adds the tokens for the time since the last refill, up to `depth`.
    pub fn refill(&mut self, rate_per_s: f64, depth: f64, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.refilled_ms) as f64 / 1_000.0;
        self.tokens = (self.tokens + elapsed_s * rate_per_s).min(depth);
        self.refilled_ms = self.refilled_ms.max(now_ms);
    }

    /// The available tokens; negative if the bucket is in debt.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Whether a token is available.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token if one is available. Returns whether it did.
    pub fn try_take(&mut self) -> bool {
        let is_available = self.has_token();
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }

    /// Takes a token even if none is available. Later calls wait until the debt is refilled.
    pub fn take_on_credit(&mut self) {
        self.tokens = (self.tokens - 1.0).max(-DEBT_MAX);
    }

    /// Puts back an unused token.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
    }

    /// Time until `tokens` are available, if none is taken meanwhile.
    pub fn wait_ms(&self, tokens: f64, rate_per_s: f64) -> u64 {
        let missing = (tokens - self.tokens).max(0.0);
        (missing / rate_per_s * 1_000.0).ceil() as u64
    }
}

#[cfg(test)]
#[path = "bucket_tests.rs"]
mod tests;
