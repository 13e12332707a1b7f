//! Plain requests: sent to the target with the least expected time (see [`crate::forwarding::balance`]), again where the
//! route and the budget allow, and answered whole.

use crate::forwarding::balance::{Asked, route_key};
use crate::forwarding::beside::offer_in_time;
use crate::forwarding::offer::{Offer, admit_and_offer, token_ask};
use crate::forwarding::room::{wait_for_request_room, wait_for_room, waits_until_ms};
use crate::forwarding::send::NotRun;
use crate::ingress::request::{Incoming, LocalReply, Reply, Way};
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
pub(super) struct CallAttempts {
    pub(super) offered: Vec<TargetSlot>,
    /// Those of them that hold as many bytes of requests as they may.
    heavy: Vec<TargetSlot>,
    /// Those of them whose rate limits left no room, and when they do.
    limited: Vec<(TargetSlot, u64)>,
    /// Offers that reached their target.
    pub(super) arrivals: u32,
    /// Offers after which the request may have run.
    pub(super) runs: u32,
    /// An answer that is passed on where no better one comes.
    kept: Option<Reply>,
    retry_after_ms: Option<u64>,
    last: &'static str,
}

impl CallAttempts {
    /// When a caller that is sent away is told to come back, where that is known.
    fn come_back_ms(&self, now_ms: u64) -> Option<u64> {
        let tokens = self.limited.iter().map(|(_, at_ms)| *at_ms);
        let token_ms = tokens.min().map(|at_ms| at_ms.saturating_sub(now_ms));
        token_ms.into_iter().chain(self.retry_after_ms).min()
    }

    /// The target whose rate limit leaves room first, for a request that nobody ran.
    fn first_token(&self) -> Option<TargetSlot> {
        if self.runs > 0 {
            return None;
        }
        let first = self.limited.iter().min_by_key(|(_, at_ms)| *at_ms);
        first.map(|(slot, _)| *slot)
    }

    /// Takes an offer in. Some where its answer is passed on.
    fn take(
        &mut self,
        offer: Offer,
        relay: &Relay,
        incoming: &Incoming,
        way: &Way,
        slot: TargetSlot,
    ) -> Option<Reply> {
        self.arrivals += u32::from(offer.arrived());
        match offer {
            Offer::Answered(reply) => {
                let may_improve = reply.status >= 500 && way.route().kind == RouteKind::Repeatable;
                if !may_improve {
                    return Some(reply);
                }
                self.runs += 1;
                self.last = "the target failed";
                self.kept = Some(reply);
            }
            Offer::NotRun(NotRun::Heavy) => self.heavy.push(slot),
            Offer::NotRun(NotRun::Limited { retry_after_ms }) => {
                self.limited.push((slot, relay.now_ms() + retry_after_ms));
            }
            Offer::NotRun(NotRun::BackingOff { retry_after_ms }) => {
                self.retry_after_ms = self
                    .retry_after_ms
                    .into_iter()
                    .chain([retry_after_ms])
                    .min();
            }
            Offer::NotRun(NotRun::Refused { retry_after_ms }) => {
                self.retry_after_ms = self.retry_after_ms.into_iter().chain(retry_after_ms).min();
            }
            Offer::NotRun(_) => {}
            Offer::Unheld(why) => {
                let own = LocalReply::MayHaveRun(why);
                return Some(Reply::own(own, incoming.facts.request_id.as_deref()));
            }
            Offer::MayHaveRun(why) => {
                self.runs += 1;
                self.last = why;
            }
        }
        None
    }
}

/// Serves a plain request.
pub(crate) async fn call(relay: &Rc<Relay>, incoming: &Incoming, way: &Way) -> Reply {
    let service = &way.service().name;
    relay.with_retry_window(service, |window, now_ms| window.record_request(now_ms));
    let mut attempts = CallAttempts::default();
    let due_ms = incoming.due_ms(way.route());
    wait_for_room(relay, incoming, way).await;
    loop {
        if let Some(reply) = offer_all(relay, incoming, way, &mut attempts).await {
            return reply;
        }
        if let Some(slot) = attempts.first_token() {
            if let Some(reply) = wait_for_token(relay, incoming, way, slot, &mut attempts).await {
                return reply;
            }
            break;
        }
        let sent = attempts.heavy.len() < attempts.offered.len();
        if sent || attempts.heavy.is_empty() || !wait_for_request_room(relay, incoming, way).await {
            break;
        }
        attempts.offered.clear();
        attempts.heavy.clear();
    }
    conclude(relay, incoming, &attempts, due_ms)
}

