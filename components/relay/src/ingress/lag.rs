//! Measures the scheduling delay of the box's event loop and decides whether the loop is overloaded. No I/O.

use std::collections::VecDeque;

/// Number of wakes in the window, about two seconds while they are late, so that one burst is not an overload.
const WINDOW_WAKES: usize = 20;
/// Mean delay at which the loop is overloaded: a call takes at least three wakes, and its goal may be 150 ms.
const OVERLOADED_MS: f64 = 25.0;
/// Mean delay below which an overload ends: about half of the threshold, as hysteresis.
const RECOVERED_MS: f64 = 12.0;
/// Upper bound on the delay that one wake contributes: a process that was suspended for seconds is not overloaded.
const MAX_LATENESS_MS: u64 = 200;

/// Whether a wake is so late that the loop is to be sampled more often.
pub(crate) fn is_late(late_ms: u64) -> bool {
    late_ms as f64 >= RECOVERED_MS
}

/// Delays of the most recent wakes of a loop.
#[derive(Clone, Debug, Default)]
pub(crate) struct LagMeter {
    late_ms: VecDeque<u64>,
    overloaded: bool,
}

impl LagMeter {
    /// Records the delay of a wake. Returns whether the loop is overloaded.
    pub(crate) fn record_wake(&mut self, late_ms: u64) -> bool {
        if self.late_ms.len() == WINDOW_WAKES {
            self.late_ms.pop_front();
        }
        self.late_ms.push_back(late_ms.min(MAX_LATENESS_MS));
        let mean_ms = self.mean_ms();
        self.overloaded = match self.overloaded {
            true => mean_ms >= RECOVERED_MS,
            false => mean_ms >= OVERLOADED_MS,
        };
        self.overloaded
    }

    /// Mean delay (ms) of a wake over the window. Missing wakes count as on time.
    pub(crate) fn mean_ms(&self) -> f64 {
        self.late_ms.iter().sum::<u64>() as f64 / WINDOW_WAKES as f64
    }
}

#[cfg(test)]
#[path = "lag_tests.rs"]
mod tests;
