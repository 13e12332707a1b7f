//! One try at one target, and the one place that says whether it ran: not run (the target's own word, no
//! channel, nothing written), answered, or it may have run.

use crate::buffered::BufferReservation;
use crate::forwarding::admission::Admission;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use bytes::Bytes;
use http1::{Channel, Decoder, Framing, Piece, ResponseHead};
use platform::ResponseMetadata;
use std::rc::Rc;
use std::time::Duration;

/// Longest time for a new channel. The opening packet is sent again after a second where it was dropped.
const CONNECT_LIMIT: Duration = Duration::from_millis(700);
/// Bodies up to this size travel in one write with their head.
const JOINED_BYTES_MAX: usize = 32 * 1024;
/// The longest plain answer that is held to be checked whole.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;
/// What is said of an answer that this box can't hold: no fault of its target.
pub(crate) const ANSWER_TOO_LONG: &str = "the answer is too long to be held";
/// Answers to other requests that are passed over on one channel.
const STRAY_ANSWERS_MAX: usize = 3;

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotRun {
    /// No channel, or nothing could be written.
    Unreachable,
    /// Nothing listens there: this life is over.
    Dead,
    /// The target said so.
    Refused { retry_after_ms: Option<u64> },
    /// Another target listens there.
    Misdirected,
    /// It holds as many bytes of requests as this box may have there: it was not sent.
    Heavy,
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
    Limited {
        /// When it does, from now.
        retry_after_ms: u64,
    },
}

/// What became of one try.
pub(crate) enum Tried {
    /// It was not run, and will not be.
    NotRun(NotRun),
    /// Nobody can say.
    MayHaveRun(&'static str),
    /// The target answers.
    Answered(Box<Opened>),
}

/// An answer that has begun.
pub(crate) struct Opened {
    pub channel: Channel,
    pub head: ResponseHead,
    pub facts: ResponseMetadata,
    decoder: Decoder,
    framing: Framing,
    /// The request was written whole, so that the channel may be used again.
    whole: bool,
    open: OpenRequest,
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
        targets.record_open(slot);
        targets.add_open_bytes(slot, bytes);
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
        targets.remove_open_bytes(self.slot, self.bytes);
        targets.record_close(self.slot);
        drop(targets);
        self.relay.calls_ended.notify_one();
    }
}

/// How long a channel may have rested for a request that cannot be repeated. A target may drop a channel that rests
/// without a word, some 0.3 s after its last answer and later; what is then sent on it may have run.
pub(crate) const UNREPEATABLE_REST_MS: u64 = 200;

/// What is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Message<'a> {
    pub request_id: &'a str,
    pub head: &'a [u8],
    pub body: &'a Bytes,
    /// The answer has no body, whatever its head says.
    pub bodiless: bool,
    /// How long the channel may have rested.
    pub rested_most_ms: u64,
}

/// Whether one more request may be held at a target. One may always: else a long one would never run.
fn has_request_room(held: u64, more: u64, part: u64) -> bool {
    held == 0 || held.saturating_add(more) <= part
}

impl Relay {
    /// Whether this box may have so many more bytes of requests at a target: the bound holds for all boxes together.
    fn has_request_room(&self, slot: TargetSlot, more: u64) -> bool {
        let most_bytes = self.settings().limits.target_request_bytes();
        let part = most_bytes / self.members.borrow().peak_box_count() as u64;
        let targets = self.targets.borrow();
        let held = targets.get(slot).map_or(0, |target| target.open_bytes);
        has_request_room(held, more, part)
    }

    async fn channel_to(&self, slot: TargetSlot, rested_most_ms: u64) -> Result<Channel, NotRun> {
        let now_ms = self.now_ms();
        let resting = self
            .channels
            .borrow_mut()
            .take(slot, rested_most_ms, now_ms);
        if let Some(channel) = resting {
            return Ok(channel);
        }
        let address = self.targets.borrow().get(slot).map(|t| t.entry.address);
        let Some(address) = address else {
            return Err(NotRun::Unreachable);
        };
        metrics::counter!("shuntpier_target_channels").increment(1);
        Channel::connect(address, CONNECT_LIMIT)
            .await
            .map_err(|error| {
                slog::info!(self.log, "no channel to target"; "address" => %address,
                    "error" => %error);
                match error.kind() {
                    std::io::ErrorKind::ConnectionRefused => NotRun::Dead,
                    _ => NotRun::Unreachable,
                }
            })
    }

