//! Sends one request to one target, and is the only place that decides whether it ran: not run (the target said so, no
//! channel could be opened, or nothing was written), answered, or possibly run.

use crate::forwarding::admission::Admission;
use crate::forwarding::open_response::{OpenRequest, OpenResponse};
use crate::forwarding::retries::RetryTicket;
use crate::forwarding::sends::{Receiver, SendLog, SendState};
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use bytes::Bytes;
use http1::{Channel, ChannelError, Decoder, Framing, Piece, ResponseHead};
use platform::ResponseMetadata;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Timeout for opening a channel. TCP retransmits a lost SYN only after one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Bodies up to this size are written together with their head.
const MAX_JOINED_BYTES: usize = 32 * 1024;
/// Maximum number of responses to other requests that are skipped on one channel.
const MAX_STRAY_RESPONSES: usize = 3;

/// Limits of the body of a refusal whose channel is kept.
const REFUSAL_BYTES_MAX: usize = 64 * 1024;
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// Size limit of the body of a response to another request.
const STRAY_BYTES_MAX: usize = 1024 * 1024;

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotRun {
    /// No channel could be opened, or nothing could be written.
    Unreachable,
    /// Nothing listens at the address now.
    ConnectionRefused,
    /// The target refused the request.
    Refused { retry_after_ms: Option<u64> },
    /// Another target listens at the address.
    Misdirected,
    /// Not sent: this box's requests at the target reach their byte limit.
    ByteLimit,
    /// Not sent: operators evacuated the target's data centre.
    Evacuated,
    /// Not sent: the target is leaving or gone.
    Leaving,
    /// Not sent: the target asked this box to back off.
    BackingOff {
        /// Time until the backoff ends.
        retry_after_ms: u64,
    },
    /// Not sent: the target's rate limit is exhausted.
    RateLimited {
        /// Time until a rate token is expected.
        retry_after_ms: u64,
    },
}

/// Result of sending a request.
pub(crate) enum SendResult {
    /// The request did not run and will not.
    NotRun(NotRun),
    /// The request may have run. The text says what failed.
    MayHaveRun(&'static str),
    /// The target answered; the body is not read yet.
    Answered(Box<OpenResponse>),
}

/// A channel to a target.
struct TargetChannel {
    channel: Channel,
    /// Opened for this request, and not reused.
    is_new: bool,
}

/// Which channel a request is sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChannelChoice {
    /// A new one. Targets name no request in some refusals, so only where nothing else was sent is it certain which request
    /// such a refusal concerns. A request that cannot be repeated goes on a channel of its own.
    New,
    /// Also one that has been idle for at most this time (ms).
    Idle { max_idle_ms: u64 },
}

/// A request as it is sent to a target.
#[derive(Clone, Copy)]
pub(crate) struct OutgoingRequest<'a> {
    pub request_id: &'a str,
    pub head: &'a [u8],
    pub body: &'a Bytes,
    /// The response has no body, whatever its head says, as for HEAD.
    pub has_no_body: bool,
    pub channel: ChannelChoice,
    /// The retry that is taken from the budget for this send; none for the first send of a request.
    pub retry: Option<&'a RetryTicket>,
    /// The sends of the request, where this one is recorded.
    pub sends: &'a SendLog,
}

/// Whether one more request fits into this box's share of a target's byte limit. The first always does; otherwise a large
/// request would never run.
fn has_byte_capacity(in_use: u64, more: u64, share: u64) -> bool {
    in_use == 0 || in_use.saturating_add(more) <= share
}

impl Relay {
    /// Whether this box may send `more` bytes to a target. The limit is shared equally among the boxes.
    fn has_byte_capacity(&self, slot: TargetSlot, more: u64) -> bool {
        let max_bytes = self.settings().limits.target_request_bytes();
        let share = max_bytes / self.members.borrow().peak_box_count() as u64;
        let targets = self.targets.borrow();
        let in_use = targets.get(slot).map_or(0, |target| target.open_bytes);
        has_byte_capacity(in_use, more, share)
    }

