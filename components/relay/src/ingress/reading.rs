//! Reads a request whole, within the memory that its account may take, before anything of it is sent on.

use crate::buffered::BufferReservation;
use crate::ingress::request::LocalReply;
use crate::state::Relay;
use bytes::Bytes;
use http1::{BodyError, Channel, ChannelError, Decoder, Framing, HeadError, Piece, RequestHead};
use platform::parse_request_headers;
use prelude::AccountId;
use routing::{CallerLimits, Verdict};
use std::time::Duration;
use tokio::time::timeout;

/// Longest pause between two pieces of a request's body.
const BODY_PAUSE_LIMIT: Duration = Duration::from_secs(10);
/// How long a request's body waits for memory before it is refused: its caller may find room at another box.
const BODY_ROOM_LIMIT: Duration = Duration::from_secs(2);
/// Bodies up to this size come with their head; whose they are is not asked before they are read.
const SHORT_BODY_BYTES: u64 = 8 * 1024;
/// When a caller is told to come back for whom there is no memory.
const NO_MEMORY_RETRY_MS: u64 = 1_000;

/// Reads the head of a request. The error is the answer; none where the caller left.
pub(super) async fn read_head(
    channel: &mut Channel,
    limits: CallerLimits,
) -> Result<Option<RequestHead>, LocalReply> {
    let limit = Duration::from_millis(limits.head_time_ms);
    match timeout(limit, channel.request(limits.head_bytes)).await {
        Ok(Ok(head)) => Ok(head),
        Ok(Err(ChannelError::Head(HeadError::TooLong(_)))) => Err(LocalReply::HeadTooLong),
        Ok(Err(ChannelError::Head(HeadError::Malformed(why)))) => Err(LocalReply::BadRequest(why)),
        Ok(Err(ChannelError::Io(_) | ChannelError::Closed)) => Ok(None),
        Err(_) => Err(LocalReply::SlowHead),
    }
}

/// Reads a body whole. The error is the answer; none where the caller left.
pub(super) async fn read_body(
    channel: &mut Channel,
    head: &RequestHead,
    relay: &Relay,
    limits: CallerLimits,
    held: &mut BufferReservation,
) -> Result<Bytes, Option<LocalReply>> {
    let told = match head.framing {
        Framing::Length(length) => length,
        Framing::Chunked | Framing::UntilClose => 0,
    };
    if matches!(head.framing, Framing::Length(length) if length > limits.body_bytes as u64) {
        return Err(Some(LocalReply::BodyTooLong));
    }
    if told > SHORT_BODY_BYTES || head.framing == Framing::Chunked {
        // It is counted for its account while it is read: callers that send slowly would else take the room of all.
        held.assign_account(account_of(relay, head));
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
                    Err(_) => return Err(Some(LocalReply::BadRequest("the body took too long"))),
                }
            }
            Err(BodyError::Malformed | BodyError::Short) => {
                return Err(Some(LocalReply::BadRequest(
                    "the body's chunks are not well formed",
                )));
            }
        }
        let read = body.as_ref().map_or(0, Bytes::len) + rest.len();
        if read > limits.body_bytes {
            return Err(Some(LocalReply::BodyTooLong));
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
    let key = parse_request_headers(&head.headers)
        .ok()
        .and_then(|facts| facts.key);
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
async fn finds_room(held: &mut BufferReservation, more: u64) -> bool {
    if !held.could_fit(held.bytes() + more) {
        return false;
    }
    timeout(BODY_ROOM_LIMIT, held.reserve(more)).await.is_ok()
}

pub(super) fn no_memory(why: &'static str) -> LocalReply {
    metrics::counter!("shuntpier_requests_without_memory").increment(1);
    LocalReply::NotRun {
        why,
        retry_after_ms: NO_MEMORY_RETRY_MS,
    }
}
