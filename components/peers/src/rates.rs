//! Rate limits of targets between boxes: what targets announced, and tokens for calls to them.

use prelude::{AccountId, TargetId};
use serde::{Deserialize, Serialize};

/// What a target's answers announced of its rate limit. Ages instead of times: boxes share no clock.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetRate {
    /// The target's life.
    pub target: TargetId,
    /// Requests a second from all boxes together; none where it names no limit.
    pub limit_per_s: Option<f32>,
    /// How long ago the answer was made, at the most.
    pub made_from_ms_ago: u32,
    /// The same, at the least.
    pub made_until_ms_ago: u32,
}

/// A box asks for the token of one call to a target with a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateTokenRequest {
    /// The limit, as far as the box that asks knows it.
    pub rate: TargetRate,
    /// Whose call it is.
    pub account: AccountId,
    /// 0 for the most urgent.
    pub rank: u8,
    /// How long it may wait for a token.
    pub wait_ms: u32,
    /// Its caller is sent away where it gets none.
    pub is_last_try: bool,
}

/// Answer to [`RateTokenRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum RateTokenReply {
    /// The call may be sent.
    Granted,
    /// It may not be.
    Denied {
        /// When there is a token, from now.
        retry_after_ms: u32,
    },
    /// The target has no limit any more.
    NotLimited(TargetRate),
    /// Another box grants the tokens of this target.
    NotCoordinator,
}

#[cfg(test)]
#[path = "rates_tests.rs"]
mod tests;
