//! What one box may send to a target with a rate limit while it reaches no box that grants tokens.

use crate::rate::bucket::TokenBucket;

/// Share of a limit that is used: a request that is under way counts where it arrives.
pub(crate) const USED_SHARE: f64 = 0.95;
/// Seconds of the rate that whoever grants tokens saves up.
const DEPTH_S: f64 = 0.25;
/// Tokens that are saved up at the least, so that a low limit is used where calls come now and then.
const DEPTH_MIN: f64 = 1.5;
/// What a box saves up: one that sent nothing for long sends no burst.
const OWN_DEPTH: f64 = 1.0;

/// Part of a limit that is granted by whoever has just taken the role over: the box that had it may be cut off, and grant as well.
pub const FAILOVER_SHARE: f64 = 0.5;
/// How long the part is that. By then it is known which boxes are cut off.
pub const FAILOVER_MS: u64 = 5_000;

/// Refills the bucket of whoever grants the tokens of a limit.
pub(crate) fn refill(bucket: &mut TokenBucket, rate_per_s: f64, now_ms: u64) {
    let depth = (rate_per_s * DEPTH_S).max(DEPTH_MIN);
    bucket.refill(rate_per_s * USED_SHARE, depth, now_ms);
}

/// One box's part of a limit. It begins when the box first reaches no coordinator: until then a coordinator grants the whole
/// limit, and what each box had saved up meanwhile would come on top of that.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FallbackShare(Option<TokenBucket>);

impl FallbackShare {
    /// Notes that a coordinator answered.
    pub fn reset(&mut self) {
        self.0 = None;
    }

    /// Takes a token. `draw` is even between 0 and 1: boxes that lose their coordinator together do not send together.
    ///
    /// # Errors
    /// How long until there is one.
    pub fn try_take(
        &mut self,
        rate_per_s: f64,
        boxes: usize,
        draw: f64,
        now_ms: u64,
    ) -> Result<(), u64> {
        let own_per_s = rate_per_s * USED_SHARE / boxes.max(1) as f64;
        let saved = draw.clamp(0.0, 1.0) * OWN_DEPTH;
        let bucket = self
            .0
            .get_or_insert_with(|| TokenBucket::new(saved, now_ms));
        bucket.refill(own_per_s, OWN_DEPTH, now_ms);
        match bucket.try_take() {
            true => Ok(()),
            false => Err(bucket.wait_ms(1.0, own_per_s)),
        }
    }
}
