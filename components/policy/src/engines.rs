//! What a dispatcher is told of its settings and engines: which there are, whether they take work, what they report.

use crate::kind::PoolSettings;
use crate::placement::ledger::{EngineInfo, EngineReport, EngineState, StreamKey};
use crate::placement::length::End;
use crate::pool::Pool;
use prelude::{AccountId, TargetId};
use std::collections::{HashMap, HashSet};

/// Preemptions of one report that raise the margin.
const PREEMPTIONS_COUNTED: u64 = 2;

impl Pool {
    /// Changes the settings; the margin stays within the new bounds.
    pub fn set_settings(&mut self, settings: PoolSettings) {
        self.margin = self.margin.clamp(settings.margin_min, settings.margin_max);
        self.tree.set_enabled(settings.fair);
        self.settings = settings;
    }

    /// Sets which accounts have a cap: the share of the pool's memory that their requests may hold.
    pub fn set_caps(&mut self, caps: HashMap<AccountId, f64>) {
        self.tree.set_caps(caps);
    }

    /// Tells the tree of shares how much room there is.
    fn sync_room(&mut self) {
        let engines = &self.engines;
        self.tree
            .set_capacity(engines.live_count(), engines.live_tokens());
    }

    /// Sets which engines there are. Ledgers of engines that stay are kept.
    pub fn set_engines(&mut self, engines: &[EngineInfo]) {
        for info in engines {
            self.engines.set(*info);
        }
        let stay: HashSet<TargetId> = engines.iter().map(|info| info.id).collect();
        let ids = self.engines.iter().map(|ledger| ledger.info.id);
        let gone: Vec<TargetId> = ids.filter(|id| !stay.contains(id)).collect();
        for target in gone {
            self.drop_engine(target);
        }
        self.sync_room();
    }

    /// Takes in what is new of one engine, and whether it takes new work.
    pub fn set_engine(&mut self, info: EngineInfo, state: EngineState) {
        self.engines.set(info);
        self.set_state(info.id, state);
        self.sync_room();
    }

    /// Forgets an engine. Its streams lose their permits.
    pub fn drop_engine(&mut self, target: TargetId) {
        self.set_state(target, EngineState::Gone);
        self.prefixes.forget(target);
        self.rate_limited.remove(&target);
        self.engines.remove(target);
        self.sync_room();
    }

    /// Sets whether an engine takes new work. The streams of an engine that is gone lose their
    /// permits.
    pub fn set_state(&mut self, target: TargetId, state: EngineState) {
        if self.engines.set_state(target, state) {
            self.sync_room();
        }
        if state != EngineState::Gone {
            return;
        }
        let Some(ledger) = self.engine_mut(target) else {
            return;
        };
        ledger.report = None;
        ledger.foreign_tokens = 0.0;
        let lost: Vec<StreamKey> = ledger.streams.clone();
        for key in lost {
            if let Some(stream) = self.streams.get(key) {
                let (permit, tokens) = (stream.permit, stream.generated_tokens);
                self.release(permit, tokens, End::Censored);
            }
        }
    }

    /// Sets how many requests a second an engine takes; none where it names no limit.
    pub fn set_rate_limit(&mut self, target: TargetId, rate_per_s: Option<f64>, now_ms: u64) {
        match rate_per_s {
            Some(_) => self.rate_limited.insert(target),
            None => self.rate_limited.remove(&target),
        };
        if let Some(ledger) = self.engine_mut(target) {
            ledger.rate.set_rate(rate_per_s, now_ms);
        }
    }

    /// Takes an engine's report in.
    pub fn report(&mut self, target: TargetId, report: EngineReport, now_ms: u64) {
        let lag_ms = self.settings.report_lag_ms;
        let Some(ledger) = self.engine_mut(target) else {
            return;
        };
        let preemptions = ledger.reported(report, lag_ms, now_ms);
        // Many at once have one cause, such as an engine that was filled twice; the margin is for the
        // forecast's own errors.
        let counted = preemptions.min(PREEMPTIONS_COUNTED);
        let raise = self.settings.margin_step * counted as f64;
        self.margin = (self.margin + raise).min(self.settings.margin_max);
    }

    /// Takes an event of an engine's prefix cache in.
    pub fn cache_event(
        &mut self,
        target: TargetId,
        seq: u64,
        prefix: u64,
        stored: bool,
        now_ms: u64,
    ) {
        self.prefixes.event(target, seq, prefix, stored, now_ms);
    }

    /// The last cache event seen of an engine.
    pub fn last_cache_event(&self, target: TargetId) -> u64 {
        self.prefixes.last_seq(target)
    }
}
