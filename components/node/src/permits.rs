//! The entry side of permits: asks the pool's dispatcher, turns to the next box when it is silent, and
//! falls back on the local view when that is silent too. A request is never held up by a dispatcher
//! that is gone.

use crate::desk::{Desk, Permit, Report};
use crate::dispatch::{Adopt, Update, Withdraw, acquire_here, dispatcher};
use crate::shared::{Shared, lock};
use peers::{AcquireRequest, PeerError, PermitReply, UpdateReply};
use policy::{Verdict, rendezvous_owner};
use prelude::{BoxId, PermitId, PoolId, Refusal, RefusalReason, TargetKey};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// How long a dispatcher may hold back its first word.
const FIRST_WAIT_MS: u32 = 80;
/// How long it may hold back a later one. That it is alive shows in its answers to reports.
const LATER_WAIT_MS: u32 = 4_000;
/// Time beyond that after which it is taken for silent.
const REPLY_SLACK_MS: u32 = 120;
/// Dispatchers that are tried before the local view is used.
const DISPATCHERS_TRIED: u32 = 2;
/// How long the local view is kept fresh after it was used.
const FALLBACK_MS: u64 = 3_000;
/// How often progress is told.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);
/// How long the end of a stream waits for a request that can carry it.
const ENDED_PAUSE: Duration = Duration::from_millis(40);
const UPDATE_LIMIT: Duration = Duration::from_millis(300);
const WITHDRAW_LIMIT: Duration = Duration::from_millis(500);

/// The role of a pool's dispatcher, for rendezvous hashing.
fn role(pool: PoolId) -> u64 {
    let mut bytes = [0; 18];
    bytes[..8].copy_from_slice(&pool.model.0.to_le_bytes());
    bytes[8..16].copy_from_slice(&pool.region.0.to_le_bytes());
    bytes[16..].copy_from_slice(&pool.shard.to_le_bytes());
    xxh3_64(&bytes)
}

/// The box that dispatches a pool, as this box sees it.
pub(crate) fn dispatcher_of(shared: &Shared, pool: PoolId) -> Option<BoxId> {
    let members = lock(&shared.members);
    rendezvous_owner(role(pool), members.usable(shared.now_ms()))
}

/// Waits for permission to run a request.
///
/// # Errors
/// Why it is refused.
pub(crate) async fn acquire(
    shared: &Arc<Shared>,
    desk: &Arc<Desk>,
    request: AcquireRequest,
) -> Result<Permit, Refusal> {
    let now_ms = shared.now_ms();
    let began_ms = now_ms;
    desk.used(now_ms);
    let deadline_ms = now_ms + u64::from(request.wait_left_ms);
    if !desk.policy().uses_dispatcher() {
        return acquire_locally(shared, desk, request, deadline_ms).await;
    }
    let mut tried = 0;
    let mut wait_ms = FIRST_WAIT_MS;
    loop {
        let now_ms = shared.now_ms();
        if now_ms >= deadline_ms {
            withdraw_later(shared, request.pool, request.permit, None);
            return Err(deadline_passed());
        }
        let Some(holder) =
            dispatcher_of(shared, request.pool).filter(|_| tried < DISPATCHERS_TRIED)
        else {
            desk.fall_back(now_ms + FALLBACK_MS);
            metrics::counter!("shuntpier_permit_fallbacks_total").increment(1);
            return acquire_locally(shared, desk, request, deadline_ms).await;
        };
        let mut asked = request;
        asked.wait_left_ms = (deadline_ms - now_ms) as u32;
        // A dispatcher that is new takes the caller's own time of coming.
        asked.waited_ms = request.waited_ms + (now_ms - began_ms) as u32;
        let guard = WithdrawOnDrop::new(shared, holder, &request);
        let asking = desk.asks();
        let reply = tokio::select! {
            reply = ask(shared, desk, holder, asked, wait_ms) => reply,
            () = silent_holder(shared, desk, holder) => Err(PeerError::NotKnown(holder)),
        };
        drop(asking);
        match reply {
            Ok(PermitReply::Granted { target }) => {
                guard.disarm();
                return Ok(desk.open(request, target, 0, false));
            }
            Ok(PermitReply::Refused(refusal) | PermitReply::RefusedBehind(refusal, _)) => {
                guard.disarm();
                return Err(refusal);
            }
            Ok(PermitReply::Waiting { .. }) => {
                guard.disarm();
                wait_ms = LATER_WAIT_MS.min(asked.wait_left_ms);
            }
            Err(error) => {
                // The guard takes the request back, should the dispatcher have it.
                slog::info!(shared.log, "a dispatcher is silent";
                    "box" => holder.0, "error" => %error);
                shared.suspect(holder);
                tried += 1;
                wait_ms = FIRST_WAIT_MS;
            }
        }
    }
}

/// Resolves when `holder` is no longer the box to wait for.
async fn silent_holder(shared: &Arc<Shared>, desk: &Arc<Desk>, holder: BoxId) {
    loop {
        desk.silent.notified().await;
        if dispatcher_of(shared, desk.pool) != Some(holder) {
            return;
        }
    }
}

async fn ask(
    shared: &Arc<Shared>,
    desk: &Arc<Desk>,
    holder: BoxId,
    request: AcquireRequest,
    wait_ms: u32,
) -> Result<PermitReply, PeerError> {
    let ended = desk.take_ended(holder);
    if holder == shared.card.id {
        let wait = Duration::from_millis(u64::from(wait_ms));
        return Ok(acquire_here(shared, request, wait, ended).await);
    }
    let carried = !ended.is_empty();
    let limit = Duration::from_millis(u64::from(wait_ms + REPLY_SLACK_MS));
    let call = |client: peers::PeerClient, context| async move {
        client.acquire(context, request, wait_ms, ended).await
    };
    let reply = shared.peers.call(holder, limit, call).await;
    if reply.is_err() && carried {
        // Whether the ends arrived is not known.
        desk.resync();
    }
    reply
}

