//! Updates to a pool: its settings, its engines and their state, load reports and cache events.

use crate::placement::ledger::{EngineInfo, EngineReport, EngineState, StreamKey};
use crate::placement::length::StreamEnd;
use crate::pool::Pool;
use crate::settings::PoolSettings;
use prelude::{AccountId, TargetId};
use std::collections::{HashMap, HashSet};

/// Maximum preemptions per report that raise the margin.
const PREEMPTIONS_PER_REPORT_MAX: u64 = 2;

impl Pool {
    /// Changes the settings and clamps the margin to the new bounds.
    pub fn set_settings(&mut self, settings: PoolSettings) {
        self.margin = self.margin.clamp(settings.margin_min, settings.margin_max);
        self.tree.set_enabled(settings.fair);
        self.settings = settings;
    }

    /// Sets the caps of accounts: the share of the pool's memory that their requests may use.
    pub fn set_caps(&mut self, caps: HashMap<AccountId, f64>) {
        self.tree.set_caps(caps);
    }

    /// Updates the fair-share tree with the number and memory of live engines.
    fn sync_capacity(&mut self) {
        let engines = &self.engines;
        self.tree
            .set_capacity(engines.live_count(), engines.live_tokens());
    }

    /// Replaces the list of engines. Engines that remain keep their ledgers.
    pub fn set_engines(&mut self, engines: &[EngineInfo]) {
        for info in engines {
            self.engines.upsert(*info);
        }
        let kept: HashSet<TargetId> = engines.iter().map(|info| info.id).collect();
        let ids = self.engines.iter().map(|ledger| ledger.info.id);
        let removed: Vec<TargetId> = ids.filter(|id| !kept.contains(id)).collect();
        for target in removed {
            self.remove_engine(target);
        }
        self.sync_capacity();
    }

    /// Adds or updates one engine and sets its state.
    pub fn set_engine(&mut self, info: EngineInfo, state: EngineState) {
        self.engines.upsert(info);
        self.set_state(info.id, state);
        self.sync_capacity();
    }

    /// Removes an engine. Its streams lose their permits.
    pub fn remove_engine(&mut self, target: TargetId) {
        self.set_state(target, EngineState::Gone);
        self.prefixes.remove_engine(target);
        self.rate_limited.remove(&target);
        self.engines.remove(target);
        self.sync_capacity();
    }

    /// Sets whether an engine takes new work. The streams of an engine that is gone lose their
    /// permits.
    pub fn set_state(&mut self, target: TargetId, state: EngineState) {
        if self.engines.set_state(target, state) {
            self.sync_capacity();
        }
        if state != EngineState::Gone {
            return;
        }
        let Some(ledger) = self.engine_mut(target) else {
            return;
        };
        ledger.report = None;
        ledger.foreign_tokens = 0.0;
        let orphaned: Vec<StreamKey> = ledger.streams.clone();
        for key in orphaned {
            if let Some(stream) = self.streams.get(key) {
                let (permit, tokens) = (stream.permit, stream.generated_tokens);
                self.release(permit, tokens, StreamEnd::Censored);
            }
        }
    }

    /// Sets the rate limit of an engine in requests per second; `None` for no limit.
    pub fn set_rate_limit(&mut self, target: TargetId, rate_per_s: Option<f64>, now_ms: u64) {
        match rate_per_s {
            Some(_) => self.rate_limited.insert(target),
            None => self.rate_limited.remove(&target),
        };
        if let Some(ledger) = self.engine_mut(target) {
            ledger.rate.set_rate(rate_per_s, now_ms);
        }
    }

    /// Applies an engine's load report.
    pub fn apply_report(&mut self, target: TargetId, report: EngineReport, now_ms: u64) {
        let lag_ms = self.settings.report_lag_ms;
        let Some(ledger) = self.engine_mut(target) else {
            return;
        };
        let preemptions = ledger.apply_report(report, lag_ms, now_ms);
        // Several preemptions at once have one cause, such as two dispatchers filling the same
        // engine. The margin only covers errors of the forecast.
        let counted = preemptions.min(PREEMPTIONS_PER_REPORT_MAX);
        let raise = self.settings.margin_step * counted as f64;
        self.margin = (self.margin + raise).min(self.settings.margin_max);
    }

    /// Applies an event of an engine's prefix cache.
    pub fn apply_cache_event(
        &mut self,
        target: TargetId,
        seq: u64,
        prefix: u64,
        stored: bool,
        now_ms: u64,
    ) {
        self.prefixes
            .apply_event(target, seq, prefix, stored, now_ms);
    }

    /// Sequence number of the last cache event received from an engine.
    pub fn last_cache_event_seq(&self, target: TargetId) -> u64 {
        self.prefixes.last_seq(target)
    }
}