    async fn channel_to(
        self: &Rc<Self>,
        slot: TargetSlot,
        choice: ChannelChoice,
    ) -> Result<TargetChannel, NotRun> {
        let now_ms = self.now_ms();
        let idle = match choice {
            ChannelChoice::New => None,
            ChannelChoice::Idle { max_idle_ms } => {
                self.channels.borrow_mut().take(slot, max_idle_ms, now_ms)
            }
        };
        if let Some(channel) = idle {
            return Ok(TargetChannel {
                channel,
                is_new: false,
            });
        }
        let address = self.targets.borrow().get(slot).map(|t| t.entry.address);
        let Some(address) = address else {
            return Err(NotRun::Unreachable);
        };
        metrics::counter!("shuntpier_target_channels").increment(1);
        let service = self.service_of(slot);
        let connection = tokio::select! {
            connection = self.connect_target(address, CONNECT_TIMEOUT) => connection,
            // The connection attempts of other requests have failed: this one is hopeless, and another box can help.
            () = self.wait_until_relayed(&service) => return Err(NotRun::Unreachable),
        };
        let connection = connection.map(|channel| TargetChannel {
            channel,
            is_new: true,
        });
        connection.map_err(|error| {
            if self.record_connect(slot, Err(&error)) {
                self.report_refusal(slot);
            }
            slog::info!(self.log, "connecting to target failed"; "address" => %address,
                    "error" => %error);
            match error.kind() {
                ErrorKind::ConnectionRefused => NotRun::ConnectionRefused,
                _ => NotRun::Unreachable,
            }
        })
    }

    /// Sends an admitted request to its target and reads the head of the response.
    pub(crate) async fn send_request(
        self: &Rc<Self>,
        admission: &Admission,
        request: OutgoingRequest<'_>,
    ) -> SendResult {
        let slot = admission.slot;
        let bytes = (request.head.len() + request.body.len()) as u64;
        if !self.has_byte_capacity(slot, bytes) {
            metrics::counter!("shuntpier_target_requests_withheld").increment(1);
            slog::debug!(self.log, "target is at its limit of request bytes"; "id" => request.request_id,
                "target" => self.name_of(slot), "bytes" => bytes);
            return SendResult::NotRun(NotRun::ByteLimit);
        }
        let open_request = OpenRequest::new(self, slot, bytes);
        let opened = self.channel_to(slot, request.channel).await;
        let TargetChannel {
            mut channel,
            is_new,
        } = match opened {
            Ok(opened) => opened,
            Err(why) => return SendResult::NotRun(why),
        };
        if let Some(why) = self.refusal_reason(admission) {
            return SendResult::NotRun(why);
        }
        let sent_ms = self.now_ms();
        if let Some(target) = self.targets.borrow_mut().get_mut(slot) {
            target.backoff.record_sent(sent_ms);
        }
        if let Some(retry) = request.retry {
            retry.record_sent();
        }
        let send = request.sends.begin(Receiver::Target(slot), sent_ms);
        let settle = |state| request.sends.settle(send, state);
        let written = write(&mut channel, request).await;
        if is_new && matches!(written, Written::Nothing | Written::Partial) {
            self.record_connect(slot, Err(&ErrorKind::ConnectionReset.into()));
        }
        let is_request_complete = match written {
            Written::Complete => true,
            Written::AnsweredEarly => false,
            Written::Nothing => {
                settle(SendState::Unsent);
                return SendResult::NotRun(NotRun::Unreachable);
            }
            Written::Partial => {
                return SendResult::MayHaveRun("the channel failed while it was written to");
            }
        };
        let exchange = Exchange {
            is_request_complete,
            is_only_request: is_new,
        };
        let answer = read_matching_head(&mut channel, request, exchange).await;
        let (head, metadata, framing) = match answer {
            Ok(answer) => answer,
            Err(why) => {
                if is_new {
                    self.record_connect(slot, Err(&ErrorKind::ConnectionReset.into()));
                }
                return SendResult::MayHaveRun(why);
            }
        };
        if is_new {
            self.record_connect(slot, Ok(()));
        } else {
            self.record_target_answer(slot);
        }
        let now_ms = self.now_ms();
        if let (Some(load), Some(target)) = (metadata.load, self.targets.borrow_mut().get_mut(slot))
        {
            target.load = Some((load, now_ms));
        }
        settle(state_after_response(head.status, &metadata, is_new));
        if metadata.is_misdirected {
            return SendResult::NotRun(NotRun::Misdirected);
        }
        self.observe_response(slot, head.status, &metadata, sent_ms);
        let mut response = OpenResponse {
            decoder: Decoder::new(framing),
            framing,
            channel,
            head,
            metadata,
            is_request_complete,
            open_request: Some(open_request),
        };
        if response.metadata.is_not_run {
            let retry_after_ms = response.metadata.retry_after_ms.value();
            // The body is read only to make the channel reusable; one that does not end soon is left with its channel.
            let skipping = response.skip_body(REFUSAL_BYTES_MAX);
            let is_skipped = matches!(timeout(REFUSAL_BODY_TIMEOUT, skipping).await, Ok(Ok(())));
            // Another refusal without an id on this channel could not be told from a late copy of this one.
            if is_skipped && response.metadata.request_id.is_some() {
                response.recycle_channel(self);
            }
            return SendResult::NotRun(NotRun::Refused { retry_after_ms });
        }
        SendResult::Answered(Box::new(response))
    }
}

