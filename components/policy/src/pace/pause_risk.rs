//! Probability that a stream pauses for longer than its caller's goal, at an engine of known pace.

use crate::pace::disturbance::Disturbance;

/// Predicted pauses within this share of the goal may fall on either side of it: predictions are no more precise.
const TOLERANCE_SHARE: f64 = 0.1;

/// Timing of events at one engine, with the stream in question added to its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EventTiming {
    /// Time from one event to the next while no prompt is prefilled.
    pub event_ms: f64,
    /// Time from one event to the next while a prompt is prefilled.
    pub prefill_event_ms: f64,
    /// Expected disturbances of the engine.
    pub disturbance: Option<Disturbance>,
    /// Share of the time in which it is prefilling a prompt.
    pub prefill_share: f64,
    /// How long the prefill of one prompt takes.
    pub prefill_ms: f64,
}

/// Probability that a pause of a predicted length exceeds the goal.
fn exceedance_probability(pause_ms: f64, goal_ms: f64) -> f64 {
    let over = pause_ms / goal_ms - (1.0 - TOLERANCE_SHARE);
    (over / (2.0 * TOLERANCE_SHARE)).clamp(0.0, 1.0)
}

/// Probability that a condition that holds for a share of the time, for `duration_ms` at a time, holds at some point of a
/// window.
fn occurrence_probability(share: f64, duration_ms: f64, window_ms: f64) -> f64 {
    if share <= 0.0 || window_ms <= 0.0 {
        return 0.0;
    }
    let absent_share = (1.0 - share).max(0.001);
    1.0 - absent_share * (-window_ms * share / (absent_share * duration_ms.max(1.0))).exp()
}

impl EventTiming {
    /// The longest possible pause: during a prefill and a disturbance at once.
    pub(crate) fn max_pause_ms(&self) -> f64 {
        self.prefill_event_ms * self.slowdown()
    }

    fn slowdown(&self) -> f64 {
        self.disturbance
            .map_or(1.0, |disturbance| disturbance.slowdown)
    }

    /// Probabilities of a prefill, of a disturbance, and of both at once within a window.
    fn probabilities(&self, window_ms: f64) -> [f64; 3] {
        let prefill = occurrence_probability(self.prefill_share, self.prefill_ms, window_ms);
        let Some(disturbance) = self.disturbance else {
            return [prefill, 0.0, 0.0];
        };
        let (share, duration_ms) = (disturbance.share, disturbance.duration_ms);
        let disturbed = occurrence_probability(share, duration_ms, window_ms);
        let overlap_ms = 1.0 / (1.0 / duration_ms.max(1.0) + 1.0 / self.prefill_ms.max(1.0));
        let both = occurrence_probability(share * self.prefill_share, overlap_ms, window_ms);
        [prefill, disturbed, both]
    }

    /// Probability of a pause beyond the goal within a window.
    pub(crate) fn long_pause_probability(&self, goal_ms: f64, window_ms: f64) -> f64 {
        if exceedance_probability(self.max_pause_ms(), goal_ms) == 0.0 {
            return 0.0;
        }
        let [prefill, disturbed, both] = self.probabilities(window_ms);
        let no_long_pause = (1.0 - exceedance_probability(self.event_ms, goal_ms))
            * (1.0 - prefill * exceedance_probability(self.prefill_event_ms, goal_ms))
            * (1.0 - disturbed * exceedance_probability(self.event_ms * self.slowdown(), goal_ms))
            * (1.0 - both * exceedance_probability(self.max_pause_ms(), goal_ms));
        1.0 - no_long_pause
    }

    /// Probability of a pause beyond the goal within a window in which a prompt is prefilled.
    pub(crate) fn long_pause_probability_during_prefill(
        &self,
        goal_ms: f64,
        window_ms: f64,
    ) -> f64 {
        if exceedance_probability(self.max_pause_ms(), goal_ms) == 0.0 {
            return 0.0;
        }
        let disturbed = match self.disturbance {
            Some(disturbance) => {
                occurrence_probability(disturbance.share, disturbance.duration_ms, window_ms)
            }
            None => 0.0,
        };
        let no_long_pause = (1.0 - exceedance_probability(self.prefill_event_ms, goal_ms))
            * (1.0 - disturbed * exceedance_probability(self.max_pause_ms(), goal_ms));
        1.0 - no_long_pause
    }

    /// The longest pause within a window that has a probability of at least one half.
    pub(crate) fn predicted_pause_ms(&self, window_ms: f64) -> f64 {
        let [prefill, disturbed, both] = self.probabilities(window_ms);
        let mut longest_ms = self.event_ms;
        for (probability, pause_ms) in [
            (prefill, self.prefill_event_ms),
            (disturbed, self.event_ms * self.slowdown()),
            (both, self.max_pause_ms()),
        ] {
            if probability >= 0.5 {
                longest_ms = longest_ms.max(pause_ms);
            }
        }
        longest_ms
    }
}

#[cfg(test)]
#[path = "pause_risk_tests.rs"]
mod tests;
