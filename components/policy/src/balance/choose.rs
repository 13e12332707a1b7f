//! Which target a call goes to.

/// What is added to the cost of a spared target, in usual times: more than any pace or queue adds.
const SPARED_COST: f64 = 8.0;
/// What is added to the cost of a target of which one box got no answer: calls go to others that are as near and have room,
/// so that those that hang are found by one call and not by one for each box.
const DOUBTED_COST: f64 = 0.25;
/// Each cost is raised by a random share of up to this: boxes that know the same would otherwise all go to the same target.
const NOISE: f64 = 0.15;

/// A target that a call may go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Its call's time as a share of the usual one, without a queue.
    pub latency_ratio: f64,
    /// How full it is, as a share of its slots.
    pub fullness: f64,
    /// How often it fails, beyond what the route fails everywhere.
    pub excess_failure_rate: f64,
    /// What speaks against it otherwise: it is far, or cold.
    pub penalty: f64,
    /// Whether other boxes say that it does not answer.
    pub deprioritized: bool,
    /// Whether one box, this one or another, got no answer of it lately.
    pub suspected: bool,
}

impl Candidate {
    /// The call's expected time there, in usual times, with what speaks against the target added.
    pub fn cost(&self) -> f64 {
        let deprioritized = f64::from(u8::from(self.deprioritized)) * SPARED_COST;
        let suspected = f64::from(u8::from(self.suspected)) * DOUBTED_COST;
        let against = self.excess_failure_rate + self.penalty + deprioritized + suspected;
        self.latency_ratio * (1.0 + self.fullness) + against
    }
}

/// A way to choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// The emptiest by this box's own requests and the target's last word: nothing else counts.
    LeastLoaded,
    /// The better of two that are drawn.
    TwoChoices,
    /// The best of all that are given, with random noise on the costs.
    LowestCost,
}

/// The place of the chosen one among `candidates`. `draw` gives uniform random numbers between 0 and 1.
pub fn choose_target(
    way: SelectionPolicy,
    candidates: &[Candidate],
    mut draw: impl FnMut() -> f64,
) -> Option<usize> {
    let count = candidates.len();
    match way {
        SelectionPolicy::LeastLoaded => {
            let cost = |candidate: &Candidate| {
                candidate.fullness + candidate.excess_failure_rate + candidate.penalty
            };
            best(candidates.iter().map(cost).enumerate())
        }
        SelectionPolicy::TwoChoices if count > 1 => {
            let first = place(count, draw());
            let second = (first + 1 + place(count - 1, draw())) % count;
            let drawn = [first, second].map(|at| (at, candidates[at].cost()));
            best(drawn.into_iter())
        }
        SelectionPolicy::TwoChoices | SelectionPolicy::LowestCost => {
            let cost = |candidate: &Candidate| candidate.cost() * (1.0 + NOISE * draw());
            best(candidates.iter().map(cost).enumerate())
        }
    }
}

fn best(costs: impl Iterator<Item = (usize, f64)>) -> Option<usize> {
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(at, _)| at)
}

fn place(count: usize, draw: f64) -> usize {
    ((count as f64 * draw) as usize).min(count - 1)
}

#[cfg(test)]
#[path = "choose_tests.rs"]
mod tests;
