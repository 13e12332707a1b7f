//! What the parts of a box share.

use crate::claimant::Claimant;
use crate::claims::ClaimQueue;
use crate::desk::Desk;
use crate::dispatch::PoolActor;
use crate::inforce::InForce;
use crate::members::Members;
use crate::targets::TargetTable;
use arc_swap::ArcSwap;
use callers::ResumeSeal;
use engines::EngineClient;
use operators::{BurnRecorder, Objective, Sample};
use peers::{BoxCard, PeerClients, SettingsValue, Topology, Traffic};
use policy::Quarantine;
use prelude::{AccountId, BoxId, Clock, PermitId, PoolId, RegionId, TargetId};
use reload::Live;
use services::ServiceClient;
use settings::{BoxFile, LimitSettings, Resolved, ResolvedAccount, ResolvedTarget};
use slog::Logger;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use store::Etcd;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use xtra::Address;

/// An entry box. Cheap to clone.
#[derive(Clone)]
pub struct Node(pub(crate) Arc<Shared>);

/// What all parts of the box see.
pub(crate) struct Shared {
    pub card: BoxCard,
    pub region: RegionId,
    pub settings_file: Arc<Live<BoxFile>>,
    pub log: Logger,
    pub clock: Clock,
    pub resolved: ArcSwap<Resolved>,
    pub in_force: Mutex<InForce>,
    /// The newest revision of each branch that another box told of.
    pub told_revisions: Mutex<HashMap<String, u64>>,
    /// Raised when settings or targets change.
    pub changes: watch::Sender<u64>,
    pub members: Mutex<Members>,
    pub targets: Mutex<TargetTable>,
    /// Requests under which targets ended.
    pub quarantine: Mutex<Quarantine>,
    pub peers: PeerClients,
    pub traffic: Arc<Traffic>,
    pub topology: Topology,
    pub engines: EngineClient,
    pub services: ServiceClient,
    pub store: Option<Etcd>,
    pub claim_queue: ClaimQueue,
    pub claimant: Claimant,
    pub desks: Mutex<HashMap<PoolId, Arc<Desk>>>,
    pub pools: Mutex<HashMap<PoolId, Address<PoolActor>>>,
    pub open_by_account: Mutex<HashMap<AccountId, u32>>,
    pub open_streams: AtomicU64,
    /// Generations whose callers another box serves now.
    pub taken_over: TakenOver,
    pub burn: Mutex<BurnRecorder>,
    pub seal: ResumeSeal,
    pub leaving: AtomicBool,
    /// Connections end when idle.
    pub stop: CancellationToken,
    /// Everything ends.
    pub closed: CancellationToken,
    /// All connections of callers have ended.
    pub callers_served: CancellationToken,
    /// Requests in progress, from their coming to the end of their answers.
    pub work: TaskTracker,
    pub permits: AtomicU64,
}

/// Generations that other boxes took over from this one. The word may come before this box has noticed
/// that its caller went, so it is kept for a while.
#[derive(Default)]
pub(crate) struct TakenOver {
    since_ms: Mutex<HashMap<u128, u64>>,
    news: Notify,
}

/// How long the word of a takeover is kept.
const TAKEN_OVER_KEPT_MS: u64 = 600_000;

impl TakenOver {
    pub fn add(&self, generation: u128, now_ms: u64) {
        let mut since_ms = lock(&self.since_ms);
        since_ms.retain(|_, at_ms| *at_ms + TAKEN_OVER_KEPT_MS > now_ms);
        since_ms.insert(generation, now_ms);
        drop(since_ms);
        self.news.notify_waiters();
    }

    pub fn contains(&self, generation: u128) -> bool {
        lock(&self.since_ms).contains_key(&generation)
    }

    /// Waits until a generation is taken over.
    pub async fn wait(&self, generation: u128) {
        loop {
            let news = self.news.notified();
            tokio::pin!(news);
            news.as_mut().enable();
            if self.contains(generation) {
                return;
            }
            news.await;
        }
    }
}

