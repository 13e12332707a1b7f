//! When an engine was prefilling prompts lately: its steps take longer meanwhile, which says nothing about its own pace.

use std::collections::VecDeque;

/// How long spans are kept: longer than the time that one report covers.
const RETENTION_MS: u64 = 3_000;

/// The times at which one engine was prefilling.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefillSpans {
    finished: VecDeque<(u64, u64)>,
    started_ms: Option<u64>,
}

impl PrefillSpans {
    /// Records whether the engine is prefilling from now on.
    pub(crate) fn set_prefilling(&mut self, is_prefilling: bool, now_ms: u64) {
        match (self.started_ms, is_prefilling) {
            (None, true) => self.started_ms = Some(now_ms),
            (Some(started_ms), false) => {
                self.finished.push_back((started_ms, now_ms));
                self.started_ms = None;
            }
            _ => {}
        }
        while self
            .finished
            .front()
            .is_some_and(|span| span.1 + RETENTION_MS < now_ms)
        {
            self.finished.pop_front();
        }
    }

    /// Share of the last `window_ms` in which the engine was prefilling.
    pub(crate) fn share(&self, window_ms: u64, now_ms: u64) -> f64 {
        let from_ms = now_ms.saturating_sub(window_ms);
        let current = self.started_ms.map(|started_ms| (started_ms, now_ms));
        let overlap_ms = |span: &(u64, u64)| span.1.saturating_sub(span.0.max(from_ms));
        let prefill_ms: u64 = self.finished.iter().chain(&current).map(overlap_ms).sum();
        (prefill_ms as f64 / window_ms.max(1) as f64).clamp(0.0, 1.0)
    }
}

#[cfg(test)]
#[path = "spans_tests.rs"]
mod tests;
