//! Rate limit on the hints about targets that a box sends to its peers: what each box receives stays bounded, however many
//! boxes and targets there are.

use crate::rate::bucket::TokenBucket;

/// Hints a second that all boxes of one data centre send together.
const HINTS_PER_S: f64 = 30.0;
/// Hints that a box may send in one burst: one about a target and one about the target that its calls then move to.
const MAX_BURST: f64 = 2.0;

/// One box's share of the hints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HintBudget(TokenBucket);

impl Default for HintBudget {
    fn default() -> Self {
        Self(TokenBucket::new(MAX_BURST, 0))
    }
}

impl HintBudget {
    /// Takes one hint from the budget, of which one box among `boxes` gets an equal share. False if none is left.
    pub fn try_take(&mut self, boxes: usize, now_ms: u64) -> bool {
        let own_rate = HINTS_PER_S / boxes.max(1) as f64;
        self.0.refill(own_rate, MAX_BURST, now_ms);
        self.0.try_take()
    }
}

#[cfg(test)]
#[path = "hints_tests.rs"]
mod tests;
