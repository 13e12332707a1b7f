//! Outlier ejection: a target that fails requests is ejected for a while, whatever its health checks say, and then tried again.

/// Consecutive failures after which a target is ejected.
const CONSECUTIVE_FAILURES: u32 = 2;
/// Duration of the first ejection. It doubles with each further consecutive failure.
const EJECTION_MS: u64 = 500;
/// Longest ejection.
const EJECTION_MAX_MS: u64 = 4_000;
/// Weight of one outcome in the exponentially weighted share of failures.
const EWMA_WEIGHT: f64 = 0.15;
/// A target whose share of failures exceeds this is ejected even if some requests succeed.
const FAILED_SHARE_MAX: f64 = 0.35;
/// Outcomes needed before the share of failures counts.
const OUTCOMES_MIN: u32 = 4;

/// Recent outcomes of requests to one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutlierEjection {
    consecutive_failures: u32,
    failed_share: f64,
    outcomes: u32,
    ejected_until_ms: u64,
}

impl OutlierEjection {
    /// Records a successful request.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.failed_share -= EWMA_WEIGHT * self.failed_share;
        self.outcomes = self.outcomes.saturating_add(1);
    }

    /// Records a failed request, and ejects the target if it has failed too often.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.failed_share += EWMA_WEIGHT * (1.0 - self.failed_share);
        self.outcomes = self.outcomes.saturating_add(1);
        let by_failed_share = self.outcomes >= OUTCOMES_MIN && self.failed_share > FAILED_SHARE_MAX;
        if self.consecutive_failures < CONSECUTIVE_FAILURES && !by_failed_share {
            return;
        }
        let doublings = self
            .consecutive_failures
            .saturating_sub(CONSECUTIVE_FAILURES)
            .min(8);
        let ejection_ms = (EJECTION_MS << doublings).min(EJECTION_MAX_MS);
        self.ejected_until_ms = self.ejected_until_ms.max(now_ms + ejection_ms);
    }

    /// Whether the target is ejected: calls avoid it, and its pool places no new requests on it.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// Exponentially weighted share of failures, between 0 and 1.
    pub fn failed_share(&self) -> f64 {
        self.failed_share
    }
}

#[cfg(test)]
#[path = "outlier_tests.rs"]
mod tests;
