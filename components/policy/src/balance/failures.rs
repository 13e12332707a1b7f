//! What a target fails: one route more than other targets do, or, as other boxes say, everything.

use std::collections::VecDeque;

/// Weight of one answer in a share of failures.
const WEIGHT: f64 = 0.1;
/// Answers after which a share of failures is known.
const SEEN_MIN: u32 = 6;
/// Answers that count as given with the share of failures of all targets, before any is seen: a prior, as one failure is
/// chance.
const PRIOR_ANSWERS: f64 = 4.0;
/// Answers that a share holds: what is older has faded.
const HELD_ANSWERS: u32 = 10;
/// A route that fails this often everywhere says nothing of a target by one more failure.
const COMMON_SHARE: f64 = 0.04;
/// Routes that are kept apart at one target: the latest.
const ROUTES_MAX: usize = 8;
/// Two boxes that get no answer from a target within this time are not taken for chance.
const TOGETHER_MS: u64 = 2_000;
/// How long a target is spared after two boxes got no answer.
const SPARED_MS: u64 = 1_000;
/// How long after that one more failure, of any box, is enough to spare it again; and how long one box's word has others
/// rather use other targets that have room.
const REMEMBERED_MS: u64 = 4_000;

/// Share of failures among the answers of a route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureRate {
    share: f64,
    seen: u32,
}

impl FailureRate {
    /// Notes an answer.
    pub fn record(&mut self, failed: bool) {
        self.seen = self.seen.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.seen));
        self.share += weight * (f64::from(u8::from(failed)) - self.share);
    }

    /// The share; none before enough is seen.
    pub fn rate(&self) -> Option<f64> {
        (self.seen >= SEEN_MIN).then_some(self.share)
    }

    /// Whether a failure is nothing new for this route, so that it is no sign against the target that answered.
    pub fn is_common(&self) -> bool {
        self.rate().is_some_and(|share| share >= COMMON_SHARE)
    }
}

/// Failures of one target, by route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteFailures(VecDeque<(u64, FailureRate)>);

impl RouteFailures {
    /// Notes an answer to a call of a route.
    pub fn record(&mut self, route: u64, failed: bool) {
        let at = self.0.iter().position(|(key, _)| *key == route);
        let (_, mut share) = at
            .and_then(|at| self.0.remove(at))
            .unwrap_or((route, FailureRate::default()));
        share.record(failed);
        self.0.push_front((route, share));
        self.0.truncate(ROUTES_MAX);
    }

    /// By how much more often the target fails a route than all targets do.
    pub fn excess(&self, route: u64, usual: FailureRate) -> f64 {
        let Some((_, here)) = self.0.iter().find(|(key, _)| *key == route) else {
            return 0.0;
        };
        let usual = usual.rate().unwrap_or(0.0);
        let seen = f64::from(here.seen.min(HELD_ANSWERS));
        let share = (here.share * seen + usual * PRIOR_ANSWERS) / (seen + PRIOR_ANSWERS);
        (share - usual).max(0.0)
    }

    /// Each route with its share of failures.
    pub fn rates(&self) -> impl Iterator<Item = (u64, f64)> {
        self.0
            .iter()
            .filter_map(|(key, share)| Some((*key, share.rate()?)))
    }
}

/// That boxes got no answer from a target. One box may have a bad link of its own; two have not, by chance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharedSuspicion {
    last: Option<(u64, u64)>,
    spared_until_ms: u64,
}

impl SharedSuspicion {
    /// Notes that a box, this one or another, got no answer.
    pub fn record_no_answer(&mut self, source: u64, now_ms: u64) {
        let by_another = self
            .last
            .is_some_and(|(box_, at_ms)| box_ != source && now_ms < at_ms + TOGETHER_MS);
        let again = self.spared_until_ms > 0 && now_ms < self.spared_until_ms + REMEMBERED_MS;
        if by_another || again {
            self.spared_until_ms = now_ms + SPARED_MS;
        }
        self.last = Some((source, now_ms));
    }

    /// Notes an answer that this box got: it outweighs what others said before.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether a box got no answer lately: that box's link may be bad, or the target.
    pub fn is_suspected(&self, now_ms: u64) -> bool {
        self.last
            .is_some_and(|(_, at_ms)| now_ms < at_ms + REMEMBERED_MS)
    }

    /// Whether calls go elsewhere, where they can.
    pub fn is_deprioritized(&self, now_ms: u64) -> bool {
        now_ms < self.spared_until_ms
    }
}

#[cfg(test)]
#[path = "failures_tests.rs"]
mod tests;
