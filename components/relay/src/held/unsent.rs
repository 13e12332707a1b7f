//! Events of one stream that were read and that its caller has not taken.

use crate::held::deliver::{Delivered, Silence, deliver};
use crate::held::{Held, Holdings};
use crate::state::Relay;
use bytes::{Buf, BytesMut};
use http1::Channel;
use prelude::AccountId;
use std::io;
use std::rc::Rc;
use tokio::time::Instant;

/// What one read of an engine may bring.
const PIECE_BYTES: u64 = 8 * 1024;
/// A buffer that grew larger than this is given back once it is empty.
const KEPT_BYTES: usize = 16 * 1024;

/// Events that wait for their caller.
pub(crate) struct Unsent {
    bytes: BytesMut,
    held: Held,
    silence: Silence,
    look_at: Instant,
    most_bytes: usize,
}

impl Unsent {
    pub(crate) fn new(holdings: &Rc<Holdings>, account: AccountId) -> Self {
        Self {
            bytes: BytesMut::new(),
            held: Held::new(holdings, Some(account)),
            silence: Silence::begins(),
            look_at: Silence::look_at(),
            most_bytes: 0,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The most that waited at once.
    pub(crate) fn most_bytes(&self) -> usize {
        self.most_bytes
    }

    /// Whether more may be read of the engine. With nothing unsent always: so no stream waits for itself.
    pub(crate) fn may_read(&self) -> bool {
        self.is_empty() || self.held.may_take(PIECE_BYTES)
    }

    /// Waits until more may be read.
    pub(crate) async fn freed(&self) {
        self.held.freed().await;
    }

    /// Takes bytes in, and counts them with the part of an event that is `pending`.
    pub(crate) fn push(&mut self, bytes: &[u8], pending: usize) {
        if self.is_empty() && !bytes.is_empty() {
            self.silence = Silence::begins();
            self.look_at = Silence::look_at();
        }
        self.bytes.extend_from_slice(bytes);
        self.most_bytes = self.most_bytes.max(self.bytes.len());
        self.count(pending);
    }

    fn count(&mut self, pending: usize) {
        let bytes = (self.bytes.len() + pending) as u64;
        match bytes.checked_sub(self.held.bytes()) {
            Some(more) => self.held.take(more),
            None => self.held.give(self.held.bytes() - bytes),
        }
    }

    /// Writes what the caller takes now.
    ///
    /// # Errors
    /// The system's, where the caller is gone.
    pub(crate) fn write(&mut self, caller: &mut Channel, pending: usize) -> io::Result<()> {
        while !self.bytes.is_empty() {
            let written = caller.try_write(&self.bytes)?;
            if written == 0 {
                return Ok(());
            }
            self.bytes.advance(written);
            self.silence = Silence::begins();
            self.count(pending);
        }
        if self.bytes.capacity() > KEPT_BYTES {
            self.bytes = BytesMut::new();
        }
        Ok(())
    }

    /// When to look whether the caller still reads.
    pub(crate) fn look_at(&self) -> Instant {
        self.look_at
    }

    /// Whether the caller does not read and is to be ended.
    pub(crate) fn is_over(&mut self, relay: &Relay, id: &str) -> bool {
        self.look_at = Silence::look_at();
        self.silence.is_over(relay, id, &self.held)
    }

    /// Writes the rest, for as long as the caller reads.
    pub(crate) async fn drain(self, relay: &Relay, caller: &mut Channel, id: &str) -> Delivered {
        match self.bytes.is_empty() {
            true => Delivered::Whole,
            false => deliver(relay, caller, id, &self.bytes, &self.held).await,
        }
    }
}
