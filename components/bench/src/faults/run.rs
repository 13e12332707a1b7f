//! One short run: boxes and stand-ins, callers and operators, and faults.

mod disturb;

use super::actors;
use super::boxes::{RunningBox, view};
use super::chaos;
use super::history::{
    AcceptedChange, CallRecord, ChatRecord, RegisterStep, RunHistory, SeenRevisions,
};
use crate::roles::BoxAddresses;
use miette::{IntoDiagnostic, miette};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use settings::LimitSettings;
use standins::{
    BoxEntry, BoxList, EngineSettings, Link, StandinEngine, StandinService, StandinStore,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};
use trial::{Trial, TrialPlan};

const BOXES: u32 = 8;
const ENGINES: usize = 4;
const CHAT_CALLERS: usize = 16;
const CALL_CALLERS: usize = 8;
const OPERATORS: usize = 2;
const LOAD: Duration = Duration::from_millis(3500);
const READY_LIMIT: Duration = Duration::from_secs(15);
const SETTLE_LIMIT: Duration = Duration::from_secs(15);
const CALLERS_LIMIT: Duration = Duration::from_secs(90);
const SAMPLE_PAUSE: Duration = Duration::from_millis(40);

/// Everything of a run, as callers, operators and faults see it.
pub struct World {
    /// The run's seed.
    pub seed: u64,
    /// Whether an operator does not know what became of a change.
    pub register_in_doubt: AtomicBool,
    as_processes: bool,
    trial: Trial,
    engines: Vec<Mutex<Option<StandinEngine>>>,
    engine_addresses: Vec<SocketAddr>,
    links: Vec<Link>,
    boxes: Vec<tokio::sync::Mutex<Option<RunningBox>>>,
    addresses: RwLock<Vec<Option<BoxAddresses>>>,
    seen: Mutex<BTreeMap<SocketAddr, SeenRevisions>>,
    history: Mutex<RunHistory>,
    order: AtomicUsize,
    ends: Instant,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn plan() -> TrialPlan {
    let engine = EngineSettings {
        step_base_us: 2_000,
        step_per_stream_us: 10,
        kv_capacity_tokens: 4_000,
        report_lag_ms: 50,
        orphan_grace_ms: 3_000,
        ..EngineSettings::default()
    };
    TrialPlan {
        boxes: 0,
        engines: vec![engine; ENGINES],
        limits: LimitSettings {
            balancer_delay_ms: 300,
            resume_grace_ms: 1_500,
            engine_silence_ms: 700,
            load_interval_ms: 100,
            ..LimitSettings::default()
        },
        ..TrialPlan::default()
    }
}

/// Makes one run.
pub async fn run(seed: u64, as_processes: bool) -> miette::Result<RunHistory> {
    let world = Arc::new(World::start(seed, as_processes).await?);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut actors = tokio::task::JoinSet::new();
    for number in 0..CHAT_CALLERS {
        actors.spawn(actors::chats(world.clone(), number));
    }
    for number in 0..CALL_CALLERS {
        actors.spawn(actors::calls(world.clone(), number));
    }
    for number in 0..OPERATORS {
        actors.spawn(actors::operator(world.clone(), number));
    }
    world.count("operators_racing");
    let sampling = tokio::spawn(sample(world.clone()));
    let mut faults = tokio::task::JoinSet::new();
    for planned in chaos::draw(&mut rng) {
        faults.spawn(chaos::happen(world.clone(), planned));
    }
    faults.join_all().await;
    let ended = tokio::time::timeout(CALLERS_LIMIT, actors.join_all()).await;
    if ended.is_err() {
        return Err(miette!("seed {seed}: callers did not end"));
    }
    world.settle().await;
    sampling.abort();
    let _ = sampling.await;
    world.finish().await
}

/// Notes the revisions that each box has, again and again.
async fn sample(world: Arc<World>) {
    loop {
        for addresses in world.running() {
            if let Some(view) = view(addresses).await {
                let revision = view.revisions.get(world.partner()).copied().unwrap_or(0);
                world.saw(addresses, revision);
            }
        }
        tokio::time::sleep(SAMPLE_PAUSE).await;
    }
}

impl World {
    async fn start(seed: u64, as_processes: bool) -> miette::Result<Self> {
        let mut trial = Trial::start(plan()).await.into_diagnostic()?;
        let engines: Vec<StandinEngine> =
            trial.engines.iter_mut().filter_map(Option::take).collect();
        let engine_addresses: Vec<SocketAddr> =
            engines.iter().map(StandinEngine::address).collect();
        let mut links = Vec::new();
        for address in &engine_addresses {
            links.push(Link::start(*address).into_diagnostic()?);
        }
        let world = Self {
            seed,
            register_in_doubt: AtomicBool::new(false),
            as_processes,
            engines: engines
                .into_iter()
                .map(|engine| Mutex::new(Some(engine)))
                .collect(),
            engine_addresses,
            links,
            boxes: (0..BOXES).map(|_| tokio::sync::Mutex::new(None)).collect(),
            addresses: RwLock::new(vec![None; BOXES as usize]),
            seen: Mutex::default(),
            history: Mutex::new(RunHistory {
                seed,
                ..RunHistory::default()
            }),
            order: AtomicUsize::new(0),
            ends: Instant::now() + LOAD + READY_LIMIT,
            trial,
        };
        world
            .trial
            .store
            .seed(&world.branch_key(), world.branch_text(1.0).as_bytes());
        for at in 0..BOXES as usize {
            world.start_box(at).await?;
        }
        world.publish().await;
        let ready = world.wait_ready().await?;
        Ok(Self {
            ends: ready + LOAD,
            ..world
        })
    }

