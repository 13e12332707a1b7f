//! Serves plain requests: sends each to the target of lowest cost (see [`crate::forwarding::balance`]), retries where the
//! route and the retry budget allow, and buffers the answer whole.

use crate::forwarding::attempt::{AttemptResult, admit_and_attempt, new_token_request};
use crate::forwarding::balance::{TargetQuery, route_key};
use crate::forwarding::capacity_wait::{
    wait_deadline_ms, wait_for_byte_capacity, wait_for_capacity,
};
use crate::forwarding::hedge::attempt_with_hedge;
use crate::forwarding::relay::{NO_HELPER_REPLY, relay_call};
use crate::forwarding::retries::RetryTicket;
use crate::forwarding::send::NotRun;
use crate::ingress::request::{IncomingRequest, LocalReply, Reply, ResolvedRoute};
use crate::state::Relay;
use crate::watch::targets::{ColdRate, TargetSlot};
use routing::RouteKind;
use settings::Mechanism;
use std::rc::Rc;

/// Maximum number of targets attempted for one request, including those that refuse it.
const MAX_ATTEMPTS: usize = 4;
/// Retry-After for a refused caller when no target gives one.
const DEFAULT_RETRY_AFTER_MS: u64 = 300;

/// State of the attempts for one request so far.
#[derive(Default)]
pub(super) struct CallAttempts {
    pub(super) attempted: Vec<TargetSlot>,
    /// Attempted targets that are at this box's limit of request bytes.
    byte_limited: Vec<TargetSlot>,
    /// Attempted targets whose rate limit was exhausted, and when a token is expected (ms).
    rate_limited: Vec<(TargetSlot, u64)>,
    /// Attempts that reached their target.
    pub(super) sends: u32,
    /// Attempts in which the request may have run.
    pub(super) runs: u32,
    /// The failed answer to forward if no later attempt gets a better one.
    fallback: Option<Reply>,
    retry_after_ms: Option<u64>,
    last_failure: &'static str,
}

impl CallAttempts {
    /// The shortest delay (ms) after which a refused caller should retry, if known.
    fn earliest_retry_ms(&self, now_ms: u64) -> Option<u64> {
        let tokens = self.rate_limited.iter().map(|(_, at_ms)| *at_ms);
        let token_ms = tokens.min().map(|at_ms| at_ms.saturating_sub(now_ms));
        token_ms.into_iter().chain(self.retry_after_ms).min()
    }

    /// The rate-limited target that has a token first, if no attempt may have run the request.
    fn first_rate_limited(&self) -> Option<TargetSlot> {
        if self.runs > 0 {
            return None;
        }
        let first = self.rate_limited.iter().min_by_key(|(_, at_ms)| *at_ms);
        first.map(|(slot, _)| *slot)
    }

    /// Records the result of an attempt. Returns the reply to forward if no further attempt is needed.
    fn record(
        &mut self,
        attempt: AttemptResult,
        relay: &Relay,
        incoming: &IncomingRequest,
        resolved: &ResolvedRoute,
        slot: TargetSlot,
    ) -> Option<Reply> {
        self.sends += u32::from(attempt.reached_target());
        match attempt {
            AttemptResult::Answered(reply) => {
                let may_improve =
                    reply.status >= 500 && resolved.route().kind == RouteKind::Repeatable;
                if !may_improve {
                    return Some(reply);
                }
                self.runs += 1;
                self.last_failure = "the target failed";
                self.fallback = Some(reply);
            }
            AttemptResult::NotRun(NotRun::ByteLimit) => self.byte_limited.push(slot),
            AttemptResult::NotRun(NotRun::RateLimited { retry_after_ms }) => {
                self.rate_limited
                    .push((slot, relay.now_ms() + retry_after_ms));
            }
            AttemptResult::NotRun(NotRun::BackingOff { retry_after_ms }) => {
                self.retry_after_ms = self
                    .retry_after_ms
                    .into_iter()
                    .chain([retry_after_ms])
                    .min();
            }
            AttemptResult::NotRun(NotRun::Refused { retry_after_ms }) => {
                self.retry_after_ms = self.retry_after_ms.into_iter().chain(retry_after_ms).min();
            }
            AttemptResult::NotRun(_) => {}
            AttemptResult::OutOfMemory(why) => {
                let local = LocalReply::MayHaveRun(why);
                return Some(Reply::local(local, incoming.facts.request_id.as_deref()));
            }
            AttemptResult::MayHaveRun(why) => {
                self.runs += 1;
                self.last_failure = why;
            }
        }
        None
    }
}