    /// Sends an admitted request to its target and reads the head of its answer.
    pub(crate) async fn try_at(
        self: &Rc<Self>,
        admission: &Admission,
        message: Message<'_>,
    ) -> Tried {
        let slot = admission.slot;
        let bytes = (message.head.len() + message.body.len()) as u64;
        if !self.has_request_room(slot, bytes) {
            metrics::counter!("shuntpier_target_requests_withheld").increment(1);
            slog::debug!(self.log, "target holds enough"; "id" => message.request_id,
                "target" => self.name_of(slot), "bytes" => bytes);
            return Tried::NotRun(NotRun::Heavy);
        }
        let open = OpenRequest::new(self, slot, bytes);
        let mut channel = match self.channel_to(slot, message.rested_most_ms).await {
            Ok(channel) => channel,
            Err(why) => return Tried::NotRun(why),
        };
        if let Some(why) = self.bars(admission) {
            return Tried::NotRun(why);
        }
        let sent_ms = self.now_ms();
        if let Some(target) = self.targets.borrow_mut().get_mut(slot) {
            target.backoff.record_sent(sent_ms);
        }
        let whole = match write(&mut channel, message).await {
            Written::Whole => true,
            Written::AnsweredEarly => false,
            Written::Nothing => return Tried::NotRun(NotRun::Unreachable),
            Written::Part => {
                return Tried::MayHaveRun("the channel failed while it was written to");
            }
        };
        let answer = read_own_head(&mut channel, message).await;
        let (head, facts, framing) = match answer {
            Ok(answer) => answer,
            Err(why) => return Tried::MayHaveRun(why),
        };
        let now_ms = self.now_ms();
        if let (Some(load), Some(target)) = (facts.load, self.targets.borrow_mut().get_mut(slot)) {
            target.load = Some((load, now_ms));
        }
        if facts.is_misdirected {
            return Tried::NotRun(NotRun::Misdirected);
        }
        self.observe_answer(slot, head.status, &facts, sent_ms);
        let mut opened = Opened {
            decoder: Decoder::new(framing),
            framing,
            channel,
            head,
            facts,
            whole,
            open,
        };
        if opened.facts.is_not_run {
            let retry_after_ms = opened.facts.retry_after_ms.value();
            // The short body is read so that the channel can be used again; its loss changes nothing.
            let mut held = BufferReservation::new(&self.memory, None);
            let _ = opened.read_whole(&mut held).await;
            opened.finish(self);
            return Tried::NotRun(NotRun::Refused { retry_after_ms });
        }
        Tried::Answered(Box::new(opened))
    }
}

enum Written {
    Whole,
    AnsweredEarly,
    Nothing,
    Part,
}

async fn write(channel: &mut Channel, message: Message<'_>) -> Written {
    let joined = message.body.len() <= JOINED_BYTES_MAX;
    let mut first = message.head.to_vec();
    if joined {
        first.extend_from_slice(message.body);
    }
    match channel.write_or_read(&first).await {
        Ok(written) if written < first.len() => return Written::AnsweredEarly,
        Ok(_) if joined => return Written::Whole,
        Ok(_) => {}
        Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => return Written::Nothing,
        Err(_) => return Written::Part,
    }
    match channel.write_or_read(message.body).await {
        Ok(written) if written < message.body.len() => Written::AnsweredEarly,
        Ok(_) => Written::Whole,
        Err(_) => Written::Part,
    }
}

/// Reads answers until one is to this request. An earlier one on the channel belongs to a request that is
/// over; nobody gets it.
async fn read_own_head(
    channel: &mut Channel,
    message: Message<'_>,
) -> Result<(ResponseHead, ResponseMetadata, Framing), &'static str> {
    for _ in 0..STRAY_ANSWERS_MAX {
        let head = channel
            .response()
            .await
            .map_err(|_| "the channel ended before an answer")?;
        let facts = ResponseMetadata::read(&head);
        let framing = match message.bodiless {
            true => Framing::Length(0),
            false => head.framing,
        };
        let id = facts.request_id.as_deref();
        let is_ours = id == Some(message.request_id);
        let says_not_run = facts.is_not_run && id.is_none();
        if is_ours || says_not_run {
            return Ok((head, facts, framing));
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
async fn hold(held: &mut BufferReservation, more: u64) -> Result<(), &'static str> {
    let bytes = held.bytes() + more;
    if bytes > ANSWER_BYTES_MAX as u64 || !held.could_fit(bytes) {
        return Err(ANSWER_TOO_LONG);
    }
    if more > 0 {
        held.reserve(more).await;
    }
    Ok(())
}

impl Opened {
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
    pub(crate) async fn read_whole(
        &mut self,
        held: &mut BufferReservation,
    ) -> Result<Bytes, &'static str> {
        if let Framing::Length(length) = self.framing {
            // Asked for whole: two that have halves would wait for each other.
            hold(held, length).await?;
        }
        let Some(first) = self.next_of(0, held).await? else {
            return Ok(Bytes::new());
        };
        let Some(second) = self.next_of(first.len(), held).await? else {
            return Ok(first);
        };
        let mut body = first.to_vec();
        body.extend_from_slice(&second);
        while let Some(more) = self.next_of(body.len(), held).await? {
            body.extend_from_slice(&more);
        }
        Ok(body.into())
    }

    /// The next bytes of a body of which so many were read, counted.
    async fn next_of(
        &mut self,
        read: usize,
        held: &mut BufferReservation,
    ) -> Result<Option<Bytes>, &'static str> {
        let Some(more) = self.next().await? else {
            return Ok(None);
        };
        let bytes = (read + more.len()) as u64;
        hold(held, bytes.saturating_sub(held.bytes())).await?;
        Ok(Some(more))
    }

    /// How slow the target says that work is there.
    pub(crate) fn slowness_percent(&self) -> Option<u32> {
        self.facts.load?.slowness_percent
    }

    /// Whether the target vouches for the answer: a success carries its signature and no coding.
    pub(crate) fn is_vouched(&self) -> bool {
        let coded = self.head.headers.first("content-encoding").is_some();
        self.facts.is_signed && !coded
    }

    /// Lets the channel rest for the next request, where that is safe: bytes beyond the answer belong to
    /// no request.
    pub(crate) fn finish(self, relay: &Relay) {
        let clean = self.whole && !self.head.closes && self.channel.buffer.is_empty();
        if !clean {
            return;
        }
        if relay.takes_work(self.open.slot) {
            let now_ms = relay.now_ms();
            let mut channels = relay.channels.borrow_mut();
            channels.rest(
                self.open.slot,
                self.channel,
                self.facts.keep_alive_ms,
                now_ms,
            );
        }
    }
}
