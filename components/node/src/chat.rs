//! Starts generations: permit, engine, stream.

use crate::calls::note_pause;
use crate::desk::{Desk, Permit};
use crate::permits::acquire;
use crate::poller::refresh_desk;
use crate::pump::{Run, pump};
use crate::quarantine::{TargetRun, run_broke, withheld};
use crate::shared::{Node, OpenStreamGuard, Shared, lock};
use crate::spread::spread_target;
use crate::timing::Timing;
use bytes::Bytes;
use callers::{CallerEvent, ChatAnswer, ChatRequest, OpenedStream, StreamAddress, StreamFailure};
use engines::{Endpoint, EngineStream, StartError};
use peers::{AcquireRequest, StateOfTarget, TargetWord};
use prelude::{
    AccountId, Avoided, ModelId, PermitId, PoolId, Refusal, RefusalReason, RequestKey, RunState,
    TargetId,
};
use serde_json::{Value, json};
use settings::ResolvedAccount;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use uuid::Uuid;

/// Events between the engine's side of a stream and its caller's side.
pub(crate) const EVENTS_BUFFERED: usize = 32;
/// Starts of one request on different engines, at the most.
const STARTS_MAX: u32 = 4;
/// Wait between two tries to reach an engine that refused the connection.
const PROBE_PAUSE: Duration = Duration::from_millis(20);

/// A request on its way to an engine; kept to start it again elsewhere.
#[derive(Clone)]
pub(crate) struct Wanted {
    /// The same for each try of the same request.
    pub request: RequestKey,
    pub acquire: AcquireRequest,
    pub deadline_ms: u64,
    pub body: Bytes,
}

/// A generation that runs.
pub(crate) struct Started {
    pub permit: Permit,
    pub endpoint: Endpoint,
    pub generation: Uuid,
    pub stream: EngineStream,
    /// When it was sent to the engine.
    pub began_ms: u64,
}

/// Why a request did not start.
pub(crate) enum NotStarted {
    /// No engine was sent it.
    Refused(Refusal),
    /// An engine may have begun it; nothing of its answer was delivered.
    MayHaveBegun(Refusal),
    Invalid(String),
}

impl NotStarted {
    fn refused(refusal: Refusal, may_have_begun: bool) -> Self {
        match may_have_begun {
            true => Self::MayHaveBegun(refusal),
            false => Self::Refused(refusal),
        }
    }
}

/// The desk of a pool, made with the first request for it.
pub(crate) fn desk_of(shared: &Arc<Shared>, pool: PoolId) -> Arc<Desk> {
    let mut desks = lock(&shared.desks);
    if let Some(desk) = desks.get(&pool) {
        return desk.clone();
    }
    let settings = crate::dispatch::pool_settings(&shared.settings(), pool);
    let seed = u64::from(shared.card.id.0) ^ shared.card.life.0;
    let desk = Arc::new(Desk::new(pool, &settings, seed));
    refresh_desk(shared, &desk);
    tokio::spawn(crate::permits::run_reports(shared.clone(), desk.clone()));
    desks.insert(pool, desk.clone());
    desk
}

impl Node {
    pub(crate) async fn start_chat(&self, account: AccountId, request: ChatRequest) -> ChatAnswer {
        let shared = &self.0;
        let Some(account) = shared.account(account) else {
            return ChatAnswer::Invalid("the account was removed".into());
        };
        let timing = Timing::new(account.id, &account.objectives);
        let refuse = |refusal| {
            shared.record(&timing.sample(None, true, false), &account);
            metrics::counter!("shuntpier_refused_total", "reason" => reason_of(refusal))
                .increment(1);
            ChatAnswer::Refused(refusal)
        };
        let model = ModelId::from_name(&request.model);
        if !shared.settings().models.contains_key(&model) {
            return ChatAnswer::Invalid(format!("no model `{}` is served", request.model));
        }
        let Some(guard) = shared.open_stream(&account) else {
            return refuse(Refusal {
                reason: RefusalReason::TooManyStreams,
                retry_after_ms: Some(1000),
            });
        };
        // Prompts that share a prefix go to one part of the engines, the others by chance.
        let draw = request
            .prefix
            .map_or_else(rand::random, |(prefix, _)| prefix);
        let pool = shared.settings().pool_of(model, shared.region, draw);
        let desk = desk_of(shared, pool);
        desk.fresh_request();
        let wanted = wanted(shared, &account, pool, request);
        match begin(shared, &desk, &wanted, None).await {
            Err(NotStarted::Refused(refusal)) => refuse(refusal),
            Err(NotStarted::Invalid(message)) => ChatAnswer::Invalid(message),
            Err(NotStarted::MayHaveBegun(refusal)) => {
                shared.record(&timing.sample(None, false, true), &account);
                ChatAnswer::Lost(lost_before_first(refusal))
            }
            Ok(started) => {
                let run = Run {
                    shared: shared.clone(),
                    desk,
                    wanted: Some(wanted),
                    account: Arc::new(account),
                    started,
                    timing,
                    delivered: 0,
                };
                ChatAnswer::Stream(open(run, guard))
            }
        }
    }
}

