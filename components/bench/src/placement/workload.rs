//! A workload as a YAML file, so that anyone can bring their own.

use policy::{PolicyKind, PoolSettings};
use serde::Deserialize;
use settings::{LimitSettings, Limits};
use standins::EngineSettings;
use trial::{TrialAccount, TrialPlan};

/// A workload.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Its name.
    pub name: String,
    /// How long requests arrive.
    pub time_ms: u64,
    /// The same with `--quick`.
    pub quick_time_ms: u64,
    /// Arrivals in this time at the start are run and not counted.
    pub warm_up_ms: u64,
    /// How long answers may still run when no request arrives any more.
    pub drain_ms: u64,
    /// Entry boxes.
    pub boxes: u32,
    /// Engines, all alike.
    pub engines: Engines,
    /// Who asks for what.
    pub accounts: Vec<Load>,
    /// How the pool is run, but for the policy and the limit.
    #[serde(default)]
    pub pool: PoolSettings,
    /// What happens.
    #[serde(default)]
    pub events: Vec<Event>,
    /// The concurrency limit of each baseline, tuned for this workload.
    #[serde(default)]
    pub limits: BaselineLimits,
}

/// Tuned concurrency limits; 0 for none.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BaselineLimits {
    /// Of `round_robin`.
    pub round_robin: u32,
    /// Of `least_load`.
    pub least_load: u32,
    /// Of `two_choices`.
    pub two_choices: u32,
}

/// The engines.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// How many.
    pub count: usize,
    /// What each is like.
    pub each: EngineSettings,
}

/// A length drawn from a log-normal distribution.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Length {
    /// Its median.
    pub median: f64,
    /// Standard deviation of its logarithm.
    pub sigma: f64,
    /// Its bound.
    pub max: u32,
}

/// What one account asks for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Name of the account.
    pub name: String,
    /// Its owner.
    pub owner: String,
    /// The owner's weight.
    #[serde(default = "one")]
    pub owner_weight: f64,
    /// Requests a second.
    pub arrivals_per_s: f64,
    /// Bursts on top.
    pub burst: Option<Burst>,
    /// Tokens of prompts.
    pub prompt_tokens: Length,
    /// Tokens of answers.
    pub output_tokens: Length,
    /// Longest wait for the first token.
    pub first_token_deadline_ms: u64,
    /// Whether its requests go first.
    #[serde(default)]
    pub urgent: bool,
    /// Different prefixes of prompts, each a quarter of the median prompt; 0 for none.
    #[serde(default)]
    pub prefixes: u32,
}

/// Arrivals that come in bursts.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// From one burst to the next.
    pub every_ms: u64,
    /// How long a burst is.
    pub length_ms: u64,
    /// How many times as many requests arrive in it.
    pub factor: f64,
}

/// What happens at a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// When, after the first arrival.
    pub at_ms: u64,
    /// What.
    pub kind: EventKind,
}

/// What can happen.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// An engine dies.
    EngineDies(usize),
    /// An engine says that it leaves, and dies after a time.
    EngineReclaimed {
        /// Which.
        engine: usize,
        /// How long it still runs.
        notice_ms: u64,
    },
    /// A box dies, and another takes its place.
    BoxReplaced(usize),
    /// The box that dispatches most permits stands still.
    DispatcherPaused {
        /// For how long.
        pause_ms: u64,
    },
    /// The box that dispatches dies, and another takes its place.
    DispatcherLost,
    /// Load that the boxes did not send takes memory on some engines.
    ForeignLoad {
        /// On the first so many.
        engines: usize,
        /// How much on each.
        tokens: u64,
    },
    /// Answers get longer, or shorter.
    LengthShift {
        /// How many times.
        factor: f64,
    },
}

fn one() -> f64 {
    1.0
}

impl Workload {
    /// The tuned limit of a baseline.
    pub fn concurrency_limit(&self, kind: PolicyKind) -> u32 {
        match kind {
            PolicyKind::RoundRobin => self.limits.round_robin,
            PolicyKind::LeastLoad => self.limits.least_load,
            PolicyKind::TwoChoices => self.limits.two_choices,
            PolicyKind::Shuntpier | PolicyKind::Oracle => 0,
        }
    }

    /// The time between tokens of a stream that is alone, in microseconds.
    pub fn uncrowded_gap_us(&self) -> u64 {
        let engine = &self.engines.each;
        engine.step_base_us + engine.step_per_stream_us
    }

    /// How long requests arrive.
    pub fn time_ms(&self, quick: bool) -> u64 {
        if quick {
            self.quick_time_ms
        } else {
            self.time_ms
        }
    }

    /// The trial in which a policy runs this workload.
    pub fn plan(&self, kind: PolicyKind, concurrency_limit: u32) -> TrialPlan {
        let accounts = self.accounts.iter().map(|load| TrialAccount {
            name: load.name.clone(),
            owner: load.owner.clone(),
            owner_weight: load.owner_weight,
            limits: Limits {
                first_token_deadline_ms: Some(load.first_token_deadline_ms),
                max_output_tokens: Some(load.output_tokens.max),
                max_open_streams: Some(100_000),
                urgent: Some(load.urgent),
                ..Limits::default()
            },
        });
        TrialPlan {
            boxes: self.boxes,
            engines: vec![self.engines.each.clone(); self.engines.count],
            workers: 0,
            pool: PoolSettings {
                policy: kind,
                concurrency_limit,
                report_lag_ms: self.engines.each.report_lag_ms + 50,
                ..self.pool.clone()
            },
            limits: LimitSettings {
                open_streams: 100_000,
                load_interval_ms: 100,
                ..LimitSettings::default()
            },
            accounts: accounts.collect(),
            box_list_lag_ms: 1000,
            ..TrialPlan::default()
        }
    }
}
