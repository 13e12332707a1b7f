//! Writes buffered bytes to callers, and gives up on callers that stopped reading.

use crate::buffered::BufferReservation;
use crate::state::Relay;
use http1::Channel;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// How long a caller may accept no bytes while requests wait for buffer memory. Longer than TCP retransmits on an
/// ordinary lossy link take.
const CONTENDED_STALL_LIMIT: Duration = Duration::from_secs(5);
/// Interval between checks for a stalled caller.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The result of a write to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivered {
    /// All bytes were written.
    Whole,
    /// The caller closed the connection.
    CallerLeft,
    /// The caller stalled for too long; its connection is to be closed.
    Unread,
}

/// Measures the time since a caller last accepted bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StallTimer(Instant);

impl StallTimer {
    /// Starts at the current time.
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    /// When to check next for a stall.
    pub(crate) fn next_check_at() -> Instant {
        Instant::now() + CHECK_INTERVAL
    }

    /// Whether the caller has stalled for too long; logs the reason. The limit is shorter while requests wait for buffer
    /// memory.
    pub(crate) fn is_expired(
        self,
        relay: &Relay,
        id: &str,
        reservation: &BufferReservation,
    ) -> bool {
        let stalled = self.0.elapsed();
        let limit = Duration::from_secs_f64(relay.settings().limits.unread_limit_s);
        let reason = match stalled {
            stalled if stalled >= limit => "limit",
            stalled if stalled >= CONTENDED_STALL_LIMIT && reservation.is_contended() => "memory",
            _ => return false,
        };
        let (box_bytes, limit_bytes) = relay.memory.usage();
        slog::warn!(relay.log, "caller does not read"; "id" => id, "why" => reason,
            "silent_ms" => stalled.as_millis() as u64, "held_bytes" => reservation.bytes(),
            "box_held_bytes" => box_bytes, "box_most_bytes" => limit_bytes);
        metrics::counter!("shuntpier_callers_unread", "why" => reason).increment(1);
        true
    }
}

/// Waits until the channel is writable; without output, until the caller is gone. Returns false if the caller is gone.
pub(crate) async fn wait_writable(channel: &mut Channel, has_output: bool) -> bool {
    if has_output {
        return channel.writable().await.is_ok();
    }
    channel.gone().await;
    false
}

/// Writes all of `bytes`, until the caller leaves or stalls. `reservation` covers the bytes and is left unchanged.
pub(crate) async fn deliver(
    relay: &Relay,
    channel: &mut Channel,
    id: &str,
    mut bytes: &[u8],
    reservation: &BufferReservation,
) -> Delivered {
    let mut stall_timer = StallTimer::start();
    let mut next_check_at = StallTimer::next_check_at();
    loop {
        match channel.try_write(bytes) {
            Ok(0) => {}
            Ok(written) => {
                bytes = &bytes[written..];
                stall_timer = StallTimer::start();
            }
            Err(_) => return Delivered::CallerLeft,
        }
        if bytes.is_empty() {
            return Delivered::Whole;
        }
        tokio::select! {
            biased;
            ready = channel.writable() => match ready {
                Ok(()) => {}
                Err(_) => return Delivered::CallerLeft,
            },
            () = sleep_until(next_check_at) => {
                if stall_timer.is_expired(relay, id, reservation) {
                    return Delivered::Unread;
                }
                next_check_at = StallTimer::next_check_at();
            }
        }
    }
}
