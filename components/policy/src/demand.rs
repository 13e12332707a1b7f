//! What a pool is asked, and what it says.

use crate::fairness::tree::Share;
use crate::placement::length::LengthClass;
use prelude::{Avoided, DataCentreId, PermitId, Refusal, TargetId};
use serde::{Deserialize, Serialize};

/// How many ranks of urgency there are.
pub const RANKS: usize = 10;

/// A request for a permit.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The permit's name, chosen by the box that asks.
    pub permit: PermitId,
    /// Who is charged.
    pub share: Share,
    /// Whose lengths it is like.
    pub class: LengthClass,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// The most it may generate.
    pub max_tokens: u32,
    /// 0 for the most urgent, 9 for the least.
    pub rank: u8,
    /// The longest pause between events that counts as in time; none where every pause does.
    pub pause_goal_ms: Option<u32>,
    /// When its caller came, on the clock of the dispatcher.
    pub since_ms: u64,
    /// When its first token is due; it is refused if it still waits then.
    pub deadline_ms: u64,
    /// When its caller leaves.
    pub leaves_ms: u64,
    /// Hash and tokens of a prefix that engines may have cached.
    pub prefix: Option<(u64, u32)>,
    /// Its true length, for the oracle policy.
    pub told_tokens: Option<u32>,
    /// Engines that it is not to be placed on.
    pub avoid: Avoided,
    /// The data centre of the box that serves its caller.
    pub near: Option<DataCentreId>,
}

impl Demand {
    /// Its rank as a place in a list of [`RANKS`]; one beyond the last counts as the last.
    pub fn rank_in_use(&self) -> u8 {
        self.rank.min(RANKS as u8 - 1)
    }
}

/// What became of a request when it came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// It waits, behind this many others.
    Waits {
        /// Requests before it.
        place: u32,
    },
    /// It was refused.
    Refused(Refusal),
}

/// What became of a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It may run on this engine.
    Granted {
        /// The engine.
        target: TargetId,
    },
    /// It was refused.
    Refused(Refusal),
}

/// A stream that a new dispatcher is told of.
#[derive(Clone, Debug, PartialEq)]
pub struct Adopted {
    /// What it asked for.
    pub demand: Demand,
    /// Where it runs.
    pub target: TargetId,
    /// Tokens generated so far.
    pub generated_tokens: u32,
}
