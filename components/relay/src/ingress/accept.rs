//! Callers' channels: one request after another, each read whole before anything of it is sent on.

use crate::forwarding::call::call;
use crate::forwarding::generation::generate;
use crate::held::Held;
use crate::held::deliver::{Delivered, deliver};
use crate::ingress::request::{Incoming, Own, Reply, Way};
use crate::ingress::stopping::stop_retry_ms;
use crate::state::Relay;
use bytes::Bytes;
use http1::{
    BodyError, Channel, ChannelError, Decoder, Framing, HeadError, Listener, Piece, RequestHead,
};
use platform::read_facts;
use prelude::{AccountId, RequestKey};
use routing::{CallerLimits, RouteKind, Verdict};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Pause after a channel could not be taken: descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause between two pieces of a request's body.
const BODY_PAUSE_LIMIT: Duration = Duration::from_secs(10);
/// How long a request's body waits for memory before it is refused: its caller may find room at another box.
const BODY_ROOM_LIMIT: Duration = Duration::from_secs(2);
/// Bodies up to this size come with their head; whose they are is not asked before they are read.
const SHORT_BODY_BYTES: u64 = 8 * 1024;
/// When a caller is told to come back for whom there is no memory.
const NO_MEMORY_RETRY_MS: u64 = 1_000;
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
    let _in_progress = relay.begin();
    let came_ms = relay.now_ms();
    let limits = limits(relay);
    let head = match read_head(channel, limits).await {
        Ok(Some(head)) => head,
        Ok(None) => return After::Drop,
        Err(own) => return refuse(relay, channel, own, None).await,
    };
    let mut held = Held::new(&relay.held, None);
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

async fn read_head(
    channel: &mut Channel,
    limits: CallerLimits,
) -> Result<Option<RequestHead>, Own> {
    let limit = Duration::from_millis(limits.head_time_ms);
    match timeout(limit, channel.request(limits.head_bytes)).await {
        Ok(Ok(head)) => Ok(head),
        Ok(Err(ChannelError::Head(HeadError::TooLong(_)))) => Err(Own::HeadTooLong),
        Ok(Err(ChannelError::Head(HeadError::Malformed(why)))) => Err(Own::BadRequest(why)),
        Ok(Err(ChannelError::Io(_) | ChannelError::Closed)) => Ok(None),
        Err(_) => Err(Own::SlowHead),
    }
}

/// Reads a body whole. The error is the answer; none where the caller left.
async fn read_body(
    channel: &mut Channel,
    head: &RequestHead,
    relay: &Relay,
    limits: CallerLimits,
    held: &mut Held,
) -> Result<Bytes, Option<Own>> {
    let told = match head.framing {
        Framing::Length(length) => length,
        Framing::Chunked | Framing::UntilClose => 0,
    };
    if matches!(head.framing, Framing::Length(length) if length > limits.body_bytes as u64) {
        return Err(Some(Own::BodyTooLong));
    }
    if told > SHORT_BODY_BYTES || head.framing == Framing::Chunked {
        // It is counted for its account while it is read: callers that send slowly would else take the room of all.
        held.belongs_to(account_of(relay, head));
    }
    if !finds_room(held, told).await {
        return Err(Some(no_memory("no memory for the body")));
    }
    let mut decoder = Decoder::new(head.framing);
    let mut asked = head.headers.has_word("expect", "100-continue");
    let mut body: Option<Bytes> = None;
    let mut rest: Vec<u8> = Vec::new();
    loop {
        match decoder.next(&mut channel.buffer) {
            Ok(Piece::Data(data)) if body.is_none() => body = Some(data),
            Ok(Piece::Data(data)) => rest.extend_from_slice(&data),
            Ok(Piece::End) => break,
            Ok(Piece::More) => {
                if std::mem::take(&mut asked) {
                    let go_on = channel.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
                    go_on.map_err(|_| None)?;
                }
                match timeout(BODY_PAUSE_LIMIT, channel.fill()).await {
                    Ok(Ok(read)) if read > 0 => {}
                    Ok(_) => return Err(None),
                    Err(_) => return Err(Some(Own::BadRequest("the body took too long"))),
                }
            }
            Err(BodyError::Malformed | BodyError::Short) => {
                return Err(Some(Own::BadRequest(
                    "the body's chunks are not well formed",
                )));
            }
        }
        let read = body.as_ref().map_or(0, Bytes::len) + rest.len();
        if read > limits.body_bytes {
            return Err(Some(Own::BodyTooLong));
        }
        let more = (read as u64).saturating_sub(held.bytes());
        if more > 0 && !finds_room(held, more).await {
            return Err(Some(no_memory("no memory for the body")));
        }
    }
    let first = body.unwrap_or_default();
    if rest.is_empty() {
        return Ok(first);
    }
    let mut whole = first.to_vec();
    whole.append(&mut rest);
    Ok(whole.into())
}

