//! Serves generations: acquires a permit, starts the generation at one engine and streams its events to the caller. A
//! generation whose engine leaves resumes at another (see [`crate::migration::migrator`]).

use crate::buffered::BufferReservation;
use crate::dispatch::dispatcher::refusal;
use crate::dispatch::permits::{Permit, PermitDemand};
use crate::forwarding::admission::SendKind;
use crate::forwarding::attempt::NO_MEMORY;
use crate::forwarding::open_response::OpenResponse;
use crate::forwarding::outcome::TargetOutcome;
use crate::forwarding::relay_stream::{RelayedEnd, relay_generation};
use crate::forwarding::retries::RetryTicket;
use crate::forwarding::send::{ChannelChoice, NotRun, OutgoingRequest, SendResult};
use crate::forwarding::stream::StreamForwarder;
use crate::ingress::accept::{ChannelAction, count_response, write_local_reply, write_reply};
use crate::ingress::request::{IncomingRequest, LocalReply, Reply, ResolvedRoute};
use crate::ingress::settled::SettledReply;
use crate::ingress::stopping::{
    refuse_if_stopping, refuse_waiting_if_stopping, wait_until_refused,
};
use crate::membership::gossip::broadcast_digest;
use crate::quarantine::broken_runs::{RunFailure, RunProgress};
use crate::state::Relay;
use crate::watch::targets::{Target, TargetSlot};
use http1::Channel;
use peers::EngineFault;
use platform::{
    Continuation, ForwardOptions, PRIORITY_MAX, forwarded_request_head, forwarded_response_head,
};
use prelude::{Avoided, Refusal, RefusalReason, TargetId};
use settings::Mechanism;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Maximum number of engines attempted for one generation, including those that refuse it.
const MAX_ATTEMPTS: usize = 3;
/// Network time of a request to its engine plus that of the first token to the caller. The first token is due at the
/// engine this much before its goal.
const TRANSIT_MS: u64 = 40;
/// Number of length classes per doubling of a caller's length hint.
const LENGTH_CLASSES_PER_DOUBLING: f64 = 2.0;
/// The last length class, which includes all longer hints.
const MAX_LENGTH_CLASS: u8 = 31;
/// Number of distinguished ranks; less urgent ranks count as the last.
const RANK_COUNT: u8 = 7;
/// An engine that has not started to answer after this time is suspected: three times the median start time.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Why a generation was cancelled at its engine before it began: another engine crashed under a part of its prompt.
pub(crate) const TAKEN_BACK: &str = "engines end under a part of this prompt";
/// The kind of generations without a length hint; ranks count down from here.
const UNKNOWN_LENGTH_KIND: u8 = 255;

/// Serves a generation.
pub(crate) async fn serve_generation(
    relay: &Rc<Relay>,
    caller: &mut Channel,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
) -> ChannelAction {
    if let Some(local) = refuse_if_stopping(relay, incoming, resolved) {
        return reply_not_started(relay, caller, incoming, resolved, local).await;
    }
    if !incoming.is_relayed {
        relay.record_request(&resolved.service().name);
    }
    let started = tokio::select! {
        started = start_generation(relay, incoming, resolved) => started,
        () = caller.gone() => {
            slog::info!(relay.log, "caller left before its answer"; "id" => incoming.id(),
                "after_ms" => incoming.arrival.elapsed_ms(relay.now_ms()));
            metrics::counter!("shuntpier_callers_left").increment(1);
            return ChannelAction::Drop;
        }
    };
    match started {
        StartResult::Relayed(retry) => {
            match relay_generation(relay, caller, incoming, resolved, retry.as_ref()).await {
                RelayedEnd::Delivered(action) => action,
                RelayedEnd::LocalReply(local) => {
                    reply_not_started(relay, caller, incoming, resolved, local).await
                }
            }
        }
        StartResult::LocalReply(local) => {
            reply_not_started(relay, caller, incoming, resolved, local).await
        }
        StartResult::OpenResponse(response, permit)
            if response.head.status == 200 && response.is_verified() =>
        {
            let forwarder = StreamForwarder::new(relay, incoming, resolved, permit);
            forwarder.run(caller, *response).await
        }
        StartResult::OpenResponse(response, _) => {
            forward_response(relay, caller, incoming, resolved, *response).await
        }
    }
}

