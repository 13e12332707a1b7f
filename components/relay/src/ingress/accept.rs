//! Callers' channels: one request after another, each read whole, let in or refused, and answered.

use crate::buffered::BufferReservation;
use crate::buffered::deliver::{Delivered, deliver};
use crate::forwarding::call::call;
use crate::forwarding::generation::generate;
use crate::ingress::reading::{no_memory, read_body, read_head};
use crate::ingress::request::{Incoming, LocalReply, Reply, Way};
use crate::ingress::stopping::stop_retry_ms;
use crate::state::Relay;
use bytes::Bytes;
use http1::{Channel, Listener, RequestHead};
use platform::parse_request_headers;
use prelude::RequestKey;
use routing::{CallerLimits, RouteKind, Verdict};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause after a channel could not be taken: descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Bodies of answers up to this size travel in one write with their head.
const JOINED_BYTES_MAX: usize = 32 * 1024;
/// How long a closed channel is read on, so that its last answer arrives.
const LINGER: Duration = Duration::from_millis(500);
/// Callers rest for up to four fifths of the idle limit; this much longer a channel stays open, for what
/// is on its way.
const IDLE_SLACK_MS: u64 = 500;
/// When a caller is told to come back while this box knows no declarations.
const NO_TABLE_RETRY_MS: u64 = 200;

/// What follows an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum After {
    /// The channel takes the next request.
    Keep,
    /// It closes, once the caller has what was written.
    Close,
    /// It closes at once: what was written must not look complete, or nobody is there.
    Drop,
}

/// Takes callers' channels until the box ends.
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
                slog::warn!(relay.log, "a caller's channel was not taken"; "error" => %error);
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
            After::Keep => {}
            After::Close => return channel.finish(LINGER).await,
            After::Drop => return,
        }
    }
}

/// Waits for the first byte of a request. False where the channel is over.
async fn wait_for_request(relay: &Relay, channel: &mut Channel) -> bool {
    let idle_ms = limits(relay).idle_ms + IDLE_SLACK_MS;
    tokio::select! {
        read = channel.fill() => matches!(read, Ok(read) if read > 0),
        () = sleep(Duration::from_millis(idle_ms)) => false,
        () = relay.closed.cancelled() => false,
    }
}

fn limits(relay: &Relay) -> CallerLimits {
    relay
        .declared()
        .map_or(CallerLimits::default(), |held| held.table.limits)
}

async fn serve_request(relay: &Rc<Relay>, channel: &mut Channel) -> After {
    let _in_progress = relay.track_request();
    let came_ms = relay.now_ms();
    let limits = limits(relay);
    let head = match read_head(channel, limits).await {
        Ok(Some(head)) => head,
        Ok(None) => return After::Drop,
        Err(own) => return refuse(relay, channel, own, None).await,
    };
    let mut held = BufferReservation::new(&relay.memory, None);
    let body = match read_body(channel, &head, relay, limits, &mut held).await {
        Ok(body) => body,
        Err(Some(own)) => return refuse(relay, channel, own, None).await,
        Err(None) => return After::Drop,
    };
    relay.wait_until_synced().await;
    let closes = head.old || head.headers.has_word("connection", "close");
    let answered = match admit(relay, head, body, held, came_ms) {
        Ok((incoming, way)) => answer(relay, channel, &incoming, &way).await,
        Err((own, id)) => {
            slog::info!(relay.log, "request refused"; "id" => id.as_deref(),
                "status" => own.status(), "why" => own.why());
            count(own.status(), "own");
            let reply = Reply::own(own, id.as_deref());
            write_reply(
                relay,
                channel,
                id.as_deref().unwrap_or_default(),
                reply,
                closes,
            )
            .await
        }
    };
    match answered {
        After::Keep if closes => After::Close,
        after => after,
    }
}

pub(crate) fn count(status: u16, by: &'static str) {
    metrics::counter!("shuntpier_answers", "status" => status.to_string(), "by" => by).increment(1);
}

type Refused = (LocalReply, Option<Box<str>>);

