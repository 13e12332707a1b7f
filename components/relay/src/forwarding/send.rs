//! One try at one target, and the one place that says whether it ran: not run (the target's own word, no
//! channel, nothing written), answered, or it may have run.

use crate::forwarding::admission::Admission;
use crate::held::Held;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use bytes::Bytes;
use http1::{Channel, Decoder, Framing, Piece, ResponseHead};
use platform::ResponseMetadata;
use std::rc::Rc;
use std::time::Duration;

/// Longest time for a new channel. The opening packet is sent again after a second where it was dropped.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Bodies up to this size travel in one write with their head.
const MAX_JOINED_BYTES: usize = 32 * 1024;
/// The longest plain answer that is held to be checked whole.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// What is said of an answer that this box can't hold: no fault of its target.
pub(crate) const ANSWER_TOO_LONG: &str = "the answer is too long to be held";
/// Answers to other requests that are passed over on one channel.
const MAX_STRAY_RESPONSES: usize = 3;

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotRun {
    /// No channel, or nothing could be written.
    Unreachable,
    /// Nothing listens there: this life is over.
    ConnectionRefused,
    /// The target said so.
    Refused { retry_after_ms: Option<u64> },
    /// Another target listens there.
    Misdirected,
    /// It holds as many bytes of requests as this box may have there: it was not sent.
    ByteLimit,
    /// Operators evacuated its data centre: it was not sent.
    Evacuated,
    /// The target leaves, or is gone: it was not sent.
    Leaving,
    /// The target asked this box for a pause: it was not sent.
    BackingOff {
        /// When that is over, from now.
        retry_after_ms: u64,
    },
    /// The target's rate limit leaves no room for it: it was not sent.
    RateLimited {
        /// When it does, from now.
        retry_after_ms: u64,
    },
}

/// What became of one try.
pub(crate) enum SendResult {
    /// It was not run, and will not be.
    NotRun(NotRun),
    /// Nobody can say.
    MayHaveRun(&'static str),
    /// The target answers.
    Answered(Box<OpenResponse>),
}

/// An answer that has begun.
pub(crate) struct OpenResponse {
    pub channel: Channel,
    pub head: ResponseHead,
    pub metadata: ResponseMetadata,
    decoder: Decoder,
    framing: Framing,
    /// The request was written whole, so that the channel may be used again.
    is_request_complete: bool,
    open_request: OpenRequest,
}

/// Counts a request at a target while it lives.
pub(crate) struct OpenRequest {
    relay: Rc<Relay>,
    slot: TargetSlot,
    bytes: u64,
}

impl OpenRequest {
    fn new(relay: &Rc<Relay>, slot: TargetSlot, bytes: u64) -> Self {
        let mut targets = relay.targets.borrow_mut();
        targets.opened(slot);
        targets.holds(slot, bytes);
        drop(targets);
        Self {
            relay: relay.clone(),
            slot,
            bytes,
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let mut targets = self.relay.targets.borrow_mut();
        targets.dropped(self.slot, self.bytes);
        targets.closed(self.slot);
        drop(targets);
        self.relay.calls_ended.notify_one();
    }
}

/// How long a channel may have rested for a request that cannot be repeated. A target may drop a channel that rests
/// without a word, some 0.3 s after its last answer and later; what is then sent on it may have run.
pub(crate) const UNREPEATABLE_MAX_IDLE_MS: u64 = 200;

/// What is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutgoingRequest<'a> {
    pub request_id: &'a str,
    pub head: &'a [u8],
    pub body: &'a Bytes,
    /// The answer has no body, whatever its head says.
    pub has_no_body: bool,
    /// How long the channel may have rested.
    pub max_idle_ms: u64,
}

/// Whether one more request may be held at a target. One may always: else a long one would never run.
fn has_byte_capacity(memory: u64, more: u64, share: u64) -> bool {
    memory == 0 || memory.saturating_add(more) <= share
}

impl Relay {
    /// Whether this box may have so many more bytes of requests at a target: the bound holds for all boxes together.
    fn has_byte_capacity(&self, slot: TargetSlot, more: u64) -> bool {
        let max_bytes = self.file().limits.target_request_bytes();
        let share = max_bytes / self.members.borrow().budget_share() as u64;
        let targets = self.targets.borrow();
        let memory = targets.get(slot).map_or(0, |target| target.open_bytes);
        has_byte_capacity(memory, more, share)
    }

