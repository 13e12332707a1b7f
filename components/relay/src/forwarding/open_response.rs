//! The response of a target or of another box: its head, its body as it is read, and the reuse of its channel.

use crate::buffered::BufferReservation;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use bytes::Bytes;
use http1::{Channel, Decoder, Framing, Piece, ResponseHead};
use platform::ResponseMetadata;
use std::rc::Rc;

/// Maximum size of a response that is buffered whole.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Failure text of a response that exceeds the buffer limits of this box. The target is not at fault.
pub(crate) const ANSWER_TOO_LONG: &str = "the answer is too long to be held";

/// A response whose head has been read.
pub(crate) struct OpenResponse {
    pub channel: Channel,
    pub head: ResponseHead,
    pub metadata: ResponseMetadata,
    pub(super) decoder: Decoder,
    pub(super) framing: Framing,
    /// The request was written completely, so that the channel may be reused.
    pub(super) is_request_complete: bool,
    /// None for the response of another box.
    pub(super) open_request: Option<OpenRequest>,
}

/// Counts a request as open at a target until it is dropped.
pub(crate) struct OpenRequest {
    relay: Rc<Relay>,
    slot: TargetSlot,
    bytes: u64,
}

impl OpenRequest {
    pub(super) fn new(relay: &Rc<Relay>, slot: TargetSlot, bytes: u64) -> Self {
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

/// Reserves memory for `more` bytes of a response, waiting until it is available.
async fn reserve(memory: &mut BufferReservation, more: u64) -> Result<(), &'static str> {
    let bytes = memory.bytes() + more;
    if bytes > MAX_RESPONSE_BYTES as u64 || !memory.could_fit(bytes) {
        return Err(ANSWER_TOO_LONG);
    }
    if more > 0 {
        memory.reserve(more).await;
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

    /// Buffers the whole body. While no memory is available, the channel is not read.
    pub(crate) async fn read_body(
        &mut self,
        memory: &mut BufferReservation,
    ) -> Result<Bytes, &'static str> {
        if let Framing::Length(length) = self.framing {
            // The whole length is reserved at once: two responses that each hold half of their memory would deadlock.
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

    /// Reads the body up to its end without keeping it.
    pub(super) async fn skip_body(&mut self, most_bytes: usize) -> Result<(), &'static str> {
        let mut read = 0;
        while let Some(data) = self.next().await? {
            read += data.len();
            if read > most_bytes {
                return Err(ANSWER_TOO_LONG);
            }
        }
        Ok(())
    }

    /// The next bytes of a body of which `read` bytes were read, with memory reserved for them.
    async fn next_reserved(
        &mut self,
        read: usize,
        memory: &mut BufferReservation,
    ) -> Result<Option<Bytes>, &'static str> {
        let Some(more) = self.next().await? else {
            return Ok(None);
        };
        let bytes = (read + more.len()) as u64;
        reserve(memory, bytes.saturating_sub(memory.bytes())).await?;
        Ok(Some(more))
    }

    /// The slowness that the target reports, in percent.
    pub(crate) fn slowness_percent(&self) -> Option<u32> {
        self.metadata.load?.slowness_percent
    }

    /// Whether the target signed the response and applied no content encoding.
    pub(crate) fn is_verified(&self) -> bool {
        let is_encoded = self.head.headers.first("content-encoding").is_some();
        self.metadata.is_signed && !is_encoded
    }

    /// Keeps the channel for reuse if that is safe: the request was written completely, the target does not close the
    /// channel, and no bytes follow the response.
    pub(crate) fn recycle_channel(self, relay: &Relay) {
        let is_reusable =
            self.is_request_complete && !self.head.closes && self.channel.buffer.is_empty();
        let Some(open_request) = self.open_request.filter(|_| is_reusable) else {
            return;
        };
        if relay.takes_work(open_request.slot) {
            let now_ms = relay.now_ms();
            let mut channels = relay.channels.borrow_mut();
            channels.put(
                open_request.slot,
                self.channel,
                self.metadata.keep_alive_ms,
                now_ms,
            );
        }
    }
}
