//! The rate limit of one engine, as its dispatcher keeps it.

use crate::rate::bucket::TokenBucket;
use crate::rate::share::refill;

/// The tokens for requests that are placed on one engine. There is no limit where no rate is set.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineRateLimit(Option<(f64, TokenBucket)>);

impl EngineRateLimit {
    /// Sets how many requests a second may be placed.
    pub fn set_rate(&mut self, rate_per_s: Option<f64>, now_ms: u64) {
        let bucket = self.0.map(|(_, bucket)| bucket);
        let bucket = bucket.unwrap_or_else(|| TokenBucket::new(0.0, now_ms));
        self.0 = rate_per_s.map(|rate_per_s| (rate_per_s, bucket));
    }

    /// The rate, and the tokens as they are now.
    pub fn current(&self, now_ms: u64) -> Option<(f64, TokenBucket)> {
        let (rate_per_s, mut bucket) = self.0?;
        refill(&mut bucket, rate_per_s, now_ms);
        Some((rate_per_s, bucket))
    }

    /// Whether one more may be placed.
    pub fn has_token(&self, now_ms: u64) -> bool {
        let tokens = self.current(now_ms);
        tokens.is_none_or(|(_, bucket)| bucket.has_token())
    }

    /// Notes that one is placed.
    pub fn record_placement(&mut self, now_ms: u64) {
        self.0 = self.current(now_ms).map(|(rate_per_s, mut bucket)| {
            bucket.take_on_credit();
            (rate_per_s, bucket)
        });
    }
}