    async fn channel_to(&self, slot: TargetSlot, max_idle_ms: u64) -> Result<Channel, NotRun> {
        let now_ms = self.now_ms();
        let idle = self.channels.borrow_mut().take(slot, max_idle_ms, now_ms);
        if let Some(channel) = idle {
            return Ok(channel);
        }
        let address = self.targets.borrow().get(slot).map(|t| t.entry.address);
        let Some(address) = address else {
            return Err(NotRun::Unreachable);
        };
        metrics::counter!("shuntpier_target_channels").increment(1);
        Channel::connect(address, CONNECT_TIMEOUT)
            .await
            .map_err(|error| {
                slog::info!(self.log, "no channel to target"; "address" => %address,
                    "error" => %error);
                match error.kind() {
                    std::io::ErrorKind::ConnectionRefused => NotRun::ConnectionRefused,
                    _ => NotRun::Unreachable,
                }
            })
    }

    /// Sends an admitted request to its target and reads the head of its answer.
    pub(crate) async fn send_request(
        self: &Rc<Self>,
        admission: &Admission,
        request: OutgoingRequest<'_>,
    ) -> SendResult {
        let slot = admission.slot;
        let bytes = (request.head.len() + request.body.len()) as u64;
        if !self.has_byte_capacity(slot, bytes) {
            metrics::counter!("shuntpier_target_requests_withheld").increment(1);
            slog::debug!(self.log, "target holds enough"; "id" => request.request_id,
                "target" => self.name_of(slot), "bytes" => bytes);
            return SendResult::NotRun(NotRun::ByteLimit);
        }
        let open_request = OpenRequest::new(self, slot, bytes);
        let mut channel = match self.channel_to(slot, request.max_idle_ms).await {
            Ok(channel) => channel,
            Err(why) => return SendResult::NotRun(why),
        };
        if let Some(why) = self.refusal_reason(admission) {
            return SendResult::NotRun(why);
        }
        let sent_ms = self.now_ms();
        if let Some(target) = self.targets.borrow_mut().get_mut(slot) {
            target.backoff.record_sent(sent_ms);
        }
        let is_request_complete = match write(&mut channel, request).await {
            Written::Complete => true,
            Written::AnsweredEarly => false,
            Written::Nothing => return SendResult::NotRun(NotRun::Unreachable),
            Written::Partial => {
                return SendResult::MayHaveRun("the channel failed while it was written to");
            }
        };
        let answer = read_matching_head(&mut channel, request).await;
        let (head, metadata, framing) = match answer {
            Ok(answer) => answer,
            Err(why) => return SendResult::MayHaveRun(why),
        };
        let now_ms = self.now_ms();
        if let (Some(load), Some(target)) = (metadata.load, self.targets.borrow_mut().get_mut(slot))
        {
            target.load = Some((load, now_ms));
        }
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
            open_request,
        };
        if response.metadata.is_not_run {
            let retry_after_ms = response.metadata.retry_after_ms.value();
            // The short body is read so that the channel can be used again; its loss changes nothing.
            let mut memory = Held::new(&self.held, None);
            let _ = response.read_body(&mut memory).await;
            response.recycle_channel(self);
            return SendResult::NotRun(NotRun::Refused { retry_after_ms });
        }
        SendResult::Answered(Box::new(response))
    }
}

enum Written {
    Complete,
    AnsweredEarly,
    Nothing,
    Partial,
}

async fn write(channel: &mut Channel, request: OutgoingRequest<'_>) -> Written {
    let is_joined = request.body.len() <= MAX_JOINED_BYTES;
    let mut first = request.head.to_vec();
    if is_joined {
        first.extend_from_slice(request.body);
    }
    match channel.write_or_read(&first).await {
        Ok(written) if written < first.len() => return Written::AnsweredEarly,
        Ok(_) if is_joined => return Written::Complete,
        Ok(_) => {}
        Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => return Written::Nothing,
        Err(_) => return Written::Partial,
    }
    match channel.write_or_read(request.body).await {
        Ok(written) if written < request.body.len() => Written::AnsweredEarly,
        Ok(_) => Written::Complete,
        Err(_) => Written::Partial,
    }
}

