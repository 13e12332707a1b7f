//! Calls of plain services. One that may not be repeated is sent only under a claim, and never again
//! once a byte of it may have gone out.

use crate::claimant::{Found, settled};
use crate::once::OnceCall;
use crate::quarantine::{TargetRun, run_broke, served, withheld};
use crate::shared::{Node, Shared, lock};
use callers::{ServiceAnswer, ServiceCall};
use peers::KeyOutcome;
use policy::EngineState;
use prelude::{AccountId, Refusal, RefusalReason, RequestKey, ServiceId, TargetId};
use rand::Rng;
use services::{CallError, KeyAge, ServiceRequest, ServiceResponse, fingerprint, key_age};
use settings::{ResolvedAccount, ResolvedService};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Workers that are tried when one cannot be reached.
const WORKERS_TRIED: usize = 3;
/// When a refused caller is told to come back, where no worker says so.
const NO_WORKER_RETRY_MS: u64 = 1_000;
/// No worker is there.
const NOWHERE: Sent = Sent::Nowhere {
    retry_after_ms: None,
};

impl Node {
    pub(crate) async fn call_service(
        &self,
        account: AccountId,
        call: ServiceCall,
    ) -> ServiceAnswer {
        let shared = &self.0;
        let settings = shared.settings();
        let Some(account) = shared.account(account) else {
            return ServiceAnswer::Invalid("the account was removed".into());
        };
        let Some(service) = settings.services.get(&ServiceId::from_name(&call.service)) else {
            return ServiceAnswer::NoService;
        };
        let deadline_ms = shared.now_ms() + account.call_deadline_ms;
        let request = key_of(account.id, &call);
        if let Some(refusal) = withheld(shared, request) {
            return refused(refusal.reason, refusal.retry_after_ms);
        }
        if service.repeatable {
            return call_repeatable(shared, service, request, call, deadline_ms).await;
        }
        let Some(key) = call.key.clone() else {
            return ServiceAnswer::Invalid(
                "calls of this service may not be repeated: send an `Idempotency-Key`".into(),
            );
        };
        if key_age(&key, shared.clock.unix_ms(), service.key_retention_ms) == KeyAge::Expired {
            return refused(RefusalReason::KeyExpired, None);
        }
        call_once(shared, &account, service, &key, call, deadline_ms).await
    }
}

pub(crate) fn refused(reason: RefusalReason, retry_after_ms: Option<u64>) -> ServiceAnswer {
    metrics::counter!("shuntpier_refused_total", "reason" => reason.as_str()).increment(1);
    ServiceAnswer::Refused(Refusal {
        reason,
        retry_after_ms,
    })
}

/// Refuses a call that no worker takes.
pub(crate) fn no_worker(retry_after_ms: Option<u64>) -> ServiceAnswer {
    let retry_after_ms = retry_after_ms.unwrap_or(NO_WORKER_RETRY_MS);
    refused(RefusalReason::NoTarget, Some(retry_after_ms))
}

pub(crate) fn unknown() -> ServiceAnswer {
    metrics::counter!("shuntpier_unknown_total").increment(1);
    ServiceAnswer::Unknown(
        "the call may have run and will not be run again under this key; ask the service itself"
            .into(),
    )
}

pub(crate) fn request_of(call: &ServiceCall) -> ServiceRequest {
    ServiceRequest {
        method: call.method.clone(),
        path: call.path.clone(),
        key: call.key.clone(),
        content_type: call.content_type.clone(),
        body: call.body.clone(),
    }
}

pub(crate) fn left(shared: &Shared, deadline_ms: u64) -> Duration {
    Duration::from_millis(deadline_ms.saturating_sub(shared.now_ms()))
}

/// The better of two live workers drawn at random, by this box's own calls.
///
/// # Errors
/// There is none; when one that asked for a pause takes calls again, from now.
fn choose_worker(
    shared: &Shared,
    service: &ResolvedService,
    avoid: &[TargetId],
) -> Result<TargetId, Option<u64>> {
    let now_ms = shared.now_ms();
    let settings = shared.settings();
    let targets = lock(&shared.targets);
    let takes_work = |id: &&TargetId| {
        let leaves = settings.targets.get(id).is_none_or(|target| target.leave);
        !leaves && !avoid.contains(id) && targets.state(**id) == EngineState::Live
    };
    let live: Vec<TargetId> = service.targets.iter().filter(takes_work).copied().collect();
    let pause_left_ms = |id: &TargetId| targets.pause_left_ms(*id, now_ms);
    let first_ms = live.iter().filter_map(pause_left_ms).min();
    let live: Vec<TargetId> = live
        .into_iter()
        .filter(|id| pause_left_ms(id).is_none())
        .collect();
    if live.is_empty() {
        return Err(first_ms);
    }
    let mut rng = rand::rng();
    let first = live[rng.random_range(0..live.len())];
    let second = live[rng.random_range(0..live.len())];
    let fewer = targets.own_open(second) < targets.own_open(first);
    Ok(if fewer { second } else { first })
}

/// Counts a call at a worker until it is dropped.
struct OpenCall<'a> {
    shared: &'a Shared,
    target: TargetId,
}

impl<'a> OpenCall<'a> {
    fn new(shared: &'a Shared, target: TargetId) -> Self {
        lock(&shared.targets).opened(target);
        Self { shared, target }
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        lock(&self.shared.targets).closed(self.target);
    }
}

/// How a call went that was sent at most once.
pub(crate) enum Sent {
    Answered(ServiceResponse),
    /// To no worker.
    Nowhere {
        /// When one takes calls again that asked for a pause, from now.
        retry_after_ms: Option<u64>,
    },
    MayHaveRun,
}

