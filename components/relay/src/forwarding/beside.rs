//! A call that is late at its target and may run twice: a second target is tried beside the first.

use crate::forwarding::admission::SendKind;
use crate::forwarding::call::{CallAttempts, next_offer};
use crate::forwarding::offer::{Offer, admit_and_offer, offer, token_ask};
use crate::forwarding::outcome::TargetOutcome;
use crate::ingress::request::{Incoming, Way};
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

/// One offer; where it is late and the request may run twice, a second one beside it. The first good answer counts.
pub(super) async fn offer_in_time(
    relay: &Rc<Relay>,
    incoming: &Incoming,
    way: &Way,
    slot: TargetSlot,
    attempts: &mut CallAttempts,
) -> Offer {
    let route = way.route();
    let ask = token_ask(way, 0, false);
    let admission = match relay.admit(slot, SendKind::Call(ask)).await {
        Ok(admission) => admission,
        Err(why) => return Offer::NotRun(why).noted(relay, incoming, way, slot),
    };
    let another = route.kind == RouteKind::Repeatable && attempts.runs + 1 < route.runs_most;
    let beside = another && relay.file().has(Mechanism::SecondBeside);
    let left_ms = incoming.left_ms(route, relay.now_ms());
    let hedge_delay_ms = relay.hedge_delay_for(route).min(left_ms);
    let limit_ms = match another && !beside {
        true => hedge_delay_ms,
        false => left_ms,
    };
    let first = offer(relay, incoming, way, &admission, attempts.runs, limit_ms);
    let mut first = pin!(first);
    if !beside {
        let offer = first.await;
        return offer.noted(relay, incoming, way, slot);
    }
    let hedge_delay = Duration::from_millis(hedge_delay_ms);
    if let Ok(offer) = timeout(hedge_delay, first.as_mut()).await {
        return offer.noted(relay, incoming, way, slot);
    }
    // The first may run, and got the request: the second is counted as one.
    attempts.runs += 1;
    attempts.arrivals += 1;
    let due_ms = incoming.due_ms(route);
    let Some(second_slot) = next_offer(relay, incoming, way, attempts, due_ms) else {
        attempts.runs -= 1;
        attempts.arrivals -= 1;
        return first.await.noted(relay, incoming, way, slot);
    };
    attempts.offered.push(second_slot);
    slog::info!(relay.log, "second try beside the first"; "id" => incoming.id(),
        "first" => relay.name_of(slot), "second" => relay.name_of(second_slot),
        "after_ms" => relay.now_ms() - incoming.came_ms, "hedge_delay_ms" => hedge_delay_ms);
    let second = admit_and_offer(relay, incoming, way, second_slot, attempts.runs, ask);
    let second = pin!(second);
    let began_ms = incoming.came_ms;
    match select(first, second).await {
        Either::Left((offer, second)) => {
            let offer = offer.noted(relay, incoming, way, slot);
            if offer.is_good() {
                count_beside("first");
                return offer;
            }
            better(offer, second.await.noted(relay, incoming, way, second_slot))
        }
        Either::Right((offer, first)) => {
            let offer = offer.noted(relay, incoming, way, second_slot);
            if offer.is_good() {
                count_beside("second");
                outrun(relay, route, slot, relay.now_ms() - began_ms);
                return offer;
            }
            better(offer, first.await.noted(relay, incoming, way, slot))
        }
    }
}

fn count_beside(won: &'static str) {
    metrics::counter!("shuntpier_calls_tried_beside", "won" => won).increment(1);
}

/// Notes that a target had not answered when a later try had. It counts as failed only after the longest time
/// for which any target is waited for alone.
fn outrun(relay: &Rc<Relay>, route: &Route, slot: TargetSlot, waited_ms: u64) {
    relay.call_outrun(slot, route, waited_ms);
    let has_failed = waited_ms >= hedge_delay_ms(route.answer_goal_ms, None);
    relay.record_outcome(
        slot,
        match has_failed {
            true => TargetOutcome::Failure,
            false => TargetOutcome::Unknown,
        },
    );
}

/// Of two offers that are over, the one that says more to the caller.
fn better(one: Offer, other: Offer) -> Offer {
    let rank = |offer: &Offer| match offer {
        Offer::Answered(reply) => 1 + u8::from(reply.status < 500),
        Offer::NotRun(_) | Offer::MayHaveRun(_) | Offer::Unheld(_) => 0,
    };
    match rank(&one) > rank(&other) {
        true => one,
        false => other,
    }
}
