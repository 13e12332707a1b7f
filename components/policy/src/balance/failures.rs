//! Failures of targets: routes that a target fails more often than other targets do, and targets from which several boxes
//! got no answer.

use std::collections::VecDeque;

/// Weight of one answer in an exponentially weighted failure rate.
const ANSWER_WEIGHT: f64 = 0.1;
/// Answers after which a failure rate counts as known.
const MIN_ANSWERS: u32 = 6;
/// Weight, in answers, of the route's failure rate over all targets as a prior for one target: a single failure may be
/// chance.
const PRIOR_ANSWERS: f64 = 4.0;
/// Largest weight, in answers, of a target's own failure rate against the prior: older answers have decayed.
const MAX_ANSWERS: u32 = 10;
/// If a route fails this often over all targets, one more failure says nothing about the target.
const COMMON_FAILURE_RATE: f64 = 0.04;
/// Routes tracked for each target, the most recently used ones.
const MAX_ROUTES: usize = 8;
/// Two boxes that get no answer from a target within this time are not taken for a coincidence.
const CORROBORATION_MS: u64 = 2_000;
/// How long a target is deprioritized after two boxes got no answer from it.
const DEPRIORITIZED_MS: u64 = 1_000;
/// How long after a deprioritization one more unanswered call of any box is enough to deprioritize the target again. Also
/// how long a target stays suspected after an unanswered call of one box, so that others prefer targets that have room.
const SUSPICION_TTL_MS: u64 = 4_000;

/// Exponentially weighted failure rate of a route's answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureRate {
    rate: f64,
    answers: u32,
}

impl FailureRate {
    /// Records an answer.
    pub fn record(&mut self, failed: bool) {
        self.answers = self.answers.saturating_add(1);
        let weight = ANSWER_WEIGHT.max(1.0 / f64::from(self.answers));
        self.rate += weight * (f64::from(u8::from(failed)) - self.rate);
    }

    /// The failure rate; none before enough answers were recorded.
    pub fn rate(&self) -> Option<f64> {
        (self.answers >= MIN_ANSWERS).then_some(self.rate)
    }

    /// Whether failures are common on this route, so that one says nothing about the target that answered.
    pub fn is_common(&self) -> bool {
        self.rate().is_some_and(|rate| rate >= COMMON_FAILURE_RATE)
    }
}

/// Failure rates of one target by route key, the most recently used route first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteFailures(VecDeque<(u64, FailureRate)>);

impl RouteFailures {
    /// Records an answer to a call of a route.
    pub fn record(&mut self, route: u64, failed: bool) {
        let index = self.0.iter().position(|(key, _)| *key == route);
        let (_, mut rate) = index
            .and_then(|index| self.0.remove(index))
            .unwrap_or((route, FailureRate::default()));
        rate.record(failed);
        self.0.push_front((route, rate));
        self.0.truncate(MAX_ROUTES);
    }

    /// By how much the target's failure rate on a route exceeds `overall`, the route's failure rate over all targets.
    pub fn excess(&self, route: u64, overall: FailureRate) -> f64 {
        let Some((_, own)) = self.0.iter().find(|(key, _)| *key == route) else {
            return 0.0;
        };
        let overall = overall.rate().unwrap_or(0.0);
        let answers = f64::from(own.answers.min(MAX_ANSWERS));
        let rate = (own.rate * answers + overall * PRIOR_ANSWERS) / (answers + PRIOR_ANSWERS);
        (rate - overall).max(0.0)
    }

    /// The routes whose failure rate is known, by key, with that rate.
    pub fn rates(&self) -> impl Iterator<Item = (u64, f64)> {
        self.0
            .iter()
            .filter_map(|(key, rate)| Some((*key, rate.rate()?)))
    }
}

/// Unanswered calls to a target, by this box and others. With one box its own network link may be at fault; two boxes at
/// about the same time point to the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharedSuspicion {
    last_failure: Option<(u64, u64)>,
    deprioritized_until_ms: u64,
}

impl SharedSuspicion {
    /// Records that a call of box `source`, this one or another, got no answer.
    pub fn record_no_answer(&mut self, source: u64, now_ms: u64) {
        let is_corroborated = self
            .last_failure
            .is_some_and(|(box_id, at_ms)| box_id != source && now_ms < at_ms + CORROBORATION_MS);
        let is_repeated = self.deprioritized_until_ms > 0
            && now_ms < self.deprioritized_until_ms + SUSPICION_TTL_MS;
        if is_corroborated || is_repeated {
            self.deprioritized_until_ms = now_ms + DEPRIORITIZED_MS;
        }
        self.last_failure = Some((source, now_ms));
    }

    /// Drops all suspicion after an answer to this box, which outweighs earlier reports of others.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether any box got no answer lately, because of its own link or of the target.
    pub fn is_suspected(&self, now_ms: u64) -> bool {
        self.last_failure
            .is_some_and(|(_, at_ms)| now_ms < at_ms + SUSPICION_TTL_MS)
    }

    /// Whether calls should go to other targets where possible.
    pub fn is_deprioritized(&self, now_ms: u64) -> bool {
        now_ms < self.deprioritized_until_ms
    }
}

#[cfg(test)]
#[path = "failures_tests.rs"]
mod tests;