/// Sends a request to another box on a new channel and reads the head of its response. The error says what failed; none if
/// nothing was sent.
pub(super) async fn exchange_heads(
    mut channel: Channel,
    request: OutgoingRequest<'_>,
) -> Result<OpenResponse, Option<&'static str>> {
    let is_request_complete = match write(&mut channel, request).await {
        Written::Complete => true,
        Written::AnsweredEarly => false,
        Written::Nothing => return Err(None),
        Written::Partial => return Err(Some("the channel failed while it was written to")),
    };
    let exchange = Exchange {
        is_request_complete,
        is_only_request: true,
    };
    let answer = read_matching_head(&mut channel, request, exchange).await;
    let (head, metadata, framing) = answer.map_err(Some)?;
    Ok(OpenResponse {
        decoder: Decoder::new(framing),
        framing,
        channel,
        head,
        metadata,
        is_request_complete,
        open_request: None,
    })
}

/// How much of a request was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    Complete,
    /// A part, before something was read.
    AnsweredEarly,
    /// The system took no byte of it.
    Nothing,
    /// A part, or all, before the channel failed.
    Partial,
}

async fn write(channel: &mut Channel, request: OutgoingRequest<'_>) -> Written {
    let is_joined = request.body.len() <= MAX_JOINED_BYTES;
    let mut first = request.head.to_vec();
    if is_joined {
        first.extend_from_slice(request.body);
    }
    let written = channel.write_or_read(&first).await;
    if written.bytes == 0 {
        // Whatever was read before belongs to no request of this box.
        return Written::Nothing;
    }
    match Written::after(&written, first.len()) {
        Written::Complete if !is_joined => {
            let written = channel.write_or_read(request.body).await;
            Written::after(&written, request.body.len())
        }
        written => written,
    }
}

impl Written {
    /// What is written once a write of `length` bytes has ended and the system took some of the request.
    fn after(write: &http1::Written, length: usize) -> Self {
        match &write.error {
            Some(_) => Self::Partial,
            None if write.bytes < length => Self::AnsweredEarly,
            None => Self::Complete,
        }
    }
}

