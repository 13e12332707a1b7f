//! Serves callers' channels: reads one request after another, admits or refuses it, and writes the reply.

use crate::buffered::BufferReservation;
use crate::buffered::deliver::{Delivered, deliver};
use crate::forwarding::call::serve_call;
use crate::forwarding::generation::serve_generation;
use crate::forwarding::sends::SendLog;
use crate::ingress::arrival::Arrival;
use crate::ingress::read_request::{memory_refusal, read_body, read_head};
use crate::ingress::request::{
    IncomingRequest, LocalReply, Reply, ResolvedRoute, is_not_run_status,
};
use crate::ingress::settled::SettledReply;
use crate::ingress::stopping::stop_reply;
use crate::state::Relay;
use bytes::Bytes;
use http1::{Channel, Listener, RequestHead};
use platform::parse_request_headers;
use prelude::{PartKey, RequestKey};
use routing::{CallerLimits, PromptPart, RequestFacts, RouteKind, Verdict};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Response bodies up to this size are written together with their head.
const MAX_JOINED_BYTES: usize = 32 * 1024;
/// How long a closing channel is still read, so that the last response is not lost to a reset.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Callers keep a channel idle for up to four fifths of the idle limit. The box keeps it open this much longer than the
/// limit, for requests that are in transit.
const IDLE_TIMEOUT_SLACK_MS: u64 = 500;
/// Retry-After while this box has no declarations.
const NO_DECLARATIONS_RETRY_MS: u64 = 200;

/// What happens to a channel after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChannelAction {
    /// The channel stays open for the next request.
    Keep,
    /// The channel closes after the caller has received the response.
    Close,
    /// The channel closes immediately: the response must not look complete, or the caller has left.
    Drop,
}

