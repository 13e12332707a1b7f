//! How often a box tells others what it sees of targets: what comes in at one box stays bounded, however many boxes and
//! targets there are.

use crate::rate::bucket::TokenBucket;

/// Words that the boxes of one data centre send in a second, all together.
const WORDS_PER_S: f64 = 30.0;
/// The most that a box saves up: a word on a target and on the one that calls then go to.
const SAVED_MAX: f64 = 2.0;

/// One box's part of the words.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HintBudget(TokenBucket);

impl Default for HintBudget {
    fn default() -> Self {
        Self(TokenBucket::new(SAVED_MAX, 0))
    }
}

impl HintBudget {
    /// Takes one word, where a box among `boxes` has one left.
    pub fn try_take(&mut self, boxes: usize, now_ms: u64) -> bool {
        let own_rate = WORDS_PER_S / boxes.max(1) as f64;
        self.0.refill(own_rate, SAVED_MAX, now_ms);
        self.0.take()
    }
}

#[cfg(test)]
#[path = "hints_tests.rs"]
mod tests;
