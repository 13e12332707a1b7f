//! The settings file of one box of a platform's fleet: who it is, where the platform's store is, and what
//! the users were promised. Routes, services and accounts come from the store.

use crate::mechanism::Mechanism;
use prelude::AccountId;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

/// What `shuntpier relay --settings FILE` reads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// Who this box is.
    #[serde(rename = "box")]
    pub identity: FleetIdentity,
    /// The platform's store.
    pub store: FleetStoreSettings,
    /// What the users were promised.
    #[serde(default)]
    pub promises: FleetPromises,
    /// What the box may use.
    #[serde(default)]
    pub limits: FleetLimits,
    /// Shares of client accounts.
    #[serde(default)]
    pub accounts: FleetAccounts,
    /// Mechanisms of decision that are off, for measurements; usually none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub without: Vec<Mechanism>,
    /// Boxes that may be asked before any is known from the store.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    pub seeds: Vec<SocketAddr>,
    /// Keys by which boxes know each other; the first is used, the others are accepted.
    #[schemars(length(min = 1))]
    pub peer_keys: Vec<String>,
    /// The least level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
}

/// How much is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Everything.
    Debug,
    /// Each decision and each change of what a box believes.
    #[default]
    Info,
    /// What an operator should look at.
    Warning,
    /// What went wrong.
    Error,
}

impl FleetFile {
    /// Whether a mechanism of decision is on.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.without.contains(&mechanism)
    }
}

/// A box's name, place and addresses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetIdentity {
    /// Its name, unique among all boxes.
    #[schemars(length(min = 1))]
    pub name: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Where callers connect.
    #[schemars(with = "String")]
    pub callers_address: SocketAddr,
    /// Where the platform asks whether the box takes new channels.
    #[schemars(with = "String")]
    pub readiness_address: SocketAddr,
    /// Where other boxes connect.
    #[schemars(with = "String")]
    pub peers_address: SocketAddr,
    /// The local address of connections to targets, for hosts with several; left out, the system chooses.
    #[serde(default)]
    #[schemars(with = "Option<String>")]
    pub source_address: Option<IpAddr>,
    /// Where counters are read; left out for none.
    #[serde(default)]
    #[schemars(with = "Option<String>")]
    pub metrics_address: Option<SocketAddr>,
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetStoreSettings {
    /// Where it listens.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// The shortest lease that it grants.
    #[serde(default = "shortest_lease_ms")]
    pub shortest_lease_ms: f64,
}

/// What the platform's pages name where they say nothing else.
fn shortest_lease_ms() -> f64 {
    1000.0
}

/// What the users were promised. The defaults are those of the smallest deployments.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct FleetPromises {
    /// Time after which a leaving target gets no new work.
    pub leaving_ms: f64,
    /// Time from SIGTERM to the end of the process.
    pub stop_grace_s: f64,
    /// Second sends as a share of requests, over all boxes.
    pub resend_share: f64,
    /// Second sends that are allowed beyond that share in each window, over all boxes.
    pub resend_spare: f64,
    /// Length of that window.
    pub resend_window_s: f64,
}

impl Default for FleetPromises {
    fn default() -> Self {
        Self {
            leaving_ms: 2_000.0,
            stop_grace_s: 8.0,
            resend_share: 0.2,
            resend_spare: 50.0,
            resend_window_s: 10.0,
        }
    }
}

/// Shares of client accounts in the pools of engines. All boxes should say the same: the box that dispatches a pool decides.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct FleetAccounts {
    /// Weight of accounts that are not named.
    pub default_weight: f64,
    /// Accounts with a weight or a cap of their own, by the names of the operators' declarations.
    pub named: Vec<FleetAccount>,
}

impl Default for FleetAccounts {
    fn default() -> Self {
        Self {
            default_weight: 1.0,
            named: Vec::new(),
        }
    }
}

impl FleetAccounts {
    /// An account's weight against the others.
    pub fn weight_of(&self, id: AccountId) -> f64 {
        let named = self.named.iter().find(|one| one.id() == id);
        let weight = named.and_then(|one| one.weight);
        weight.unwrap_or(self.default_weight)
    }

    /// The accounts that have a cap, as a share of a pool's memory.
    pub fn caps(&self) -> impl Iterator<Item = (AccountId, f64)> {
        let capped = |one: &FleetAccount| Some((one.id(), one.cap_share?));
        self.named.iter().filter_map(capped)
    }
}

/// One client account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetAccount {
    /// Its name in the operators' declarations.
    #[schemars(length(min = 1))]
    pub name: String,
    /// Its weight against the others; left out for the usual one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    /// The share of a pool's memory that its requests may hold, above 0 and up to 1; left out for no cap.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cap_share: Option<f64>,
}

impl FleetAccount {
    fn id(&self) -> AccountId {
        AccountId::from_name(&self.name)
    }
}

/// What the box may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct FleetLimits {
    /// Memory of the process.
    pub memory_mb: f64,
    /// Descriptors of the process.
    pub descriptors: u64,
    /// Bandwidth of the box's link. Roles that tell many boxes go to those with wide links.
    pub link_mbps: f64,
    /// Share of the memory that request bodies, and answers that callers have not read, may take.
    pub held_share: f64,
    /// Share of that which one client account's requests may take.
    pub account_held_share: f64,
    /// A caller that reads nothing of its answer for this long is ended.
    pub unread_limit_s: f64,
    /// Requests that all boxes together hold at one target, in MB. All boxes should say the same.
    pub target_request_mb: f64,
}

impl Default for FleetLimits {
    fn default() -> Self {
        Self {
            memory_mb: 128.0,
            descriptors: 4096,
            link_mbps: 1_000.0,
            // The smallest boxes take a third of their memory for themselves at their peak.
            held_share: 0.25,
            account_held_share: 0.5,
            // Callers on a bad link are silent for some seconds; the system's own limit was 20 s.
            unread_limit_s: 20.0,
            target_request_mb: 64.0,
        }
    }
}

/// Bytes of a megabyte, as operators count.
const MB_BYTES: f64 = 1_000_000.0;

impl FleetLimits {
    /// Bytes that may be held for callers and targets.
    pub fn held_bytes(&self) -> u64 {
        (self.memory_mb * MB_BYTES * self.held_share) as u64
    }

    /// The same for one client account.
    pub fn account_held_bytes(&self) -> u64 {
        (self.held_bytes() as f64 * self.account_held_share) as u64
    }

    /// Bytes of requests that all boxes together hold at one target.
    pub fn target_request_bytes(&self) -> u64 {
        (self.target_request_mb * MB_BYTES) as u64
    }
}
