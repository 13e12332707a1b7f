//! Relays requests to another box while this box cannot reach the targets of their service. The other box serves them as if
//! its own caller had sent them, and relays them no further.

use crate::buffered::BufferReservation;
use crate::forwarding::attempt::{AttemptResult, NO_MEMORY};
use crate::forwarding::open_response::{ANSWER_TOO_LONG, OpenResponse};
use crate::forwarding::relay_peers::ChosenHelper;
use crate::forwarding::retries::RetryTicket;
use crate::forwarding::send::{ChannelChoice, NotRun, OutgoingRequest, exchange_heads};
use crate::forwarding::sends::{Receiver, SendState};
use crate::ingress::request::{
    IncomingRequest, LocalReply, Reply, ResolvedRoute, is_not_run_status,
};
use crate::state::Relay;
use http1::Channel;
use platform::{forwarded_response_head, is_unreachable_reply, relayed_request_head};
use prelude::BoxId;
use routing::RelayMark;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum number of boxes that are asked to serve one request.
const MAX_HELPERS: usize = 3;
/// Timeout for connecting to another box.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The other box ends a request at its deadline and knows best whether it ran, so its reply is awaited this much longer.
const REPLY_GRACE_MS: u64 = 100;
/// Retry-After if no box reaches a target: until the boxes have probed their targets again.
const NO_HELPER_RETRY_MS: u64 = 1_000;

/// Counts a request as relayed to a box until it is dropped.
pub(super) struct OpenRelay {
    relay: Rc<Relay>,
    helper: ChosenHelper,
}

impl OpenRelay {
    fn new(relay: &Rc<Relay>, helper: ChosenHelper) -> Self {
        relay.relay_peers.borrow_mut().record_open(helper.id);
        Self {
            relay: relay.clone(),
            helper,
        }
    }

    /// Counts bytes that were sent or received.
    pub(super) fn count_bytes(&self, bytes: usize) {
        let place = match self.helper.is_near {
            true => "near",
            false => "far",
        };
        metrics::counter!("shuntpier_relayed_bytes", "box" => place).increment(bytes as u64);
    }
}

impl Drop for OpenRelay {
    fn drop(&mut self) {
        let now_ms = self.relay.now_ms();
        let mut peers = self.relay.relay_peers.borrow_mut();
        peers.record_close(self.helper.id, now_ms);
    }
}

/// Result of relaying a request.
pub(super) enum RelayResult {
    /// A box answered; the body is not read yet.
    Answered(Box<OpenResponse>, OpenRelay),
    /// No box could serve the request, and none has run it.
    NoHelper,
    /// A box received the request and failed before its answer.
    MayHaveRun(&'static str),
}

impl RelayResult {
    fn outcome(&self) -> &'static str {
        match self {
            Self::Answered(..) => "answered",
            Self::NoHelper => "no_helper",
            Self::MayHaveRun(_) => "broken",
        }
    }
}

/// The reply to a request that no box can serve.
pub(super) const NO_HELPER_REPLY: LocalReply = LocalReply::NotRun {
    why: "no box that was asked reaches a target",
    retry_after_ms: NO_HELPER_RETRY_MS,
};

/// Time until a relayed request ends at the latest.
pub(super) fn relay_time_left(
    relay: &Relay,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
) -> Duration {
    let left_ms = incoming.remaining_ms(resolved.route(), relay.now_ms());
    Duration::from_millis(left_ms + REPLY_GRACE_MS)
}

/// Sends a request to other boxes, one after another until one of them serves it, and reads the head of its answer. `retry` is
/// the retry taken for it, if a target received the request before.
pub(super) async fn open_at_helper(
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
    retry: Option<&RetryTicket>,
) -> RelayResult {
    let time_left = relay_time_left(relay, incoming, resolved);
    let opened = timeout(time_left, try_helpers(relay, incoming, retry)).await;
    let result = opened.unwrap_or(RelayResult::MayHaveRun(
        "the other box did not answer in time",
    ));
    metrics::counter!("shuntpier_requests_relayed", "outcome" => result.outcome()).increment(1);
    result
}

async fn try_helpers(
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    retry: Option<&RetryTicket>,
) -> RelayResult {
    let mut asked: Vec<BoxId> = Vec::new();
    while let Some(helper) = relay
        .choose_helper(&asked)
        .filter(|_| asked.len() < MAX_HELPERS)
    {
        asked.push(helper.id);
        let result = send_to_helper(relay, incoming, helper, retry).await;
        slog::info!(relay.log, "request relayed"; "id" => incoming.id(),
            "request" => %incoming.key, "to" => helper.id.0, "outcome" => result.outcome(),
            "after_ms" => incoming.arrival.elapsed_ms(relay.now_ms()));
        if !matches!(result, RelayResult::NoHelper) {
            return result;
        }
        let now_ms = relay.now_ms();
        relay.relay_peers.borrow_mut().avoid(helper.id, now_ms);
    }
    RelayResult::NoHelper
}

