//! The state of a pool as shown to operators.

use crate::placement::ledger::{EngineLedger, EngineState};
use crate::pool::{GRANT_WINDOW_MS, Pool};
use prelude::TargetId;
use serde::{Deserialize, Serialize};

/// The state of one engine as shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineView {
    /// The engine.
    pub target: TargetId,
    /// Whether it takes new work.
    pub takes_work: bool,
    /// Memory capacity in tokens.
    pub capacity_tokens: u64,
    /// Number of streams with a permit.
    pub streams: u32,
    /// Estimated memory used by those streams, in tokens.
    pub ledger_tokens: u64,
    /// Memory in use according to the engine's report, in tokens.
    pub reported_tokens: u64,
    /// Estimated memory used by load from elsewhere, in tokens.
    pub foreign_tokens: u64,
    /// Requests waiting at the engine according to its report.
    pub reported_waiting: u32,
    /// Requests running on the engine according to its report.
    pub reported_running: u32,
    /// Preemptions reported to this dispatcher.
    pub preemptions: u64,
}

/// The state of a pool as shown to operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolView {
    /// Number of requests waiting for a permit.
    pub waiting: u32,
    /// Safety margin in standard deviations.
    pub margin: f64,
    /// Permits granted per second.
    pub grants_per_s: f64,
    /// Its engines.
    pub engines: Vec<EngineView>,
}

impl Pool {
    /// Returns the state of the pool as shown to operators.
    pub fn view(&self, now_ms: u64) -> PoolView {
        let engines = self
            .engines
            .iter()
            .map(|ledger| self.engine_view(ledger, now_ms));
        PoolView {
            waiting: self.queue.len() as u32,
            margin: self.margin,
            grants_per_s: self.recent_grants_ms.len() as f64 * 1000.0 / GRANT_WINDOW_MS as f64,
            engines: engines.collect(),
        }
    }

    fn engine_view(&self, ledger: &EngineLedger, now_ms: u64) -> EngineView {
        let report = ledger.report.map(|(report, _)| report).unwrap_or_default();
        let capacity = ledger.info.capacity_tokens as f64;
        let own_tokens = ledger.own_tokens(&self.streams, self.tokens_per_ms, now_ms);
        EngineView {
            target: ledger.info.id,
            takes_work: ledger.state == EngineState::Live,
            capacity_tokens: ledger.info.capacity_tokens,
            streams: ledger.streams.len() as u32,
            ledger_tokens: own_tokens as u64,
            reported_tokens: (report.memory_share * capacity) as u64,
            foreign_tokens: ledger.foreign_tokens as u64,
            reported_waiting: report.waiting,
            reported_running: report.running,
            preemptions: ledger.preemptions_seen,
        }
    }
}
