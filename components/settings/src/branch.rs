//! One partner's branch of the settings tree, as written in YAML.

use policy::PoolSettings;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Everything that one partner declares.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Branch {
    /// The partner who owns this branch.
    pub partner: String,
    /// The partner's share of the pool, against the other's.
    #[serde(default = "one")]
    #[schemars(range(min = 0.001))]
    pub weight: f64,
    /// Owners and groups, from which accounts inherit.
    #[serde(default)]
    pub nodes: BTreeMap<String, Node>,
    /// Client accounts.
    #[serde(default)]
    pub accounts: BTreeMap<String, Account>,
    /// Models and how their pools are run.
    #[serde(default)]
    pub models: BTreeMap<String, PoolSettings>,
    /// Engines and workers.
    #[serde(default)]
    pub targets: BTreeMap<String, TargetSettings>,
    /// Plain services.
    #[serde(default)]
    pub services: BTreeMap<String, ServiceSettings>,
}

/// An inner node of the tree. What it leaves out it takes from its parent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// The node it inherits from; none at the top.
    pub parent: Option<String>,
    /// Its share against its siblings.
    #[serde(default = "one")]
    #[schemars(range(min = 0.001))]
    pub weight: f64,
    /// The limits it says otherwise on.
    #[serde(default)]
    pub limits: Limits,
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The owner it belongs to and inherits from.
    pub parent: String,
    /// Its share against the owner's other accounts.
    #[serde(default = "one")]
    #[schemars(range(min = 0.001))]
    pub weight: f64,
    /// The share of a pool's memory that its requests may hold, above 0 and up to 1; none where it has no cap.
    #[serde(default)]
    pub cap_share: Option<f64>,
    /// SHA-256 of each bearer key that is valid, in hexadecimal.
    #[serde(default)]
    pub key_sha256: Vec<String>,
    /// The limits it says otherwise on.
    #[serde(default)]
    pub limits: Limits,
}

/// What is inherited down the tree. An absent field is taken from the parent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Longest wait for the first token; a request that cannot meet it is refused.
    #[schemars(range(min = 1))]
    pub first_token_deadline_ms: Option<u64>,
    /// Longest time for a call of a plain service.
    #[schemars(range(min = 1))]
    pub call_deadline_ms: Option<u64>,
    /// Largest answer that may be asked for.
    #[schemars(range(min = 1))]
    pub max_output_tokens: Option<u32>,
    /// Open streams of one account at one box.
    #[schemars(range(min = 1))]
    pub max_open_streams: Option<u32>,
    /// Whether its requests go before those that can wait.
    pub urgent: Option<bool>,
    /// Service-level objectives.
    pub objectives: Option<ObjectiveSettings>,
}

impl Limits {
    /// These limits, with what they leave out taken from `parent`.
    pub fn inherit(&self, parent: &Limits) -> Limits {
        Limits {
            first_token_deadline_ms: self
                .first_token_deadline_ms
                .or(parent.first_token_deadline_ms),
            call_deadline_ms: self.call_deadline_ms.or(parent.call_deadline_ms),
            max_output_tokens: self.max_output_tokens.or(parent.max_output_tokens),
            max_open_streams: self.max_open_streams.or(parent.max_open_streams),
            urgent: self.urgent.or(parent.urgent),
            objectives: self.objectives.clone().or(parent.objectives.clone()),
        }
    }
}

/// Service-level objectives: the share of requests that must keep each bound.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectiveSettings {
    /// Share of requests that must be good, between 0 and 1.
    #[schemars(range(min = 0.5, max = 0.99999))]
    pub good_share: f64,
    /// Bound on the time to the first token.
    pub first_token_ms: u64,
    /// Bound on the time between tokens, at the 95th percentile of an answer.
    pub token_gap_ms: u64,
    /// Bound on the time for which an answer stalls.
    pub stall_ms: u64,
}

impl Default for ObjectiveSettings {
    fn default() -> Self {
        Self {
            good_share: 0.95,
            first_token_ms: 490,
            token_gap_ms: 65,
            stall_ms: 1000,
        }
    }
}

/// What a target is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A worker of a plain service.
    Worker,
}

/// A back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// Engine or worker.
    pub kind: TargetKind,
    /// Where it listens.
    #[schemars(
        with = "String",
        pattern(r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")
    )]
    pub address: SocketAddr,
    /// The data centre it stands in.
    pub data_centre: String,
    /// The region of that data centre.
    #[serde(default = "default_region")]
    pub region: String,
    /// Models that an engine serves.
    #[serde(default)]
    pub models: Vec<String>,
    /// Memory of an engine, in tokens.
    #[serde(default)]
    pub kv_capacity_tokens: u64,
    /// Whether the target itself refuses an order with an old fence.
    #[serde(default)]
    pub checks_fences: bool,
    /// Whether it is to take no new work. It is then also ordered to leave.
    #[serde(default)]
    pub leave: bool,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Whether a call may be sent again. Calls that may not need an `Idempotency-Key`.
    pub repeatable: bool,
    /// The workers that serve it.
    pub targets: Vec<String>,
    /// How long a key is remembered.
    #[serde(default = "one_day_ms")]
    #[schemars(range(min = 1000))]
    pub key_retention_ms: u64,
}

pub(crate) fn default_region() -> String {
    "region-1".into()
}

fn one() -> f64 {
    1.0
}

fn one_day_ms() -> u64 {
    24 * 60 * 60 * 1000
}