/// Accepts callers' channels until the process ends.
pub(crate) async fn serve(relay: Rc<Relay>, listener: Listener) {
    loop {
        let accepted = tokio::select! {
            () = relay.closed.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok(channel) => {
                tokio::task::spawn_local(serve_channel(relay.clone(), channel));
            }
            Err(error) => {
                slog::warn!(relay.log, "accepting a caller's channel failed"; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_channel(relay: Rc<Relay>, mut channel: Channel) {
    loop {
        if channel.buffer.is_empty() && !wait_for_request(&relay, &mut channel).await {
            return;
        }
        match serve_request(&relay, &mut channel).await {
            ChannelAction::Keep => {}
            ChannelAction::Close => return channel.finish(LINGER_TIMEOUT).await,
            ChannelAction::Drop => return,
        }
    }
}

/// Waits for the first byte of a request. Returns false if the channel has ended or was idle for too long.
async fn wait_for_request(relay: &Relay, channel: &mut Channel) -> bool {
    let idle_ms = caller_limits(relay).idle_ms + IDLE_TIMEOUT_SLACK_MS;
    tokio::select! {
        read = channel.fill() => matches!(read, Ok(read) if read > 0),
        () = sleep(Duration::from_millis(idle_ms)) => false,
        () = relay.closed.cancelled() => false,
    }
}

fn caller_limits(relay: &Relay) -> CallerLimits {
    relay
        .declared()
        .map_or(CallerLimits::default(), |declared| declared.table.limits)
}

async fn serve_request(relay: &Rc<Relay>, channel: &mut Channel) -> ChannelAction {
    let _in_progress = relay.track_request();
    let arrived_ms = relay.now_ms();
    let limits = caller_limits(relay);
    let head = match read_head(channel, limits).await {
        Ok(Some(head)) => head,
        Ok(None) => return ChannelAction::Drop,
        Err(local) => return reject_and_close(relay, channel, local, None).await,
    };
    let mut memory = BufferReservation::new(&relay.memory, None);
    let body = match read_body(channel, &head, relay, limits, &mut memory).await {
        Ok(body) => body,
        Err(Some(local)) => {
            let id = request_id(&head);
            return reject_and_close(relay, channel, local, id.as_deref()).await;
        }
        Err(None) => return ChannelAction::Drop,
    };
    relay.wait_until_synced().await;
    let closes_channel = head.old || head.headers.has_word("connection", "close");
    let action = match resolve(relay, head, body, memory, arrived_ms) {
        Ok((incoming, resolved)) => serve_resolved(relay, channel, &incoming, &resolved).await,
        Err((local, id)) => {
            slog::info!(relay.log, "request refused"; "id" => id.as_deref(),
                "status" => local.status(), "why" => local.why());
            count_response(local.status(), "own");
            write_rejection(relay, channel, local, id.as_deref(), closes_channel).await
        }
    };
    match action {
        ChannelAction::Keep if closes_channel => ChannelAction::Close,
        action => action,
    }
}

pub(crate) fn count_response(status: u16, by: &'static str) {
    metrics::counter!("shuntpier_answers", "status" => status.to_string(), "by" => by).increment(1);
}

type Rejection = (LocalReply, Option<Box<str>>);

/// Admits or refuses a request and resolves its route, by the declarations in force.
fn resolve(
    relay: &Relay,
    head: RequestHead,
    body: Bytes,
    mut memory: BufferReservation,
    arrived_ms: u64,
) -> Result<(IncomingRequest, ResolvedRoute), Rejection> {
    let facts = match parse_request_headers(&head.headers) {
        Ok(facts) => facts,
        Err(_) => {
            return Err((
                LocalReply::BadRequest("a field of the head cannot be read"),
                None,
            ));
        }
    };
    let id = facts.request_id.clone();
    if id.is_none() {
        return Err((LocalReply::BadRequest("the request has no name"), None));
    }
    if head.headers.count("host") != 1 {
        return Err((LocalReply::BadRequest("not exactly one host"), id));
    }
    let Some(declared) = relay.declared() else {
        let why = "this box knows no declarations yet";
        let retry_after_ms = NO_DECLARATIONS_RETRY_MS;
        return Err((
            LocalReply::NotRun {
                why,
                retry_after_ms,
            },
            id,
        ));
    };
    let host = head.headers.text("host").unwrap_or_default();
    let table = &declared.table;
    let (route, account) = match table.admit(host, &head.target, facts.key.as_deref()) {
        Verdict::Admitted { route, account } => (route, account),
        Verdict::NoRoute => return Err((LocalReply::NoRoute, id)),
        Verdict::NoAccount => return Err((LocalReply::NoAccount, id)),
    };
    let resolved = ResolvedRoute {
        service: table.share(route, rand::random()),
        route,
        account,
        declared: declared.clone(),
    };
    if !memory.assign_account(resolved.account_id()) {
        return Err((
            memory_refusal("this account's requests hold too much memory"),
            id,
        ));
    }
    let key = RequestKey::of(
        resolved.account_id(),
        &head.method,
        host,
        &head.target,
        &body,
    );
    let relayed_ms = verified_elapsed_ms(relay, &facts);
    let incoming = IncomingRequest {
        parts: part_keys(&resolved, &facts),
        is_on_trial: Cell::new(false),
        is_relayed: relayed_ms.is_some(),
        head,
        facts,
        body,
        key,
        _memory: memory,
        arrival: Arrival::new(arrived_ms, relayed_ms.unwrap_or_default()),
        declared_version: table.version,
        sends: SendLog::default(),
    };
    Ok((incoming, resolved))
}

/// The keys of the shared parts of a prompt; none for a request that is not a generation.
fn part_keys(resolved: &ResolvedRoute, facts: &RequestFacts) -> Box<[PartKey]> {
    let generation = facts.generation.as_ref();
    let Some(generation) = generation.filter(|_| resolved.route().kind == RouteKind::Generation)
    else {
        return Box::default();
    };
    let engines = PartKey::engines_of(&resolved.service().name, &generation.model);
    let key = |part: &PromptPart| PartKey {
        engines,
        id: part.id,
    };
    generation.shared_parts().iter().map(key).collect()
}

/// How long ago a relayed request arrived at the box that relays it, in ms; none if no box relays the request.
fn verified_elapsed_ms(relay: &Relay, facts: &RequestFacts) -> Option<u64> {
    let mark = facts.relayed.as_ref()?;
    let id = facts.request_id.as_deref().unwrap_or_default();
    let is_verified = relay.keys.verify_relayed(id, mark.elapsed_ms, &mark.proof);
    is_verified.then_some(mark.elapsed_ms)
}

async fn serve_resolved(
    relay: &Rc<Relay>,
    channel: &mut Channel,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
) -> ChannelAction {
    if let Some(local) = relay.decided_withheld_reply(incoming).await {
        count_response(local.status(), "own");
        return write_local_reply(relay, channel, incoming, local, false).await;
    }
    if incoming.is_relayed && relay.is_service_lost(&resolved.service().name) {
        count_response(LocalReply::Unreachable.status(), "own");
        return write_local_reply(relay, channel, incoming, LocalReply::Unreachable, false).await;
    }
    if resolved.route().kind == RouteKind::Generation {
        return serve_generation(relay, channel, incoming, resolved).await;
    }
    if let Some(local) = reject_if_stopping(relay, incoming, resolved) {
        slog::info!(relay.log, "request refused"; "id" => incoming.id(), "status" => local.status(),
            "why" => local.why());
        count_response(local.status(), "own");
        return write_local_reply(relay, channel, incoming, local, true).await;
    }
    let reply = tokio::select! {
        reply = serve_call(relay, incoming, resolved) => SettledReply::new(incoming, reply),
        () = channel.gone() => {
            slog::info!(relay.log, "caller left"; "id" => incoming.id(),
                "after_ms" => incoming.arrival.elapsed_ms(relay.now_ms()));
            metrics::counter!("shuntpier_callers_left").increment(1);
            return ChannelAction::Drop;
        }
    };
    let took_ms = incoming.arrival.elapsed_ms(relay.now_ms());
    if reply.status() >= 400 {
        slog::info!(relay.log, "request failed"; "id" => incoming.id(),
            "status" => reply.status(), "route" => &*resolved.route().name,
            "version" => resolved.declared.table.version, "after_ms" => took_ms,
            "why" => reply.why());
    }
    count_response(reply.status(), "call");
    metrics::histogram!("shuntpier_call_ms").record(took_ms as f64);
    write_reply(relay, channel, incoming, reply, false).await
}

/// The reply of a stopping box to a request whose deadline is later than the end of the box; none if it is accepted.
fn reject_if_stopping(
    relay: &Relay,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
) -> Option<LocalReply> {
    let left_ms = relay.stop_remaining_ms()?;
    let remaining_ms = incoming
        .deadline_ms(resolved.route())
        .saturating_sub(relay.now_ms());
    (remaining_ms > left_ms).then(|| stop_reply(relay))
}

/// Writes the reply to a request that was read.
pub(crate) async fn write_reply(
    relay: &Relay,
    channel: &mut Channel,
    incoming: &IncomingRequest,
    reply: SettledReply,
    closes_channel: bool,
) -> ChannelAction {
    if is_not_run_status(reply.status()) {
        let refused_by = reply.why().map_or("receiver", |_| "box");
        log_refusal(relay, incoming, reply.status(), refused_by, reply.why());
    }
    write(relay, channel, incoming.id(), reply, closes_channel).await
}

/// Writes a reply that the box makes itself to a request that was read.
pub(crate) async fn write_local_reply(
    relay: &Relay,
    channel: &mut Channel,
    incoming: &IncomingRequest,
    local: LocalReply,
    closes_channel: bool,
) -> ChannelAction {
    let reply = Reply::local(local, incoming.facts.request_id.as_deref());
    let reply = SettledReply::new(incoming, reply);
    write_reply(relay, channel, incoming, reply, closes_channel).await
}

/// Logs that a caller is told that its request did not run, and what is known of each of its sends.
pub(crate) fn log_refusal(
    relay: &Relay,
    incoming: &IncomingRequest,
    status: u16,
    refused_by: &'static str,
    why: Option<&'static str>,
) {
    slog::info!(relay.log, "refusal sent"; "id" => incoming.id(),
        "status" => status, "by" => refused_by, "why" => why,
        "sends" => incoming.sends.describe(relay, incoming.arrival),
        "may_have_run" => incoming.sends.may_have_run(),
        "version" => incoming.declared_version,
        "after_ms" => incoming.arrival.elapsed_ms(relay.now_ms()));
    metrics::counter!("shuntpier_refusals", "by" => refused_by).increment(1);
}

/// Writes the reply to a request that was not read completely or is not allowed.
async fn write_rejection(
    relay: &Relay,
    channel: &mut Channel,
    local: LocalReply,
    id: Option<&str>,
    closes_channel: bool,
) -> ChannelAction {
    let reply = SettledReply::rejection(local, id);
    write(
        relay,
        channel,
        id.unwrap_or_default(),
        reply,
        closes_channel,
    )
    .await
}

async fn write(
    relay: &Relay,
    channel: &mut Channel,
    id: &str,
    reply: SettledReply,
    closes_channel: bool,
) -> ChannelAction {
    let closes_channel = closes_channel || relay.should_close_channel();
    let (mut head, body, memory) = reply.into_inner().into_parts(closes_channel);
    let memory = memory.unwrap_or_else(|| Rc::new(BufferReservation::new(&relay.memory, None)));
    let joined = body.len() <= MAX_JOINED_BYTES;
    if joined {
        head.extend_from_slice(&body);
    }
    let mut delivered = deliver(relay, channel, id, &head, &memory).await;
    if !joined && delivered == Delivered::Whole {
        delivered = deliver(relay, channel, id, &body, &memory).await;
    }
    match delivered {
        Delivered::Whole if closes_channel => ChannelAction::Close,
        Delivered::Whole => ChannelAction::Keep,
        Delivered::CallerLeft | Delivered::Unread => ChannelAction::Drop,
    }
}

/// The id of a request of which the head was read; none if a field of the head is malformed.
fn request_id(head: &RequestHead) -> Option<Box<str>> {
    parse_request_headers(&head.headers).ok()?.request_id
}

/// Refuses a request that could not be read, and closes the channel.
async fn reject_and_close(
    relay: &Relay,
    channel: &mut Channel,
    local: LocalReply,
    id: Option<&str>,
) -> ChannelAction {
    slog::info!(relay.log, "request refused"; "id" => id, "status" => local.status(),
        "why" => local.why());
    count_response(local.status(), "own");
    write_rejection(relay, channel, local, id, true).await
}
