//! How late the box's own loop is, and whether it is overrun. Plain data.

use std::collections::VecDeque;

/// Wakes that are looked at, some two seconds where they are late: one burst is no overrun.
const WINDOW_WAKES: usize = 20;
/// Overrun where a wake is so late in the mean: a call takes three steps and more, and its goal may be 150 ms.
const OVERLOADED_MS: f64 = 25.0;
/// Not overrun any more below this: half, so that it does not come and go.
const RECOVERED_MS: f64 = 12.0;
/// One wake counts for so much at the most: a process that was frozen for seconds is not overrun.
const MAX_LATENESS_MS: u64 = 200;

/// Whether a wake is so late that the next ones are looked at closely.
pub(crate) fn is_late(late_ms: u64) -> bool {
    late_ms as f64 >= RECOVERED_MS
}

/// The last wakes of a loop.
#[derive(Clone, Debug, Default)]
pub(crate) struct LagMeter {
    late_ms: VecDeque<u64>,
    overloaded: bool,
}

impl LagMeter {
    /// Takes in how late a wake was. Says whether the loop is overrun.
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

    /// How late a wake is in the mean; those that have not been count as in time.
    pub(crate) fn mean_ms(&self) -> f64 {
        self.late_ms.iter().sum::<u64>() as f64 / WINDOW_WAKES as f64
    }
}

#[cfg(test)]
#[path = "lag_tests.rs"]
mod tests;