async fn send_to_helper(
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    helper: ChosenHelper,
    retry: Option<&RetryTicket>,
) -> RelayResult {
    let open_relay = OpenRelay::new(relay, helper);
    let Ok(channel) = Channel::connect(helper.address, CONNECT_TIMEOUT).await else {
        return RelayResult::NoHelper;
    };
    let elapsed_ms = incoming.arrival.elapsed_ms(relay.now_ms());
    let Some(proof) = relay.keys.prove_relayed(incoming.id(), elapsed_ms) else {
        return RelayResult::NoHelper;
    };
    let mark = RelayMark {
        elapsed_ms,
        proof: proof.into(),
    };
    let head = relayed_request_head(&incoming.head, incoming.body.len(), &mark);
    open_relay.count_bytes(head.len() + incoming.body.len());
    let request = OutgoingRequest {
        request_id: incoming.id(),
        head: &head,
        body: &incoming.body,
        has_no_body: &*incoming.head.method == "HEAD",
        channel: ChannelChoice::New,
        retry,
        sends: &incoming.sends,
    };
    if let Some(retry) = retry {
        retry.record_sent();
    }
    let send = incoming
        .sends
        .begin(Receiver::Box(helper.id), relay.now_ms());
    let result = exchange_heads(channel, request).await;
    incoming.sends.settle(send, state_at_helper(&result));
    match result {
        Ok(response) if is_unreachable_reply(&response.head) => RelayResult::NoHelper,
        Ok(response) => RelayResult::Answered(Box::new(response), open_relay),
        Err(None) => RelayResult::NoHelper,
        Err(Some(why)) => RelayResult::MayHaveRun(why),
    }
}

/// What a send to another box came to. A status that promises that the request did not run is the other box's own word, unless a
/// target signed it.
fn state_at_helper(result: &Result<OpenResponse, Option<&'static str>>) -> SendState {
    match result {
        Ok(response) => {
            let status = response.head.status;
            match is_not_run_status(status) && !response.metadata.is_signed {
                true => SendState::Refused(status),
                false => SendState::Answered(status),
            }
        }
        Err(None) => SendState::Unsent,
        Err(Some(_)) => SendState::Unclear,
    }
}

/// Relays a plain request and buffers the answer whole. If earlier attempts may have run it (`runs`), the other box's own
/// refusal is not the caller's answer: it speaks of its own attempts only.
pub(super) async fn relay_call(
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
    runs: u32,
    retry: Option<&RetryTicket>,
) -> AttemptResult {
    let (mut response, open_relay) = match open_at_helper(relay, incoming, resolved, retry).await {
        RelayResult::Answered(response, open_relay) => (response, open_relay),
        RelayResult::NoHelper => return AttemptResult::NotRun(NotRun::Unreachable),
        RelayResult::MayHaveRun(why) => return AttemptResult::MayHaveRun(why),
    };
    let mut memory = BufferReservation::new(&relay.memory, Some(resolved.account_id()));
    let time_left = relay_time_left(relay, incoming, resolved);
    let body = match timeout(time_left, response.read_body(&mut memory)).await {
        Ok(Ok(body)) => body,
        Ok(Err(ANSWER_TOO_LONG)) => return AttemptResult::OutOfMemory(ANSWER_TOO_LONG),
        Ok(Err(why)) => return AttemptResult::MayHaveRun(why),
        Err(_) if memory.is_blocked() => return AttemptResult::OutOfMemory(NO_MEMORY),
        Err(_) => return AttemptResult::MayHaveRun("the other box did not answer in time"),
    };
    open_relay.count_bytes(body.len());
    if runs > 0 && !response.is_verified() {
        return match response.head.status {
            503 => AttemptResult::NotRun(NotRun::Refused {
                retry_after_ms: response.metadata.retry_after_ms.value(),
            }),
            _ => AttemptResult::MayHaveRun("the other box got no answer"),
        };
    }
    AttemptResult::Answered(Reply {
        status: response.head.status,
        head: forwarded_response_head(&response.head),
        body,
        local: None,
        memory: Some(Rc::new(memory)),
    })
}
