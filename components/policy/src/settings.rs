//! Settings of a pool: its placement policy and the parameters of the policy.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How a target is chosen. All policies except [`PolicyKind::Shuntpier`] and [`PolicyKind::Oracle`]
/// are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// Targets in rotation.
    RoundRobin,
    /// The target that reported the fewest running and waiting requests.
    LeastLoad,
    /// The less loaded of two random targets, by reported load plus this box's own streams.
    TwoChoices,
    /// Permits from the pool's dispatcher, which forecasts the memory of each engine.
    #[default]
    Shuntpier,
    /// Like `Shuntpier`, but given the true length of each answer: an upper bound for measurements.
    Oracle,
}

impl PolicyKind {
    /// Whether a dispatcher grants permits under this policy.
    pub fn uses_dispatcher(self) -> bool {
        matches!(self, Self::Shuntpier | Self::Oracle)
    }
}

/// How pending prefill on an engine affects placement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum PrefillPolicy {
    /// Limits the prompt tokens that wait for prefill on an engine; otherwise only memory counts.
    Bound,
    /// Forecasts when an engine finishes its pending prefill and weighs that time against memory.
    #[default]
    FirstToken,
}

/// How admission decides which requests may wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum WaitingPolicy {
    /// By the grant rate; a request that still waits at its deadline is refused.
    Pace,
    /// By a forecast of the first token, which must come before the deadline.
    #[default]
    FirstToken,
}

/// Parameters of one pool, with defaults for all fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PoolSettings {
    /// How a target is chosen.
    pub policy: PolicyKind,
    /// Maximum open streams per engine under a baseline policy; 0 for no limit.
    pub concurrency_limit: u32,
    /// Number of shards that the engines of a region are divided into, each with its own
    /// dispatcher.
    #[schemars(range(min = 1, max = 1024))]
    pub shards: u16,
    /// Share of an engine's memory that the forecast may fill, between 0 and 1.
    pub memory_share: f64,
    /// Initial safety margin, in standard deviations of the forecast.
    pub margin_initial: f64,
    /// Minimum margin, in standard deviations.
    pub margin_min: f64,
    /// Maximum margin, in standard deviations.
    pub margin_max: f64,
    /// Increase of the margin per reported preemption.
    pub margin_step: f64,
    /// Decrease of the margin per second.
    pub margin_decay_per_s: f64,
    /// Whether all ten ranks are distinguished; otherwise rank 0 goes first and all others are
    /// equal.
    pub ranks: bool,
    /// How admission decides which requests may wait.
    pub waiting: WaitingPolicy,
    /// Whether first-token forecasts are corrected by the recent forecast error of the same rank.
    pub corrects_forecasts: bool,
    /// Whether first-token forecasts include the prefill of more urgent requests that are expected
    /// to arrive meanwhile.
    pub urgent_ahead: bool,
    /// Whether admission simulates memory as well as prefill and tells refused callers to retry
    /// when there is room for them. This includes the correction and the urgent arrivals above. If
    /// off, the grant rate stands in for memory.
    pub memory_ahead: bool,
    /// Whether engines are kept free for the prefill of more urgent requests that are expected
    /// soon.
    pub protection: bool,
    /// How pending prefill affects placement.
    #[serde(rename = "reading")]
    pub prefill: PrefillPolicy,
    /// Maximum prompt tokens per engine that wait for prefill, under [`PrefillPolicy::Bound`].
    pub prefill_tokens: u32,
    /// An engine with more pending prefill than this, in milliseconds, gets no further prompt,
    /// under [`PrefillPolicy::FirstToken`].
    #[serde(rename = "reading_ahead_ms")]
    pub prefill_ahead_ms: u32,
    /// Cost of a millisecond of pending prefill, in tokens of memory, under
    /// [`PrefillPolicy::FirstToken`].
    #[serde(rename = "reading_tokens_per_ms")]
    pub prefill_cost_tokens_per_ms: u32,
    /// Whether the pace of each engine is learned.
    pub learns_pace: bool,
    /// Cost of a pause beyond its caller's goal, in milliseconds of prefill; 0 ignores pauses.
    pub long_pause_ms: u32,
    /// Maximum open streams per engine, whatever the forecast says; 0 for no limit.
    pub running_limit: u32,
    /// Age of an engine's load report on arrival, in milliseconds.
    pub report_lag_ms: u64,
    /// Maximum placement bonus for a cached prompt prefix, in tokens of memory.
    pub affinity_tokens: u32,
    /// After this wait, the engine closest to having room is reserved for a request that fits
    /// nowhere.
    #[serde(rename = "pass_limit_ms")]
    pub reserve_after_ms: u64,
    /// Maximum share of the engines that may be reserved at a time, between 0 and 1.
    pub reserve_share: f64,
    /// Placement bonus of engines in the data centre of the caller's box, in tokens of memory.
    pub near_tokens: u32,
    /// Bonus for moving a generation within its data centre, in tokens of memory: a copy between
    /// data centres takes twice as long.
    pub near_copy_tokens: u32,
    /// Whether memory is forecast; otherwise only the current use counts.
    pub forecast: bool,
    /// Whether answer lengths are learned.
    pub learns_lengths: bool,
    /// Whether requests are ordered by fair share; otherwise first come, first served.
    pub fair: bool,
    /// How long a new dispatcher waits for an engine's first report, in milliseconds; 0 if no other
    /// load runs on the engines.
    pub first_report_ms: u64,
    /// Maximum retries as a share of new requests.
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
            prefill: PrefillPolicy::FirstToken,
            prefill_tokens: 4096,
            prefill_ahead_ms: 1_000,
            prefill_cost_tokens_per_ms: 100,
            learns_pace: true,
            long_pause_ms: 4_000,
            running_limit: 0,
            report_lag_ms: 250,
            affinity_tokens: 256,
            reserve_after_ms: 500,
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