/// Reads answers until one is to this request. An earlier one on the channel belongs to a request that is
/// over; nobody gets it.
async fn read_matching_head(
    channel: &mut Channel,
    request: OutgoingRequest<'_>,
) -> Result<(ResponseHead, ResponseMetadata, Framing), &'static str> {
    for _ in 0..MAX_STRAY_RESPONSES {
        let head = channel
            .response()
            .await
            .map_err(|_| "the channel ended before an answer")?;
        let metadata = ResponseMetadata::read(&head);
        let framing = match request.has_no_body {
            true => Framing::Length(0),
            false => head.framing,
        };
        let id = metadata.request_id.as_deref();
        let is_ours = id == Some(request.request_id);
        let says_not_run = metadata.is_not_run && id.is_none();
        if is_ours || says_not_run {
            return Ok((head, metadata, framing));
        }
        metrics::counter!("shuntpier_stray_answers").increment(1);
        if framing == Framing::UntilClose {
            return Err("an answer to another request, up to the end of the channel");
        }
        let mut decoder = Decoder::new(framing);
        loop {
            match decoder.next(&mut channel.buffer) {
                Ok(Piece::End) => break,
                Ok(Piece::Data(_)) => {}
                Ok(Piece::More) => match channel.fill().await {
                    Ok(read) if read > 0 => {}
                    _ => return Err("the channel ended within an answer to another request"),
                },
                Err(_) => return Err("an answer to another request is not well formed"),
            }
        }
    }
    Err("too many answers to other requests")
}

/// Counts more of an answer, once there is room.
async fn reserve(memory: &mut Held, more: u64) -> Result<(), &'static str> {
    let bytes = memory.bytes() + more;
    if bytes > MAX_RESPONSE_BYTES as u64 || !memory.could_hold(bytes) {
        return Err(ANSWER_TOO_LONG);
    }
    if more > 0 {
        memory.wait(more).await;
    }
    Ok(())
}

impl OpenResponse {
    /// The next bytes of the body; none at its end.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, &'static str> {
        loop {
            match self.decoder.next(&mut self.channel.buffer) {
                Ok(Piece::Data(data)) => return Ok(Some(data)),
                Ok(Piece::End) => return Ok(None),
                Ok(Piece::More) => match self.channel.fill().await {
                    Ok(0) => {
                        return match self.decoder.closed() {
                            Ok(()) => Ok(None),
                            Err(_) => Err("the answer ended early"),
                        };
                    }
                    Ok(_) => {}
                    Err(_) => return Err("the channel failed within the answer"),
                },
                Err(_) => return Err("the answer's body is not well formed"),
            }
        }
    }

    /// The whole body, counted. While there is no room for it, the target is not read.
    pub(crate) async fn read_body(&mut self, memory: &mut Held) -> Result<Bytes, &'static str> {
        if let Framing::Length(length) = self.framing {
            // Asked for whole: two that have halves would wait for each other.
            reserve(memory, length).await?;
        }
        let Some(first) = self.next_reserved(0, memory).await? else {
            return Ok(Bytes::new());
        };
        let Some(second) = self.next_reserved(first.len(), memory).await? else {
            return Ok(first);
        };
        let mut body = first.to_vec();
        body.extend_from_slice(&second);
        while let Some(more) = self.next_reserved(body.len(), memory).await? {
            body.extend_from_slice(&more);
        }
        Ok(body.into())
    }

    /// The next bytes of a body of which so many were read, counted.
    async fn next_reserved(
        &mut self,
        read: usize,
        memory: &mut Held,
    ) -> Result<Option<Bytes>, &'static str> {
        let Some(more) = self.next().await? else {
            return Ok(None);
        };
        let bytes = (read + more.len()) as u64;
        reserve(memory, bytes.saturating_sub(memory.bytes())).await?;
        Ok(Some(more))
    }

    /// How slow the target says that work is there.
    pub(crate) fn slowness_percent(&self) -> Option<u32> {
        self.metadata.load?.slowness_percent
    }

    /// Whether the target vouches for the answer: a success carries its signature and no coding.
    pub(crate) fn is_verified(&self) -> bool {
        let is_encoded = self.head.headers.first("content-encoding").is_some();
        self.metadata.is_signed && !is_encoded
    }

    /// Lets the channel rest for the next request, where that is safe: bytes beyond the answer belong to
    /// no request.
    pub(crate) fn recycle_channel(self, relay: &Relay) {
        let is_reusable =
            self.is_request_complete && !self.head.closes && self.channel.buffer.is_empty();
        if !is_reusable {
            return;
        }
        if relay.takes_work(self.open_request.slot) {
            let now_ms = relay.now_ms();
            let mut channels = relay.channels.borrow_mut();
            channels.put(
                self.open_request.slot,
                self.channel,
                self.metadata.keep_alive_ms,
                now_ms,
            );
        }
    }
}
