//! The engine as a process: its settings, its step loop and the state that its API serves.

use super::api;
use super::core::{Core, Sequence};
use super::outputs::Outputs;
use super::request::ChatBody;
use crate::host::{Host, HostError, listen};
use prelude::unix_ms;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// What an engine is like.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Where to listen; port 0 for any.
    pub address: SocketAddr,
    /// Model that it serves.
    pub model: String,
    /// Memory in tokens.
    pub kv_capacity_tokens: u64,
    /// Largest batch.
    pub max_running: u32,
    /// Time of a step with nothing in it.
    pub step_base_us: u64,
    /// Time that each decoding stream adds to a step.
    pub step_per_stream_us: u64,
    /// Time that each prefilled token adds to a step.
    pub prefill_ns_per_token: u64,
    /// Prompt tokens worked off in one step at the most.
    pub prefill_chunk_tokens: u32,
    /// Age of the load that is reported.
    pub report_lag_ms: u64,
    /// Age of the cache events that are published.
    pub cache_event_lag_ms: u64,
    /// Every how manieth cache event is lost; 0 for none.
    pub cache_event_gap: u64,
    /// How long a generation without a reader lives.
    pub orphan_grace_ms: u64,
    /// Whether it refuses orders with an old fence.
    pub checks_fences: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            model: "assistant".into(),
            kv_capacity_tokens: 16_000,
            max_running: 256,
            step_base_us: 5_000,
            step_per_stream_us: 20,
            prefill_ns_per_token: 10_000,
            prefill_chunk_tokens: 512,
            report_lag_ms: 200,
            cache_event_lag_ms: 500,
            cache_event_gap: 10,
            orphan_grace_ms: 5_000,
            checks_fences: true,
        }
    }
}

/// A generation that the engine began to run, for the checkers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRecord {
    /// Name of the generation.
    pub generation: String,
    /// The request's marker.
    pub marker: String,
    /// When, in Unix milliseconds.
    pub at_ms: u64,
}

/// Load as it was at one time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Snapshot {
    pub at_ms: u64,
    pub running: usize,
    pub waiting: usize,
    pub used_tokens: u64,
    pub preemptions: u64,
}

/// What the step loop and the API share.
pub(super) struct State {
    pub settings: EngineSettings,
    pub started_ms: u64,
    pub inner: Mutex<Inner>,
    pub wake: Notify,
    pub leaving: AtomicBool,
    /// Until when the engine makes no step and no link sends, in Unix milliseconds.
    pub stalled_until_ms: AtomicU64,
    /// Raised each time all links are to be dropped.
    pub link_epoch: AtomicU64,
    pub fence: AtomicU64,
    pub steps: AtomicU64,
    pub unnamed: AtomicU64,
    pub left_at_ms: AtomicU64,
    /// The pause that is asked for with each generation that is turned away; 0 where none is.
    pub pause_ms: AtomicU64,
    pub turned_away: AtomicU64,
}

/// What is guarded by the lock.
#[derive(Default)]
pub(super) struct Inner {
    pub core: Core,
    pub outputs: Outputs,
    pub snapshots: VecDeque<Snapshot>,
    pub starts: Vec<StartRecord>,
}

impl State {
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a request in under the name `generation`.
    pub fn start(&self, generation: &str, body: &ChatBody) {
        let now_ms = unix_ms();
        let marker = body.marker();
        let prompt_tokens = body.prompt_tokens();
        let sequence = Sequence {
            generation: generation.to_owned(),
            priority: body.priority,
            arrival: 0,
            prompt_tokens,
            prefix: body.prefix(),
            output_tokens: body.output_tokens(),
            generated: 0,
            prefill_left: prompt_tokens,
        };
        let mut inner = self.lock();
        inner.starts.push(StartRecord {
            generation: generation.to_owned(),
            marker: marker.clone(),
            at_ms: now_ms,
        });
        inner.outputs.insert(generation.to_owned(), marker, now_ms);
        inner.core.add(sequence);
        drop(inner);
        self.wake.notify_one();
    }

    /// A name for a generation that came without one.
    pub fn next_name(&self) -> String {
        format!("unnamed-{}", self.unnamed.fetch_add(1, Ordering::Relaxed))
    }

    pub fn cancel(&self, generation: &str) {
        let mut inner = self.lock();
        inner.core.remove(generation);
        inner.outputs.cancel(generation);
    }

    /// The newest snapshot that is at least as old as the lag.
    pub fn reported(&self) -> Snapshot {
        let before_ms = unix_ms().saturating_sub(self.settings.report_lag_ms);
        let inner = self.lock();
        let lagged = inner.snapshots.iter().rev().find(|s| s.at_ms <= before_ms);
        lagged.copied().unwrap_or_default()
    }

    pub fn stalled_ms(&self) -> u64 {
        let until_ms = self.stalled_until_ms.load(Ordering::Relaxed);
        until_ms.saturating_sub(unix_ms())
    }
}

const SNAPSHOTS_KEPT: usize = 4096;
const IDLE_CHECK: Duration = Duration::from_millis(50);

