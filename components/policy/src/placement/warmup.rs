//! Slow start of cold targets. A target's rate limit is divided among all boxes, and each box
//! starts at a random time, so that boxes that see a target recover do not all send at once.

use crate::rate::bucket::TokenBucket;

/// Share of the rate limit that is used: boxes learn the number of boxes late, and requests count
/// on arrival at the target.
const USED_RATE_SHARE: f64 = 0.8;
/// Maximum saved tokens, in requests, so that an idle box sends no burst.
const BURST_MAX: f64 = 1.0;

/// One box's share of a cold target's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup(TokenBucket);

impl Warmup {
    /// Creates a bucket at `now_ms`. `draw` is uniform between 0 and 1 and sets when the first
    /// request is due.
    pub fn new(jitter: f64, now_ms: u64) -> Self {
        Self(TokenBucket::new(jitter.clamp(0.0, 1.0) * BURST_MAX, now_ms))
    }

    /// Whether one of `boxes` boxes may send the target a request now.
    pub fn allows(&self, rate_per_s: f64, boxes: usize, now_ms: u64) -> bool {
        let own_rate = rate_per_s * USED_RATE_SHARE / boxes.max(1) as f64;
        let mut bucket = self.0;
        bucket.refill(own_rate, BURST_MAX, now_ms);
        bucket.has_token()
    }

    /// Records that a request was sent.
    pub fn record_send(&mut self, now_ms: u64) {
        self.0 = TokenBucket::new(0.0, now_ms);
    }
}

#[cfg(test)]
#[path = "warmup_tests.rs"]
mod tests;
