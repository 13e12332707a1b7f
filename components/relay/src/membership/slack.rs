//! Whether this box may use a share of the extra retries. Boxes divide them by the number of boxes with keys in the store, so
//! only a box whose key is valid takes part. A new incarnation waits for one window: its previous one may have sent retries, and
//! the others may still divide by one box less. The key outlives the box by a window, so that the next incarnation finds it.

/// The registration of this box, as far as shares of the extra retries depend on it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlackClaim {
    /// When this incarnation was registered, in ms.
    registered_ms: Option<u64>,
    /// There was no other box, and no previous incarnation.
    is_first: bool,
    /// Until when the key is valid at least, in ms.
    valid_until_ms: u64,
}

impl SlackClaim {
    /// The claim of a box whose key was written, or taken over from its previous incarnation, by a call made at `at_ms`.
    pub(crate) fn registered(at_ms: u64, lease_ms: u64, is_first: bool) -> Self {
        Self {
            registered_ms: Some(at_ms),
            is_first,
            valid_until_ms: at_ms + lease_ms,
        }
    }

    /// Records that the key's lease was renewed by a call made at `at_ms`.
    pub(crate) fn record_renewed(&mut self, at_ms: u64, lease_ms: u64) {
        self.valid_until_ms = at_ms + lease_ms;
    }

    /// Whether a box may use its share of the extra retries of windows of `window_ms`.
    pub(crate) fn is_counted(&self, window_ms: u64, now_ms: u64) -> bool {
        let Some(registered_ms) = self.registered_ms else {
            return false;
        };
        let is_known = self.is_first || now_ms >= registered_ms + window_ms;
        is_known && now_ms + window_ms <= self.valid_until_ms
    }
}

#[cfg(test)]
#[path = "slack_tests.rs"]
mod tests;