/// Decides whether a request goes on, by the declarations in force now.
fn admit(
    relay: &Relay,
    head: RequestHead,
    body: Bytes,
    mut held: BufferReservation,
    came_ms: u64,
) -> Result<(Incoming, Way), Refused> {
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
        let retry_after_ms = NO_TABLE_RETRY_MS;
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
    let way = Way {
        service: table.share(route, rand::random()),
        route,
        account,
        declared: declared.clone(),
    };
    if !held.assign_account(way.account_id()) {
        return Err((
            no_memory("this account's requests hold too much memory"),
            id,
        ));
    }
    let key = RequestKey::of(way.account_id(), &head.method, host, &head.target, &body);
    let incoming = Incoming {
        head,
        facts,
        body,
        key,
        _held: held,
        came_ms,
    };
    Ok((incoming, way))
}

async fn answer(relay: &Rc<Relay>, channel: &mut Channel, incoming: &Incoming, way: &Way) -> After {
    if let Some(own) = relay.withheld_reply(incoming) {
        count(own.status(), "own");
        let reply = Reply::own(own, incoming.facts.request_id.as_deref());
        return write_reply(relay, channel, incoming.id(), reply, false).await;
    }
    if way.route().kind == RouteKind::Generation {
        return generate(relay, channel, incoming, way).await;
    }
    if let Some(own) = stop_refusal(relay, incoming, way) {
        slog::info!(relay.log, "request refused"; "id" => incoming.id(), "status" => own.status(),
            "why" => own.why());
        count(own.status(), "own");
        let reply = Reply::own(own, incoming.facts.request_id.as_deref());
        return write_reply(relay, channel, incoming.id(), reply, true).await;
    }
    let reply = tokio::select! {
        reply = call(relay, incoming, way) => reply,
        () = channel.gone() => {
            slog::info!(relay.log, "caller left"; "id" => incoming.id(),
                "after_ms" => relay.now_ms() - incoming.came_ms);
            metrics::counter!("shuntpier_callers_left").increment(1);
            return After::Drop;
        }
    };
    let took_ms = relay.now_ms() - incoming.came_ms;
    if reply.status >= 400 {
        slog::info!(relay.log, "request failed"; "id" => incoming.id(),
            "status" => reply.status, "route" => &*way.route().name,
            "version" => way.declared.table.version, "after_ms" => took_ms,
            "why" => reply.own.map(LocalReply::why));
    }
    count(reply.status, "call");
    metrics::histogram!("shuntpier_call_ms").record(took_ms as f64);
    write_reply(relay, channel, incoming.id(), reply, false).await
}

/// Why a stopping box does not take a request: its last answer may be due after the box is gone.
fn stop_refusal(relay: &Relay, incoming: &Incoming, way: &Way) -> Option<LocalReply> {
    let left_ms = relay.stop_remaining_ms()?;
    let due_in_ms = incoming.due_ms(way.route()).saturating_sub(relay.now_ms());
    (due_in_ms > left_ms).then_some(LocalReply::NotRun {
        why: "this box stops before it would answer",
        retry_after_ms: stop_retry_ms(relay),
    })
}

pub(crate) async fn write_reply(
    relay: &Relay,
    channel: &mut Channel,
    id: &str,
    reply: Reply,
    closes: bool,
) -> After {
    let closes = closes || relay.sheds_channel();
    let (mut head, body, held) = reply.parts(closes);
    let held = held.unwrap_or_else(|| Rc::new(BufferReservation::new(&relay.memory, None)));
    let joined = body.len() <= JOINED_BYTES_MAX;
    if joined {
        head.extend_from_slice(&body);
    }
    let mut delivered = deliver(relay, channel, id, &head, &held).await;
    if !joined && delivered == Delivered::Whole {
        delivered = deliver(relay, channel, id, &body, &held).await;
    }
    match delivered {
        Delivered::Whole if closes => After::Close,
        Delivered::Whole => After::Keep,
        Delivered::CallerLeft | Delivered::Unread => After::Drop,
    }
}

/// Answers what cannot be read on, and closes.
async fn refuse(relay: &Relay, channel: &mut Channel, own: LocalReply, id: Option<&str>) -> After {
    slog::info!(relay.log, "request refused"; "id" => id, "status" => own.status(),
        "why" => own.why());
    count(own.status(), "own");
    write_reply(
        relay,
        channel,
        id.unwrap_or_default(),
        Reply::own(own, id),
        true,
    )
    .await
}
