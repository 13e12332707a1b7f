//! What became of a request, in words that are true for the caller.

use serde::{Deserialize, Serialize};

/// Whether a request was run at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No target was sent the request.
    NotRun,
    /// It ran and its whole answer was delivered.
    Done,
    /// It ran in part; the answer that was delivered is not whole.
    Incomplete,
    /// It may have run. It will not be run again under the same key.
    Unknown,
}

impl RunState {
    /// The word used in JSON and in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Done => "done",
            Self::Incomplete => "incomplete",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The wait would pass the caller's deadline.
    Crowded,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The account has its share of open streams already.
    TooManyStreams,
    /// No live target serves this model or service.
    NoTarget,
    /// The prompt and the largest answer do not fit any engine.
    TooLarge,
    /// The retry budget of the pool is spent.
    RetryBudgetSpent,
    /// The platform's service could not record the claim.
    ClaimUnavailable,
    /// The key is older than the time for which keys are kept.
    KeyExpired,
    /// This box is stopping.
    Stopping,
    /// Targets end under this request one after another.
    Withheld,
}

impl RefusalReason {
    /// The word used in JSON and in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Crowded => "crowded",
            Self::DeadlinePassed => "deadline_passed",
            Self::TooManyStreams => "too_many_streams",
            Self::NoTarget => "no_target",
            Self::TooLarge => "too_large",
            Self::RetryBudgetSpent => "retry_budget_spent",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::KeyExpired => "key_expired",
            Self::Stopping => "stopping",
            Self::Withheld => "withheld",
        }
    }
}

/// Who stood before a request that a dispatcher refused, and how its account stood.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// Requests that waited in the pool.
    pub waiting: u32,
    /// Requests before it that were more urgent.
    pub more_urgent: u32,
    /// Requests of its own account before it, no more urgent than it.
    pub own: u32,
    /// Requests of other accounts before it, no more urgent than it.
    pub others: u32,
    /// The part of the memory in use that its account held, in thousandths.
    pub held_permille: u16,
    /// The part that its account was entitled to among those that waited or ran, in thousandths.
    pub entitled_permille: u16,
    /// What its account had used beyond the least served that waited, as time of its fair share; below zero where it was
    /// owed.
    pub lent_ms: i32,
    /// Whether its account flooded, and so went behind all others.
    pub floods: bool,
}

/// A request that was not run, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// After how long a new try may succeed; none where waiting does not help.
    pub retry_after_ms: Option<u64>,
}