async fn reply_not_started(
    relay: &Rc<Relay>,
    caller: &mut Channel,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
    local: LocalReply,
) -> ChannelAction {
    let local = relay.caller_reply(local).settle(&incoming.sends);
    slog::info!(relay.log, "generation not begun"; "id" => incoming.id(), "request" => %incoming.key,
        "parts" => incoming.shared_part_ids(),
        "account" => resolved.account_name(), "rank" => resolved.rank(),
        "status" => local.status(), "why" => local.why(), "retry_after_ms" => local.retry_after_ms(),
        "after_ms" => incoming.arrival.elapsed_ms(relay.now_ms()));
    count_response(local.status(), "own");
    write_local_reply(relay, caller, incoming, local, false).await
}

/// Forwards a response that is not an event stream.
async fn forward_response(
    relay: &Rc<Relay>,
    caller: &mut Channel,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
    mut response: OpenResponse,
) -> ChannelAction {
    let status = response.head.status;
    let verified = response.is_verified() && status != 200;
    let mut memory = BufferReservation::new(&relay.memory, Some(resolved.account_id()));
    let deadline_ms = incoming.deadline_ms(resolved.route());
    let remaining = Duration::from_millis(deadline_ms.saturating_sub(relay.now_ms()));
    let body_result = timeout(remaining, response.read_body(&mut memory)).await;
    let reply = match body_result {
        Ok(Ok(body)) if verified => {
            let head = forwarded_response_head(&response.head);
            response.recycle_channel(relay);
            Reply {
                status,
                head,
                body,
                local: None,
                memory: Some(Rc::new(memory)),
            }
        }
        body_result => {
            let local = match body_result {
                Err(_) if memory.is_blocked() => {
                    metrics::counter!("shuntpier_answers_without_memory").increment(1);
                    LocalReply::MayHaveRun(NO_MEMORY)
                }
                Err(_) => LocalReply::DeadlineExceeded,
                Ok(Err(why)) => LocalReply::MayHaveRun(why),
                Ok(Ok(_)) => LocalReply::MayHaveRun("the answer is not the target's own"),
            };
            Reply::local(local, incoming.facts.request_id.as_deref())
        }
    };
    let reply = SettledReply::new(incoming, reply);
    slog::info!(relay.log, "generation failed"; "id" => incoming.id(), "status" => reply.status(),
        "engine_status" => status, "why" => reply.why(), "vouched" => verified, "after_ms" => incoming.arrival.elapsed_ms(relay.now_ms()));
    count_response(reply.status(), "generation");
    write_reply(relay, caller, incoming, reply, false).await
}

enum StartResult {
    /// Not run: another box is to serve it, with the retry taken for that if an engine received it before.
    Relayed(Option<RetryTicket>),
    OpenResponse(Box<OpenResponse>, Permit),
    LocalReply(LocalReply),
}

impl StartResult {
    /// The result for a generation whose engines this box cannot reach: another box is asked once.
    async fn unreachable(
        relay: &Rc<Relay>,
        incoming: &IncomingRequest,
        resolved: &ResolvedRoute,
        reached_target: bool,
    ) -> Self {
        if incoming.is_relayed {
            return Self::LocalReply(LocalReply::Unreachable);
        }
        if let Some(local) = refuse_waiting_if_stopping(relay, incoming, resolved) {
            return Self::LocalReply(local);
        }
        match retry_if(reached_target, relay, incoming, resolved).await {
            Ok(retry) => Self::Relayed(retry),
            Err(local) => Self::LocalReply(local),
        }
    }
}

fn not_run_reply(refusal: Refusal) -> LocalReply {
    LocalReply::NotRun {
        why: refusal.reason.as_str(),
        retry_after_ms: refusal.retry_after_ms.unwrap_or(1_000),
    }
}

