//! Asks engines for their load, and judges from the answers which are alive.

use crate::shared::{Shared, lock};
use crate::spread::spread_target;
use engines::LoadReport;
use peers::{StateOfTarget, TargetWord};
use policy::EngineState;
use prelude::{PoolId, TargetId, TargetKey};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

/// A desk without requests or streams for this long asks engines no more.
const IDLE_MS: u64 = 5_000;
const LOCAL_TICK: Duration = Duration::from_millis(10);
/// The same while no desk places by its local view.
const IDLE_TICK: Duration = Duration::from_millis(50);

/// The last decision times, for measurements in one process.
pub(crate) struct DecisionTimes(Mutex<Vec<u64>>);

/// Decision times kept.
const DECISIONS_KEPT: usize = 100_000;

pub(crate) static DECISIONS: DecisionTimes = DecisionTimes(Mutex::new(Vec::new()));

impl DecisionTimes {
    pub(crate) fn record(&self, ns: u64) {
        let mut times = lock(&self.0);
        if times.len() < DECISIONS_KEPT {
            times.push(ns);
        }
    }
}

/// Takes out the times that dispatchers of this process took for a decision, in nanoseconds.
pub fn decision_times_ns() -> Vec<u64> {
    std::mem::take(&mut *lock(&DECISIONS.0))
}

/// What became of asking an engine.
pub(crate) enum Polled {
    Answered(LoadReport),
    Silent,
}

/// The states of a pool's engines: what the settings, the box list and the words on them say.
pub(crate) fn engine_states(shared: &Shared, pool: PoolId) -> Vec<(TargetId, EngineState)> {
    let settings = shared.settings();
    let targets = lock(&shared.targets);
    let state = |engine: &&settings::ResolvedTarget| {
        let known = targets.state(engine.id);
        let leaves = engine.leave && known == EngineState::Live;
        (engine.id, if leaves { EngineState::Leaving } else { known })
    };
    settings.engines_of(pool).iter().map(state).collect()
}

/// Asks one engine for its load and notes what the answer, or its absence, says of its life.
pub(crate) async fn poll_engine(shared: &Arc<Shared>, id: TargetId, address: SocketAddr) -> Polled {
    match shared.engines.load(address).await {
        Ok(report) => {
            let key = TargetKey {
                id,
                incarnation: report.incarnation,
            };
            let before = engine_life(shared, id);
            lock(&shared.targets).answered(key);
            if before != key.incarnation {
                shared.changed();
            }
            if report.leaving {
                let state = StateOfTarget::Leaving;
                spread_target(shared, TargetWord { target: key, state });
            }
            Polled::Answered(report)
        }
        Err(error) => {
            let refused = error.is_connect();
            if refused && lock(&shared.targets).failed(id) {
                let target = lock(&shared.targets).key(id);
                let state = StateOfTarget::Gone;
                spread_target(shared, TargetWord { target, state });
            }
            Polled::Silent
        }
    }
}

fn engine_life(shared: &Shared, id: TargetId) -> prelude::TargetIncarnation {
    lock(&shared.targets).key(id).incarnation
}

/// Keeps the local views fresh where this box places by them, and places what waits there.
pub(crate) async fn run_local_views(shared: Arc<Shared>) {
    let mut polled_ms = 0;
    let mut pause = IDLE_TICK;
    loop {
        tokio::select! {
            () = shared.closed.cancelled() => return,
            () = tokio::time::sleep(pause) => {}
        }
        let now_ms = shared.now_ms();
        let desks: Vec<_> = lock(&shared.desks).values().cloned().collect();
        let busy = desks.iter().any(|desk| desk.needs_loads(now_ms, IDLE_MS));
        pause = if busy { LOCAL_TICK } else { IDLE_TICK };
        for desk in &desks {
            desk.run_local(now_ms);
        }
        if now_ms < polled_ms + shared.limits().load_interval_ms {
            continue;
        }
        polled_ms = now_ms;
        for desk in desks
            .into_iter()
            .filter(|desk| desk.needs_loads(now_ms, IDLE_MS))
        {
            for engine in shared.settings().engines_of(desk.pool) {
                let (shared, desk) = (shared.clone(), desk.clone());
                let (id, at) = (engine.id, engine.address);
                tokio::spawn(async move {
                    if let Polled::Answered(report) = poll_engine(&shared, id, at).await {
                        desk.report(id, report.running, report.waiting);
                        desk.run_local(shared.now_ms());
                    }
                });
            }
        }
    }
}

/// Keeps the desks in step with settings and targets.
pub(crate) async fn refresh_desks(shared: Arc<Shared>) {
    let mut changes = shared.changes.subscribe();
    loop {
        tokio::select! {
            () = shared.closed.cancelled() => return,
            changed = changes.changed() => if changed.is_err() { return },
        }
        let desks: Vec<_> = lock(&shared.desks).values().cloned().collect();
        for desk in desks {
            refresh_desk(&shared, &desk);
        }
    }
}

pub(crate) fn refresh_desk(shared: &Shared, desk: &crate::desk::Desk) {
    let settings = crate::dispatch::pool_settings(&shared.settings(), desk.pool);
    desk.refresh(&settings, &engine_states(shared, desk.pool));
}
