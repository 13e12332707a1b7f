//! Rate at which a pool grants permits while requests wait. Time with an empty queue is not
//! counted: it would make a pool that refuses requests look slow, and so refuse even more.

/// Half-life of the measurements.
const HALF_LIFE_MS: f64 = 3000.0;
/// Grants needed before the rate is known.
const MIN_GRANTS: f64 = 2.0;

/// Grants and the time in which requests waited, both with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GrantRate {
    grants: f64,
    waiting_ms: f64,
    updated_ms: u64,
}

impl GrantRate {
    /// Advances the clock. `waiting` says whether requests waited since the last call.
    pub fn advance(&mut self, waiting: bool, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.updated_ms = now_ms;
        if !waiting {
            return;
        }
        let decay = (-elapsed_ms / HALF_LIFE_MS).exp2();
        self.grants *= decay;
        self.waiting_ms = self.waiting_ms * decay + elapsed_ms;
    }

    pub fn record_grant(&mut self) {
        self.grants += 1.0;
    }

    /// Returns the mean time between grants while requests wait, or `None` if too few grants were
    /// measured.
    pub fn ms_per_grant(&self) -> Option<f64> {
        (self.grants >= MIN_GRANTS).then(|| self.waiting_ms / self.grants)
    }
}

#[cfg(test)]
#[path = "grant_rate_tests.rs"]
mod tests;
