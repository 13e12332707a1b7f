//! Plain requests: sent to the target with the least expected time (see [`crate::forwarding::balance`]), again where the
//! route and the budget allow, and answered whole.

use crate::forwarding::balance::{Asked, route_key};
use crate::forwarding::beside::offer_in_time;
use crate::forwarding::offer::Offer;
use crate::forwarding::room::{wait_for_request_room, wait_for_room};
use crate::forwarding::send::NotRun;
use crate::ingress::request::{Incoming, Own, Reply, Way};
use crate::state::Relay;
use crate::watch::targets::{ColdRate, TargetSlot};
use routing::RouteKind;
use settings::Mechanism;
use std::rc::Rc;

/// Targets that one request is offered to, those that refuse it counted.
const OFFERS_MAX: usize = 4;
/// When a refused caller is told to come back, where no target says so.
const RETRY_AFTER_MS: u64 = 300;

/// What the offers of a request have led to so far.
#[derive(Default)]
pub(super) struct Story {
    pub(super) offered: Vec<TargetSlot>,
    /// Those of them that hold as many bytes of requests as they may.
    heavy: Vec<TargetSlot>,
    /// Offers that reached their target.
    pub(super) arrivals: u32,
    /// Offers after which the request may have run.
    pub(super) runs: u32,
    /// An answer that is passed on where no better one comes.
    kept: Option<Reply>,
    retry_after_ms: Option<u64>,
    last: &'static str,
}

/// Serves a plain request.
pub(crate) async fn call(relay: &Rc<Relay>, incoming: &Incoming, way: &Way) -> Reply {
    let service = &way.service().name;
    relay.resend_window(service, |window, now_ms| window.request(now_ms));
    let mut story = Story::default();
    let due_ms = incoming.due_ms(way.route());
    wait_for_room(relay, incoming, way).await;
    loop {
        if let Some(reply) = offer_all(relay, incoming, way, &mut story).await {
            return reply;
        }
        let sent = story.heavy.len() < story.offered.len();
        if sent || story.heavy.is_empty() || !wait_for_request_room(relay, incoming, way).await {
            return conclude(relay, incoming, &story, due_ms);
        }
        story.offered.clear();
        story.heavy.clear();
    }
}

/// Offers a request to one target after another, until there is an answer that is passed on.
async fn offer_all(
    relay: &Rc<Relay>,
    incoming: &Incoming,
    way: &Way,
    story: &mut Story,
) -> Option<Reply> {
    let due_ms = incoming.due_ms(way.route());
    while let Some(slot) = next_offer(relay, incoming, way, story, due_ms) {
        story.offered.push(slot);
        let offer = offer_in_time(relay, incoming, way, slot, story).await;
        story.arrivals += u32::from(offer.arrived());
        match offer {
            Offer::Answered(reply) => {
                let may_improve = reply.status >= 500 && way.route().kind == RouteKind::Repeatable;
                if !may_improve {
                    return Some(reply);
                }
                story.runs += 1;
                story.last = "the target failed";
                story.kept = Some(reply);
            }
            Offer::NotRun(why) => {
                if why == NotRun::Heavy {
                    story.heavy.push(slot);
                }
                if let NotRun::Refused { retry_after_ms } = why {
                    story.retry_after_ms = story.retry_after_ms.or(retry_after_ms);
                }
            }
            Offer::Unheld(why) => {
                let own = Own::MayHaveRun(why);
                return Some(Reply::own(own, incoming.facts.request_id.as_deref()));
            }
            Offer::MayHaveRun(why) => {
                story.runs += 1;
                story.last = why;
            }
        }
    }
    None
}

/// The next target to offer a request to; none where there is none, or no time or budget is left.
pub(super) fn next_offer(
    relay: &Rc<Relay>,
    incoming: &Incoming,
    way: &Way,
    story: &Story,
    due_ms: u64,
) -> Option<TargetSlot> {
    let route = way.route();
    let now_ms = relay.now_ms();
    let may_run_again = route.kind == RouteKind::Repeatable
        && story.runs < route.runs_most
        && relay.file().has(Mechanism::SecondSends);
    if now_ms >= due_ms || story.offered.len() >= OFFERS_MAX {
        return None;
    }
    if story.runs > 0 && (!may_run_again || relay.withheld(incoming).is_some()) {
        return None;
    }
    let service = &way.service().name;
    let asked = asked(relay, way);
    let slot = relay.choose_call_target(&asked, &story.offered)?;
    if story.offered.contains(&slot) {
        return None;
    }
    let again = story.arrivals > 0;
    if again && !relay.take_resend(service) {
        return None;
    }
    relay.targets.borrow_mut().chosen(slot, asked.cold, now_ms);
    Some(slot)
}

/// What a request asks for.
pub(super) fn asked<'a>(relay: &Relay, way: &'a Way) -> Asked<'a> {
    Asked {
        service: &way.service().name,
        route: route_key(way.route()),
        cold: ColdRate {
            rate_per_s: way.service().cold_rate_per_s,
            boxes: relay.members.borrow().budget_share(),
        },
    }
}

fn conclude(relay: &Relay, incoming: &Incoming, story: &Story, due_ms: u64) -> Reply {
    if let Some(kept) = &story.kept {
        return kept.clone();
    }
    let own = match story.runs {
        0 => Own::NotRun {
            why: match story.offered.is_empty() {
                true => "no target serves this",
                false => "no target took it",
            },
            retry_after_ms: story.retry_after_ms.unwrap_or(RETRY_AFTER_MS),
        },
        _ if relay.now_ms() >= due_ms => Own::TimeOver,
        _ => Own::MayHaveRun(story.last),
    };
    Reply::own(relay.as_told(own), incoming.facts.request_id.as_deref())
}
