//! Keeps the engines of locally dispatched pools up to date. Engines that leave, are ejected or are on probation get no
//! new work.

use crate::state::{Declared, Relay, pool_of};
use crate::watch::targets::{Target, TargetRegistry};
use peers::EngineFault;
use policy::{EngineInfo, EngineState, FAILOVER_MS, FAILOVER_SHARE, Pool};
use prelude::{PoolId, TargetId};
use routing::Service;
use settings::Mechanism;

/// What the engines of a service have in common, for a dispatched pool.
struct PoolService<'a> {
    service: &'a Service,
    memory_tokens: u32,
    /// False if most engines are on probation: the fault is then likely elsewhere.
    probation_applies: bool,
    /// Share of the engines' rate limits that this box grants.
    granted_share: f64,
    /// When this box began to dispatch to them.
    began_ms: u64,
}

/// The state of an engine that its pool is to use.
struct EngineUpdate {
    info: EngineInfo,
    state: EngineState,
    rate_per_s: Option<f64>,
}

impl EngineUpdate {
    fn apply_to(&self, pool: &mut Pool, now_ms: u64) {
        pool.set_engine(self.info, self.state);
        pool.set_rate_limit(self.info.id, self.rate_per_s, now_ms);
    }
}

impl PoolService<'_> {
    fn update_for(&self, targets: &TargetRegistry, target: &Target, now_ms: u64) -> EngineUpdate {
        let is_cold = now_ms < target.cold_until_ms;
        let info = EngineInfo {
            id: target.id,
            capacity_tokens: u64::from(self.memory_tokens),
            data_centre: target.data_centre,
            cold_rate_per_s: self.service.cold_rate_per_s.filter(|_| is_cold),
        };
        let is_suspected = target.outlier.is_ejected(now_ms)
            || (self.probation_applies && target.probation.is_on(now_ms));
        let state = match targets.takes_work(target) && !is_suspected {
            true => EngineState::Live,
            false => EngineState::Leaving,
        };
        EngineUpdate {
            info,
            state,
            rate_per_s: self.rate_per_s(target, now_ms),
        }
    }

    /// Returns the part of an engine's rate limit that this box may grant, or none if the engine has no limit.
    fn rate_per_s(&self, target: &Target, now_ms: u64) -> Option<f64> {
        let limit = &target.rate_limit;
        let granted_before = limit.limited_since_ms < self.began_ms;
        let is_failing_over = granted_before && now_ms < self.began_ms + FAILOVER_MS;
        let share = match is_failing_over {
            true => FAILOVER_SHARE,
            false => 1.0,
        };
        let rate_per_s = limit.announced.rate_per_s(now_ms)?;
        Some(rate_per_s * self.granted_share * share)
    }
}

impl Relay {
    /// Updates all engines of each pool that is dispatched here.
    pub(crate) fn sync_dispatchers(&self) {
        let pools: Vec<PoolId> = self.dispatchers.borrow().keys().copied().collect();
        for pool in pools {
            let engines = self.engines_of(pool);
            let infos: Vec<EngineInfo> = engines.iter().map(|engine| engine.info).collect();
            let now_ms = self.now_ms();
            if let Some(dispatcher) = self.dispatchers.borrow_mut().get_mut(&pool) {
                dispatcher.pool.set_engines(&infos);
                for engine in engines {
                    engine.apply_to(&mut dispatcher.pool, now_ms);
                }
                dispatcher.decide(now_ms);
            }
        }
    }

    /// Updates the engines that have changed.
    pub(crate) fn sync_engines(&self, changed: &[TargetId]) {
        let pools: Vec<PoolId> = self.dispatchers.borrow().keys().copied().collect();
        for pool in pools {
            let now_ms = self.now_ms();
            let (declared, targets) = (self.declared(), self.targets.borrow());
            let services: Vec<PoolService> = declared
                .iter()
                .flat_map(|declared| self.services_of(declared, &targets, pool))
                .collect();
            let mut dispatchers = self.dispatchers.borrow_mut();
            let Some(dispatcher) = dispatchers.get_mut(&pool) else {
                continue;
            };
            for id in changed {
                let target = targets.slot_of(*id).and_then(|slot| targets.get(slot));
                let serves = |target: &Target| {
                    let of = |of: &&PoolService| of.service.name == target.entry.service;
                    services.iter().find(of)
                };
                match target.and_then(|target| Some((target, serves(target)?))) {
                    Some((target, service)) => {
                        let engine = service.update_for(&targets, target, now_ms);
                        engine.apply_to(&mut dispatcher.pool, now_ms);
                    }
                    None => dispatcher.pool.remove_engine(*id),
                }
            }
            dispatcher.decide(now_ms);
        }
    }

    fn services_of<'a>(
        &self,
        declared: &'a Declared,
        targets: &TargetRegistry,
        pool: PoolId,
    ) -> Vec<PoolService<'a>> {
        let now_ms = self.now_ms();
        let granted_share = self.granted_share();
        let dispatchers = self.dispatchers.borrow();
        let began_ms = dispatchers.get(&pool).map_or(now_ms, |one| one.began_ms);
        let of_pool = declared.table.services.iter();
        let of_pool = of_pool.filter(|service| pool_of(&service.name) == pool);
        let engines = of_pool.filter_map(|service| {
            Some(PoolService {
                service,
                memory_tokens: service.engine?.memory_tokens,
                probation_applies: !targets.most_on_probation(&service.name, now_ms),
                granted_share,
                began_ms,
            })
        });
        engines.collect()
    }

    fn engines_of(&self, pool: PoolId) -> Vec<EngineUpdate> {
        let Some(declared) = self.declared() else {
            return Vec::new();
        };
        let now_ms = self.now_ms();
        let targets = self.targets.borrow();
        let mut engines = Vec::new();
        for service in self.services_of(&declared, &targets, pool) {
            let of_service = targets.of_service(&service.service.name);
            engines
                .extend(of_service.map(|(_, target)| service.update_for(&targets, target, now_ms)));
        }
        engines
    }

    /// Puts an engine that failed a generation on probation, unless it was silent for one caller but makes events for others.
    pub(crate) fn engine_failed_local(&self, pool: PoolId, target: TargetId, fault: EngineFault) {
        if !self.settings().has(Mechanism::Trials) {
            return;
        }
        let now_ms = self.now_ms();
        {
            let mut targets = self.targets.borrow_mut();
            if let Some(slot) = targets.slot_of(target) {
                let is_on_probation = targets.record_generation_failure(slot, fault, now_ms);
                let name = targets.get(slot).map(|target| &*target.entry.instance);
                slog::info!(self.log, "engine suspected"; "engine" => name,
                    "fault" => ?fault, "on_probation" => is_on_probation);
            }
        }
        // Creates the dispatcher if this box has not dispatched the pool before.
        self.with_dispatcher(pool, |_, _| ());
        // Whether probation applies may have changed for all engines on probation.
        let changed_engines = self.targets.borrow_mut().take_transient(now_ms);
        self.sync_engines(&changed_engines);
    }

    /// Records that an engine made events. `is_first` says whether the first of a generation is among them.
    pub(crate) fn record_engine_event(
        &self,
        target: Option<TargetId>,
        is_first: bool,
        now_ms: u64,
    ) {
        let mut targets = self.targets.borrow_mut();
        let slot = target.and_then(|target| targets.slot_of(target));
        if let Some(target) = slot.and_then(|slot| targets.get_mut(slot)) {
            target.probation.record_event(is_first, now_ms);
        }
    }
}
