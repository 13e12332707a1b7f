//! Chooses which engines a box polls while the store cannot be read: in each round those with its own open requests, and
//! the others in turn if it polls on behalf of all boxes. The number of polls does not grow with the pool. In a large pool
//! each box polls the engines that it uses, so that the total follows the number of running requests.

use crate::watch::targets::TargetSlot;

/// Maximum number of engines that one box polls in one round. Each poll takes a channel; together they take a few hundredths
/// of a core.
pub(crate) const POLLED_MAX: usize = 96;

/// Chooses the engines of each round.
#[derive(Debug, Default)]
pub(crate) struct PollRound {
    in_use: RoundRobin,
    others: RoundRobin,
}

impl PollRound {
    /// Returns the engines to poll in this round, out of those that are `ready`. `in_use` are the ready engines with open
    /// requests of this box. Both must be sorted by slot.
    pub fn next(&mut self, ready: &[TargetSlot], in_use: &[TargetSlot]) -> Vec<TargetSlot> {
        let mut polled = self.in_use.next(in_use, POLLED_MAX);
        let is_other = |slot: &TargetSlot| in_use.binary_search(slot).is_err();
        let others: Vec<TargetSlot> = ready.iter().copied().filter(is_other).collect();
        polled.extend(self.others.next(&others, POLLED_MAX - polled.len()));
        polled
    }
}

/// Goes through a sorted list in rounds, and continues each time after the last slot returned.
#[derive(Debug, Default)]
struct RoundRobin {
    last: Option<TargetSlot>,
}

impl RoundRobin {
    fn next(&mut self, all: &[TargetSlot], max: usize) -> Vec<TargetSlot> {
        let last = self.last;
        let from = all.partition_point(|slot| Some(*slot) <= last);
        let (before, after) = all.split_at(from);
        let round = after.iter().chain(before);
        let next: Vec<TargetSlot> = round.take(max).copied().collect();
        self.last = next.last().copied().or(last);
        next
    }
}

#[cfg(test)]
#[path = "poll_round_tests.rs"]
mod tests;