/// Serves a plain request.
pub(crate) async fn serve_call(
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
) -> Reply {
    let service = &resolved.service().name;
    let mut attempts = CallAttempts::default();
    let deadline_ms = incoming.deadline_ms(resolved.route());
    if !incoming.is_relayed {
        relay.record_request(service);
    }
    if !relay.relays(service) {
        wait_for_capacity(relay, incoming, resolved).await;
    }
    loop {
        if let Some(reply) = attempt_all(relay, incoming, resolved, &mut attempts).await {
            return reply;
        }
        let is_lost = relay.relays_after_probes(service).await;
        if is_lost && incoming.is_relayed && attempts.runs == 0 {
            return Reply::local(LocalReply::Unreachable, Some(incoming.id()));
        }
        if is_lost && may_relay(relay, incoming, resolved, &attempts) {
            let retry = retry_after(relay, incoming, resolved, attempts.sends).await;
            if let Ok(retry) = retry {
                return relay_whole(relay, incoming, resolved, &mut attempts, retry.as_ref()).await;
            }
        }
        if let Some(slot) = attempts.first_rate_limited() {
            if let Some(reply) =
                wait_for_token(relay, incoming, resolved, slot, &mut attempts).await
            {
                return reply;
            }
            break;
        }
        let has_other_failure = attempts.byte_limited.len() < attempts.attempted.len();
        if has_other_failure
            || attempts.byte_limited.is_empty()
            || !wait_for_byte_capacity(relay, incoming, resolved).await
        {
            break;
        }
        attempts.attempted.clear();
        attempts.byte_limited.clear();
    }
    final_reply(relay, incoming, &attempts, deadline_ms)
}

/// Whether a request that targets may have run already may run once more at another box.
fn may_relay(
    relay: &Relay,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
    attempts: &CallAttempts,
) -> bool {
    let route = resolved.route();
    let may_run_again = route.kind == RouteKind::Repeatable
        && attempts.runs < route.runs_most
        && relay.withheld_reply(incoming).is_none();
    let is_in_time = relay.now_ms() < incoming.deadline_ms(route);
    !incoming.is_relayed && is_in_time && (attempts.runs == 0 || may_run_again)
}

/// The retry budget does not allow a further attempt.
pub(super) struct BudgetSpent;

/// Takes the retry for a further attempt after `sends` attempts that reached their target.
pub(super) async fn retry_after(
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
    sends: u32,
) -> Result<Option<RetryTicket>, BudgetSpent> {
    if sends == 0 {
        return Ok(None);
    }
    let service = &resolved.service().name;
    let taken = relay.take_retry(service, incoming.id()).await;
    taken.map(Some).ok_or(BudgetSpent)
}

/// Relays a request to another box.
async fn relay_whole(
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
    attempts: &mut CallAttempts,
    retry: Option<&RetryTicket>,
) -> Reply {
    match relay_call(relay, incoming, resolved, attempts.runs, retry).await {
        AttemptResult::Answered(reply) => return reply,
        AttemptResult::NotRun(_) if attempts.runs == 0 => {
            let local = relay.caller_reply(NO_HELPER_REPLY);
            return Reply::local(local, incoming.facts.request_id.as_deref());
        }
        AttemptResult::NotRun(_) => {}
        AttemptResult::MayHaveRun(why) | AttemptResult::OutOfMemory(why) => {
            attempts.runs += 1;
            attempts.last_failure = why;
        }
    }
    let deadline_ms = incoming.deadline_ms(resolved.route());
    final_reply(relay, incoming, attempts, deadline_ms)
}

/// Attempts a request at one target after another until there is a reply to forward.
async fn attempt_all(
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
    attempts: &mut CallAttempts,
) -> Option<Reply> {
    let deadline_ms = incoming.deadline_ms(resolved.route());
    while let Some(next) = next_target(relay, incoming, resolved, attempts, deadline_ms).await {
        let slot = next.slot;
        attempts.attempted.push(slot);
        let attempt = attempt_with_hedge(relay, incoming, resolved, next, attempts).await;
        let reply = attempts.record(attempt, relay, incoming, resolved, slot);
        if reply.is_some() {
            return reply;
        }
    }
    None
}

