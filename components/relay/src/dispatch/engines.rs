//! Which engines the pools that are dispatched here may use: those that take work, are not doubted and not on trial.

use crate::state::{Relay, pool_of};
use crate::watch::targets::{Belief, Target, TargetSlot};
use peers::EngineFault;
use policy::{EngineInfo, EngineState};
use prelude::{PoolId, TargetId};
use settings::Mechanism;

/// Whether trials count: where most engines seem to fail, it is not they that do.
fn trials_count<'a>(engines: impl Iterator<Item = (TargetSlot, &'a Target)>, now_ms: u64) -> bool {
    let ready = engines.filter(|(_, target)| target.belief == Belief::Ready);
    let (on, off): (Vec<_>, Vec<_>) = ready.partition(|(_, target)| target.trial.is_on(now_ms));
    on.len() <= off.len()
}

impl Relay {
    /// Brings the engines of each pool that is dispatched here up to date.
    pub(crate) fn sync_dispatchers(&self) {
        let pools: Vec<PoolId> = self.dispatchers.borrow().keys().copied().collect();
        for pool in pools {
            let (infos, states) = self.engines_of(pool);
            let now_ms = self.now_ms();
            if let Some(dispatcher) = self.dispatchers.borrow_mut().get_mut(&pool) {
                dispatcher.pool.set_engines(&infos);
                for (target, state) in states {
                    dispatcher.pool.set_state(target, state);
                }
                dispatcher.decide(now_ms);
            }
        }
    }

    fn engines_of(&self, pool: PoolId) -> (Vec<EngineInfo>, Vec<(TargetId, EngineState)>) {
        let Some(held) = self.declared() else {
            return (Vec::new(), Vec::new());
        };
        let now_ms = self.now_ms();
        let mut infos = Vec::new();
        let mut states = Vec::new();
        let targets = self.targets.borrow();
        let of_pool = |service: &&routing::Service| pool_of(&service.name) == pool;
        for service in held.table.services.iter().filter(of_pool) {
            let Some(engine) = service.engine else {
                continue;
            };
            let on_trial = trials_count(targets.of_service(&service.name), now_ms);
            for (_, target) in targets.of_service(&service.name) {
                infos.push(EngineInfo {
                    id: target.id,
                    capacity_tokens: u64::from(engine.memory_tokens),
                    data_centre: target.data_centre,
                    cold_rate_per_s: service
                        .cold_rate_per_s
                        .filter(|_| now_ms < target.cold_until_ms),
                });
                let doubted = target.suspicion.is_passed_over(now_ms)
                    || (on_trial && target.trial.is_on(now_ms));
                let state = match targets.takes_work(target) && !doubted {
                    true => EngineState::Live,
                    false => EngineState::Leaving,
                };
                states.push((target.id, state));
            }
        }
        (infos, states)
    }

    /// Puts an engine that failed a generation on trial. One that is silent to one caller and makes events for others is not.
    pub(crate) fn engine_failed_here(&self, pool: PoolId, target: TargetId, fault: EngineFault) {
        if !self.file().has(Mechanism::Trials) {
            return;
        }
        let now_ms = self.now_ms();
        {
            let mut targets = self.targets.borrow_mut();
            if let Some(slot) = targets.slot_of(target) {
                let counts = targets.failed_generation(slot, fault, now_ms);
                let name = targets.get(slot).map(|target| &*target.entry.instance);
                slog::info!(self.log, "engine doubted"; "engine" => name,
                    "fault" => ?fault, "on_trial" => counts);
            }
        }
        // The pool may not have been dispatched here before.
        self.with_dispatcher(pool, |_, _| ());
        self.sync_dispatchers();
    }

    /// Notes that an engine made events, the first of a generation among them or not.
    pub(crate) fn made_event(&self, target: Option<TargetId>, is_first: bool, now_ms: u64) {
        let mut targets = self.targets.borrow_mut();
        let slot = target.and_then(|target| targets.slot_of(target));
        if let Some(target) = slot.and_then(|slot| targets.get_mut(slot)) {
            target.trial.made_event(is_first, now_ms);
        }
    }
}
