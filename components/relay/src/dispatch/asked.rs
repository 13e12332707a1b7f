//! Which engines a box asks whether they leave, while the store cannot be read.

use crate::watch::targets::TargetSlot;

/// Engines that one box asks at one look, at the most.
pub(crate) const ASKED_MAX: usize = 96;

/// Chooses whom to ask at each look.
#[derive(Debug, Default)]
pub(crate) struct AskRound;

impl AskRound {
    /// The engines to ask now, of those that are `ready`; `in_use` are those of them that run something of this box.
    pub fn next(&mut self, ready: &[TargetSlot], in_use: &[TargetSlot]) -> Vec<TargetSlot> {
        let _ = in_use;
        ready.to_vec()
    }
}

#[cfg(test)]
#[path = "asked_tests.rs"]
mod tests;
