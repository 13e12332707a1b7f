//! A pool as operators see it.

use prelude::TargetId;
use serde::{Deserialize, Serialize};

/// One engine as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineView {
    /// The engine.
    pub target: TargetId,
    /// Whether it takes new work.
    pub takes_work: bool,
    /// Its memory.
    pub capacity_tokens: u64,
    /// Streams with a permit.
    pub streams: u32,
    /// Memory that those hold.
    pub ledger_tokens: u64,
    /// Memory in use by its own report.
    pub reported_tokens: u64,
    /// Memory taken by load from elsewhere.
    pub foreign_tokens: u64,
    /// Requests that wait at the engine by its report.
    pub reported_waiting: u32,
    /// Requests that run at the engine by its report.
    pub reported_running: u32,
    /// Preemptions seen by this dispatcher.
    pub preemptions: u64,
}

/// A pool as operators see it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolView {
    /// Requests that wait for a permit.
    pub waiting: u32,
    /// The margin in standard deviations.
    pub margin: f64,
    /// Permits granted a second.
    pub grants_per_s: f64,
    /// Its engines.
    pub engines: Vec<EngineView>,
}
