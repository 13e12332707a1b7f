//! One attempt to serve a plain request at one target. The response is buffered whole and verified.

use crate::buffered::BufferReservation;
use crate::forwarding::admission::{Admission, SendKind};
use crate::forwarding::open_response::{ANSWER_TOO_LONG, OpenResponse};
use crate::forwarding::outcome::TargetOutcome;
use crate::forwarding::retries::RetryTicket;
use crate::forwarding::send::{ChannelChoice, NotRun, OutgoingRequest, SendResult};
use crate::ingress::request::{IncomingRequest, Reply, ResolvedRoute};
use crate::quarantine::broken_runs::{RunFailure, RunProgress};
use crate::rate_limit::token::TokenRequest;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use bytes::Bytes;
use http1::Framing;
use platform::{ForwardOptions, forwarded_request_head, forwarded_response_head};
use routing::RouteKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Failure text of an attempt that timed out.
const NO_ANSWER_IN_TIME: &str = "the target did not answer in time";

/// Failure text of a response that could not be buffered before its deadline.
pub(crate) const NO_MEMORY: &str = "no memory for the answer in its time";

/// Maximum idle time of a channel that is reused for a repeated run. A target may drop an idle channel without notice from
/// about 0.3 s after its last response.
const REPEATED_MAX_IDLE_MS: u64 = 200;

