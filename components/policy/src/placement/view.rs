//! A pool as operators see it.

use crate::placement::ledger::{EngineLedger, EngineState};
use crate::pool::{GRANT_WINDOW_MS, Pool};
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

impl Pool {
    /// The pool as operators see it.
    pub fn view(&self, now_ms: u64) -> PoolView {
        let engines = self
            .engines
            .iter()
            .map(|ledger| self.engine_view(ledger, now_ms));
        PoolView {
            waiting: self.queue.len() as u32,
            margin: self.margin,
            grants_per_s: self.grants.len() as f64 * 1000.0 / GRANT_WINDOW_MS as f64,
            engines: engines.collect(),
        }
    }

    fn engine_view(&self, ledger: &EngineLedger, now_ms: u64) -> EngineView {
        let report = ledger.report.map(|(report, _)| report).unwrap_or_default();
        let capacity = ledger.info.capacity_tokens as f64;
        let own = ledger.own_tokens(&self.streams, self.tokens_per_ms, now_ms);
        EngineView {
            target: ledger.info.id,
            takes_work: ledger.state == EngineState::Live,
            capacity_tokens: ledger.info.capacity_tokens,
            streams: ledger.streams.len() as u32,
            ledger_tokens: own as u64,
            reported_tokens: (report.memory_share * capacity) as u64,
            foreign_tokens: ledger.foreign_tokens as u64,
            reported_waiting: report.waiting,
            reported_running: report.running,
            preemptions: ledger.preemptions_seen,
        }
    }
}