/// Whose a request seems to be, before its body is read. Whether it is taken is decided after that.
fn account_of(relay: &Relay, head: &RequestHead) -> AccountId {
    let key = read_facts(&head.headers).ok().and_then(|facts| facts.key);
    let host = head.headers.text("host").unwrap_or_default();
    let declared = relay.declared();
    let verdict = declared
        .as_ref()
        .map(|held| held.table.admit(host, &head.target, key.as_deref()));
    match (verdict, &declared) {
        (Some(Verdict::Admitted { account, .. }), Some(held)) => account
            .map_or(AccountId::default(), |at| {
                AccountId::from_name(&held.table.accounts[at as usize].name)
            }),
        _ => AccountId::default(),
    }
}

/// Whether there comes to be room for more. Meanwhile the caller is not read.
async fn finds_room(held: &mut Held, more: u64) -> bool {
    if !held.could_hold(held.bytes() + more) {
        return false;
    }
    timeout(BODY_ROOM_LIMIT, held.wait(more)).await.is_ok()
}

fn no_memory(why: &'static str) -> Own {
    metrics::counter!("shuntpier_requests_without_memory").increment(1);
    Own::NotRun {
        why,
        retry_after_ms: NO_MEMORY_RETRY_MS,
    }
}

type Refused = (Own, Option<Box<str>>);

/// Decides whether a request goes on, by the declarations in force now.
fn admit(
    relay: &Relay,
    head: RequestHead,
    body: Bytes,
    mut held: Held,
    came_ms: u64,
) -> Result<(Incoming, Way), Refused> {
    let facts = match read_facts(&head.headers) {
        Ok(facts) => facts,
        Err(_) => return Err((Own::BadRequest("a field of the head cannot be read"), None)),
    };
    let id = facts.request_id.clone();
    if id.is_none() {
        return Err((Own::BadRequest("the request has no name"), None));
    }
    if head.headers.count("host") != 1 {
        return Err((Own::BadRequest("not exactly one host"), id));
    }
    let Some(declared) = relay.declared() else {
        let why = "this box knows no declarations yet";
        let retry_after_ms = NO_TABLE_RETRY_MS;
        return Err((
            Own::NotRun {
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
        Verdict::NoRoute => return Err((Own::NoRoute, id)),
        Verdict::NoAccount => return Err((Own::NoAccount, id)),
    };
    let way = Way {
        service: table.share(route, rand::random()),
        route,
        account,
        declared: declared.clone(),
    };
    if !held.belongs_to(way.account_id()) {
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
    if let Some(own) = relay.withheld(incoming) {
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
            "why" => reply.own.map(Own::why));
    }
    count(reply.status, "call");
    metrics::histogram!("shuntpier_call_ms").record(took_ms as f64);
    write_reply(relay, channel, incoming.id(), reply, false).await
}

/// Why a stopping box does not take a request: its last answer may be due after the box is gone.
fn stop_refusal(relay: &Relay, incoming: &Incoming, way: &Way) -> Option<Own> {
    let left_ms = relay.stop_left_ms()?;
    let due_in_ms = incoming.due_ms(way.route()).saturating_sub(relay.now_ms());
    (due_in_ms > left_ms).then_some(Own::NotRun {
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
    let held = held.unwrap_or_else(|| Rc::new(Held::new(&relay.held, None)));
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
async fn refuse(relay: &Relay, channel: &mut Channel, own: Own, id: Option<&str>) -> After {
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
