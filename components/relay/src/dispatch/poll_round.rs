//! Which engines a box asks whether they leave, while the store cannot be read: those that run something of its own at each
//! look, and where it asks for all boxes the others in turn. What it asks does not grow with the pool; in a large one each
//! box asks its own, so that what all ask together follows what runs.

use crate::watch::targets::TargetSlot;

/// Engines that one box asks at one look, at the most: each question is a channel, and all of them are some hundredths of a
/// core.
pub(crate) const POLLED_MAX: usize = 96;

/// Chooses whom to ask at each look.
#[derive(Debug, Default)]
pub(crate) struct PollRound {
    in_use: RoundRobin,
    others: RoundRobin,
}

impl PollRound {
    /// The engines to ask now, of those that are `ready`; `in_use` are those of them that run something of this box. Both in
    /// the order of their slots.
    pub fn next(&mut self, ready: &[TargetSlot], in_use: &[TargetSlot]) -> Vec<TargetSlot> {
        let mut asked = self.in_use.next(in_use, POLLED_MAX);
        let is_other = |slot: &TargetSlot| in_use.binary_search(slot).is_err();
        let others: Vec<TargetSlot> = ready.iter().copied().filter(is_other).collect();
        asked.extend(self.others.next(&others, POLLED_MAX - asked.len()));
        asked
    }
}

/// Goes round a list some at a time.
#[derive(Debug, Default)]
struct RoundRobin {
    last: Option<TargetSlot>,
}

impl RoundRobin {
    fn next(&mut self, all: &[TargetSlot], most: usize) -> Vec<TargetSlot> {
        let last = self.last;
        let from = all.partition_point(|slot| Some(*slot) <= last);
        let (before, after) = all.split_at(from);
        let round = after.iter().chain(before);
        let next: Vec<TargetSlot> = round.take(most).copied().collect();
        self.last = next.last().copied().or(last);
        next
    }
}

#[cfg(test)]
#[path = "poll_round_tests.rs"]
mod tests;
