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
    pub time_share: f64,
    /// How full it is, as a share of its slots.
    pub fullness: f64,
    /// How often it fails, beyond what the route fails everywhere.
    pub failed_share: f64,
    /// What speaks against it otherwise: it is far, or cold.
    pub extra: f64,
    /// Whether other boxes say that it does not answer.
    pub spared: bool,
    /// Whether one box, this one or another, got no answer of it lately.
    pub doubted: bool,
}

impl Candidate {
    /// The call's expected time there, in usual times, with what speaks against the target added.
    pub fn cost(&self) -> f64 {
        let spared = f64::from(u8::from(self.spared)) * SPARED_COST;
        let doubted = f64::from(u8::from(self.doubted)) * DOUBTED_COST;
        let against = self.failed_share + self.extra + spared + doubted;
        self.time_share * (1.0 + self.fullness) + against
    }
}

/// A way to choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choosing {
    /// The emptiest by this box's own requests and the target's last word: nothing else counts.
    Emptiest,
    /// The better of two that are drawn.
    TwoDrawn,
    /// The best of all that are given, with random noise on the costs.
    Best,
}

/// The place of the chosen one among `candidates`. `draw` gives uniform random numbers between 0 and 1.
pub fn choose_target(
    way: Choosing,
    candidates: &[Candidate],
    mut draw: impl FnMut() -> f64,
) -> Option<usize> {
    let count = candidates.len();
    match way {
        Choosing::Emptiest => {
            let cost = |candidate: &Candidate| {
                candidate.fullness + candidate.failed_share + candidate.extra
            };
            best(candidates.iter().map(cost).enumerate())
        }
        Choosing::TwoDrawn if count > 1 => {
            let first = place(count, draw());
            let second = (first + 1 + place(count - 1, draw())) % count;
            let drawn = [first, second].map(|at| (at, candidates[at].cost()));
            best(drawn.into_iter())
        }
        Choosing::TwoDrawn | Choosing::Best => {
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
