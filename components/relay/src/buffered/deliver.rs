//! Writes to callers what is ready for them, late as well, and ends those that do not read.

use crate::buffered::BufferReservation;
use crate::state::Relay;
use http1::Channel;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// A caller that took nothing for this long is ended where a bound on memory is reached. Longer than the
/// packets of a usual bad link are sent again for.
const CONTENDED_STALL_LIMIT: Duration = Duration::from_secs(5);
/// How often it is looked whether a caller is silent for too long.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What became of something that was written to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivered {
    /// All of it was taken.
    Whole,
    /// The caller left.
    CallerLeft,
    /// The caller did not read, and was ended.
    Unread,
}

/// How long a caller has taken nothing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StallTimer(Instant);

impl StallTimer {
    /// It begins now.
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    /// When to look again.
    pub(crate) fn next_check_at() -> Instant {
        Instant::now() + CHECK_INTERVAL
    }

    /// Whether the caller is to be ended; the log says why.
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

/// Waits until a caller may be written to, or, where nothing is to be written, until it is gone. False where it is gone.
pub(crate) async fn wait_writable(channel: &mut Channel, has_output: bool) -> bool {
    if has_output {
        return channel.writable().await.is_ok();
    }
    channel.gone().await;
    false
}

/// Writes all of `bytes`, for as long as its caller reads. `held` counts the bytes; it is not changed.
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