/// Takes a retry from the budget if an engine received the generation before.
async fn retry_if(
    reached_target: bool,
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
) -> Result<Option<RetryTicket>, LocalReply> {
    if !reached_target {
        return Ok(None);
    }
    let service = &resolved.service().name;
    let taken = relay.take_retry(service, incoming.id()).await;
    let spent = || not_run_reply(refusal(RefusalReason::RetryBudgetSpent));
    taken.map(Some).ok_or_else(spent)
}

/// The kind of a generation, by rank and length hint. Answers of one kind have similar lengths.
fn length_kind(guess_tokens: Option<u32>, rank: u8) -> u8 {
    let Some(hint) = guess_tokens else {
        return UNKNOWN_LENGTH_KIND - rank.min(RANK_COUNT);
    };
    let class = (f64::from(hint.max(1)).log2() * LENGTH_CLASSES_PER_DOUBLING) as u8;
    class.min(MAX_LENGTH_CLASS) * RANK_COUNT + rank.min(RANK_COUNT - 1)
}

/// Acquires a permit and starts the generation at its engine, with retries at other engines.
async fn start_generation(
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
) -> StartResult {
    let route = resolved.route();
    let generation = incoming.facts.generation.clone().unwrap_or_default();
    let length_hint = generation
        .guess_tokens
        .filter(|_| relay.settings().has(Mechanism::Guesses));
    let due_ms = incoming.deadline_ms(route);
    let goal_ms = route.answer_goal_ms;
    let wait_ms = match relay.settings().has(Mechanism::WaitForecast) {
        true => goal_ms.saturating_sub(TRANSIT_MS),
        false => relay.completion.borrow().max_wait_ms(goal_ms),
    };
    let wait_until_ms = incoming.arrival.plus_ms(wait_ms);
    let mut failed_engine: Option<TargetId> = None;
    let mut last_refusal = refusal(RefusalReason::Crowded);
    let mut reached_target = false;
    for _ in 0..MAX_ATTEMPTS {
        let now_ms = relay.now_ms();
        let service = &resolved.service().name;
        if relay.relays(service) {
            return StartResult::unreachable(relay, incoming, resolved, reached_target).await;
        }
        if let Some(retry_after_ms) = relay.first_backoff_end_ms(service, wait_until_ms) {
            last_refusal.retry_after_ms = Some(retry_after_ms);
            break;
        }
        let want = PermitDemand {
            id: incoming.id(),
            service: &resolved.service().name,
            account: resolved.account_id(),
            kind: length_kind(length_hint, resolved.rank()),
            prompt_tokens: generation.prompt_tokens,
            max_tokens: generation.most_tokens,
            rank: resolved.rank(),
            arrival: incoming.arrival,
            pause_goal_ms: route.pause_goal_ms,
            wait_deadline_ms: wait_until_ms.min(due_ms),
            caller_deadline_ms: due_ms,
            avoid: relay.engines_to_avoid(service, failed_engine),
        };
        let retry = match retry_if(reached_target, relay, incoming, resolved).await {
            Ok(retry) => retry,
            Err(local) => return StartResult::LocalReply(local),
        };
        let requested_ms = now_ms;
        let acquired = tokio::select! {
            acquired = relay.acquire(&want) => acquired,
            () = relay.wait_until_relayed(service) => {
                drop(retry);
                return StartResult::unreachable(relay, incoming, resolved, reached_target).await;
            }
            () = relay.wait_until_withheld(incoming) => {
                return StartResult::LocalReply(LocalReply::Withheld);
            }
            local = wait_until_refused(relay, incoming, resolved) => {
                return StartResult::LocalReply(local);
            }
        };
        let permit = match acquired {
            Ok(permit) => permit,
            Err(refusal) => return StartResult::LocalReply(not_run_reply(refusal)),
        };
        if let Some(local) = refuse_waiting_if_stopping(relay, incoming, resolved) {
            // The box began to stop, or went on stopping, while the generation waited for its permit.
            return StartResult::LocalReply(local);
        }
        let deadline = Instant::now() + Duration::from_millis(due_ms.saturating_sub(now_ms));
        let slot = permit.slot;
        if !relay.takes_work(slot) {
            // The dispatcher does not know yet that the engine is leaving.
            failed_engine = relay.id_of(slot);
            broadcast_digest(relay);
            continue;
        }
        if let Some(local) = relay.decided_withheld_reply(incoming).await {
            // The request was quarantined while it waited for its permit.
            return StartResult::LocalReply(local);
        }
        relay.begin_trial(incoming);
        let granted_ms = relay.now_ms();
        let send = GenerationSend {
            kind: SendKind::Generation,
            continuation: None,
            retry: retry.as_ref(),
        };
        let sending = send_generation(relay, incoming, resolved, slot, send);
        let monitored = report_if_silent(relay, resolved, &permit, FIRST_RESPONSE_TIMEOUT, sending);
        let sent = tokio::select! {
            sent = timeout_at(deadline, monitored) => sent,
            () = relay.wait_until_withheld(incoming) => {
                let local = match incoming.sends.may_have_run() {
                    true => LocalReply::MayHaveRun(TAKEN_BACK),
                    false => LocalReply::Withheld,
                };
                return StartResult::LocalReply(local);
            }
        };
        let Ok(result) = sent else {
            relay.record_broken_run(
                incoming,
                slot,
                granted_ms,
                RunFailure::Silent,
                RunProgress::NotBegun,
            );
            return StartResult::LocalReply(LocalReply::DeadlineExceeded);
        };
        relay.record_outcome(slot, outcome_of(&result));
        match &result {
            SendResult::NotRun(NotRun::Unreachable | NotRun::ConnectionRefused) => {
                relay.notify_engine_unreachable(permit.pool, slot);
            }
            failed if outcome_of(failed) == TargetOutcome::Failure => {
                relay.notify_engine_failed(permit.pool, slot, EngineFault::Broke);
            }
            _ => {}
        }
        match result {
            SendResult::Answered(response) => {
                slog::info!(relay.log, "generation begun"; "id" => incoming.id(), "request" => %incoming.key,
                    "parts" => incoming.shared_part_ids(),
                    "account" => resolved.account_name(), "rank" => resolved.rank(),
                    "engine" => relay.name_of(slot), "permit" => permit.serial,
                    "prompt_tokens" => generation.prompt_tokens,
                    "most_tokens" => generation.most_tokens, "guess" => generation.guess_tokens,
                    "version" => resolved.declared.table.version,
                    "permit_ms" => granted_ms - requested_ms, "engine_ms" => relay.now_ms() - granted_ms,
                    "came_ms" => incoming.arrival.plus_ms(0), "after_ms" => incoming.arrival.elapsed_ms(relay.now_ms()));
                return StartResult::OpenResponse(response, permit);
            }
            SendResult::MayHaveRun(why) => {
                relay.record_broken_run(
                    incoming,
                    slot,
                    granted_ms,
                    RunFailure::ConnectionClosed,
                    RunProgress::NotBegun,
                );
                return StartResult::LocalReply(LocalReply::MayHaveRun(why));
            }
            SendResult::NotRun(why) => {
                failed_engine = relay.id_of(slot);
                reached_target |= why.reached_target();
                slog::info!(relay.log, "engine did not run the generation"; "id" => incoming.id(),
                    "engine" => relay.name_of(slot), "why" => ?why);
                if let NotRun::Refused { retry_after_ms } = why {
                    last_refusal.retry_after_ms = retry_after_ms.or(last_refusal.retry_after_ms);
                }
            }
        }
    }
    if relay.relays_after_probes(&resolved.service().name).await {
        return StartResult::unreachable(relay, incoming, resolved, reached_target).await;
    }
    StartResult::LocalReply(not_run_reply(last_refusal))
}

