//! A token bucket (Turner, 1986) whose rate and depth may change while it is in use.

/// Tokens that a bucket owes at the most.
const DEBT_MAX: f64 = 8.0;

/// A bucket. Its rate and depth are given with each use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    tokens: f64,
    at_ms: u64,
}

impl TokenBucket {
    /// A bucket with so many tokens in it.
    pub fn new(tokens: f64, now_ms: u64) -> Self {
        Self {
            tokens,
            at_ms: now_ms,
        }
    }

    /// Adds the tokens of the time since the last use.
    pub fn refill(&mut self, rate_per_s: f64, depth: f64, now_ms: u64) {
        let passed_s = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        self.tokens = (self.tokens + passed_s * rate_per_s).min(depth);
        self.at_ms = self.at_ms.max(now_ms);
    }

    /// The tokens in it, below zero where it owes some.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Whether there is a token.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token, where there is one.
    pub fn try_take(&mut self) -> bool {
        let is_there = self.has_token();
        if is_there {
            self.tokens -= 1.0;
        }
        is_there
    }

    /// Takes a token whether there is one or not: those that come later wait for it.
    pub fn take_on_credit(&mut self) {
        self.tokens = (self.tokens - 1.0).max(-DEBT_MAX);
    }

    /// Puts a token back that was not used.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
    }

    /// How long until there are so many tokens, if none is taken.
    pub fn wait_ms(&self, tokens: f64, rate_per_s: f64) -> u64 {
        let lacking = (tokens - self.tokens).max(0.0);
        (lacking / rate_per_s * 1_000.0).ceil() as u64
    }
}

#[cfg(test)]
#[path = "bucket_tests.rs"]
mod tests;