    async fn wait_ready(&self) -> miette::Result<Instant> {
        let began = Instant::now();
        for addresses in self.running() {
            loop {
                let members = view(addresses).await.map_or(0, |view| view.members.len());
                if members + 1 >= BOXES as usize {
                    break;
                }
                if began.elapsed() > READY_LIMIT {
                    return Err(miette!("seed {}: the boxes do not get ready", self.seed));
                }
                tokio::time::sleep(SAMPLE_PAUSE).await;
            }
        }
        Ok(Instant::now())
    }

    async fn start_box(&self, at: usize) -> miette::Result<()> {
        let file = self.trial.box_file(at as u32 + 1);
        let started = RunningBox::start(file, self.as_processes).await?;
        let addresses = started.addresses();
        *self.boxes[at].lock().await = Some(started);
        self.set_addresses(at, Some(addresses));
        Ok(())
    }

    fn set_addresses(&self, at: usize, addresses: Option<BoxAddresses>) {
        let mut all = self
            .addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        all[at] = addresses;
    }

    /// Addresses of the boxes to which the balancer sends requests.
    pub fn running(&self) -> Vec<BoxAddresses> {
        let all = self
            .addresses
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        all.iter().flatten().copied().collect()
    }

    /// The box that a balancer picks.
    pub fn balance(&self, number: usize) -> SocketAddr {
        let running = self.running();
        match running.is_empty() {
            true => SocketAddr::from(([127, 0, 0, 1], 1)),
            false => running[number % running.len()].callers,
        }
    }

    /// Whether callers begin nothing new.
    pub fn load_is_over(&self) -> bool {
        Instant::now() >= self.ends
    }

    /// The key-value service.
    pub fn trial_store(&self) -> &StandinStore {
        &self.trial.store
    }

    /// The box list.
    pub fn list(&self) -> &BoxList {
        &self.trial.list
    }

    /// The partner whose settings are used.
    pub fn partner(&self) -> &'static str {
        self.trial.partner()
    }

    fn branch_key(&self) -> String {
        format!("{}{}", store::SETTINGS_PREFIX, self.partner())
    }

    /// The branch with a weight.
    pub fn branch_text(&self, weight: f64) -> String {
        let links: Vec<SocketAddr> = self.links.iter().map(Link::address).collect();
        let workers: Vec<SocketAddr> = self
            .trial
            .workers
            .iter()
            .map(StandinService::address)
            .collect();
        let mut branch = self.trial.plan.branch(&links, &workers);
        branch.weight = weight;
        serde_json::to_string_pretty(&branch).unwrap_or_default()
    }

    /// Counts a fault.
    pub fn count(&self, kind: &str) {
        *lock(&self.history).faults.entry(kind.into()).or_default() += 1;
    }

