//! The chance that a stream pauses for longer than its caller bears, on an engine of known pace.

use crate::pace::disturbance::Disturbance;

/// Pauses within this share of the goal may fall on either side of it: predictions are not more exact.
const UNCLEAR_SHARE: f64 = 0.1;

/// How events come at one engine, with the stream that is looked at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Feel {
    /// Time from one event to the next.
    pub event_ms: f64,
    /// The same while a prompt is read beside.
    pub beside_ms: f64,
    /// How the engine is disturbed.
    pub disturbance: Option<Disturbance>,
    /// Share of the time in which it reads a prompt.
    pub prefill_share: f64,
    /// How long it reads one.
    pub reading_ms: f64,
}

/// Chance that a pause that is expected at so long is beyond the goal.
fn beyond(pause_ms: f64, goal_ms: f64) -> f64 {
    let over = pause_ms / goal_ms - (1.0 - UNCLEAR_SHARE);
    (over / (2.0 * UNCLEAR_SHARE)).clamp(0.0, 1.0)
}

/// Chance that what takes a share of the time, and so long each time, happens within a window.
fn met(share: f64, each_ms: f64, window_ms: f64) -> f64 {
    if share <= 0.0 || window_ms <= 0.0 {
        return 0.0;
    }
    let free = (1.0 - share).max(0.001);
    1.0 - free * (-window_ms * share / (free * each_ms.max(1.0))).exp()
}

impl Feel {
    /// The longest pause that is possible.
    pub(crate) fn worst_ms(&self) -> f64 {
        self.beside_ms * self.strength()
    }

    fn strength(&self) -> f64 {
        self.disturbance
            .map_or(1.0, |disturbance| disturbance.strength)
    }

    /// Chances that it is read beside, disturbed, and both at once, within a window.
    fn chances(&self, window_ms: f64) -> [f64; 3] {
        let read = met(self.prefill_share, self.reading_ms, window_ms);
        let Some(disturbance) = self.disturbance else {
            return [read, 0.0, 0.0];
        };
        let (share, spell_ms) = (disturbance.share, disturbance.spell_ms);
        let disturbed = met(share, spell_ms, window_ms);
        let each_ms = 1.0 / (1.0 / spell_ms.max(1.0) + 1.0 / self.reading_ms.max(1.0));
        let both = met(share * self.prefill_share, each_ms, window_ms);
        [read, disturbed, both]
    }

    /// Chance of a pause beyond the goal within a window.
    pub(crate) fn long_pause(&self, goal_ms: f64, window_ms: f64) -> f64 {
        if beyond(self.worst_ms(), goal_ms) == 0.0 {
            return 0.0;
        }
        let [read, disturbed, both] = self.chances(window_ms);
        let spared = (1.0 - beyond(self.event_ms, goal_ms))
            * (1.0 - read * beyond(self.beside_ms, goal_ms))
            * (1.0 - disturbed * beyond(self.event_ms * self.strength(), goal_ms))
            * (1.0 - both * beyond(self.worst_ms(), goal_ms));
        1.0 - spared
    }

    /// Chance of a pause beyond the goal while one prompt is read beside.
    pub(crate) fn long_pause_beside(&self, goal_ms: f64, window_ms: f64) -> f64 {
        if beyond(self.worst_ms(), goal_ms) == 0.0 {
            return 0.0;
        }
        let disturbed = match self.disturbance {
            Some(disturbance) => met(disturbance.share, disturbance.spell_ms, window_ms),
            None => 0.0,
        };
        let spared = (1.0 - beyond(self.beside_ms, goal_ms))
            * (1.0 - disturbed * beyond(self.worst_ms(), goal_ms));
        1.0 - spared
    }

    /// The longest pause within a window, as likely exceeded as not.
    pub(crate) fn foretold_ms(&self, window_ms: f64) -> f64 {
        let [read, disturbed, both] = self.chances(window_ms);
        let mut longest_ms = self.event_ms;
        for (chance, pause_ms) in [
            (read, self.beside_ms),
            (disturbed, self.event_ms * self.strength()),
            (both, self.worst_ms()),
        ] {
            if chance >= 0.5 {
                longest_ms = longest_ms.max(pause_ms);
            }
        }
        longest_ms
    }
}

#[cfg(test)]
#[path = "pause_risk_tests.rs"]
mod tests;