/// Sends a call to one worker after the other, until one may have got a byte of it.
pub(crate) async fn send_once(
    shared: &Arc<Shared>,
    service: &ResolvedService,
    key: RequestKey,
    request: &ServiceRequest,
    deadline_ms: u64,
) -> Sent {
    let mut avoid = Vec::new();
    for _ in 0..WORKERS_TRIED {
        let id = match choose_worker(shared, service, &avoid) {
            Ok(id) => id,
            Err(retry_after_ms) => return Sent::Nowhere { retry_after_ms },
        };
        let Some(target) = shared.target(id) else {
            return NOWHERE;
        };
        let limit = left(shared, deadline_ms);
        if limit.is_zero() {
            return NOWHERE;
        }
        let sent_ms = shared.now_ms();
        lock(&shared.targets).sent(id, sent_ms);
        let _open = OpenCall::new(shared, id);
        let run = TargetRun {
            request: key,
            target: lock(&shared.targets).key(id),
            address: target.address,
            began_ms: sent_ms,
        };
        let sent = shared
            .services
            .call(target.address, request, service.repeatable, limit)
            .await;
        match sent {
            Ok(response) => {
                if response.status < 500 {
                    served(shared, key);
                }
                note_pause(shared, id, response.pause_ms, sent_ms);
                return Sent::Answered(response);
            }
            Err(CallError::NotSent { .. }) => avoid.push(id),
            Err(error @ CallError::MayHaveRun { .. }) => {
                slog::warn!(shared.log, "a call may have run";
                    "target" => &target.name, "request" => %key, "error" => %error);
                run_broke(shared, run).await;
                return Sent::MayHaveRun;
            }
        }
    }
    NOWHERE
}

/// Notes the pause that a target asked for, or that it took what was sent.
pub(crate) fn note_pause(shared: &Shared, id: TargetId, pause_ms: Option<u64>, sent_ms: u64) {
    let now_ms = shared.now_ms();
    let mut targets = lock(&shared.targets);
    match pause_ms {
        Some(pause_ms) => targets.asked_for_pause(id, pause_ms, now_ms),
        None => targets.took(id, sent_ms),
    }
    drop(targets);
    if let Some(pause_ms) = pause_ms {
        slog::info!(shared.log, "target asks for a pause"; "target" => id.0, "pause_ms" => pause_ms);
    }
}

async fn call_repeatable(
    shared: &Arc<Shared>,
    service: &ResolvedService,
    key: RequestKey,
    call: ServiceCall,
    deadline_ms: u64,
) -> ServiceAnswer {
    let request = request_of(&call);
    for sent in 0..WORKERS_TRIED {
        if sent > 0 && withheld(shared, key).is_some() {
            break;
        }
        match send_once(shared, service, key, &request, deadline_ms).await {
            Sent::Answered(response) => return done(response, false),
            Sent::Nowhere { retry_after_ms } => return no_worker(retry_after_ms),
            Sent::MayHaveRun => {}
        }
    }
    unknown()
}

pub(crate) fn done(response: ServiceResponse, replayed: bool) -> ServiceAnswer {
    ServiceAnswer::Done {
        status: response.status,
        content_type: response.content_type,
        body: response.body,
        replayed,
    }
}

/// The answer to a request whose key is known.
pub(crate) fn answer_of(outcome: KeyOutcome) -> ServiceAnswer {
    match outcome {
        KeyOutcome::Done {
            status,
            content_type,
            body: Some(body),
        } => ServiceAnswer::Done {
            status,
            content_type,
            body: body.into(),
            replayed: true,
        },
        KeyOutcome::Done {
            status, body: None, ..
        } => ServiceAnswer::Unknown(format!(
            "the call ran, with status {status}; its answer was too long to be kept"
        )),
        KeyOutcome::NotRun => refused(RefusalReason::ClaimUnavailable, Some(1000)),
        KeyOutcome::MayHaveRun | KeyOutcome::NotKnown => unknown(),
        KeyOutcome::InProgress => ServiceAnswer::Unknown(
            "a call with this key is still in progress; ask again with the same key".into(),
        ),
    }
}

async fn call_once(
    shared: &Arc<Shared>,
    account: &ResolvedAccount,
    service: &ResolvedService,
    key: &str,
    call: ServiceCall,
    deadline_ms: u64,
) -> ServiceAnswer {
    let fingerprint = fingerprint(service.id, account.id, key);
    let request = request_fingerprint(&call);
    match shared.claimant.begin(fingerprint, request) {
        Found::Other => return ServiceAnswer::KeyReused,
        Found::Same(outcome) => {
            return answer_of(settled(outcome, left(shared, deadline_ms)).await);
        }
        Found::Begun => {}
    }
    // The call goes on when its caller goes away, so that its outcome is known.
    let work = OnceCall {
        shared: shared.clone(),
        service: service.clone(),
        fingerprint,
        request,
        key: key_of(account.id, &call),
        call,
        deadline_ms,
    };
    let running = shared.work.spawn(work.run());
    running.await.unwrap_or_else(|_| unknown())
}

/// The same for each try of the same call, whatever `Idempotency-Key` it carries.
pub(crate) fn key_of(account: AccountId, call: &ServiceCall) -> RequestKey {
    RequestKey::of(account, &call.method, &call.service, &call.path, &call.body)
}

fn request_fingerprint(call: &ServiceCall) -> u64 {
    let mut bytes = Vec::with_capacity(call.body.len() + call.path.len() + 16);
    bytes.extend_from_slice(call.method.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(call.path.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(&call.body);
    xxh3_64(&bytes)
}
