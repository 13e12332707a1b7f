//! How many whole lists of targets this box hands out: no more than its link takes. Where many boxes start at once, each
//! one that asks would have its answer held in memory here, and all of them would come too late to be used.

/// Part of the link that lists may take.
const LINK_SHARE: f64 = 0.5;

/// When the lists that were handed out will have left.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ListBudget {
    until_ms: f64,
}

impl ListBudget {
    /// Whether another list may be handed out: those before it have left.
    pub fn is_free(&self, now_ms: u64) -> bool {
        self.until_ms <= now_ms as f64
    }

    /// Notes a list that is handed out.
    pub fn record(&mut self, bytes: usize, link_mbps: f64, now_ms: u64) {
        let bytes_per_ms = link_mbps * 125.0 * LINK_SHARE;
        let takes_ms = bytes as f64 / bytes_per_ms;
        self.until_ms = self.until_ms.max(now_ms as f64) + takes_ms;
    }
}

#[cfg(test)]
#[path = "list_budget_tests.rs"]
mod tests;
