//! The share of a target's rate limit that one box uses on its own while it reaches no coordinator, the box that grants the
//! tokens.

use crate::rate::bucket::TokenBucket;

/// Share of a limit that is used. The target counts requests when they arrive, and varying network delays can bunch them.
pub(crate) const USED_SHARE: f64 = 0.95;
/// Depth of a coordinator's bucket, in seconds of the rate.
const DEPTH_S: f64 = 0.25;
/// Smallest depth of a coordinator's bucket, in tokens: with less, sporadic calls would leave a low limit unused.
const DEPTH_MIN: f64 = 1.5;
/// Depth of a box's fallback bucket, in tokens: a box that was idle sends no burst.
const FALLBACK_DEPTH: f64 = 1.0;

/// Share of a limit that a new coordinator grants after a failover: the previous one may be partitioned off and still grant.
pub const FAILOVER_SHARE: f64 = 0.5;
/// How long the reduced share applies. By then the boxes know which others are partitioned off.
pub const FAILOVER_MS: u64 = 5_000;

/// Refills the bucket of a coordinator or dispatcher that grants the tokens of a limit.
pub(crate) fn refill(bucket: &mut TokenBucket, rate_per_s: f64, now_ms: u64) {
    let depth = (rate_per_s * DEPTH_S).max(DEPTH_MIN);
    bucket.refill(rate_per_s * USED_SHARE, depth, now_ms);
}

/// One box's share of a limit. Its bucket is created when the box first reaches no coordinator: until then the coordinator
/// grants the whole limit, and tokens accumulated in every box would exceed it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FallbackShare(Option<TokenBucket>);

impl FallbackShare {
    /// Drops the bucket after a coordinator has answered.
    pub fn reset(&mut self) {
        self.0 = None;
    }

    /// Takes a token of the share of one box among `boxes`. `jitter` is a uniform random number between 0 and 1 that sets the
    /// initial tokens, so that boxes that lose their coordinator together do not send together.
    ///
    /// # Errors
    /// Time in ms until a token is available.
    pub fn try_take(
        &mut self,
        rate_per_s: f64,
        boxes: usize,
        jitter: f64,
        now_ms: u64,
    ) -> Result<(), u64> {
        let share_per_s = rate_per_s * USED_SHARE / boxes.max(1) as f64;
        let initial_tokens = jitter.clamp(0.0, 1.0) * FALLBACK_DEPTH;
        let bucket = self
            .0
            .get_or_insert_with(|| TokenBucket::new(initial_tokens, now_ms));
        bucket.refill(share_per_s, FALLBACK_DEPTH, now_ms);
        match bucket.try_take() {
            true => Ok(()),
            false => Err(bucket.wait_ms(1.0, share_per_s)),
        }
    }
}
