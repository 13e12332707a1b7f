//! A target that turned a request away and asked this box for a pause (`Retry-After`, RFC 9110, 10.2.3).

/// The longest pause that is kept without a try.
const PAUSE_MAX_MS: u64 = 600_000;
/// A pause ends later by up to this share of it, drawn at random, so that boxes that were asked together do not come back
/// together.
const SPREAD_SHARE: f64 = 0.1;
/// The same, at the most.
const SPREAD_MAX_MS: f64 = 500.0;
/// After a pause one request is sent in this time, until one is answered.
const TRY_EACH_MS: u64 = 1_000;

/// The pause that one target asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryAfterBackoff {
    until_ms: u64,
    /// No request sent after the pause was answered yet.
    is_half_open: bool,
    next_try_ms: u64,
}

impl RetryAfterBackoff {
    /// Notes that the target asked for a pause. A shorter one than is left changes nothing. `draw` is even between 0 and 1.
    pub fn record_pause(&mut self, pause_ms: u64, draw: f64, now_ms: u64) {
        if pause_ms == 0 {
            return;
        }
        let pause_ms = pause_ms.min(PAUSE_MAX_MS);
        let spread_ms = (pause_ms as f64 * SPREAD_SHARE).min(SPREAD_MAX_MS);
        let until_ms = now_ms + pause_ms + (spread_ms * draw.clamp(0.0, 1.0)) as u64;
        self.until_ms = self.until_ms.max(until_ms);
        self.is_half_open = true;
        self.next_try_ms = 0;
    }

    /// How long until a request may be sent; none where one may be now.
    pub fn remaining_ms(&self, now_ms: u64) -> Option<u64> {
        let next_try_ms = match self.is_half_open {
            true => self.next_try_ms,
            false => 0,
        };
        let left_ms = self.until_ms.max(next_try_ms).saturating_sub(now_ms);
        (left_ms > 0).then_some(left_ms)
    }

    /// Whether the target asked for a pause and has answered nothing since.
    pub fn is_on(&self, now_ms: u64) -> bool {
        self.is_half_open || now_ms < self.until_ms
    }

    /// Notes that a request is sent.
    pub fn record_sent(&mut self, now_ms: u64) {
        if self.is_half_open {
            self.next_try_ms = now_ms + TRY_EACH_MS;
        }
    }

    /// Notes that a request sent at a time was taken.
    pub fn record_accepted(&mut self, sent_ms: u64) {
        if sent_ms >= self.until_ms {
            self.is_half_open = false;
        }
    }
}

#[cfg(test)]
#[path = "retry_after_tests.rs"]
mod tests;
