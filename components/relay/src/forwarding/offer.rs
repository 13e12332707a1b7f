//! One offer of a plain request to one target, its answer read whole.

use crate::buffered::BufferReservation;
use crate::forwarding::admission::{Admission, SendKind};
use crate::forwarding::outcome::TargetOutcome;
use crate::forwarding::send::{
    ANSWER_TOO_LONG, Message, NotRun, Opened, Tried, UNREPEATABLE_REST_MS,
};
use crate::ingress::request::{Incoming, Reply, Way};
use crate::quarantine::broken_runs::RunFailure;
use crate::rate_limit::token::TokenRequest;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use bytes::Bytes;
use platform::{ForwardOptions, forwarded_request_head, forwarded_response_head};
use routing::RouteKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// What is said of a target that was waited for in vain.
const NO_ANSWER_IN_TIME: &str = "the target did not answer in time";

/// What is said of an answer for which there was no memory in its time.
pub(crate) const NO_MEMORY: &str = "no memory for the answer in its time";

/// What one offer led to.
pub(super) enum Offer {
    Answered(Reply),
    NotRun(NotRun),
    MayHaveRun(&'static str),
    /// It ran, and this box has no memory for its answer: no fault of the target, and another would not help.
    Unheld(&'static str),
}

/// The token that a request needs where its target has a rate limit.
pub(super) fn token_ask(way: &Way, wait_ms: u64, is_last_try: bool) -> TokenRequest {
    TokenRequest {
        account: way.account_id(),
        rank: way.rank(),
        wait_ms,
        is_last_try,
    }
}

/// Offers a request to a target that admits it, for so long.
pub(super) async fn admit_and_offer(
    relay: &Rc<Relay>,
    incoming: &Incoming,
    way: &Way,
    slot: TargetSlot,
    runs: u32,
    ask: TokenRequest,
) -> Offer {
    match relay.admit(slot, SendKind::Call(ask)).await {
        Ok(admission) => {
            let limit_ms = incoming.left_ms(way.route(), relay.now_ms());
            offer(relay, incoming, way, &admission, runs, limit_ms).await
        }
        Err(why) => Offer::NotRun(why),
    }
}

/// Offers an admitted request to its target, for so long.
pub(super) async fn offer(
    relay: &Rc<Relay>,
    incoming: &Incoming,
    way: &Way,
    admission: &Admission,
    runs: u32,
    limit_ms: u64,
) -> Offer {
    let slot = admission.slot;
    let route = way.route();
    let began_ms = relay.now_ms();
    let left_ms = incoming.left_ms(route, relay.now_ms());
    let Some(instance) = relay.instance_of(slot) else {
        return Offer::NotRun(NotRun::Unreachable);
    };
    let forwarding = ForwardOptions {
        instance: &instance,
        account: way.account_name(),
        left_ms,
        ..ForwardOptions::default()
    };
    let head = forwarded_request_head(&incoming.head, incoming.body.len(), &forwarding);
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
    let mut held = BufferReservation::new(&relay.memory, Some(way.account_id()));
    let trying = try_whole(relay, admission, message, &mut held);
    let offer = timeout(Duration::from_millis(limit_ms), trying).await;
    let mut offer = offer.unwrap_or(Offer::MayHaveRun(NO_ANSWER_IN_TIME));
    if matches!(offer, Offer::MayHaveRun(_)) && held.is_blocked() {
        metrics::counter!("shuntpier_answers_without_memory").increment(1);
        offer = Offer::Unheld(NO_MEMORY);
    }
    if let Offer::MayHaveRun(why) = offer {
        let how = match why == NO_ANSWER_IN_TIME {
            true => RunFailure::Silent,
            false => RunFailure::ConnectionClosed,
        };
        relay.record_broken_run(incoming.key, slot, began_ms, how);
    }
    if let Offer::Answered(reply) = &mut offer {
        if reply.status < 500 {
            relay.record_served_request(incoming.key);
        }
        reply.held = Some(Rc::new(held));
        let took_ms = relay.now_ms() - began_ms;
        relay.call_answered(slot, route, took_ms, reply.status >= 500);
    }
    offer
}

async fn try_whole(
    relay: &Rc<Relay>,
    admission: &Admission,
    message: Message<'_>,
    held: &mut BufferReservation,
) -> Offer {
    match relay.try_at(admission, message).await {
        Tried::NotRun(why) => Offer::NotRun(why),
        Tried::MayHaveRun(why) => Offer::MayHaveRun(why),
        Tried::Answered(opened) => whole(relay, admission.slot, *opened, held).await,
    }
}

/// Reads an answer whole and checks it before any of it is passed on.
async fn whole(
    relay: &Rc<Relay>,
    slot: TargetSlot,
    mut opened: Opened,
    held: &mut BufferReservation,
) -> Offer {
    if !opened.is_vouched() {
        return Offer::MayHaveRun("the answer is not the target's own");
    }
    let slowness = opened.facts.load.and_then(|load| load.slowness_percent);
    if let Some(percent) = slowness {
        relay.call_slowness(slot, percent);
    }
    let body: Bytes = match opened.read_whole(held).await {
        Ok(body) => body,
        Err(ANSWER_TOO_LONG) => return Offer::Unheld(ANSWER_TOO_LONG),
        Err(why) => return Offer::MayHaveRun(why),
    };
    let status = opened.head.status;
    let reply = Reply {
        status,
        head: forwarded_response_head(&opened.head),
        body,
        own: None,
        held: None,
    };
    opened.finish(relay);
    Offer::Answered(reply)
}

impl Offer {
    /// Notes what it says of its target.
    pub(super) fn noted(
        self,
        relay: &Rc<Relay>,
        incoming: &Incoming,
        way: &Way,
        slot: TargetSlot,
    ) -> Self {
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
        // One that says when to come back is kept from calls by that alone.
        let is_full = matches!(
            self,
            Self::NotRun(NotRun::Refused {
                retry_after_ms: None
            })
        );
        if is_full {
            relay.call_refused(slot);
        }
        if is_silent {
            relay.call_unanswered(slot);
        }
        self
    }

    pub(super) fn is_good(&self) -> bool {
        matches!(self, Self::Answered(reply) if reply.status < 500)
    }

    /// What it says of its target.
    fn word(&self) -> TargetOutcome {
        match self {
            Self::Answered(reply) if reply.status < 500 => TargetOutcome::Well,
            Self::Unheld(_) => TargetOutcome::Untried,
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
            Self::Unheld(why) => format!("ran: {why}"),
        };
        slog::info!(relay.log, "offer failed"; "id" => incoming.id(), "request" => %incoming.key, "outcome" => outcome,
            "target" => relay.name_of(slot), "after_ms" => relay.now_ms() - incoming.came_ms);
    }

    /// Whether the target got the request.
    pub(super) fn arrived(&self) -> bool {
        !matches!(self, Self::NotRun(why) if !why.arrived())
    }
}
