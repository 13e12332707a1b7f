//! Rate limit of one engine, enforced by its pool's dispatcher.

use crate::rate::bucket::TokenBucket;
use crate::rate::share::refill;

/// Token bucket for requests placed on one engine. Without a rate there is no limit.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineRateLimit(Option<(f64, TokenBucket)>);

impl EngineRateLimit {
    /// Sets the rate in requests per second, or removes the limit. A new bucket is empty.
    pub fn set_rate(&mut self, rate_per_s: Option<f64>, now_ms: u64) {
        let bucket = self.0.map(|(_, bucket)| bucket);
        let bucket = bucket.unwrap_or_else(|| TokenBucket::new(0.0, now_ms));
        self.0 = rate_per_s.map(|rate_per_s| (rate_per_s, bucket));
    }

    /// The rate in requests per second and the refilled bucket; none without a limit.
    pub fn current(&self, now_ms: u64) -> Option<(f64, TokenBucket)> {
        let (rate_per_s, mut bucket) = self.0?;
        refill(&mut bucket, rate_per_s, now_ms);
        Some((rate_per_s, bucket))
    }

    /// Whether one more request may be placed.
    pub fn has_token(&self, now_ms: u64) -> bool {
        let tokens = self.current(now_ms);
        tokens.is_none_or(|(_, bucket)| bucket.has_token())
    }

    /// Records that a request is placed.
    pub fn record_placement(&mut self, now_ms: u64) {
        self.0 = self.current(now_ms).map(|(rate_per_s, mut bucket)| {
            bucket.take_on_credit();
            (rate_per_s, bucket)
        });
    }
}
