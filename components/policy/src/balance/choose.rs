//! Selection of the target for a call.

/// Cost added to a deprioritized target, in multiples of the baseline latency: more than latency or queueing ever adds.
const DEPRIORITIZED_COST: f64 = 8.0;
/// Cost added to a suspected target, from which one box got no answer. Other boxes prefer targets that are as near and
/// have room, so that a hung target costs one call in all and not one call for each box.
const SUSPECTED_COST: f64 = 0.25;
/// Each cost is raised by a random share of up to this. Boxes with equal statistics would otherwise all choose the same
/// target.
const NOISE: f64 = 0.15;

/// A target that a call may go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Expected latency relative to the baseline, without queueing.
    pub latency_ratio: f64,
    /// Slots in use, as a share of all its slots.
    pub fullness: f64,
    /// Its failure rate in excess of the route's failure rate over all targets.
    pub excess_failure_rate: f64,
    /// Added cost of a target that is cold or in another data centre.
    pub penalty: f64,
    /// Whether several boxes got no answer from it.
    pub deprioritized: bool,
    /// Whether any box, this one or another, got no answer from it lately.
    pub suspected: bool,
}

impl Candidate {
    /// Whether this target is at least as near as `other`, and neither suspected nor full.
    fn replaces(&self, other: &Self) -> bool {
        !self.suspected && self.fullness < 1.0 && self.penalty <= other.penalty
    }

    /// Expected latency of the call there, in multiples of the baseline, plus all penalties.
    pub fn cost(&self) -> f64 {
        let deprioritized = f64::from(u8::from(self.deprioritized)) * DEPRIORITIZED_COST;
        let suspected = f64::from(u8::from(self.suspected)) * SUSPECTED_COST;
        let penalties = self.excess_failure_rate + self.penalty + deprioritized + suspected;
        self.latency_ratio * (1.0 + self.fullness) + penalties
    }
}

/// How a target is selected among candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// The least loaded, by this box's own requests and the target's last load report. Latency and suspicion don't count.
    LeastLoaded,
    /// The cheaper of two that are picked at random (power of two choices).
    TwoChoices,
    /// The cheapest of all candidates, with random noise on their costs.
    LowestCost,
}

/// Index of the selected target in `candidates`; none if there are no candidates. `random` returns uniform random numbers
/// between 0 and 1.
pub fn choose_target(
    policy: SelectionPolicy,
    candidates: &[Candidate],
    mut random: impl FnMut() -> f64,
) -> Option<usize> {
    // The report of a single box never moves a call to a more distant target: noise could exceed the difference in cost.
    let candidates: Vec<Candidate> = candidates
        .iter()
        .map(|candidate| Candidate {
            suspected: candidate.suspected
                && candidates.iter().any(|other| other.replaces(candidate)),
            ..*candidate
        })
        .collect();
    let count = candidates.len();
    match policy {
        SelectionPolicy::LeastLoaded => {
            let cost = |candidate: &Candidate| {
                candidate.fullness + candidate.excess_failure_rate + candidate.penalty
            };
            cheapest(candidates.iter().map(cost).enumerate())
        }
        SelectionPolicy::TwoChoices if count > 1 => {
            let first = random_index(count, random());
            let second = (first + 1 + random_index(count - 1, random())) % count;
            let pair = [first, second].map(|index| (index, candidates[index].cost()));
            cheapest(pair.into_iter())
        }
        SelectionPolicy::TwoChoices | SelectionPolicy::LowestCost => {
            let cost = |candidate: &Candidate| candidate.cost() * (1.0 + NOISE * random());
            cheapest(candidates.iter().map(cost).enumerate())
        }
    }
}

fn cheapest(costs: impl Iterator<Item = (usize, f64)>) -> Option<usize> {
    costs
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(index, _)| index)
}

fn random_index(count: usize, random: f64) -> usize {
    ((count as f64 * random) as usize).min(count - 1)
}

#[cfg(test)]
#[path = "choose_tests.rs"]
mod tests;
