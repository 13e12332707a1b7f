//! Hedged requests: a repeatable call that is late at its target is also sent to a second target.

use crate::forwarding::admission::SendKind;
use crate::forwarding::attempt::{AttemptResult, admit_and_attempt, attempt, new_token_request};
use crate::forwarding::call::{CallAttempts, NextTarget, next_target, retry_after};
use crate::forwarding::outcome::TargetOutcome;
use crate::forwarding::relay::relay_call;
use crate::forwarding::retries::RetryTicket;
use crate::ingress::request::{IncomingRequest, ResolvedRoute};
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use futures::future::{Either, select};
use policy::hedge_delay_ms;
use routing::{Route, RouteKind};
use settings::Mechanism;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Attempts a request at a target. If no answer arrives within the hedge delay and the request may run twice, a second
/// target is attempted concurrently. The first successful answer wins.
pub(super) async fn attempt_with_hedge(
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
    next: NextTarget,
    attempts: &mut CallAttempts,
) -> AttemptResult {
    let NextTarget { slot, retry } = next;
    let route = resolved.route();
    let token_request = new_token_request(resolved, 0, false);
    let admission = match relay.admit(slot, SendKind::Call(token_request)).await {
        Ok(admission) => admission,
        Err(why) => return AttemptResult::NotRun(why).recorded(relay, incoming, resolved, slot),
    };
    let may_run_again = route.kind == RouteKind::Repeatable && attempts.runs + 1 < route.runs_most;
    let is_hedged = may_run_again && relay.settings().has(Mechanism::SecondBeside);
    let remaining_ms = incoming.remaining_ms(route, relay.now_ms());
    let hedge_delay_ms = relay.hedge_delay_for(route).min(remaining_ms);
    let timeout_ms = match may_run_again && !is_hedged {
        true => hedge_delay_ms,
        false => remaining_ms,
    };
    let first = attempt(
        relay,
        incoming,
        resolved,
        &admission,
        attempts.runs,
        timeout_ms,
        retry.as_ref(),
    );
    let mut first = pin!(first);
    if !is_hedged {
        let attempt = first.await;
        return attempt.recorded(relay, incoming, resolved, slot);
    }
    let hedge_delay = Duration::from_millis(hedge_delay_ms);
    let first_sent_ms = relay.now_ms();
    let service = &resolved.service().name;
    let answered = tokio::select! {
        // The verdict also ends an attempt that is still connecting, which has not run.
        biased;
        answered = timeout(hedge_delay, first.as_mut()) => answered.ok(),
        () = relay.wait_until_relayed(service) => None,
    };
    if let Some(attempt) = answered {
        return attempt.recorded(relay, incoming, resolved, slot);
    }
    relay.probe_if_silent(service, first_sent_ms);
    // The first target received the request and may run it, so the hedge counts as a retry.
    attempts.runs += 1;
    attempts.sends += 1;
    let deadline_ms = incoming.deadline_ms(route);
    let sends = attempts.sends;
    let chosen = {
        let choosing = pin!(choose_hedge(
            relay,
            incoming,
            resolved,
            attempts,
            deadline_ms
        ));
        match select(first.as_mut(), choosing).await {
            // The first attempt ended while this box borrowed the retry for the second one.
            Either::Left((attempt, _)) => Err(attempt),
            Either::Right((hedge, _)) => Ok(hedge),
        }
    };
    let hedge = match chosen {
        Ok(Some(hedge)) => hedge,
        not_hedged => {
            attempts.runs -= 1;
            attempts.sends -= 1;
            let attempt = match not_hedged {
                Err(attempt) => attempt,
                Ok(_) => first.await,
            };
            return attempt.recorded(relay, incoming, resolved, slot);
        }
    };
    let hedge_slot = hedge.slot;
    attempts.attempted.extend(hedge_slot);
    slog::info!(relay.log, "second try beside the first"; "id" => incoming.id(),
        "first" => relay.name_of(slot), "second" => hedge_slot.map(|slot| relay.name_of(slot)),
        "after_ms" => incoming.arrival.elapsed_ms(relay.now_ms()), "hedge_delay_ms" => hedge_delay_ms);
    let runs = attempts.runs;
    let hedge = async {
        let mut retry = hedge.retry;
        if let Some(hedge_slot) = hedge_slot {
            let attempt = admit_and_attempt(
                relay,
                incoming,
                resolved,
                hedge_slot,
                runs,
                token_request,
                retry.as_ref(),
            )
            .await;
            let attempt = attempt.recorded(relay, incoming, resolved, hedge_slot);
            let may_relay = relay.relays(service) && !incoming.is_relayed;
            if !matches!(attempt, AttemptResult::NotRun(_)) || !may_relay {
                return attempt;
            }
            if attempt.reached_target() {
                retry = match retry_after(relay, incoming, resolved, sends + 1).await {
                    Ok(retry) => retry,
                    Err(_) => return attempt,
                };
            }
        }
        relay_call(relay, incoming, resolved, runs, retry.as_ref()).await
    };
    let hedge = pin!(hedge);
    let arrival = incoming.arrival;
    match select(first, hedge).await {
        Either::Left((attempt, hedge)) => {
            let attempt = attempt.recorded(relay, incoming, resolved, slot);
            if attempt.is_success() {
                count_hedge("first");
                return attempt;
            }
            better_of(attempt, hedge.await)
        }
        Either::Right((attempt, first)) => {
            if attempt.is_success() {
                count_hedge("second");
                record_unanswered_first(relay, route, slot, arrival.elapsed_ms(relay.now_ms()));
                return attempt;
            }
            better_of(
                attempt,
                first.await.recorded(relay, incoming, resolved, slot),
            )
        }
    }
}

