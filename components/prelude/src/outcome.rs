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
        }
    }
}

/// A request that was not run, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// After how long a new try may succeed; none where waiting does not help.
    pub retry_after_ms: Option<u64>,
}