/// An engine was lost before the first chunk, and no other took the request.
pub(crate) fn lost_before_first(refusal: Refusal) -> StreamFailure {
    let reason = refusal.reason.as_str();
    StreamFailure {
        run: RunState::Incomplete,
        message: format!("the engine was lost, and no other took the request: {reason}"),
        delivered: 0,
        retry_after_ms: refusal.retry_after_ms,
    }
}

fn reason_of(refusal: Refusal) -> &'static str {
    refusal.reason.as_str()
}

/// Opens the caller's side of a stream and lets the engine's side run.
pub(crate) fn open(run: Run, guard: OpenStreamGuard) -> OpenedStream {
    let (sender, events) = mpsc::channel(EVENTS_BUFFERED);
    // The channel is empty, so this does not fail.
    let _ = sender.try_send(CallerEvent::Began { seal: run.seal() });
    let work = run.shared.work.clone();
    work.spawn(async move {
        pump(run, sender).await;
        drop(guard);
    });
    OpenedStream { events }
}

fn wanted(
    shared: &Shared,
    account: &ResolvedAccount,
    pool: PoolId,
    request: ChatRequest,
) -> Wanted {
    let limit = account.max_output_tokens;
    let max_tokens = request.max_tokens.unwrap_or(limit).min(limit);
    let model = request.model;
    let mut body = request.body;
    body.insert("stream".into(), Value::Bool(true));
    body.insert("max_tokens".into(), json!(max_tokens));
    body.remove("max_completion_tokens");
    body.insert("priority".into(), json!(i32::from(!account.urgent)));
    // A map of strings to values can be written.
    let body = Bytes::from(serde_json::to_vec(&body).unwrap_or_default());
    let acquire = AcquireRequest {
        pool,
        permit: PermitId::default(),
        account: account.id,
        kind: length_kind(account.urgent, max_tokens),
        prompt_tokens: request.prompt_tokens,
        max_tokens,
        rank: account.rank(),
        waited_ms: 0,
        pause_goal_ms: None,
        wait_left_ms: 0,
        caller_left_ms: 0,
        prefix: request.prefix,
        told_tokens: request.declared_output_tokens,
        avoid: Avoided::default(),
    };
    let request = RequestKey::of(account.id, "chat", &model, "", &body);
    Wanted {
        request,
        acquire,
        deadline_ms: shared.now_ms() + account.first_token_deadline_ms,
        body,
    }
}

/// Requests of one kind have answers of like length: the bound asked for, by doublings, says most.
fn length_kind(urgent: bool, max_tokens: u32) -> u8 {
    let doublings = max_tokens.max(1).ilog2() as u8;
    doublings * 2 + u8::from(urgent)
}

/// The engines that a generation is not to be placed on: one that failed it, and those that asked this box for a pause.
fn avoided(shared: &Shared, failed: Option<TargetId>) -> Avoided {
    let paused = lock(&shared.targets).paused(shared.now_ms());
    failed.into_iter().chain(paused).collect()
}

