//! How fast a pool grants permits while requests wait. Time in which nothing waits says nothing of the
//! pool's pace: were it counted, a pool that refuses would look slow, and so refuse more.

/// Time after which what was measured counts half.
const HALF_LIFE_MS: f64 = 3000.0;
/// Grants that must be measured before the pace is known.
const GRANTS_MIN: f64 = 2.0;

/// Grants, and the time in which requests waited for them, both fading.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GrantRate {
    grants: f64,
    waited_ms: f64,
    seen_ms: u64,
}

impl GrantRate {
    /// Notes that since the last call requests waited, or none did.
    pub fn advance(&mut self, waiting: bool, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.seen_ms) as f64;
        self.seen_ms = now_ms;
        if !waiting {
            return;
        }
        let left = (-elapsed_ms / HALF_LIFE_MS).exp2();
        self.grants *= left;
        self.waited_ms = self.waited_ms * left + elapsed_ms;
    }

    /// Notes a grant.
    pub fn record_grant(&mut self) {
        self.grants += 1.0;
    }

    /// Time from one grant to the next while requests wait; none where it is not known.
    pub fn ms_per_grant(&self) -> Option<f64> {
        (self.grants >= GRANTS_MIN).then(|| self.waited_ms / self.grants)
    }
}

#[cfg(test)]
#[path = "grant_rate_tests.rs"]
mod tests;