/// Waits for a rate token of a target and attempts the request there, as long as the answer can meet its goal.
async fn wait_for_token(
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
    slot: TargetSlot,
    attempts: &mut CallAttempts,
) -> Option<Reply> {
    let retry = retry_after(relay, incoming, resolved, attempts.sends).await;
    let retry = retry.ok()?;
    let started_ms = relay.now_ms();
    let wait_ms = wait_deadline_ms(relay, incoming, resolved).saturating_sub(started_ms);
    let token_request = new_token_request(resolved, wait_ms, true);
    attempts.rate_limited.clear();
    let attempt = admit_and_attempt(
        relay,
        incoming,
        resolved,
        slot,
        attempts.runs,
        token_request,
        retry.as_ref(),
    )
    .await;
    slog::info!(relay.log, "call waited for a token"; "id" => incoming.id(),
        "target" => relay.name_of(slot), "most_ms" => wait_ms,
        "is_sent" => !matches!(attempt, AttemptResult::NotRun(NotRun::RateLimited { .. })),
        "after_ms" => relay.now_ms() - started_ms);
    let attempt = attempt.recorded(relay, incoming, resolved, slot);
    attempts.record(attempt, relay, incoming, resolved, slot)
}

/// A target that is attempted next.
pub(super) struct NextTarget {
    pub(super) slot: TargetSlot,
    /// The retry taken for it, if a target received the request before.
    pub(super) retry: Option<RetryTicket>,
}

/// The next target to attempt; none if there is no other, the deadline has passed or the retry budget is spent.
pub(super) async fn next_target(
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
    attempts: &CallAttempts,
    deadline_ms: u64,
) -> Option<NextTarget> {
    let route = resolved.route();
    let now_ms = relay.now_ms();
    let may_run_again = route.kind == RouteKind::Repeatable
        && attempts.runs < route.runs_most
        && relay.settings().has(Mechanism::SecondSends);
    if now_ms >= deadline_ms || attempts.attempted.len() >= MAX_ATTEMPTS {
        return None;
    }
    if attempts.runs > 0 && (!may_run_again || relay.withheld_reply(incoming).is_some()) {
        return None;
    }
    let service = &resolved.service().name;
    if relay.relays(service) {
        return None;
    }
    let query = target_query(relay, resolved);
    let slot = relay.choose_call_target(&query, &attempts.attempted)?;
    if attempts.attempted.contains(&slot) {
        return None;
    }
    let retry = retry_after(relay, incoming, resolved, attempts.sends).await;
    let retry = retry.ok()?;
    relay
        .targets
        .borrow_mut()
        .record_chosen(slot, query.cold, now_ms);
    Some(NextTarget { slot, retry })
}

/// The properties of a request by which its target is chosen.
pub(super) fn target_query<'a>(relay: &Relay, resolved: &'a ResolvedRoute) -> TargetQuery<'a> {
    TargetQuery {
        service: &resolved.service().name,
        route: route_key(resolved.route()),
        cold: ColdRate {
            rate_per_s: resolved.service().cold_rate_per_s,
            boxes: relay.members.borrow().peak_box_count(),
        },
    }
}

fn final_reply(
    relay: &Relay,
    incoming: &IncomingRequest,
    attempts: &CallAttempts,
    deadline_ms: u64,
) -> Reply {
    if let Some(fallback) = &attempts.fallback {
        return fallback.clone();
    }
    let local = match incoming.sends.may_have_run() {
        false => LocalReply::NotRun {
            why: match (
                attempts.attempted.is_empty(),
                attempts.rate_limited.is_empty(),
            ) {
                (true, _) => "no target serves this",
                (false, true) => "no target took it",
                (false, false) => "the targets' rate limits leave no room",
            },
            retry_after_ms: attempts
                .earliest_retry_ms(relay.now_ms())
                .unwrap_or(DEFAULT_RETRY_AFTER_MS),
        },
        true if relay.now_ms() >= deadline_ms => LocalReply::DeadlineExceeded,
        true => LocalReply::MayHaveRun(attempts.last_failure),
    };
    Reply::local(
        relay.caller_reply(local),
        incoming.facts.request_id.as_deref(),
    )
}
