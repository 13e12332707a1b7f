//! Writes to callers what is ready for them, late as well, and ends those that do not read.

use crate::held::Held;
use crate::state::Relay;
use http1::Channel;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// A caller that took nothing for this long is ended where a bound on memory is reached. Longer than the
/// packets of a usual bad link are sent again for.
const SILENCE_WHERE_SHORT: Duration = Duration::from_secs(5);
/// How often it is looked whether a caller is silent for too long.
const LOOK_EACH: Duration = Duration::from_millis(500);

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
pub(crate) struct Silence(Instant);

impl Silence {
    /// It begins now.
    pub(crate) fn begins() -> Self {
        Self(Instant::now())
    }

    /// When to look again.
    pub(crate) fn look_at() -> Instant {
        Instant::now() + LOOK_EACH
    }

    /// Whether the caller is to be ended; the log says why.
    pub(crate) fn is_over(self, relay: &Relay, id: &str, held: &Held) -> bool {
        let silent = self.0.elapsed();
        let limit = Duration::from_secs_f64(relay.settings().limits.unread_limit_s);
        let why = match silent {
            silent if silent >= limit => "limit",
            silent if silent >= SILENCE_WHERE_SHORT && held.is_wanted() => "memory",
            _ => return false,
        };
        let (box_bytes, most_bytes) = relay.memory.fill();
        slog::warn!(relay.log, "caller does not read"; "id" => id, "why" => why,
            "silent_ms" => silent.as_millis() as u64, "held_bytes" => held.bytes(),
            "box_held_bytes" => box_bytes, "box_most_bytes" => most_bytes);
        metrics::counter!("shuntpier_callers_unread", "why" => why).increment(1);
        true
    }
}

/// Waits until a caller may be written to, or, where nothing is to be written, until it is gone. False where it is gone.
pub(crate) async fn ready(channel: &mut Channel, writes: bool) -> bool {
    if writes {
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
    held: &Held,
) -> Delivered {
    let mut silence = Silence::begins();
    let mut look_at = Silence::look_at();
    loop {
        match channel.try_write(bytes) {
            Ok(0) => {}
            Ok(written) => {
                bytes = &bytes[written..];
                silence = Silence::begins();
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
            () = sleep_until(look_at) => {
                if silence.is_over(relay, id, held) {
                    return Delivered::Unread;
                }
                look_at = Silence::look_at();
            }
        }
    }
}
