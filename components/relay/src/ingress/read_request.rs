//! Reads a request completely, within the memory limit of its account, before any of it is forwarded.

use crate::buffered::BufferReservation;
use crate::ingress::request::LocalReply;
use crate::ingress::stopping::stop_reply;
use crate::state::Relay;
use bytes::Bytes;
use http1::{BodyError, Channel, ChannelError, Decoder, Framing, HeadError, Piece, RequestHead};
use platform::parse_request_headers;
use prelude::AccountId;
use routing::{CallerLimits, Verdict};
use std::time::Duration;
use tokio::time::timeout;

/// Timeout of one read of a request body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a request body waits for memory before it is refused: another box may have memory for it.
const BODY_MEMORY_TIMEOUT: Duration = Duration::from_secs(2);
/// Bodies up to this size usually arrive with their head, so their account is not determined before they are read.
const SMALL_BODY_BYTES: u64 = 8 * 1024;
/// Retry-After for a request that is refused for lack of memory.
const NO_MEMORY_RETRY_MS: u64 = 1_000;

/// Reads the head of a request. Returns none if the caller left; the error is the reply to the caller.
pub(super) async fn read_head(
    channel: &mut Channel,
    limits: CallerLimits,
) -> Result<Option<RequestHead>, LocalReply> {
    let head_timeout = Duration::from_millis(limits.head_time_ms);
    match timeout(head_timeout, channel.request(limits.head_bytes)).await {
        Ok(Ok(head)) => Ok(head),
        Ok(Err(ChannelError::Head(HeadError::TooLong(_)))) => Err(LocalReply::HeadTooLong),
        Ok(Err(ChannelError::Head(HeadError::Malformed(why)))) => Err(LocalReply::BadRequest(why)),
        Ok(Err(ChannelError::Io(_) | ChannelError::Closed)) => Ok(None),
        Err(_) => Err(LocalReply::SlowHead),
    }
}

/// Reads the whole body. The error is the reply to the caller; none if the caller left.
pub(super) async fn read_body(
    channel: &mut Channel,
    head: &RequestHead,
    relay: &Relay,
    limits: CallerLimits,
    memory: &mut BufferReservation,
) -> Result<Bytes, Option<LocalReply>> {
    let declared_bytes = match head.framing {
        Framing::Length(length) => length,
        Framing::Chunked | Framing::UntilClose => 0,
    };
    if matches!(head.framing, Framing::Length(length) if length > limits.body_bytes as u64) {
        return Err(Some(LocalReply::BodyTooLong));
    }
    if declared_bytes > SMALL_BODY_BYTES || head.framing == Framing::Chunked {
        // Count the body against its account while it is read; otherwise slow senders would use up the memory of all accounts.
        memory.assign_account(presumed_account(relay, head));
    }
    if !wait_for_memory(memory, declared_bytes).await {
        return Err(Some(memory_refusal("no memory for the body")));
    }
    let mut decoder = Decoder::new(head.framing);
    let mut expects_continue = head.headers.has_word("expect", "100-continue");
    let mut body: Option<Bytes> = None;
    let mut remainder: Vec<u8> = Vec::new();
    loop {
        match decoder.next(&mut channel.buffer) {
            Ok(Piece::Data(data)) if body.is_none() => body = Some(data),
            Ok(Piece::Data(data)) => remainder.extend_from_slice(&data),
            Ok(Piece::End) => break,
            Ok(Piece::More) => {
                if std::mem::take(&mut expects_continue) {
                    let written = channel.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
                    written.map_err(|_| None)?;
                }
                let filled = tokio::select! {
                    filled = timeout(BODY_READ_TIMEOUT, channel.fill()) => filled,
                    () = relay.refusing.cancelled() => return Err(Some(stop_reply(relay))),
                };
                match filled {
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
        let read = body.as_ref().map_or(0, Bytes::len) + remainder.len();
        if read > limits.body_bytes {
            return Err(Some(LocalReply::BodyTooLong));
        }
        let more = (read as u64).saturating_sub(memory.bytes());
        if more > 0 && !wait_for_memory(memory, more).await {
            return Err(Some(memory_refusal("no memory for the body")));
        }
    }
    let first = body.unwrap_or_default();
    if remainder.is_empty() {
        return Ok(first);
    }
    let mut whole = first.to_vec();
    whole.append(&mut remainder);
    Ok(whole.into())
}

/// The presumed account of a request, before its body is read. Admission is decided afterwards.
fn presumed_account(relay: &Relay, head: &RequestHead) -> AccountId {
    let key = parse_request_headers(&head.headers)
        .ok()
        .and_then(|facts| facts.key);
    let host = head.headers.text("host").unwrap_or_default();
    let declared = relay.declared();
    let verdict = declared
        .as_ref()
        .map(|declared| declared.table.admit(host, &head.target, key.as_deref()));
    match (verdict, &declared) {
        (Some(Verdict::Admitted { account, .. }), Some(declared)) => account
            .map_or(AccountId::default(), |at| {
                AccountId::from_name(&declared.table.accounts[at as usize].name)
            }),
        _ => AccountId::default(),
    }
}

/// Waits for memory for `more` bytes, while the caller is not read. Returns false if none becomes free in time.
async fn wait_for_memory(memory: &mut BufferReservation, more: u64) -> bool {
    if !memory.could_fit(memory.bytes() + more) {
        return false;
    }
    timeout(BODY_MEMORY_TIMEOUT, memory.reserve(more))
        .await
        .is_ok()
}

pub(super) fn memory_refusal(why: &'static str) -> LocalReply {
    metrics::counter!("shuntpier_requests_without_memory").increment(1);
    LocalReply::NotRun {
        why,
        retry_after_ms: NO_MEMORY_RETRY_MS,
    }
}