/// Offers a request to one target after another, until there is an answer that is passed on.
async fn offer_all(
    relay: &Rc<Relay>,
    incoming: &Incoming,
    way: &Way,
    attempts: &mut CallAttempts,
) -> Option<Reply> {
    let due_ms = incoming.due_ms(way.route());
    while let Some(slot) = next_offer(relay, incoming, way, attempts, due_ms) {
        attempts.offered.push(slot);
        let offer = offer_in_time(relay, incoming, way, slot, attempts).await;
        let reply = attempts.take(offer, relay, incoming, way, slot);
        if reply.is_some() {
            return reply;
        }
    }
    None
}

/// Offers a request to a target with a rate limit, once there is a token for it, as long as its answer can be in time.
async fn wait_for_token(
    relay: &Rc<Relay>,
    incoming: &Incoming,
    way: &Way,
    slot: TargetSlot,
    attempts: &mut CallAttempts,
) -> Option<Reply> {
    let is_again = attempts.arrivals > 0;
    if is_again && !relay.try_take_retry(&way.service().name) {
        return None;
    }
    let began_ms = relay.now_ms();
    let wait_ms = waits_until_ms(relay, incoming, way).saturating_sub(began_ms);
    let ask = token_ask(way, wait_ms, true);
    attempts.limited.clear();
    let offer = admit_and_offer(relay, incoming, way, slot, attempts.runs, ask).await;
    slog::info!(relay.log, "call waited for a token"; "id" => incoming.id(),
        "target" => relay.name_of(slot), "most_ms" => wait_ms,
        "is_sent" => !matches!(offer, Offer::NotRun(NotRun::Limited { .. })),
        "after_ms" => relay.now_ms() - began_ms);
    let offer = offer.noted(relay, incoming, way, slot);
    attempts.take(offer, relay, incoming, way, slot)
}

/// The next target to offer a request to; none where there is none, or no time or budget is left.
pub(super) fn next_offer(
    relay: &Rc<Relay>,
    incoming: &Incoming,
    way: &Way,
    attempts: &CallAttempts,
    due_ms: u64,
) -> Option<TargetSlot> {
    let route = way.route();
    let now_ms = relay.now_ms();
    let may_run_again = route.kind == RouteKind::Repeatable
        && attempts.runs < route.runs_most
        && relay.settings().has(Mechanism::SecondSends);
    if now_ms >= due_ms || attempts.offered.len() >= OFFERS_MAX {
        return None;
    }
    if attempts.runs > 0 && (!may_run_again || relay.withheld_reply(incoming).is_some()) {
        return None;
    }
    let service = &way.service().name;
    let asked = asked(relay, way);
    let slot = relay.choose_call_target(&asked, &attempts.offered)?;
    if attempts.offered.contains(&slot) {
        return None;
    }
    let again = attempts.arrivals > 0;
    if again && !relay.try_take_retry(service) {
        return None;
    }
    relay
        .targets
        .borrow_mut()
        .record_chosen(slot, asked.cold, now_ms);
    Some(slot)
}

/// What a request asks for.
pub(super) fn asked<'a>(relay: &Relay, way: &'a Way) -> Asked<'a> {
    Asked {
        service: &way.service().name,
        route: route_key(way.route()),
        cold: ColdRate {
            rate_per_s: way.service().cold_rate_per_s,
            boxes: relay.members.borrow().peak_box_count(),
        },
    }
}

fn conclude(relay: &Relay, incoming: &Incoming, attempts: &CallAttempts, due_ms: u64) -> Reply {
    if let Some(kept) = &attempts.kept {
        return kept.clone();
    }
    let own = match attempts.runs {
        0 => LocalReply::NotRun {
            why: match (attempts.offered.is_empty(), attempts.limited.is_empty()) {
                (true, _) => "no target serves this",
                (false, true) => "no target took it",
                (false, false) => "the targets' rate limits leave no room",
            },
            retry_after_ms: attempts
                .come_back_ms(relay.now_ms())
                .unwrap_or(RETRY_AFTER_MS),
        },
        _ if relay.now_ms() >= due_ms => LocalReply::TimeOver,
        _ => LocalReply::MayHaveRun(attempts.last),
    };
    Reply::own(
        relay.caller_reply(own),
        incoming.facts.request_id.as_deref(),
    )
}
