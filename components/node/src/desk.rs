//! The entry side of one pool: the streams that this box has open there, what is still to be told to
//! the dispatcher, and the local view by which the baselines place.

use crate::shared::lock;
use peers::{
    AcquireRequest, AdoptedStream, BoxCard, EndedStream, GapsSeen, StreamProgress, UpdateRequest,
};
use policy::{EngineState, LocalPool, PolicyKind, PoolSettings, RetryBudget, Verdict};
use prelude::{Avoided, BoxId, PermitId, PoolId, TargetId, TargetKey};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::{Notify, oneshot};

/// New tokens after which a stream's progress is told. In between the dispatcher carries it on at the
/// measured pace.
const PROGRESS_TOKENS: u32 = 32;

struct Open {
    request: AcquireRequest,
    target: TargetId,
    tokens: Arc<AtomicU32>,
    told_tokens: u32,
}

struct Inner {
    policy: PolicyKind,
    local: LocalPool,
    waiters: HashMap<PermitId, oneshot::Sender<Verdict>>,
    open: HashMap<PermitId, Open>,
    ended: Vec<EndedStream>,
    told: Option<BoxId>,
    retries: RetryBudget,
    used_ms: u64,
    fallback_until_ms: u64,
    /// Requests that wait for the dispatcher's word.
    asking: u32,
}

/// One pool, as the entry side of a box sees it.
pub(crate) struct Desk {
    pub pool: PoolId,
    inner: Mutex<Inner>,
    /// Woken when streams have ended.
    pub ended: Notify,
    /// Woken when the dispatcher has become silent.
    pub silent: Notify,
}

/// What is to be told to a dispatcher.
pub(crate) enum Report {
    /// Changes since the last report.
    Update(UpdateRequest),
    /// All open streams, since the dispatcher is new.
    Adopt(Vec<AdoptedStream>),
}

impl Desk {
    pub fn new(pool: PoolId, settings: &PoolSettings, seed: u64) -> Self {
        let inner = Inner {
            policy: settings.policy,
            local: LocalPool::new(settings.policy, settings.concurrency_limit, seed),
            waiters: HashMap::new(),
            open: HashMap::new(),
            ended: Vec::new(),
            told: None,
            retries: RetryBudget::new(settings.retry_share),
            used_ms: 0,
            fallback_until_ms: 0,
            asking: 0,
        };
        Self {
            pool,
            inner: Mutex::new(inner),
            ended: Notify::new(),
            silent: Notify::new(),
        }
    }

    /// Follows the settings and the targets' states.
    pub fn refresh(&self, settings: &PoolSettings, targets: &[(TargetId, EngineState)]) {
        let mut inner = lock(&self.inner);
        inner.policy = settings.policy;
        inner
            .local
            .set_policy(settings.policy, settings.concurrency_limit);
        inner.local.set_targets(targets);
    }

    pub fn policy(&self) -> PolicyKind {
        lock(&self.inner).policy
    }

    pub fn used(&self, now_ms: u64) {
        lock(&self.inner).used_ms = now_ms;
    }

    /// Places by the local view for a while, since the dispatcher is silent.
    pub fn fall_back(&self, until_ms: u64) {
        lock(&self.inner).fallback_until_ms = until_ms;
    }

    /// Whether the local view must be kept fresh by asking the engines.
    pub fn needs_loads(&self, now_ms: u64, idle_after_ms: u64) -> bool {
        let inner = lock(&self.inner);
        let places_locally = !inner.policy.uses_dispatcher() || now_ms < inner.fallback_until_ms;
        let in_use = !inner.open.is_empty() || now_ms < inner.used_ms + idle_after_ms;
        places_locally && in_use
    }

    /// Counts a request that waits for the dispatcher's word, until the guard is dropped. While there
    /// are any, the dispatcher is reported to, and so known to be alive.
    pub fn asks(self: &Arc<Self>) -> Asking {
        lock(&self.inner).asking += 1;
        Asking { desk: self.clone() }
    }

    pub fn fresh_request(&self) {
        lock(&self.inner).retries.record_request();
    }

    pub fn take_retry(&self) -> bool {
        lock(&self.inner).retries.try_take()
    }

    pub fn report(&self, target: TargetId, running: u32, waiting: u32) {
        lock(&self.inner)
            .local
            .apply_report(target, running, waiting);
    }

    /// Asks the local view for a place.
    pub fn submit_local(
        &self,
        permit: PermitId,
        deadline_ms: u64,
        avoid: Avoided,
        now_ms: u64,
    ) -> oneshot::Receiver<Verdict> {
        let (verdict, decided) = oneshot::channel();
        let mut inner = lock(&self.inner);
        inner.waiters.insert(permit, verdict);
        inner.local.submit(permit, deadline_ms, avoid);
        drop(inner);
        self.run_local(now_ms);
        decided
    }

