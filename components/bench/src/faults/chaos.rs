//! Faults drawn at random, together and twice.

use super::run::World;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use standins::BoxEntry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// What can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    EngineKilled,
    EngineLeft,
    EngineStalled,
    LinksDropped,
    LinkStalled,
    LinkHalfOpen,
    RepliesLost,
    WorkerStalled,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    WatchesDropped,
    BoxKilled,
    BoxPaused,
    BoxStopped,
    BoxListWrong,
    ClockStep,
}

impl Fault {
    /// Its name in the figures.
    pub fn name(self) -> &'static str {
        match self {
            Self::EngineKilled => "engine_killed",
            Self::EngineLeft => "engine_left",
            Self::EngineStalled => "engine_stalled",
            Self::LinksDropped => "links_dropped",
            Self::LinkStalled => "link_stalled",
            Self::LinkHalfOpen => "link_half_open",
            Self::RepliesLost => "replies_lost",
            Self::WorkerStalled => "worker_stalled",
            Self::StoreDown => "store_down",
            Self::StoreSlow => "store_slow",
            Self::StoreLosesAnswers => "store_loses_answers",
            Self::WatchesDropped => "watches_dropped",
            Self::BoxKilled => "box_killed",
            Self::BoxPaused => "box_paused",
            Self::BoxStopped => "box_stopped",
            Self::BoxListWrong => "box_list_wrong",
            Self::ClockStep => "clock_step",
        }
    }
}

const FAULTS: [Fault; 17] = [
    Fault::EngineKilled,
    Fault::EngineLeft,
    Fault::EngineStalled,
    Fault::LinksDropped,
    Fault::LinkStalled,
    Fault::LinkHalfOpen,
    Fault::RepliesLost,
    Fault::WorkerStalled,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::StoreLosesAnswers,
    Fault::WatchesDropped,
    Fault::BoxKilled,
    Fault::BoxPaused,
    Fault::BoxStopped,
    Fault::BoxListWrong,
    Fault::ClockStep,
];

/// Faults in one run.
const FAULTS_MIN: usize = 3;
const FAULTS_MAX: usize = 7;
/// Time in which they begin.
const BEGIN_MS: std::ops::Range<u64> = 100..2000;
const SHORT_MS: std::ops::Range<u64> = 100..900;
const STORE_MS: std::ops::Range<u64> = 200..2000;
const STOP_LIMIT: Duration = Duration::from_secs(15);

/// A fault, when it begins, how long it lasts, and whom it hits.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    fault: Fault,
    begin: Duration,
    last: Duration,
    victim: usize,
}

/// Draws the faults of a run.
pub fn draw(rng: &mut ChaCha8Rng) -> Vec<Planned> {
    let count = rng.random_range(FAULTS_MIN..=FAULTS_MAX);
    let mut planned = Vec::with_capacity(count);
    for _ in 0..count {
        let fault = *FAULTS.choose(rng).unwrap_or(&Fault::BoxKilled);
        let last = match fault {
            Fault::StoreDown | Fault::StoreSlow | Fault::StoreLosesAnswers => STORE_MS,
            _ => SHORT_MS,
        };
        planned.push(Planned {
            fault,
            begin: Duration::from_millis(rng.random_range(BEGIN_MS)),
            last: Duration::from_millis(rng.random_range(last)),
            victim: rng.random_range(0..64),
        });
    }
    planned
}

/// Lets one fault happen, and heals it.
pub async fn happen(world: Arc<World>, planned: Planned) {
    tokio::time::sleep(planned.begin).await;
    world.count(planned.fault.name());
    let (last, victim) = (planned.last, planned.victim);
    let store = &world.trial_store().faults();
    match planned.fault {
        Fault::EngineKilled => world.kill_engine(victim, last).await,
        Fault::EngineLeft => world.engine_leaves(victim),
        Fault::EngineStalled => world.with_engine(victim, |engine| engine.stall(last)),
        Fault::LinksDropped => world.with_engine(victim, |engine| engine.drop_links()),
        Fault::LinkStalled => {
            world.link(victim).hold(true);
            tokio::time::sleep(last).await;
            world.link(victim).hold(false);
        }
        Fault::LinkHalfOpen => world.link(victim).go_half_open(),
        Fault::RepliesLost => {
            world.worker(victim).lose_answers(true);
            tokio::time::sleep(last / 4).await;
            world.worker(victim).lose_answers(false);
        }
        Fault::WorkerStalled => world.worker(victim).stall(last),
        Fault::StoreDown => {
            store.down.store(true, Ordering::Relaxed);
            tokio::time::sleep(last).await;
            store.down.store(false, Ordering::Relaxed);
        }
        Fault::StoreSlow => {
            store.slow_ms.store(100, Ordering::Relaxed);
            tokio::time::sleep(last).await;
            store.slow_ms.store(0, Ordering::Relaxed);
        }
        Fault::StoreLosesAnswers => {
            store.lose_every.store(2, Ordering::Relaxed);
            tokio::time::sleep(last).await;
            store.lose_every.store(0, Ordering::Relaxed);
        }
        Fault::WatchesDropped => world.trial_store().drop_watches(),
        Fault::BoxKilled => world.kill_box(victim, last).await,
        Fault::BoxPaused => world.pause_box(victim, last).await,
        Fault::BoxStopped => world.stop_box(victim, STOP_LIMIT).await,
        Fault::BoxListWrong => wrong_list(&world, victim, last).await,
        Fault::ClockStep => {
            let ms = if victim.is_multiple_of(2) {
                30_000
            } else {
                -30_000
            };
            world.step_clock(victim, ms).await;
        }
    }
}

/// Shows a list in which a box is missing, another leaves and a third does not exist.
async fn wrong_list(world: &World, victim: usize, last: Duration) {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    world.list().update(|entries| {
        if !entries.is_empty() {
            let at = victim % entries.len();
            entries.remove(at);
        }
        if let Some(entry) = entries.first_mut() {
            entry.labels.insert("state".into(), "leaving".into());
        }
        entries.push(BoxEntry::entry_box(99, nobody, "trial-a", "live"));
    });
    tokio::time::sleep(last).await;
    world.publish().await;
}