/// What is known of a channel on which a response is awaited.
#[derive(Clone, Copy, Debug)]
struct Exchange {
    /// The request was written completely.
    is_request_complete: bool,
    /// The channel carried no other request.
    is_only_request: bool,
}

/// What a send came to, by the head of its response. On a channel that carried other requests, a refusal that names none may
/// concern another one.
fn state_after_response(
    status: u16,
    metadata: &ResponseMetadata,
    is_only_request: bool,
) -> SendState {
    match metadata.is_not_run {
        true if is_only_request || metadata.request_id.is_some() => SendState::Refused(status),
        true => SendState::Unclear,
        false => SendState::Answered(status),
    }
}

/// Reads response heads until one belongs to this request. Earlier responses on the channel belong to requests that have
/// ended and are discarded. A refusal that names no request belongs to this one if nothing else was received; an answer that
/// names none, on a channel that carried no other request, is the last that can be expected.
async fn read_matching_head(
    channel: &mut Channel,
    request: OutgoingRequest<'_>,
    exchange: Exchange,
) -> Result<(ResponseHead, ResponseMetadata, Framing), &'static str> {
    for position in 0..MAX_STRAY_RESPONSES {
        let head = channel.response().await.map_err(|error| match error {
            ChannelError::Head(_) => "what came is no answer in HTTP",
            ChannelError::Io(_) | ChannelError::Closed => "the channel ended before an answer",
        })?;
        let metadata = ResponseMetadata::read(&head);
        let framing = match request.has_no_body {
            true => Framing::Length(0),
            false => head.framing,
        };
        let id = metadata.request_id.as_deref();
        if id == Some(request.request_id) {
            return Ok((head, metadata, framing));
        }
        let is_first_unnamed = position == 0 && id.is_none();
        let may_be_ours = is_first_unnamed && (metadata.is_not_run || exchange.is_only_request);
        if may_be_ours && is_last_response(channel, framing).await {
            return match metadata.is_not_run {
                true => Ok((head, metadata, Framing::Length(0))),
                false => Err("an answer that names no request"),
            };
        }
        metrics::counter!("shuntpier_stray_answers").increment(1);
        if !exchange.is_request_complete {
            return Err("an answer to another request came before all of this one was sent");
        }
        if !may_be_ours {
            skip_response_body(channel, framing, STRAY_BYTES_MAX).await?;
        }
    }
    Err("too many answers to other requests")
}

/// Reads the body of a refusal whose head has been read, and returns whether nothing was received after it. A refusal that does
/// not end soon is the last response on its channel.
async fn is_last_response(channel: &mut Channel, framing: Framing) -> bool {
    let skipping = skip_response_body(channel, framing, REFUSAL_BYTES_MAX);
    match timeout(REFUSAL_BODY_TIMEOUT, skipping).await {
        Ok(Ok(())) => channel.buffer.is_empty(),
        Ok(Err(_)) | Err(_) => true,
    }
}

/// Reads the body of a response to another request without keeping it.
async fn skip_response_body(
    channel: &mut Channel,
    framing: Framing,
    most_bytes: usize,
) -> Result<(), &'static str> {
    if framing == Framing::UntilClose {
        return Err("an answer to another request, up to the end of the channel");
    }
    let mut decoder = Decoder::new(framing);
    let mut read = 0;
    loop {
        match decoder.next(&mut channel.buffer) {
            Ok(Piece::End) => return Ok(()),
            Ok(Piece::Data(data)) => {
                read += data.len();
                if read > most_bytes {
                    return Err("an answer to another request does not end");
                }
            }
            Ok(Piece::More) => match channel.fill().await {
                Ok(read) if read > 0 => {}
                _ => return Err("the channel ended within an answer to another request"),
            },
            Err(_) => return Err("an answer to another request is not well formed"),
        }
    }
}

#[cfg(test)]
#[path = "send_tests.rs"]
mod tests;
