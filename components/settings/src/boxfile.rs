//! The settings file of one entry box: who it is and where its neighbours are.

use crate::branch::{Branch, default_region};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What `shuntpier serve --settings FILE` reads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct BoxFile {
    /// Who this box is.
    #[serde(rename = "box")]
    pub identity: BoxIdentity,
    /// Where the platform's services are. Without it, `branches` is used.
    #[serde(default)]
    pub platform: PlatformSettings,
    /// Keys shared by all boxes.
    pub keys: KeySettings,
    /// Bounds on what one box takes on.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Branches used where no key-value service is named: for trials on one machine.
    #[serde(default)]
    pub branches: Vec<Branch>,
}

/// A box's number, place and addresses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct BoxIdentity {
    /// Number of the box, unique among all boxes.
    pub id: u32,
    /// The data centre it stands in.
    pub data_centre: String,
    /// The region of that data centre.
    #[serde(default = "default_region")]
    pub region: String,
    /// Where callers connect.
    #[schemars(with = "String")]
    pub callers_address: SocketAddr,
    /// Where other boxes connect.
    #[schemars(with = "String")]
    pub peers_address: SocketAddr,
    /// Where operators connect: metrics, burn report, targets.
    #[schemars(with = "String")]
    pub operators_address: SocketAddr,
}

/// Where the platform's services are.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base URLs of the key-value service's JSON gateway.
    pub key_value_urls: Vec<String>,
    /// URL of the box list, in the form of Prometheus' HTTP service discovery.
    pub box_list_url: Option<String>,
    /// How often the box list is read.
    pub box_list_interval_ms: Option<u64>,
}

/// Keys shared by all boxes. The first is used, the others are still accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Keys by which boxes know each other.
    #[schemars(length(min = 1))]
    pub peer: Vec<String>,
    /// Keys that seal resume tokens.
    #[schemars(length(min = 1))]
    pub resume: Vec<String>,
}

/// Bounds on what one box takes on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Largest body of a request.
    pub body_bytes: u64,
    /// Open streams.
    pub open_streams: u32,
    /// Longest time in which a caller must have sent its headers.
    pub header_time_ms: u64,
    /// How long a stream without a caller is kept before its generation is cancelled.
    pub resume_grace_ms: u64,
    /// Longest silence of an engine before the stream is resumed.
    pub engine_silence_ms: u64,
    /// How long a stopping box still takes new requests, until the balancer has heard of the stop.
    pub balancer_delay_ms: u64,
    /// Longest planned stop.
    pub stop_limit_ms: u64,
    /// How often engines are asked for their load.
    pub load_interval_ms: u64,
    /// Writes of claims to the key-value service, of all boxes together.
    pub claim_writes_per_s: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
            open_streams: 8192,
            header_time_ms: 10_000,
            resume_grace_ms: 5_000,
            engine_silence_ms: 10_000,
            balancer_delay_ms: 2_000,
            stop_limit_ms: 600_000,
            load_interval_ms: 200,
            claim_writes_per_s: 60,
        }
    }
}
