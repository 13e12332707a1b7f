//! When an engine was reading prompts, lately: its steps then take longer, which says nothing of its speed.

use std::collections::VecDeque;

/// How long spans are kept: longer than what one telling covers.
const KEPT_MS: u64 = 3_000;

/// The times at which one engine was reading.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefillSpans {
    over: VecDeque<(u64, u64)>,
    since_ms: Option<u64>,
}

impl PrefillSpans {
    /// Notes whether it reads from now on.
    pub(crate) fn set_prefilling(&mut self, reads: bool, now_ms: u64) {
        match (self.since_ms, reads) {
            (None, true) => self.since_ms = Some(now_ms),
            (Some(since_ms), false) => {
                self.over.push_back((since_ms, now_ms));
                self.since_ms = None;
            }
            _ => {}
        }
        while self
            .over
            .front()
            .is_some_and(|span| span.1 + KEPT_MS < now_ms)
        {
            self.over.pop_front();
        }
    }

    /// Share of the last so many milliseconds in which it read.
    pub(crate) fn share(&self, last_ms: u64, now_ms: u64) -> f64 {
        let from_ms = now_ms.saturating_sub(last_ms);
        let now = self.since_ms.map(|since_ms| (since_ms, now_ms));
        let within = |span: &(u64, u64)| span.1.saturating_sub(span.0.max(from_ms));
        let read_ms: u64 = self.over.iter().chain(&now).map(within).sum();
        (read_ms as f64 / last_ms.max(1) as f64).clamp(0.0, 1.0)
    }
}

#[cfg(test)]
#[path = "spans_tests.rs"]
mod tests;
