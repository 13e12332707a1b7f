//! Events of one stream that were read from the engine and not yet written to the caller.

use crate::buffered::deliver::{Delivered, StallTimer, deliver};
use crate::buffered::{BufferBudget, BufferReservation};
use crate::state::Relay;
use bytes::{Buf, BytesMut};
use http1::Channel;
use prelude::AccountId;
use std::io;
use std::rc::Rc;
use tokio::time::Instant;

/// Most bytes that one read from an engine returns.
const READ_BYTES_MAX: u64 = 8 * 1024;
/// An empty buffer whose capacity exceeds this is deallocated.
const RETAINED_CAPACITY_BYTES: usize = 16 * 1024;

/// The write buffer of one stream.
pub(crate) struct Unsent {
    bytes: BytesMut,
    reservation: BufferReservation,
    stall_timer: StallTimer,
    next_check_at: Instant,
    peak_bytes: usize,
}

impl Unsent {
    pub(crate) fn new(budget: &Rc<BufferBudget>, account: AccountId) -> Self {
        Self {
            bytes: BytesMut::new(),
            reservation: BufferReservation::new(budget, Some(account)),
            stall_timer: StallTimer::start(),
            next_check_at: StallTimer::next_check_at(),
            peak_bytes: 0,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The largest number of bytes buffered at once.
    pub(crate) fn peak_bytes(&self) -> usize {
        self.peak_bytes
    }

    /// Whether to read more from the engine. Always true with an empty buffer, so that no stream blocks on its own bytes.
    pub(crate) fn can_read(&self) -> bool {
        self.is_empty() || self.reservation.check_room(READ_BYTES_MAX)
    }

    /// Waits until room was freed; check [`Self::can_read`] again afterwards.
    pub(crate) async fn wait_for_room(&self) {
        self.reservation.wait_for_room().await;
    }

    /// Appends bytes to the buffer. `pending` is the size in bytes of an incomplete event that is buffered elsewhere; it is
    /// counted too.
    pub(crate) fn push(&mut self, bytes: &[u8], pending: usize) {
        if self.is_empty() && !bytes.is_empty() {
            self.stall_timer = StallTimer::start();
            self.next_check_at = StallTimer::next_check_at();
        }
        self.bytes.extend_from_slice(bytes);
        self.peak_bytes = self.peak_bytes.max(self.bytes.len());
        self.update_reservation(pending);
    }

    fn update_reservation(&mut self, pending: usize) {
        let bytes = (self.bytes.len() + pending) as u64;
        match bytes.checked_sub(self.reservation.bytes()) {
            Some(additional) => self.reservation.add(additional),
            None => self.reservation.release(self.reservation.bytes() - bytes),
        }
    }

    /// Writes as much as the caller accepts without blocking.
    ///
    /// # Errors
    /// The I/O error of the write, when the caller is gone.
    pub(crate) fn write(&mut self, caller: &mut Channel, pending: usize) -> io::Result<()> {
        while !self.bytes.is_empty() {
            let written = caller.try_write(&self.bytes)?;
            if written == 0 {
                return Ok(());
            }
            self.bytes.advance(written);
            self.stall_timer = StallTimer::start();
            self.update_reservation(pending);
        }
        if self.bytes.capacity() > RETAINED_CAPACITY_BYTES {
            self.bytes = BytesMut::new();
        }
        Ok(())
    }

    /// When to check next whether the caller still reads.
    pub(crate) fn next_check_at(&self) -> Instant {
        self.next_check_at
    }

    /// Whether the caller has stalled for too long and its connection is to be closed. Schedules the next check.
    pub(crate) fn is_caller_stalled(&mut self, relay: &Relay, id: &str) -> bool {
        self.next_check_at = StallTimer::next_check_at();
        self.stall_timer.is_expired(relay, id, &self.reservation)
    }

    /// Writes the rest of the buffer, until the caller leaves or stalls.
    pub(crate) async fn drain(self, relay: &Relay, caller: &mut Channel, id: &str) -> Delivered {
        match self.bytes.is_empty() {
            true => Delivered::Whole,
            false => deliver(relay, caller, id, &self.bytes, &self.reservation).await,
        }
    }
}