/// Where the second attempt is sent.
struct Hedge {
    /// The second target; none if the request is relayed.
    slot: Option<TargetSlot>,
    retry: Option<RetryTicket>,
}

/// Chooses a second target, or the relay through another box, within the retry budget.
async fn choose_hedge(
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
    attempts: &CallAttempts,
    deadline_ms: u64,
) -> Option<Hedge> {
    let next = next_target(relay, incoming, resolved, attempts, deadline_ms).await;
    if let Some(NextTarget { slot, retry }) = next {
        return Some(Hedge {
            slot: Some(slot),
            retry,
        });
    }
    if incoming.is_relayed || !relay.relays(&resolved.service().name) {
        return None;
    }
    let retry = retry_after(relay, incoming, resolved, attempts.sends).await;
    retry.ok().map(|retry| Hedge { slot: None, retry })
}

fn count_hedge(winner: &'static str) {
    metrics::counter!("shuntpier_calls_tried_beside", "won" => winner).increment(1);
}

/// Records a target that had not answered when the hedge had. It counts as failed only after the longest hedge delay
/// of the route.
fn record_unanswered_first(relay: &Rc<Relay>, route: &Route, slot: TargetSlot, waited_ms: u64) {
    relay.record_hedge_loss(slot, route, waited_ms);
    let has_failed = waited_ms >= hedge_delay_ms(route.answer_goal_ms, None);
    relay.record_outcome(
        slot,
        match has_failed {
            true => TargetOutcome::Failure,
            false => TargetOutcome::Unknown,
        },
    );
}

/// The result that is more useful to the caller: a success, then an answer, then a failure.
fn better_of(one: AttemptResult, other: AttemptResult) -> AttemptResult {
    let rank = |attempt: &AttemptResult| match attempt {
        AttemptResult::Answered(reply) => 1 + u8::from(reply.status < 500),
        AttemptResult::NotRun(_) | AttemptResult::MayHaveRun(_) | AttemptResult::OutOfMemory(_) => {
            0
        }
    };
    match rank(&one) > rank(&other) {
        true => one,
        false => other,
    }
}