/// Waits for an engine. If it is silent for `limit`, reports it to the dispatcher once and continues to wait.
async fn report_if_silent<T>(
    relay: &Rc<Relay>,
    resolved: &ResolvedRoute,
    permit: &Permit,
    limit: Duration,
    waiting: impl Future<Output = T>,
) -> T {
    let mut waiting = pin!(waiting);
    let started_ms = relay.now_ms();
    tokio::select! {
        biased;
        output = &mut waiting => return output,
        () = sleep(limit) => {
            relay.probe_if_silent(&resolved.service().name, started_ms);
            relay.notify_engine_failed(permit.pool, permit.slot, EngineFault::Silent);
        }
    }
    waiting.await
}

/// The outcome of a send for its engine.
pub(crate) fn outcome_of(result: &SendResult) -> TargetOutcome {
    match result {
        // An engine that fails at once looks idle and would attract all new requests.
        SendResult::Answered(response) if response.head.status >= 500 => TargetOutcome::Failure,
        SendResult::Answered(_) => TargetOutcome::Success,
        SendResult::NotRun(why) => TargetOutcome::from(*why),
        SendResult::MayHaveRun(_) => TargetOutcome::Failure,
    }
}

impl Relay {
    /// The engines on which a generation must not be placed: the one that failed it, and those that asked this box to back
    /// off.
    fn engines_to_avoid(&self, service: &str, failed_engine: Option<TargetId>) -> Avoided {
        let backing_off = self
            .targets
            .borrow_mut()
            .backing_off(service, self.now_ms());
        let backing_off = backing_off.into_iter().map(|(id, _)| id);
        failed_engine.into_iter().chain(backing_off).collect()
    }