    /// Places what there is room for.
    pub fn run_local(&self, now_ms: u64) {
        let mut inner = lock(&self.inner);
        if inner.local.waiting() == 0 {
            return;
        }
        for (permit, verdict) in inner.local.schedule(now_ms) {
            let waiter = inner.waiters.remove(&permit);
            let told = waiter.is_some_and(|waiter| waiter.send(verdict).is_ok());
            if let (false, Verdict::Granted { target }) = (told, verdict) {
                inner.local.closed(target);
            }
        }
    }

    pub fn withdraw_local(&self, permit: PermitId) {
        let mut inner = lock(&self.inner);
        inner.waiters.remove(&permit);
        inner.local.withdraw(permit);
    }

    /// Opens a stream. `counted` says that the local view has counted it already.
    pub fn open(
        self: &Arc<Self>,
        request: AcquireRequest,
        target: TargetKey,
        tokens: u32,
        counted: bool,
    ) -> Permit {
        let tokens = Arc::new(AtomicU32::new(tokens));
        let mut inner = lock(&self.inner);
        if !counted {
            inner.local.opened(target.id);
        }
        let open = Open {
            request,
            target: target.id,
            tokens: tokens.clone(),
            told_tokens: 0,
        };
        inner.open.insert(request.permit, open);
        drop(inner);
        Permit {
            id: request.permit,
            target,
            tokens,
            desk: self.clone(),
            finished: false,
        }
    }

    fn close(&self, permit: &Permit) {
        let mut inner = lock(&self.inner);
        inner.open.remove(&permit.id);
        inner.local.closed(permit.target.id);
        if inner.policy.uses_dispatcher() {
            inner.ended.push(EndedStream {
                serial: permit.id.serial,
                tokens: permit.tokens.load(Ordering::Relaxed),
                finished: permit.finished,
                gaps: GapsSeen::default(),
            });
        }
        drop(inner);
        self.ended.notify_one();
    }

    /// Ends that a request for a permit can carry to `dispatcher`.
    pub fn take_ended(&self, dispatcher: BoxId) -> Vec<EndedStream> {
        let mut inner = lock(&self.inner);
        if inner.told == Some(dispatcher) {
            return std::mem::take(&mut inner.ended);
        }
        // A new dispatcher is told of the open streams at once.
        self.ended.notify_one();
        Vec::new()
    }

    /// What `dispatcher` is to be told now, if anything.
    pub fn report_to(
        &self,
        dispatcher: BoxId,
        own: &BoxCard,
        with_progress: bool,
    ) -> Option<Report> {
        let mut inner = lock(&self.inner);
        if !inner.policy.uses_dispatcher() {
            inner.ended.clear();
            return None;
        }
        if inner.told != Some(dispatcher) {
            inner.told = Some(dispatcher);
            inner.ended.clear();
            return Some(Report::Adopt(adopted(&mut inner)));
        }
        let ended = std::mem::take(&mut inner.ended);
        let progress = match with_progress {
            true => progress(&mut inner),
            false => Vec::new(),
        };
        let quiet = inner.open.is_empty() && ended.is_empty() && inner.asking == 0;
        if quiet || (!with_progress && ended.is_empty()) {
            return None;
        }
        Some(Report::Update(UpdateRequest {
            pool: self.pool,
            progress,
            ended,
            from: own.id,
            life: own.life.0 as u32,
            open_streams: inner.open.len() as u32,
        }))
    }

    /// Has the dispatcher told of everything at the next report.
    pub fn resync(&self) {
        lock(&self.inner).told = None;
    }
}

fn progress(inner: &mut Inner) -> Vec<StreamProgress> {
    let mut progress = Vec::new();
    for (permit, open) in &mut inner.open {
        let tokens = open.tokens.load(Ordering::Relaxed);
        let first = open.told_tokens == 0 && tokens > 0;
        if first || tokens >= open.told_tokens + PROGRESS_TOKENS {
            open.told_tokens = tokens;
            progress.push(StreamProgress {
                serial: permit.serial,
                tokens,
                gaps: GapsSeen::default(),
            });
        }
    }
    progress
}

fn adopted(inner: &mut Inner) -> Vec<AdoptedStream> {
    let mut streams = Vec::with_capacity(inner.open.len());
    for open in inner.open.values_mut() {
        open.told_tokens = open.tokens.load(Ordering::Relaxed);
        streams.push(AdoptedStream {
            request: open.request,
            target: open.target,
            tokens: open.told_tokens,
        });
    }
    streams
}

/// A request that waits for the dispatcher's word.
pub(crate) struct Asking {
    desk: Arc<Desk>,
}

impl Drop for Asking {
    fn drop(&mut self) {
        lock(&self.desk.inner).asking -= 1;
    }
}

/// The permission to run one generation. Dropping it gives it back.
pub(crate) struct Permit {
    pub id: PermitId,
    pub target: TargetKey,
    tokens: Arc<AtomicU32>,
    desk: Arc<Desk>,
    finished: bool,
}

impl Permit {
    pub fn add_token(&self) {
        self.tokens.fetch_add(1, Ordering::Relaxed);
    }

    /// The model ended the answer.
    pub fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let desk = self.desk.clone();
        desk.close(self);
    }
}