async fn acquire_locally(
    shared: &Arc<Shared>,
    desk: &Arc<Desk>,
    request: AcquireRequest,
    deadline_ms: u64,
) -> Result<Permit, Refusal> {
    let now_ms = shared.now_ms();
    let waiting = LocalWait {
        desk: desk.clone(),
        permit: request.permit,
    };
    let decided = desk.submit_local(request.permit, deadline_ms, request.avoid, now_ms);
    let verdict = decided.await;
    drop(waiting);
    match verdict {
        Ok(Verdict::Granted { target }) => {
            let target = lock(&shared.targets).key(target);
            Ok(desk.open(request, target, 0, true))
        }
        Ok(Verdict::Refused(refusal)) => Err(refusal),
        Err(_) => Err(deadline_passed()),
    }
}

/// Takes a request back from the local view when its caller has gone.
struct LocalWait {
    desk: Arc<Desk>,
    permit: PermitId,
}

impl Drop for LocalWait {
    fn drop(&mut self) {
        self.desk.withdraw_local(self.permit);
    }
}

fn deadline_passed() -> Refusal {
    Refusal {
        reason: RefusalReason::DeadlinePassed,
        retry_after_ms: Some(1000),
    }
}

/// Takes a request back from a dispatcher when its caller goes while it is asked, or when the
/// dispatcher's word was lost.
struct WithdrawOnDrop<'a> {
    shared: &'a Arc<Shared>,
    holder: BoxId,
    pool: PoolId,
    permit: PermitId,
    armed: bool,
}

impl<'a> WithdrawOnDrop<'a> {
    fn new(shared: &'a Arc<Shared>, holder: BoxId, request: &AcquireRequest) -> Self {
        Self {
            shared,
            holder,
            pool: request.pool,
            permit: request.permit,
            armed: true,
        }
    }

    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for WithdrawOnDrop<'_> {
    fn drop(&mut self) {
        if self.armed {
            withdraw_later(self.shared, self.pool, self.permit, Some(self.holder));
        }
    }
}

/// Takes a request back, at `holder` or at whoever dispatches now.
fn withdraw_later(shared: &Arc<Shared>, pool: PoolId, permit: PermitId, holder: Option<BoxId>) {
    let Some(holder) = holder.or_else(|| dispatcher_of(shared, pool)) else {
        return;
    };
    let shared = shared.clone();
    tokio::spawn(async move {
        if holder == shared.card.id {
            let _ = dispatcher(&shared, pool).send(Withdraw(permit)).await;
            return;
        }
        let call = shared
            .peers
            .call(holder, WITHDRAW_LIMIT, |client, context| async move {
                client.withdraw(context, pool, permit).await
            });
        let _ = call.await;
    });
}

/// Tells dispatchers of the progress and the ends of one pool's streams, until the box closes.
pub(crate) async fn run_reports(shared: Arc<Shared>, desk: Arc<Desk>) {
    let mut ticks = tokio::time::interval(PROGRESS_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        let with_progress = tokio::select! {
            () = shared.closed.cancelled() => return,
            _ = ticks.tick() => true,
            () = desk.ended.notified() => {
                desk.run_local(shared.now_ms());
                tokio::time::sleep(ENDED_PAUSE).await;
                false
            }
        };
        let Some(holder) = dispatcher_of(&shared, desk.pool) else {
            continue;
        };
        let Some(report) = desk.report_to(holder, &shared.card, with_progress) else {
            continue;
        };
        if matches!(report, Report::Adopt(_)) {
            // Requests that wait at the dispatcher before this one must ask anew.
            desk.silent.notify_waiters();
        }
        match tell(&shared, holder, desk.pool, report).await {
            Ok(UpdateReply { resync: false }) => {}
            Ok(UpdateReply { resync: true }) => desk.resync(),
            Err(_) => {
                shared.suspect(holder);
                desk.resync();
                desk.silent.notify_waiters();
            }
        }
    }
}

async fn tell(
    shared: &Arc<Shared>,
    holder: BoxId,
    pool: PoolId,
    report: Report,
) -> Result<UpdateReply, PeerError> {
    let own = shared.card.id;
    let here = holder == own;
    match report {
        Report::Update(update) if here => {
            let sent = dispatcher(shared, pool).send(Update(update)).await;
            Ok(sent.unwrap_or_default())
        }
        Report::Adopt(streams) if here => {
            let _ = dispatcher(shared, pool).send(Adopt(own, streams)).await;
            Ok(UpdateReply::default())
        }
        Report::Update(update) => {
            let call = |client: peers::PeerClient, context| async move {
                client.update(context, update).await
            };
            shared.peers.call(holder, UPDATE_LIMIT, call).await
        }
        Report::Adopt(streams) => {
            let call = |client: peers::PeerClient, context| async move {
                client.adopt(context, own, pool, streams).await
            };
            shared.peers.call(holder, UPDATE_LIMIT, call).await?;
            Ok(UpdateReply::default())
        }
    }
}

/// A request for a permit to go on with a stream that runs already.
pub(crate) fn adopt_open(
    desk: &Arc<Desk>,
    request: AcquireRequest,
    target: TargetKey,
    tokens: u32,
) -> Permit {
    let permit = desk.open(request, target, tokens, false);
    desk.resync();
    permit
}
