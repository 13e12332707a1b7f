//! Backoff from a target that rejected a request and asked this box for a pause (`Retry-After`, RFC 9110, 10.2.3).

/// Longer pauses are cut to this.
const PAUSE_MAX_MS: u64 = 600_000;
/// Random jitter extends a pause by up to this share of it, so that boxes paused together do not resume together.
const JITTER_SHARE: f64 = 0.1;
/// Upper bound of the jitter.
const JITTER_MAX_MS: f64 = 500.0;
/// Interval between requests after a pause, until the target accepts one.
const HALF_OPEN_INTERVAL_MS: u64 = 1_000;

/// The pause that one target asked for, and the half-open state after it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryAfterBackoff {
    paused_until_ms: u64,
    /// No request sent after the pause has been accepted yet.
    is_half_open: bool,
    next_probe_ms: u64,
}

impl RetryAfterBackoff {
    /// Records that the target asked for a pause. It never shortens a running pause. `jitter` is a uniform random number
    /// between 0 and 1.
    pub fn record_pause(&mut self, pause_ms: u64, jitter: f64, now_ms: u64) {
        if pause_ms == 0 {
            return;
        }
        let pause_ms = pause_ms.min(PAUSE_MAX_MS);
        let jitter_ms = (pause_ms as f64 * JITTER_SHARE).min(JITTER_MAX_MS);
        let paused_until_ms = now_ms + pause_ms + (jitter_ms * jitter.clamp(0.0, 1.0)) as u64;
        self.paused_until_ms = self.paused_until_ms.max(paused_until_ms);
        self.is_half_open = true;
        self.next_probe_ms = 0;
    }

    /// Time until the next request may be sent; none if one may be sent now.
    pub fn remaining_ms(&self, now_ms: u64) -> Option<u64> {
        let next_probe_ms = match self.is_half_open {
            true => self.next_probe_ms,
            false => 0,
        };
        let remaining_ms = self
            .paused_until_ms
            .max(next_probe_ms)
            .saturating_sub(now_ms);
        (remaining_ms > 0).then_some(remaining_ms)
    }

    /// Whether a pause is running, or no request has been accepted since it ended.
    pub fn is_on(&self, now_ms: u64) -> bool {
        self.is_half_open || now_ms < self.paused_until_ms
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now_ms: u64) {
        if self.is_half_open {
            self.next_probe_ms = now_ms + HALF_OPEN_INTERVAL_MS;
        }
    }

    /// Records that the target accepted a request that was sent at `request_sent_ms`. One sent before the end of the pause
    /// does not count.
    pub fn record_accepted(&mut self, request_sent_ms: u64) {
        if request_sent_ms >= self.paused_until_ms {
            self.is_half_open = false;
        }
    }
}

#[cfg(test)]
#[path = "retry_after_tests.rs"]
mod tests;
