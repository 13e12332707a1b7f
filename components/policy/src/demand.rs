//! Requests to a pool's dispatcher and its replies.

use crate::fairness::tree::Share;
use crate::placement::length::LengthClass;
use prelude::{Avoided, DataCentreId, PermitId, Refusal, TargetId};
use serde::{Deserialize, Serialize};

/// Number of priority ranks.
pub const RANK_COUNT: usize = 10;

/// A request for a permit.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Its permit's ID, chosen by the requesting box.
    pub permit: PermitId,
    /// The account to charge, with its fair-share weights.
    pub share: Share,
    /// Class of requests with similar answer lengths.
    pub class: LengthClass,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Upper limit of generated tokens.
    pub max_tokens: u32,
    /// Priority: 0 is the most urgent, 9 the least.
    pub rank: u8,
    /// Longest acceptable pause between two stream events, in milliseconds; `None` if any pause is
    /// acceptable.
    pub pause_goal_ms: Option<u32>,
    /// Arrival time, on the dispatcher's clock.
    pub arrived_ms: u64,
    /// When the first token is due; a request that still waits then is refused.
    pub deadline_ms: u64,
    /// When the caller gives up.
    pub caller_deadline_ms: u64,
    /// Hash and length in tokens of a prompt prefix that engines may have cached.
    pub prefix: Option<(u64, u32)>,
    /// The true answer length, for the oracle policy.
    pub oracle_tokens: Option<u32>,
    /// Engines to avoid.
    pub avoid: Avoided,
    /// The data centre of the box that serves the caller.
    pub preferred_data_centre: Option<DataCentreId>,
}

impl Demand {
    /// The rank as an index below [`RANK_COUNT`]; higher ranks are clamped to the last one.
    pub fn clamped_rank(&self) -> u8 {
        self.rank.min(RANK_COUNT as u8 - 1)
    }
}

/// Outcome of submitting a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The request is queued.
    Queued {
        /// Number of requests queued before it.
        position: u32,
    },
    /// The request was refused.
    Refused(Refusal),
}

/// Outcome of a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It may run on this engine.
    Granted {
        /// The engine.
        target: TargetId,
    },
    /// The request was refused.
    Refused(Refusal),
}

/// A running stream that a box reports to a new dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningStream {
    /// The request that it serves.
    pub demand: Demand,
    /// The engine it runs on.
    pub target: TargetId,
    /// Tokens generated so far.
    pub generated_tokens: u32,
}
