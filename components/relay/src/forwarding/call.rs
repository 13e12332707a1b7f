//! Plain requests: sent to the emptiest target, again where the route and the budget allow, and answered
//! whole.

use crate::forwarding::outcome::TargetOutcome;
use crate::forwarding::send::{Message, NotRun, Opened, Tried, UNREPEATABLE_REST_MS};
use crate::ingress::request::{Incoming, Own, Reply, Way};
use crate::state::Relay;
use crate::watch::targets::{ColdRate, TargetSlot};
use bytes::Bytes;
use platform::{Forwarding, forward, relayed_head};
use routing::RouteKind;
use settings::Mechanism;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Targets that one request is offered to, those that refuse it counted.
const OFFERS_MAX: usize = 4;
/// When a refused caller is told to come back, where no target says so.
const RETRY_AFTER_MS: u64 = 300;
/// Part of the goal after which a request that may run again is given up at a target that says nothing.
const PATIENCE_SHARE: f64 = 0.8;

/// What one offer led to.
enum Offer {
    Answered(Reply),
    NotRun(NotRun),
    MayHaveRun(&'static str),
}

/// What the offers of a request have led to so far.
#[derive(Default)]
struct Story {
    offered: Vec<TargetSlot>,
    /// Offers that reached their target.
    arrivals: u32,
    /// Offers after which the request may have run.
    runs: u32,
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
    while let Some(slot) = next_offer(relay, way, &story, due_ms) {
        story.offered.push(slot);
        let offer = offer(relay, incoming, way, slot, &story).await;
        offer.note(relay, incoming, slot);
        relay.record_outcome(slot, offer.word());
        story.arrivals += u32::from(offer.arrived());
        match offer {
            Offer::Answered(reply) => {
                let may_improve = reply.status >= 500 && way.route().kind == RouteKind::Repeatable;
                if !may_improve {
                    return reply;
                }
                story.runs += 1;
                story.last = "the target failed";
                story.kept = Some(reply);
            }
            Offer::NotRun(why) => {
                if let NotRun::Refused { retry_after_ms } = why {
                    story.retry_after_ms = story.retry_after_ms.or(retry_after_ms);
                }
            }
            Offer::MayHaveRun(why) => {
                story.runs += 1;
                story.last = why;
            }
        }
    }
    conclude(relay, incoming, &story, due_ms)
}

/// The next target to offer a request to; none where it is over.
fn next_offer(relay: &Rc<Relay>, way: &Way, story: &Story, due_ms: u64) -> Option<TargetSlot> {
    let route = way.route();
    let now_ms = relay.now_ms();
    let may_run_again = route.kind == RouteKind::Repeatable
        && story.runs < route.runs_most
        && relay.file().has(Mechanism::SecondSends);
    if now_ms >= due_ms || story.offered.len() >= OFFERS_MAX {
        return None;
    }
    if story.runs > 0 && !may_run_again {
        return None;
    }
    let service = &way.service().name;
    let cold = ColdRate {
        rate_per_s: way.service().cold_rate_per_s,
        boxes: relay.members.borrow().budget_share(),
    };
    let near = relay.data_centre;
    let mut targets = relay.targets.borrow_mut();
    let slot = targets.choose(service, near, &story.offered, cold, now_ms)?;
    if story.offered.contains(&slot) {
        return None;
    }
    let again = story.arrivals > 0;
    if again && !relay.take_resend(service) {
        return None;
    }
    targets.chosen(slot, cold, now_ms);
    Some(slot)
}

async fn offer(
    relay: &Rc<Relay>,
    incoming: &Incoming,
    way: &Way,
    slot: TargetSlot,
    story: &Story,
) -> Offer {
    let route = way.route();
    let left_ms = incoming.left_ms(route, relay.now_ms());
    let Some(instance) = relay.instance_of(slot) else {
        return Offer::NotRun(NotRun::Unreachable);
    };
    let forwarding = Forwarding {
        instance: &instance,
        account: way.account_name(),
        left_ms,
        ..Forwarding::default()
    };
    let head = forward(&incoming.head, incoming.body.len(), &forwarding);
    let message = Message {
        request_id: incoming.id(),
        head: &head,
        body: &incoming.body,
        bodiless: &*incoming.head.method == "HEAD",
        rested_most_ms: match route.kind {
            // Where a channel that rested failed, the second is not chosen by that.
            RouteKind::Repeatable if story.runs == 0 => u64::MAX,
            _ => UNREPEATABLE_REST_MS,
        },
    };
    let patience_ms = (route.answer_goal_ms as f64 * PATIENCE_SHARE) as u64;
    let another = route.kind == RouteKind::Repeatable && story.runs + 1 < route.runs_most;
    let limit_ms = match another {
        true => left_ms.min(patience_ms),
        false => left_ms,
    };
    let trying = try_whole(relay, slot, message);
    match timeout(Duration::from_millis(limit_ms), trying).await {
        Ok(offer) => offer,
        Err(_) => Offer::MayHaveRun("the target did not answer in time"),
    }
}

async fn try_whole(relay: &Rc<Relay>, slot: TargetSlot, message: Message<'_>) -> Offer {
    match relay.try_at(slot, message).await {
        Tried::NotRun(why) => Offer::NotRun(why),
        Tried::MayHaveRun(why) => Offer::MayHaveRun(why),
        Tried::Answered(opened) => whole(relay, *opened).await,
    }
}

/// Reads an answer whole and checks it before any of it is passed on.
async fn whole(relay: &Rc<Relay>, mut opened: Opened) -> Offer {
    if !opened.is_vouched() {
        return Offer::MayHaveRun("the answer is not the target's own");
    }
    let body: Bytes = match opened.read_whole().await {
        Ok(body) => body,
        Err(why) => return Offer::MayHaveRun(why),
    };
    let status = opened.head.status;
    let reply = Reply {
        status,
        head: relayed_head(&opened.head),
        body,
        own: None,
    };
    opened.finish(relay);
    Offer::Answered(reply)
}

impl Offer {
    /// What it says of its target.
    fn word(&self) -> TargetOutcome {
        match self {
            Self::Answered(reply) if reply.status < 500 => TargetOutcome::Well,
            Self::Answered(_) | Self::MayHaveRun(_) => TargetOutcome::Failed,
            Self::NotRun(why) => TargetOutcome::from(*why),
        }
    }

    /// Writes an offer that failed to the log.
    fn note(&self, relay: &Relay, incoming: &Incoming, slot: TargetSlot) {
        let outcome = match self {
            Self::Answered(reply) if reply.status < 500 => return,
            Self::Answered(reply) => format!("answered {}", reply.status),
            Self::NotRun(why) => format!("not run: {why:?}"),
            Self::MayHaveRun(why) => format!("may have run: {why}"),
        };
        slog::info!(relay.log, "offer failed"; "id" => incoming.id(), "outcome" => outcome,
            "target" => relay.name_of(slot), "after_ms" => relay.now_ms() - incoming.came_ms);
    }

    /// Whether the target got the request.
    fn arrived(&self) -> bool {
        !matches!(self, Self::NotRun(why) if !why.arrived())
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
