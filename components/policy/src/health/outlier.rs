//! Which targets have failed lately, whatever their health says: they get less work for a while, and are
//! tried again.

/// Failures in a row after which a target is passed over.
const FAILURES_MAX: u32 = 2;
/// How long it is passed over at first; the time doubles with each further failure.
const PASSED_OVER_MS: u64 = 500;
/// The longest time.
const PASSED_OVER_MAX_MS: u64 = 4_000;
/// Weight of one outcome in the share of failures.
const WEIGHT: f64 = 0.15;
/// A target that fails more than this share is passed over even if single requests succeed.
const SHARE_MAX: f64 = 0.35;
/// Outcomes that must be seen before the share says anything.
const SEEN_MIN: u32 = 4;

/// What one target did lately.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutlierEjection {
    failures_in_a_row: u32,
    share: f64,
    seen: u32,
    until_ms: u64,
}

impl OutlierEjection {
    /// Notes an answer that the target was to give.
    pub fn record_success(&mut self) {
        self.failures_in_a_row = 0;
        self.share -= WEIGHT * self.share;
        self.seen = self.seen.saturating_add(1);
    }

    /// Notes that the target failed a request.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
        self.share += WEIGHT * (1.0 - self.share);
        self.seen = self.seen.saturating_add(1);
        let by_share = self.seen >= SEEN_MIN && self.share > SHARE_MAX;
        if self.failures_in_a_row < FAILURES_MAX && !by_share {
            return;
        }
        let doublings = self.failures_in_a_row.saturating_sub(FAILURES_MAX).min(8);
        let time_ms = (PASSED_OVER_MS << doublings).min(PASSED_OVER_MAX_MS);
        self.until_ms = self.until_ms.max(now_ms + time_ms);
    }

    /// Whether the target is passed over now.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Share of failures among the last outcomes.
    pub fn failed_share(&self) -> f64 {
        self.share
    }
}

#[cfg(test)]
#[path = "outlier_tests.rs"]
mod tests;
