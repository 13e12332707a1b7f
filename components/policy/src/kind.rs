//! The settings of a pool: which policy places its work, and the policy's parameters.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How a target is chosen. All but [`PolicyKind::Shuntpier`] and [`PolicyKind::Oracle`] are
/// baselines that are kept to be measured against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// The next target in turn.
    RoundRobin,
    /// The target that reported the fewest running and waiting requests.
    LeastLoad,
    /// The better of two targets drawn at random, by reported load plus own streams.
    TwoChoices,
    /// Permits from the pool's dispatcher, which forecasts each engine's memory.
    #[default]
    Shuntpier,
    /// The same, told the true length of each answer: a bound for measurements.
    Oracle,
}

impl PolicyKind {
    /// Whether a dispatcher grants permits under this policy.
    pub fn uses_dispatcher(self) -> bool {
        matches!(self, Self::Shuntpier | Self::Oracle)
    }
}

/// How the reading of prompts counts where a request is placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ReadingPolicy {
    /// An engine has a fixed number of prompt tokens waiting at the most; memory alone decides among the others.
    Bound,
    /// The time until an engine has read what it was sent is forecast, and counts beside memory.
    #[default]
    FirstToken,
}

/// How it is decided who waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum WaitingPolicy {
    /// By the pace of grants; a request that still waits at its deadline is refused.
    Pace,
    /// By a forecast of the first token, which must come before the deadline.
    #[default]
    FirstToken,
}

/// Parameters of one pool. Every field has a default that suits the deployments of the brief.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PoolSettings {
    /// How a target is chosen.
    pub policy: PolicyKind,
    /// Open streams that one engine may have under a baseline policy; 0 for no limit.
    pub concurrency_limit: u32,
    /// Parts into which the engines of a region are divided, each with a dispatcher of its own.
    #[schemars(range(min = 1, max = 1024))]
    pub shards: u16,
    /// Share of an engine's memory that the forecast may fill, between 0 and 1.
    pub memory_share: f64,
    /// Standard deviations of the forecast kept free when a pool starts.
    pub margin_initial: f64,
    /// The least margin, in standard deviations.
    pub margin_min: f64,
    /// The largest margin, in standard deviations.
    pub margin_max: f64,
    /// Added to the margin for each preemption that an engine reports.
    pub margin_step: f64,
    /// Taken off the margin each second without a preemption.
    pub margin_decay_per_s: f64,
    /// Whether ten ranks are told apart; otherwise rank 0 goes before all others, which count alike.
    pub ranks: bool,
    /// How it is decided who waits.
    pub waiting: WaitingPolicy,
    /// Whether forecasts of first tokens are corrected by how far those of the same rank were off lately.
    pub corrects_forecasts: bool,
    /// Whether a forecast counts the reading of what is more urgent and likely to come meanwhile.
    pub urgent_ahead: bool,
    /// Whether memory is run forward beside reading, with both of the above, and callers are told to come back when there
    /// is room for them; otherwise the pace of grants stands for memory.
    pub memory_ahead: bool,
    /// Whether engines are left free to read for more urgent work that is likely to come.
    pub protection: bool,
    /// How reading counts.
    pub reading: ReadingPolicy,
    /// Prompt tokens that one engine may have waiting for their first token, under the fixed bound.
    pub prefill_tokens: u32,
    /// An engine that will be reading for longer than this gets no further prompt, under the forecast.
    pub reading_ahead_ms: u32,
    /// What a millisecond of reading counts for, in tokens of memory, under the forecast.
    pub reading_tokens_per_ms: u32,
    /// Whether the pace of each engine is learnt.
    pub learns_pace: bool,
    /// What a pause beyond its caller's goal counts for, in milliseconds of reading; 0 where pauses decide nothing.
    pub long_pause_ms: u32,
    /// Open streams that one engine may have, whatever the forecast says; 0 for no limit.
    pub running_limit: u32,
    /// How old an engine's report of its load is when it is read.
    pub report_lag_ms: u64,
    /// Largest bonus for a cached prompt prefix, in tokens of memory.
    pub affinity_tokens: u32,
    /// After this wait a request that fits nowhere has the engine that is nearest to having room kept
    /// for it.
    pub pass_limit_ms: u64,
    /// Share of the engines that may be kept for such requests at a time, between 0 and 1.
    pub reserve_share: f64,
    /// What an engine in the data centre of the caller's box is preferred by, in tokens of memory.
    pub near_tokens: u32,
    /// What copying within a data centre is preferred by, in tokens of memory: between data centres a copy takes
    /// twice as long.
    pub near_copy_tokens: u32,
    /// Whether memory is forecast; otherwise what is held now counts.
    pub forecast: bool,
    /// Whether lengths of answers are learnt.
    pub learns_lengths: bool,
    /// Whether accounts share by what they had; otherwise who came first goes first.
    pub fair: bool,
    /// How long a new dispatcher waits for an engine's first report; 0 where all load is its own.
    pub first_report_ms: u64,
    /// Retries as a share of fresh requests.
    pub retry_share: f64,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            policy: PolicyKind::Shuntpier,
            concurrency_limit: 0,
            shards: 1,
            memory_share: 0.97,
            margin_initial: 0.75,
            margin_min: 0.0,
            margin_max: 2.0,
            margin_step: 0.1,
            margin_decay_per_s: 0.05,
            ranks: true,
            waiting: WaitingPolicy::FirstToken,
            corrects_forecasts: false,
            urgent_ahead: false,
            memory_ahead: false,
            protection: false,
            reading: ReadingPolicy::FirstToken,
            prefill_tokens: 4096,
            reading_ahead_ms: 1_000,
            reading_tokens_per_ms: 100,
            learns_pace: true,
            long_pause_ms: 4_000,
            running_limit: 0,
            report_lag_ms: 250,
            affinity_tokens: 256,
            pass_limit_ms: 500,
            reserve_share: 0.45,
            near_tokens: 0,
            near_copy_tokens: 12_000,
            forecast: true,
            learns_lengths: true,
            fair: true,
            first_report_ms: 500,
            retry_share: 0.1,
        }
    }
}
