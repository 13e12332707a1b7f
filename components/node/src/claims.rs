//! Records claims: asks the holder of a claim's slot, which batches the claims of many boxes into few
//! writes. Safety does not rest on there being one holder: each claim is a compare-and-swap.

use crate::shared::{Shared, lock};
use peers::{ClaimRequest, ClaimResult, KeyOutcome, OutcomeRecord};
use policy::rendezvous_owner;
use prelude::{BoxId, BoxIncarnation};
use services::{
    CLAIM_SLOTS, Claim, ClaimBatcher, ClaimWriteResult, PendingClaim, RecordedOutcome, claim_role,
    slot_role,
};
use std::sync::Arc;
use std::time::Duration;
use store::{CallBudget, Etcd, KeyValue};
use tokio::sync::{mpsc, oneshot};

/// Claims that may wait to be recorded.
const QUEUE_MAX: usize = 4096;
/// Writes that may be made at once after a quiet time.
const WRITE_BURST: f64 = 4.0;
/// How long a lease is used for new claims, as a part of the retention.
const LEASE_USE_PART: u64 = 10;
const LEASE_TRIES: u32 = 3;
const LEASE_USE_MAX_MS: u64 = 3_600_000;
/// Longest body that is kept with a recorded outcome.
const BODY_KEPT_BYTES: usize = 2048;
/// Time beyond a claim's own for its answer to travel.
const REPLY_SLACK: Duration = Duration::from_millis(200);
const RECORD_LIMIT: Duration = Duration::from_millis(500);

struct Job {
    pending: PendingClaim,
    retention_ms: u64,
    deadline_ms: u64,
    verdict: Option<oneshot::Sender<ClaimWriteResult>>,
}

/// Where claims wait to be recorded by this box.
#[derive(Clone)]
pub(crate) struct ClaimQueue {
    jobs: mpsc::Sender<Job>,
}

/// The other end of the queue.
pub(crate) struct ClaimJobs(mpsc::Receiver<Job>);

impl ClaimQueue {
    pub fn new() -> (Self, ClaimJobs) {
        let (jobs, waiting) = mpsc::channel(QUEUE_MAX);
        (Self { jobs }, ClaimJobs(waiting))
    }
}