    /// Notes a chat.
    pub fn record_chat(&self, record: ChatRecord) {
        lock(&self.history).chats.push(record);
    }

    /// Notes a call.
    pub fn record_call(&self, record: CallRecord) {
        lock(&self.history).calls.push(record);
    }

    /// Notes an operation on the settings.
    pub fn record_step(&self, step: RegisterStep) {
        lock(&self.history).register.push(step);
    }

    /// Notes an accepted change.
    pub fn record_change(&self, change: AcceptedChange) {
        lock(&self.history).changes.push(change);
    }

    /// The next place in the order of calls and returns.
    pub fn next_order(&self) -> usize {
        self.order.fetch_add(1, Ordering::SeqCst)
    }

    fn saw(&self, addresses: BoxAddresses, revision: u64) {
        let mut seen = lock(&self.seen);
        let entry = seen.entry(addresses.callers).or_default();
        entry.name = addresses.callers.to_string();
        entry.revisions.push(revision);
    }

    /// The newest revision that each running box was seen with.
    pub fn newest_seen(&self) -> Vec<u64> {
        let seen = lock(&self.seen);
        let newest = |addresses: &BoxAddresses| {
            let entry = seen.get(&addresses.callers);
            entry
                .and_then(|entry| entry.revisions.last().copied())
                .unwrap_or(0)
        };
        self.running().iter().map(newest).collect()
    }

    /// A link to an engine.
    pub fn link(&self, victim: usize) -> &Link {
        &self.links[victim % self.links.len()]
    }

    /// A worker of the plain services.
    pub fn worker(&self, victim: usize) -> &StandinService {
        &self.trial.workers[victim % self.trial.workers.len()]
    }

    /// Shows the boxes that run in the box list.
    pub async fn publish(&self) {
        let mut entries = Vec::new();
        for (held, id) in self.boxes.iter().zip(1..) {
            if let Some(running) = held.lock().await.as_ref() {
                let peers = running.addresses().peers;
                entries.push(BoxEntry::entry_box(id, peers, "trial-a", "live"));
            }
        }
        self.list().set(entries);
    }

    /// Waits until every box has the last accepted revision.
    async fn settle(&self) {
        let began = Instant::now();
        while began.elapsed() < SETTLE_LIMIT {
            let last = self.last_revision();
            if self.newest_seen().iter().all(|seen| *seen == last) {
                return;
            }
            tokio::time::sleep(SAMPLE_PAUSE).await;
        }
    }

    /// The revision of the last change that took effect, as the store itself knows it.
    fn last_revision(&self) -> u64 {
        let key = self.branch_key();
        let history = self.trial.store.history();
        let last = history.iter().rev().find(|(_, written, _)| *written == key);
        last.map_or(0, |(revision, _, _)| *revision)
    }

    async fn finish(&self) -> miette::Result<RunHistory> {
        let mut history = std::mem::take(&mut *lock(&self.history));
        history.last_revision = self.last_revision();
        history.final_revisions = self.newest_seen();
        history.seen = lock(&self.seen).values().cloned().collect();
        history.register_in_doubt = self.register_in_doubt.load(Ordering::Relaxed);
        history.runs = self
            .trial
            .workers
            .iter()
            .flat_map(StandinService::runs)
            .collect();
        for engine in &self.engines {
            let starts = lock(engine)
                .as_ref()
                .map(StandinEngine::starts)
                .unwrap_or_default();
            history.starts.extend(starts);
        }
        self.note_left(&mut history);
        for held in &self.boxes {
            if let Some(running) = held.lock().await.take() {
                running.kill().await;
            }
        }
        Ok(history)
    }

    /// What each engine that left began. One that was killed afterwards has a new life, which is not
    /// bound by that word.
    fn note_left(&self, history: &mut RunHistory) {
        for left in &mut history.left {
            let holder = self.engines.iter().find_map(|engine| {
                let engine = lock(engine);
                let engine = engine.as_ref()?;
                (engine.left_at_ms() == Some(left.at_ms)).then(|| engine.starts())
            });
            left.starts = holder.unwrap_or_default();
        }
    }
}