/// Runs steps for ever. A step's tokens appear when its time is over.
async fn run_steps(state: Arc<State>) {
    let mut deadline = Instant::now();
    loop {
        let stalled_ms = state.stalled_ms();
        if stalled_ms > 0 {
            tokio::time::sleep(Duration::from_millis(stalled_ms)).await;
            deadline = Instant::now();
        }
        let now_ms = unix_ms();
        let step = state.lock().core.step(&state.settings, now_ms);
        let Some((made, time_us)) = step else {
            snapshot(&state);
            let _ = tokio::time::timeout(IDLE_CHECK, state.wake.notified()).await;
            cancel_orphans(&state);
            deadline = Instant::now();
            continue;
        };
        let now = Instant::now();
        deadline = deadline.max(now - Duration::from_millis(20)) + Duration::from_micros(time_us);
        sleep_until(deadline).await;
        let mut inner = state.lock();
        for token in made {
            inner
                .outputs
                .add_token(&token.generation, token.finished, now_ms);
        }
        drop(inner);
        if state
            .steps
            .fetch_add(1, Ordering::Relaxed)
            .is_multiple_of(8)
        {
            snapshot(&state);
            cancel_orphans(&state);
        }
    }
}

fn snapshot(state: &State) {
    let mut inner = state.lock();
    let snapshot = Snapshot {
        at_ms: unix_ms(),
        running: inner.core.running.len(),
        waiting: inner.core.waiting.len(),
        used_tokens: inner.core.used_tokens(),
        preemptions: inner.core.preemptions,
    };
    inner.snapshots.push_back(snapshot);
    if inner.snapshots.len() > SNAPSHOTS_KEPT {
        inner.snapshots.pop_front();
    }
}

fn cancel_orphans(state: &State) {
    let before_ms = unix_ms().saturating_sub(state.settings.orphan_grace_ms);
    let idle = state.lock().outputs.idle(before_ms);
    for generation in idle {
        state.cancel(&generation);
    }
}

/// A running stand-in engine. Dropping it ends it as a crash would.
pub struct StandinEngine {
    state: Arc<State>,
    host: Host,
    address: SocketAddr,
}

impl StandinEngine {
    /// Starts an engine in a thread of its own.
    ///
    /// # Errors
    /// [`HostError`], also where the address is taken.
    pub fn start(settings: EngineSettings) -> Result<Self, HostError> {
        let (host, made) = Host::start("standin-engine", || async move {
            let listener = listen(settings.address)?;
            let address = listener.local_addr()?;
            let state = Arc::new(State {
                settings,
                started_ms: unix_ms(),
                inner: Mutex::default(),
                wake: Notify::new(),
                leaving: AtomicBool::new(false),
                stalled_until_ms: AtomicU64::new(0),
                link_epoch: AtomicU64::new(0),
                fence: AtomicU64::new(0),
                steps: AtomicU64::new(0),
                unnamed: AtomicU64::new(0),
                left_at_ms: AtomicU64::new(0),
                pause_ms: AtomicU64::new(0),
                turned_away: AtomicU64::new(0),
            });
            tokio::spawn(run_steps(state.clone()));
            tokio::spawn(api::serve(state.clone(), listener));
            Ok::<_, std::io::Error>((state, address))
        })?;
        let (state, address) = made?;
        Ok(Self {
            state,
            host,
            address,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its process start time in milliseconds, which is its incarnation.
    pub fn started_ms(&self) -> u64 {
        self.state.started_ms
    }

    /// What it began to run.
    pub fn starts(&self) -> Vec<StartRecord> {
        self.state.lock().starts.clone()
    }

    /// Preemptions so far.
    pub fn preemptions(&self) -> u64 {
        self.state.lock().core.preemptions
    }

    /// Generations in it now.
    pub fn open(&self) -> usize {
        let inner = self.state.lock();
        inner.core.running.len() + inner.core.waiting.len()
    }

    /// Says in its reports that it leaves; what is sent to it all the same, it still runs.
    pub fn leave(&self) {
        self.state.left_at_ms.store(unix_ms(), Ordering::Relaxed);
        self.state.leaving.store(true, Ordering::Relaxed);
    }

    /// When it said so, in Unix milliseconds.
    pub fn left_at_ms(&self) -> Option<u64> {
        let at_ms = self.state.left_at_ms.load(Ordering::Relaxed);
        (at_ms > 0).then_some(at_ms)
    }

    /// Makes no progress for a while, links staying open.
    pub fn stall(&self, time: Duration) {
        let until_ms = unix_ms() + time.as_millis() as u64;
        self.state
            .stalled_until_ms
            .store(until_ms, Ordering::Relaxed);
    }

    /// Breaks every open link; the generations live on.
    pub fn drop_links(&self) {
        self.state.link_epoch.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes memory for load that comes from elsewhere.
    pub fn set_foreign_tokens(&self, tokens: u64) {
        self.state.lock().core.foreign_tokens = tokens;
    }

    /// Turns each generation away from now on, and asks for a pause.
    pub fn shed(&self, pause: Duration) {
        let pause_ms = pause.as_millis() as u64;
        self.state.pause_ms.store(pause_ms, Ordering::Relaxed);
    }

    /// Generations that were turned away so far.
    pub fn turned_away(&self) -> u64 {
        self.state.turned_away.load(Ordering::Relaxed)
    }

    /// Ends it at once.
    pub fn kill(self) {
        self.host.kill();
    }
}