/// Locks a mutex. A panic elsewhere while it was held does not make its data unusable here.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    pub fn settings(&self) -> Arc<Resolved> {
        self.resolved.load_full()
    }

    pub fn account(&self, id: AccountId) -> Option<ResolvedAccount> {
        self.resolved.load().accounts.get(&id).cloned()
    }

    pub fn target(&self, id: TargetId) -> Option<ResolvedTarget> {
        self.resolved.load().targets.get(&id).cloned()
    }

    pub fn target_name(&self, id: TargetId) -> String {
        let settings = self.resolved.load();
        let target = settings.targets.get(&id);
        target.map_or_else(|| id.to_string(), |target| target.name.clone())
    }

    pub fn changed(&self) {
        self.changes.send_modify(|version| *version += 1);
    }

    pub fn next_permit(&self) -> PermitId {
        PermitId {
            entry: self.card.id,
            life: self.card.life.0 as u32,
            serial: self.permits.fetch_add(1, Ordering::Relaxed),
        }
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    pub fn own_card(&self) -> BoxCard {
        lock(&self.members).own()
    }

    /// Puts a branch into force, if it is newer than what is. True where it was.
    pub fn offer(&self, value: &SettingsValue) -> bool {
        use crate::inforce::Offered;
        let mut in_force = lock(&self.in_force);
        match in_force.offer(value) {
            Offered::Old => false,
            Offered::Wrong(why) => {
                slog::error!(self.log, "settings are wrong; the last good ones stay in force";
                    "partner" => &value.partner, "revision" => value.revision, "why" => why);
                false
            }
            Offered::InForce => {
                self.resolved.store(in_force.resolve());
                drop(in_force);
                slog::info!(self.log, "settings are in force";
                    "partner" => &value.partner, "revision" => value.revision);
                self.changed();
                true
            }
        }
    }

    /// Notes that a peer gave no answer.
    pub fn suspect(&self, id: BoxId) {
        lock(&self.members).suspect(id, self.now_ms());
        metrics::counter!("shuntpier_peer_failures_total").increment(1);
    }

    /// Takes the end of a request into the burn report and the metrics.
    pub fn record(&self, sample: &Sample, account: &ResolvedAccount) {
        let objective = Objective {
            account_name: account.name.clone(),
            owner_name: account.owner_name.clone(),
            good_share: account.objectives.good_share,
            first_token_ms: account.objectives.first_token_ms,
            token_gap_ms: account.objectives.token_gap_ms,
            stall_ms: account.objectives.stall_ms,
        };
        lock(&self.burn).record(sample, &objective, self.clock.unix_ms());
        let outcome = match (sample.refused, sample.incomplete) {
            (true, _) => "refused",
            (false, true) => "incomplete",
            (false, false) => "done",
        };
        metrics::counter!("shuntpier_requests_total", "outcome" => outcome).increment(1);
    }

    /// The bounds in force.
    pub fn limits(&self) -> LimitSettings {
        self.settings_file.load().limits.clone()
    }

    /// Counts a stream of an account, within the bounds of the box and the account.
    pub fn open_stream(self: &Arc<Self>, account: &ResolvedAccount) -> Option<OpenStreamGuard> {
        let open = self.open_streams.fetch_add(1, Ordering::Relaxed);
        if open >= u64::from(self.limits().open_streams) {
            self.open_streams.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        let mut by_account = lock(&self.open_by_account);
        let count = by_account.entry(account.id).or_default();
        if *count >= account.max_open_streams {
            self.open_streams.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        *count += 1;
        Some(OpenStreamGuard {
            shared: self.clone(),
            account: account.id,
        })
    }
}

/// Counts one open stream until it is dropped.
pub(crate) struct OpenStreamGuard {
    shared: Arc<Shared>,
    account: AccountId,
}

impl Drop for OpenStreamGuard {
    fn drop(&mut self) {
        self.shared.open_streams.fetch_sub(1, Ordering::Relaxed);
        let mut by_account = lock(&self.shared.open_by_account);
        if let Some(count) = by_account.get_mut(&self.account) {
            *count -= 1;
            if *count == 0 {
                by_account.remove(&self.account);
            }
        }
    }
}