/// Result of one attempt.
pub(super) enum AttemptResult {
    Answered(Reply),
    NotRun(NotRun),
    MayHaveRun(&'static str),
    /// The request ran, but this box has no memory for the response. The target is not at fault, and another target
    /// would not help.
    OutOfMemory(&'static str),
}

/// The rate token that a request needs if its target has a rate limit.
pub(super) fn new_token_request(
    resolved: &ResolvedRoute,
    wait_ms: u64,
    is_last_try: bool,
) -> TokenRequest {
    TokenRequest {
        account: resolved.account_id(),
        rank: resolved.rank(),
        wait_ms,
        is_last_try,
    }
}

/// Attempts a request at a target if the request may be sent there, until the caller's deadline.
pub(super) async fn admit_and_attempt(
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
    slot: TargetSlot,
    runs: u32,
    token_request: TokenRequest,
    retry: Option<&RetryTicket>,
) -> AttemptResult {
    match relay.admit(slot, SendKind::Call(token_request)).await {
        Ok(admission) => {
            let timeout_ms = incoming.remaining_ms(resolved.route(), relay.now_ms());
            attempt(
                relay, incoming, resolved, &admission, runs, timeout_ms, retry,
            )
            .await
        }
        Err(why) => AttemptResult::NotRun(why),
    }
}

/// Attempts an admitted request at its target for at most `timeout_ms`.
pub(super) async fn attempt(
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
    admission: &Admission,
    runs: u32,
    timeout_ms: u64,
    retry: Option<&RetryTicket>,
) -> AttemptResult {
    let slot = admission.slot;
    let route = resolved.route();
    let started_ms = relay.now_ms();
    let left_ms = incoming.remaining_ms(route, relay.now_ms());
    let Some(instance) = relay.instance_of(slot) else {
        return AttemptResult::NotRun(NotRun::Unreachable);
    };
    let forwarding = ForwardOptions {
        instance: &instance,
        account: resolved.account_name(),
        left_ms,
        ..ForwardOptions::default()
    };
    let head = forwarded_request_head(&incoming.head, incoming.body.len(), &forwarding);
    let request = OutgoingRequest {
        request_id: incoming.id(),
        head: &head,
        body: &incoming.body,
        has_no_body: &*incoming.head.method == "HEAD",
        channel: match route.kind {
            // A first run may use any idle channel: if that fails, the request may be repeated on a fresh one.
            RouteKind::Repeatable if runs == 0 => ChannelChoice::Idle {
                max_idle_ms: u64::MAX,
            },
            RouteKind::Repeatable => ChannelChoice::Idle {
                max_idle_ms: REPEATED_MAX_IDLE_MS,
            },
            RouteKind::Unrepeatable | RouteKind::Generation => ChannelChoice::New,
        },
        retry,
        sends: &incoming.sends,
    };
    let mut memory = BufferReservation::new(&relay.memory, Some(resolved.account_id()));
    let sending = attempt_response(relay, admission, request, &mut memory);
    let attempt = timeout(Duration::from_millis(timeout_ms), sending).await;
    let mut attempt = attempt.unwrap_or(AttemptResult::MayHaveRun(NO_ANSWER_IN_TIME));
    if matches!(attempt, AttemptResult::MayHaveRun(_)) && memory.is_blocked() {
        metrics::counter!("shuntpier_answers_without_memory").increment(1);
        attempt = AttemptResult::OutOfMemory(NO_MEMORY);
    }
    if let AttemptResult::MayHaveRun(why) = attempt {
        relay.probe_if_silent(&resolved.service().name, started_ms);
        let break_kind = match why == NO_ANSWER_IN_TIME {
            true => RunFailure::Silent,
            false => RunFailure::ConnectionClosed,
        };
        relay.record_broken_run(
            incoming,
            slot,
            started_ms,
            break_kind,
            RunProgress::NotBegun,
        );
    }
    if let AttemptResult::Answered(reply) = &mut attempt {
        if reply.status < 500 {
            relay.record_served_request(incoming);
        }
        reply.memory = Some(Rc::new(memory));
        let took_ms = relay.now_ms() - started_ms;
        relay.record_call_answer(slot, route, took_ms, reply.status >= 500);
    }
    attempt
}

async fn attempt_response(
    relay: &Rc<Relay>,
    admission: &Admission,
    request: OutgoingRequest<'_>,
    memory: &mut BufferReservation,
) -> AttemptResult {
    match relay.send_request(admission, request).await {
        SendResult::NotRun(why) => AttemptResult::NotRun(why),
        SendResult::MayHaveRun(why) => AttemptResult::MayHaveRun(why),
        SendResult::Answered(response) => {
            read_response(relay, admission.slot, *response, memory).await
        }
    }
}

/// Verifies a response and buffers it whole before any of it is forwarded.
async fn read_response(
    relay: &Rc<Relay>,
    slot: TargetSlot,
    mut response: OpenResponse,
    memory: &mut BufferReservation,
) -> AttemptResult {
    if !response.is_verified() {
        return AttemptResult::MayHaveRun("the answer is not the target's own");
    }
    let slowness = response
        .metadata
        .load
        .and_then(|load| load.slowness_percent);
    if let Some(percent) = slowness {
        relay.record_slowness(slot, percent);
    }
    let body: Bytes = match response.read_body(memory).await {
        Ok(body) => body,
        Err(ANSWER_TOO_LONG) => return AttemptResult::OutOfMemory(ANSWER_TOO_LONG),
        Err(why) => return AttemptResult::MayHaveRun(why),
    };
    if response.framing == Framing::UntilClose && !relay.outlives_answer(slot).await {
        return AttemptResult::MayHaveRun("the target ended with its answer");
    }
    let status = response.head.status;
    let reply = Reply {
        status,
        head: forwarded_response_head(&response.head),
        body,
        local: None,
        memory: None,
    };
    response.recycle_channel(relay);
    AttemptResult::Answered(reply)
}

impl AttemptResult {
    /// Logs a failure and records the outcome for the target's statistics and outlier ejection.
    pub(super) fn recorded(
        self,
        relay: &Rc<Relay>,
        incoming: &IncomingRequest,
        resolved: &ResolvedRoute,
        slot: TargetSlot,
    ) -> Self {
        self.log_failure(relay, incoming, slot);
        let fails_everywhere =
            matches!(self, Self::Answered(_)) && relay.fails_everywhere(resolved.route());
        let outcome = match self.target_outcome() {
            // The route fails at all targets: only the target's statistics for this route count the failure.
            TargetOutcome::Failure if fails_everywhere => TargetOutcome::Unknown,
            outcome => outcome,
        };
        relay.record_outcome(slot, outcome);
        // A timeout before the route's answer goal is the caller's choice and does not count against the target.
        let waited_ms = incoming.arrival.elapsed_ms(relay.now_ms());
        let is_goal_passed = waited_ms >= resolved.route().answer_goal_ms;
        let has_no_answer = match &self {
            Self::MayHaveRun(why) => *why != NO_ANSWER_IN_TIME || is_goal_passed,
            Self::NotRun(NotRun::Unreachable) => true,
            _ => false,
        };
        // A refusal with Retry-After is handled by the backoff and does not lower the concurrency limit.
        let is_full = matches!(
            self,
            Self::NotRun(NotRun::Refused {
                retry_after_ms: None
            })
        );
        if is_full {
            relay.record_call_refusal(slot);
        }
        if has_no_answer {
            relay.record_no_answer(slot);
        }
        self
    }

    pub(super) fn is_success(&self) -> bool {
        matches!(self, Self::Answered(reply) if reply.status < 500)
    }

    /// The target's outcome that follows from this result.
    fn target_outcome(&self) -> TargetOutcome {
        match self {
            Self::Answered(reply) if reply.status < 500 => TargetOutcome::Success,
            Self::OutOfMemory(_) => TargetOutcome::Unknown,
            Self::Answered(_) | Self::MayHaveRun(_) => TargetOutcome::Failure,
            Self::NotRun(why) => TargetOutcome::from(*why),
        }
    }

    /// Logs an attempt that failed.
    fn log_failure(&self, relay: &Relay, incoming: &IncomingRequest, slot: TargetSlot) {
        let outcome = match self {
            Self::Answered(reply) if reply.status < 500 => return,
            Self::Answered(reply) => format!("answered {}", reply.status),
            Self::NotRun(why) => format!("not run: {why:?}"),
            Self::MayHaveRun(why) => format!("may have run: {why}"),
            Self::OutOfMemory(why) => format!("ran: {why}"),
        };
        slog::info!(relay.log, "offer failed"; "id" => incoming.id(), "request" => %incoming.key, "outcome" => outcome,
            "target" => relay.name_of(slot), "after_ms" => incoming.arrival.elapsed_ms(relay.now_ms()));
    }

    /// Whether the target received the request.
    pub(super) fn reached_target(&self) -> bool {
        !matches!(self, Self::NotRun(why) if !why.reached_target())
    }
}
