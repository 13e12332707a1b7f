//! Plain requests: sent to the emptiest target, again where the route and the budget allow, and answered
//! whole.

use crate::forwarding::balance::route_key;
use crate::forwarding::outcome::TargetOutcome;
use crate::forwarding::send::{Message, NotRun, Opened, Tried, UNREPEATABLE_REST_MS};
use crate::ingress::request::{Incoming, Own, Reply, Way};
use crate::state::Relay;
use crate::watch::targets::{ColdRate, TargetSlot};
use bytes::Bytes;
use futures::future::{Either, select};
use platform::{Forwarding, forward, relayed_head};
use policy::patience_ms;
use routing::{Route, RouteKind};
use settings::Mechanism;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Targets that one request is offered to, those that refuse it counted.
const OFFERS_MAX: usize = 4;
/// When a refused caller is told to come back, where no target says so.
const RETRY_AFTER_MS: u64 = 300;

/// What is said of a target that was waited for in vain.
const NO_ANSWER_IN_TIME: &str = "the target did not answer in time";

/// What a plain request asks for, as far as the choice of its target goes.
pub(crate) struct Asked<'a> {
    pub service: &'a str,
    pub route: u64,
    pub cold: ColdRate,
}

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
        let offer = offer_in_time(relay, incoming, way, slot, &mut story).await;
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
    let asked = Asked {
        service,
        route: route_key(route),
        cold,
    };
    let slot = relay.choose_call_target(&asked, &story.offered)?;
    if story.offered.contains(&slot) {
        return None;
    }
    let again = story.arrivals > 0;
    if again && !relay.take_resend(service) {
        return None;
    }
    relay.targets.borrow_mut().chosen(slot, cold, now_ms);
    Some(slot)
}

/// One offer; where it is late and the request may run twice, a second one beside it. The first good answer counts.
async fn offer_in_time(
    relay: &Rc<Relay>,
    incoming: &Incoming,
    way: &Way,
    slot: TargetSlot,
    story: &mut Story,
) -> Offer {
    let route = way.route();
    let another = route.kind == RouteKind::Repeatable && story.runs + 1 < route.runs_most;
    let beside = another && relay.file().has(Mechanism::SecondBeside);
    let left_ms = incoming.left_ms(route, relay.now_ms());
    let patience_ms = relay.patience_for(route).min(left_ms);
    let limit_ms = match another && !beside {
        true => patience_ms,
        false => left_ms,
    };
    let first = offer(relay, incoming, way, slot, story.runs, limit_ms);
    let mut first = pin!(first);
    if !beside {
        let offer = first.await;
        return offer.noted(relay, incoming, way, slot);
    }
    let patience = Duration::from_millis(patience_ms);
    if let Ok(offer) = timeout(patience, first.as_mut()).await {
        return offer.noted(relay, incoming, way, slot);
    }
    // The first may run, and got the request: the second is counted as one.
    story.runs += 1;
    story.arrivals += 1;
    let due_ms = incoming.due_ms(route);
    let Some(second_slot) = next_offer(relay, way, story, due_ms) else {
        story.runs -= 1;
        story.arrivals -= 1;
        return first.await.noted(relay, incoming, way, slot);
    };
    story.offered.push(second_slot);
    slog::info!(relay.log, "second try beside the first"; "id" => incoming.id(),
        "first" => relay.name_of(slot), "second" => relay.name_of(second_slot),
        "after_ms" => relay.now_ms() - incoming.came_ms, "patience_ms" => patience_ms);
    let left_ms = incoming.left_ms(route, relay.now_ms());
    let second = offer(relay, incoming, way, second_slot, story.runs, left_ms);
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

/// Notes that a target had not answered when a later try had. It failed where little of the goal was left.
fn outrun(relay: &Rc<Relay>, route: &Route, slot: TargetSlot, waited_ms: u64) {
    relay.call_outrun(slot, route, waited_ms);
    let has_failed = waited_ms >= patience_ms(route.answer_goal_ms, None);
    relay.record_outcome(
        slot,
        match has_failed {
            true => TargetOutcome::Failed,
            false => TargetOutcome::Untried,
        },
    );
}

/// Of two offers that are over, the one that says more to the caller.
fn better(one: Offer, other: Offer) -> Offer {
    let rank = |offer: &Offer| match offer {
        Offer::Answered(reply) => 1 + u8::from(reply.status < 500),
        Offer::NotRun(_) | Offer::MayHaveRun(_) => 0,
    };
    match rank(&one) > rank(&other) {
        true => one,
        false => other,
    }
}

async fn offer(
    relay: &Rc<Relay>,
    incoming: &Incoming,
    way: &Way,
    slot: TargetSlot,
    runs: u32,
    limit_ms: u64,
) -> Offer {
    let route = way.route();
    let began_ms = relay.now_ms();
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
            RouteKind::Repeatable if runs == 0 => u64::MAX,
            _ => UNREPEATABLE_REST_MS,
        },
    };
    let trying = try_whole(relay, slot, message);
    let offer = timeout(Duration::from_millis(limit_ms), trying).await;
    let offer = offer.unwrap_or(Offer::MayHaveRun(NO_ANSWER_IN_TIME));
    if let Offer::Answered(reply) = &offer {
        let took_ms = relay.now_ms() - began_ms;
        relay.call_answered(slot, route, took_ms, reply.status >= 500);
    }
    offer
}

async fn try_whole(relay: &Rc<Relay>, slot: TargetSlot, message: Message<'_>) -> Offer {
    match relay.try_at(slot, message).await {
        Tried::NotRun(why) => Offer::NotRun(why),
        Tried::MayHaveRun(why) => Offer::MayHaveRun(why),
        Tried::Answered(opened) => whole(relay, slot, *opened).await,
    }
}

/// Reads an answer whole and checks it before any of it is passed on.
async fn whole(relay: &Rc<Relay>, slot: TargetSlot, mut opened: Opened) -> Offer {
    if !opened.is_vouched() {
        return Offer::MayHaveRun("the answer is not the target's own");
    }
    let slowness = opened.facts.load.and_then(|load| load.slowness_percent);
    if let Some(percent) = slowness {
        relay.call_slowness(slot, percent);
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
    /// Notes what it says of its target.
    fn noted(self, relay: &Rc<Relay>, incoming: &Incoming, way: &Way, slot: TargetSlot) -> Self {
        self.note(relay, incoming, slot);
        let is_common = matches!(self, Self::Answered(_)) && relay.fails_commonly(way.route());
        let word = match self.word() {
            // The route fails everywhere: the target is doubted for this route alone.
            TargetOutcome::Failed if is_common => TargetOutcome::Untried,
            word => word,
        };
        relay.record_outcome(slot, word);
        // A caller who waits for less than the goal says nothing of a target.
        let waited_ms = relay.now_ms() - incoming.came_ms;
        let is_over = waited_ms >= way.route().answer_goal_ms;
        let is_silent = match &self {
            Self::MayHaveRun(why) => *why != NO_ANSWER_IN_TIME || is_over,
            Self::NotRun(NotRun::Unreachable) => true,
            _ => false,
        };
        if is_silent {
            relay.call_unanswered(slot);
        }
        self
    }

    fn is_good(&self) -> bool {
        matches!(self, Self::Answered(reply) if reply.status < 500)
    }

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
