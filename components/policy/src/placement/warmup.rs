//! What a cold target can bear. Its rate holds for all boxes together; each box takes its part of it, and begins at a
//! moment of its own, so that boxes that all see it come back do not send together.

use crate::rate::bucket::TokenBucket;

/// Share of the rate that is used: boxes see the number of boxes late, and a request that is under way counts where it
/// arrives.
const USED: f64 = 0.8;
/// The most that is saved up, in requests: a box that sent nothing for long sends no burst.
const SAVED_MAX: f64 = 1.0;

/// One box's part of what a cold target can bear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup(TokenBucket);

impl Warmup {
    /// The part of a box from a moment on; `draw` is even between 0 and 1, and tells when its first request is due.
    pub fn new(draw: f64, now_ms: u64) -> Self {
        Self(TokenBucket::new(draw.clamp(0.0, 1.0) * SAVED_MAX, now_ms))
    }

    /// Whether a box among `boxes` may send the target a request now.
    pub fn allows(&self, rate_per_s: f64, boxes: usize, now_ms: u64) -> bool {
        let own_rate = rate_per_s * USED / boxes.max(1) as f64;
        let mut bucket = self.0;
        bucket.refill(own_rate, SAVED_MAX, now_ms);
        bucket.has_token()
    }

    /// Notes that it sent one.
    pub fn sent(&mut self, now_ms: u64) {
        self.0 = TokenBucket::new(0.0, now_ms);
    }
}

#[cfg(test)]
#[path = "warmup_tests.rs"]
mod tests;