    /// The time (ms) until the first backoff ends, if all engines of a service that accept work asked this box to back off
    /// until after `until_ms`.
    fn first_backoff_end_ms(&self, service: &str, until_ms: u64) -> Option<u64> {
        let now_ms = self.now_ms();
        let mut targets = self.targets.borrow_mut();
        let backing_off = targets.backing_off(service, now_ms);
        if backing_off.is_empty() {
            return None;
        }
        let mut ready = targets.of_service(service);
        let accepts = |target: &Target| {
            targets.takes_work(target) && target.backoff.remaining_ms(now_ms).is_none()
        };
        if ready.any(|(_, target)| accepts(target)) {
            return None;
        }
        let first_ms = backing_off.into_iter().map(|(_, left_ms)| left_ms).min();
        first_ms.filter(|left_ms| now_ms + left_ms > until_ms)
    }
}

/// How a generation is sent to an engine.
pub(crate) struct GenerationSend<'a> {
    pub(crate) kind: SendKind,
    /// Where it resumes, if it ran before.
    pub(crate) continuation: Option<&'a Continuation>,
    /// The retry taken for it, if an engine received it before and did not run it.
    pub(crate) retry: Option<&'a RetryTicket>,
}

/// Sends a generation to an engine, to start it or to resume it from a copy.
pub(crate) async fn send_generation(
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
    slot: TargetSlot,
    send: GenerationSend<'_>,
) -> SendResult {
    let admission = match relay.admit(slot, send.kind).await {
        Ok(admission) => admission,
        Err(why) => return SendResult::NotRun(why),
    };
    let Some(instance) = relay.instance_of(slot) else {
        return SendResult::NotRun(NotRun::Unreachable);
    };
    let forwarding = ForwardOptions {
        instance: &instance,
        account: resolved.account_name(),
        left_ms: incoming.remaining_ms(resolved.route(), relay.now_ms()),
        priority: Some(resolved.rank().min(PRIORITY_MAX)),
        copy_to: None,
        continuation: send.continuation,
    };
    let head = forwarded_request_head(&incoming.head, incoming.body.len(), &forwarding);
    let request = OutgoingRequest {
        request_id: incoming.id(),
        head: &head,
        body: &incoming.body,
        has_no_body: false,
        channel: ChannelChoice::New,
        retry: send.retry,
        sends: &incoming.sends,
    };
    relay.send_request(&admission, request).await
}
