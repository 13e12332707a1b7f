//! How often a box tells others what it sees of targets: what comes in at one box stays bounded, however many boxes and
//! targets there are.

/// Words that the boxes of one data centre send in a second, all together.
const WORDS_PER_S: f64 = 30.0;
/// The most that a box saves up: a word on a target and on the one that calls then go to.
const SAVED_MAX: f64 = 2.0;

/// One box's part of the words: a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HintBudget {
    saved: f64,
    at_ms: u64,
}

impl Default for HintBudget {
    fn default() -> Self {
        Self {
            saved: SAVED_MAX,
            at_ms: 0,
        }
    }
}

impl HintBudget {
    /// Takes one word, where a box among `boxes` has one left.
    pub fn take(&mut self, boxes: usize, now_ms: u64) -> bool {
        let passed_s = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        let own_rate = WORDS_PER_S / boxes.max(1) as f64;
        self.saved = (self.saved + passed_s * own_rate).min(SAVED_MAX);
        self.at_ms = now_ms;
        let taken = self.saved >= 1.0;
        if taken {
            self.saved -= 1.0;
        }
        taken
    }
}

#[cfg(test)]
#[path = "hints_tests.rs"]
mod tests;