/// Records the claims that come to this box, until it closes.
pub(crate) async fn run_writer(shared: Arc<Shared>, store: Etcd, jobs: ClaimJobs) {
    let mut jobs = jobs.0;
    let batcher = ClaimBatcher::new(store.clone());
    let mut budget = CallBudget::new(1.0, WRITE_BURST);
    let mut rate = 1.0;
    let mut leases = Leases::default();
    let mut batch = Vec::new();
    loop {
        let room = batcher.batch_max();
        let received = tokio::select! {
            () = shared.closed.cancelled() => return,
            received = jobs.recv_many(&mut batch, room) => received,
        };
        if received == 0 {
            return;
        }
        let share = write_rate(&shared);
        if share != rate {
            rate = share;
            budget = CallBudget::new(rate, WRITE_BURST);
        }
        while let Err(wait_ms) = budget.take(shared.now_ms()) {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
        // What came while the budget was waited for goes into the same write.
        while batch.len() < room {
            match jobs.try_recv() {
                Ok(job) => batch.push(job),
                Err(_) => break,
            }
        }
        let ready = drop_late(&shared, std::mem::take(&mut batch));
        if ready.is_empty() {
            continue;
        }
        record(&shared, &store, &batcher, &mut leases, ready).await;
    }
}

/// This box's part of the writes that all boxes may make: by the slots that it holds.
fn write_rate(shared: &Shared) -> f64 {
    let members = lock(&shared.members).usable(shared.now_ms());
    let own = shared.card.id;
    let held = (0..CLAIM_SLOTS)
        .filter(|slot| rendezvous_owner(slot_role(*slot), members.clone()) == Some(own));
    let held = held.count().max(1) as f64;
    f64::from(shared.limits().claim_writes_per_s) * held / CLAIM_SLOTS as f64
}

/// Answers the jobs whose time is over without recording them.
fn drop_late(shared: &Shared, batch: Vec<Job>) -> Vec<Job> {
    let now_ms = shared.now_ms();
    let (ready, late): (Vec<Job>, Vec<Job>) =
        batch.into_iter().partition(|job| job.deadline_ms > now_ms);
    for job in late {
        answer(job.verdict, ClaimWriteResult::NotRecorded);
    }
    ready
}

async fn record(
    shared: &Shared,
    store: &Etcd,
    batcher: &ClaimBatcher<Etcd>,
    leases: &mut Leases,
    batch: Vec<Job>,
) {
    let retention_ms = batch
        .iter()
        .map(|job| job.retention_ms)
        .max()
        .unwrap_or(1000);
    let Some(lease) = leases.get(store, retention_ms, shared.now_ms()).await else {
        for job in batch {
            answer(job.verdict, ClaimWriteResult::NotRecorded);
        }
        return;
    };
    let pending: Vec<PendingClaim> = batch.iter().map(|job| job.pending.clone()).collect();
    let verdicts = batcher.record(&pending, lease).await;
    metrics::counter!("shuntpier_claim_batches_total").increment(1);
    metrics::counter!("shuntpier_claims_total").increment(pending.len() as u64);
    for (job, verdict) in batch.into_iter().zip(verdicts) {
        answer(job.verdict, verdict);
    }
}

fn answer(waiter: Option<oneshot::Sender<ClaimWriteResult>>, verdict: ClaimWriteResult) {
    if let Some(waiter) = waiter {
        let _ = waiter.send(verdict);
    }
}

/// Leases under which claims end by themselves, one for each retention.
#[derive(Default)]
struct Leases {
    held: Vec<(u64, u64, u64)>,
}

impl Leases {
    async fn get(&mut self, store: &Etcd, retention_ms: u64, now_ms: u64) -> Option<u64> {
        let use_ms = (retention_ms / LEASE_USE_PART).min(LEASE_USE_MAX_MS);
        let fresh = self.held.iter().find(|(retention, _, granted_ms)| {
            *retention == retention_ms && granted_ms + use_ms > now_ms
        });
        if let Some((_, lease, _)) = fresh {
            return Some(*lease);
        }
        let ttl_s = (retention_ms + use_ms).div_ceil(1000);
        let lease = grant(store, ttl_s).await?;
        self.held
            .retain(|(retention, _, _)| *retention != retention_ms);
        self.held.push((retention_ms, lease, now_ms));
        Some(lease)
    }
}

/// A lease whose answer is lost ends by itself, unused.
async fn grant(store: &Etcd, ttl_s: u64) -> Option<u64> {
    for _ in 0..LEASE_TRIES {
        if let Ok(lease) = store.grant_lease(ttl_s).await {
            return Some(lease);
        }
    }
    None
}

fn claim_of(request: &ClaimRequest, outcome: Option<RecordedOutcome>) -> Claim {
    Claim {
        claimant: request.claimant,
        life: request.life,
        nonce: request.nonce,
        request: request.request,
        outcome,
    }
}

/// Records a claim at this box, whoever asked.
pub(crate) async fn record_here(shared: &Shared, request: &ClaimRequest) -> ClaimResult {
    let (verdict, decided) = oneshot::channel();
    let wait_ms = u64::from(request.wait_left_ms);
    let job = Job {
        pending: PendingClaim {
            fingerprint: request.key,
            claim: claim_of(request, None),
            replaces_revision: request.replaces_revision,
        },
        retention_ms: request.retention_ms,
        deadline_ms: shared.now_ms() + wait_ms,
        verdict: Some(verdict),
    };
    if shared.claim_queue.jobs.try_send(job).is_err() {
        return ClaimResult::NotRecorded;
    }
    match tokio::time::timeout(Duration::from_millis(wait_ms), decided).await {
        Ok(Ok(verdict)) => claim_result(verdict),
        // The job may be under way.
        Ok(Err(_)) | Err(_) => ClaimResult::Unclear,
    }
}

fn claim_result(verdict: ClaimWriteResult) -> ClaimResult {
    match verdict {
        ClaimWriteResult::Won { revision } => ClaimResult::Won { revision },
        ClaimWriteResult::NotRecorded => ClaimResult::NotRecorded,
        ClaimWriteResult::Unclear => ClaimResult::Unclear,
        ClaimWriteResult::Taken {
            by: Some(by),
            revision,
        } => ClaimResult::Taken {
            claimant: by.claimant,
            life: by.life,
            nonce: by.nonce,
            request: by.request,
            revision,
            outcome: by.outcome.map(key_outcome),
        },
        ClaimWriteResult::Taken { by: None, revision } => ClaimResult::Taken {
            claimant: BoxId(0),
            life: BoxIncarnation(0),
            nonce: 0,
            request: 0,
            revision,
            outcome: Some(KeyOutcome::MayHaveRun),
        },
    }
}

fn key_outcome(recorded: RecordedOutcome) -> KeyOutcome {
    match recorded {
        RecordedOutcome::NotRun => KeyOutcome::NotRun,
        RecordedOutcome::MayHaveRun => KeyOutcome::MayHaveRun,
        RecordedOutcome::Done {
            status,
            content_type,
            body,
        } => KeyOutcome::Done {
            status,
            content_type,
            body,
        },
    }
}

fn recorded_outcome(outcome: KeyOutcome) -> Option<RecordedOutcome> {
    match outcome {
        KeyOutcome::NotRun => Some(RecordedOutcome::NotRun),
        KeyOutcome::MayHaveRun => Some(RecordedOutcome::MayHaveRun),
        KeyOutcome::InProgress | KeyOutcome::NotKnown => None,
        KeyOutcome::Done {
            status,
            content_type,
            body,
        } => Some(RecordedOutcome::Done {
            status,
            content_type,
            body: body.filter(|body| body.len() <= BODY_KEPT_BYTES),
        }),
    }
}

/// Records an outcome at this box, some time.
pub(crate) fn record_outcome_here(shared: &Shared, record: OutcomeRecord) {
    let Some(outcome) = recorded_outcome(record.outcome) else {
        return;
    };
    let job = Job {
        pending: PendingClaim {
            fingerprint: record.claim.key,
            claim: claim_of(&record.claim, Some(outcome)),
            replaces_revision: record.revision,
        },
        retention_ms: record.claim.retention_ms,
        deadline_ms: u64::MAX,
        verdict: None,
    };
    let _ = shared.claim_queue.jobs.try_send(job);
}

/// The box that records a claim, as this box sees it.
fn holder(shared: &Shared, fingerprint: u128) -> BoxId {
    let members = lock(&shared.members).usable(shared.now_ms());
    rendezvous_owner(claim_role(fingerprint), members).unwrap_or(shared.card.id)
}

/// Claims a key, through the holder of its slot; where that cannot be reached, directly.
pub(crate) async fn claim(shared: &Arc<Shared>, mut request: ClaimRequest) -> ClaimResult {
    if shared.store.is_none() {
        return ClaimResult::NotRecorded;
    }
    let began_ms = shared.now_ms();
    let holder = holder(shared, request.key);
    if holder == shared.card.id {
        return record_here(shared, &request).await;
    }
    // A third of the time is for the holder; the rest is left for the direct way.
    let limit_ms = request.wait_left_ms / 3;
    let mut asked = request.clone();
    asked.wait_left_ms = limit_ms;
    let limit = Duration::from_millis(u64::from(limit_ms)) + REPLY_SLACK;
    let call = shared
        .peers
        .call(holder, limit, |client, context| async move {
            client.claim(context, asked).await
        });
    match call.await {
        Ok(ClaimResult::Unclear | ClaimResult::NotRecorded) => {}
        Ok(result) => return result,
        Err(_) => shared.suspect(holder),
    }
    let elapsed_ms = (shared.now_ms() - began_ms) as u32;
    request.wait_left_ms = request.wait_left_ms.saturating_sub(elapsed_ms);
    record_here(shared, &request).await
}

/// Has an outcome recorded, through the holder of the slot. It may be lost, and the outcome is then
/// known only to this box.
pub(crate) async fn record_outcome(shared: &Arc<Shared>, record: OutcomeRecord) {
    let holder = holder(shared, record.claim.key);
    if holder == shared.card.id {
        record_outcome_here(shared, record);
        return;
    }
    let kept = record.clone();
    let call = shared
        .peers
        .call(holder, RECORD_LIMIT, |client, context| async move {
            client.record_outcome(context, record).await
        });
    if call.await.is_err() {
        record_outcome_here(shared, kept);
    }
}
