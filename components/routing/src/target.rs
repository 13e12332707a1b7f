//! Targets as the platform lists them.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetPhase {
    /// It does.
    Ready,
    /// It serves what it has and will end.
    Leaving,
}

/// One life of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Names this life; no other life of any target has the same name.
    pub instance: Box<str>,
    /// The service that it works for.
    pub service: Box<str>,
    /// Where it listens. The address may belong to another target later.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: TargetPhase,
    /// How much longer it is slow from its start.
    pub cold_left_ms: u32,
    /// The store's revision at which its phase was read.
    pub revision: u64,
}