/// Waits for a permit and starts the generation; where the engine fails before it took the request,
/// goes elsewhere within the retry budget.
pub(crate) async fn begin(
    shared: &Arc<Shared>,
    desk: &Arc<Desk>,
    wanted: &Wanted,
    mut avoid: Option<TargetId>,
) -> Result<Started, NotStarted> {
    let mut may_have_begun = false;
    for start in 0..STARTS_MAX {
        if let Some(refusal) = withheld(shared, wanted.request) {
            return Err(NotStarted::refused(refusal, may_have_begun));
        }
        if start > 0 && !desk.take_retry() {
            let spent = Refusal {
                reason: RefusalReason::RetryBudgetSpent,
                retry_after_ms: Some(1000),
            };
            return Err(NotStarted::refused(spent, may_have_begun));
        }
        let mut request = wanted.acquire;
        request.permit = shared.next_permit();
        request.avoid = avoided(shared, avoid);
        request.wait_left_ms = wanted.deadline_ms.saturating_sub(shared.now_ms()) as u32;
        request.caller_left_ms = request.wait_left_ms;
        let permit = acquire(shared, desk, request)
            .await
            .map_err(|refusal| NotStarted::refused(refusal, may_have_begun))?;
        let Some(target) = shared.target(permit.target.id) else {
            avoid = Some(permit.target.id);
            continue;
        };
        let endpoint = Endpoint {
            key: permit.target,
            address: target.address,
        };
        let generation = Uuid::new_v4();
        let began_ms = shared.now_ms();
        lock(&shared.targets).sent(endpoint.key.id, began_ms);
        let name = generation.simple().to_string();
        let sent = shared
            .engines
            .start(endpoint, &name, wanted.body.clone())
            .await;
        match sent {
            Ok(stream) => {
                note_pause(shared, endpoint.key.id, None, began_ms);
                return Ok(Started {
                    permit,
                    endpoint,
                    generation,
                    stream,
                    began_ms,
                });
            }
            Err(StartError::Refused { status, body, .. }) if (400..429).contains(&status) => {
                let said = String::from_utf8_lossy(&body).into_owned();
                return Err(NotStarted::Invalid(format!("the engine refused: {said}")));
            }
            Err(error @ StartError::Refused { pause_ms, .. }) => {
                may_have_begun |= error.may_have_run();
                note_pause(shared, endpoint.key.id, pause_ms, began_ms);
            }
            Err(StartError::NotReached { .. }) => probe(shared, endpoint).await,
            Err(StartError::NoAnswer { .. }) => {
                // Nothing of it was delivered, so a second generation does no harm.
                may_have_begun = true;
                let run = TargetRun {
                    request: wanted.request,
                    target: endpoint.key,
                    address: endpoint.address,
                    began_ms,
                };
                run_broke(shared, run).await;
                let engines = shared.engines.clone();
                tokio::spawn(async move { engines.cancel(endpoint, &name).await });
            }
        }
        metrics::counter!("shuntpier_restarts_total").increment(1);
        avoid = Some(endpoint.key.id);
    }
    let nowhere = Refusal {
        reason: RefusalReason::NoTarget,
        retry_after_ms: Some(1000),
    };
    Err(NotStarted::refused(nowhere, may_have_begun))
}

/// Tries a second time to reach an engine that could not be reached. A process that does not listen is
/// dead, and the others are told.
pub(crate) async fn probe(shared: &Arc<Shared>, endpoint: Endpoint) {
    tokio::time::sleep(PROBE_PAUSE).await;
    let refused = match shared.engines.load(endpoint.address).await {
        Ok(_) => false,
        Err(error) => error.is_connect(),
    };
    if refused {
        let state = StateOfTarget::Gone;
        let target = endpoint.key;
        spread_target(shared, TargetWord { target, state });
    }
}

/// The prefix of the ids of a stream's events.
pub(crate) fn seal_of(
    shared: &Shared,
    account: AccountId,
    model: ModelId,
    endpoint: Endpoint,
    generation: Uuid,
) -> String {
    shared.seal.seal(StreamAddress {
        account,
        model,
        target: endpoint.key,
        generation: generation.as_u128(),
        entry: shared.card.id,
        address: endpoint.address,
    })
}
