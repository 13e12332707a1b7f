//! Budget for sending whole target lists to other boxes: no more than this box's link carries. If many boxes start at once and
//! all are answered, the responses are buffered here and all arrive too late to be used.

/// Share of the link's bandwidth that lists may use.
const LINK_SHARE: f64 = 0.5;

/// When the lists sent so far will have left the link.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ListBudget {
    busy_until_ms: f64,
}

impl ListBudget {
    /// Whether another list may be sent, since those before it have left the link.
    pub fn is_free(&self, now_ms: u64) -> bool {
        self.busy_until_ms <= now_ms as f64
    }

    /// Records a list of `bytes` bytes that is sent at `now_ms` over a link of `link_mbps` Mbit/s.
    pub fn record(&mut self, bytes: usize, link_mbps: f64, now_ms: u64) {
        let bytes_per_ms = link_mbps * 125.0 * LINK_SHARE;
        let transfer_ms = bytes as f64 / bytes_per_ms;
        self.busy_until_ms = self.busy_until_ms.max(now_ms as f64) + transfer_ms;
    }
}

#[cfg(test)]
#[path = "list_budget_tests.rs"]
mod tests;
