//! How long calls take: of a route at all targets, and of one target beside the others.

/// Weight of one answer in a route's usual time: some twenty answers, so that one long one says little.
const ROUTE_WEIGHT: f64 = 0.05;
/// Answers after which a route's usual time is known: fewer are within the spread of one kind of work.
const ROUTE_SEEN_MIN: u32 = 5;
/// The least share of the usual time that one answer counts as: less is one odd piece of work, not a pace.
const SHARE_MIN: f64 = 0.2;
/// The largest share of the usual time that one answer counts as.
const SHARE_MAX: f64 = 4.0;
/// Answers of the usual time that count as given before any is seen: a prior.
const PRIOR_ANSWERS: f64 = 4.0;
/// After so long without an answer half of what was seen of a target is forgotten.
const HALF_LIFE_MS: f64 = 6_000.0;

/// The usual time of a route's calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteLatency {
    mean_ms: f64,
    seen: u32,
}

impl RouteLatency {
    /// Notes how long a call took.
    pub fn record(&mut self, took_ms: f64) {
        self.seen = self.seen.saturating_add(1);
        let weight = ROUTE_WEIGHT.max(1.0 / f64::from(self.seen));
        self.mean_ms += weight * (took_ms - self.mean_ms);
    }

    /// The mean; none before enough is seen.
    pub fn baseline_ms(&self) -> Option<f64> {
        let is_known = self.seen >= ROUTE_SEEN_MIN && self.mean_ms > 0.0;
        is_known.then_some(self.mean_ms)
    }
}

/// How long one target takes beside what is usual: 2 is half as fast.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetLatency {
    sum: f64,
    answers: f64,
    at_ms: u64,
}

impl TargetLatency {
    fn kept(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        0.5_f64.powf(age_ms / HALF_LIFE_MS)
    }

    /// Notes how long a call took, or how long it has gone on without an answer.
    pub fn record(&mut self, took_ms: f64, baseline_ms: f64, now_ms: u64) {
        let kept = self.kept(now_ms);
        let share = (took_ms / baseline_ms.max(1.0)).clamp(SHARE_MIN, SHARE_MAX);
        self.sum = self.sum * kept + share;
        self.answers = self.answers * kept + 1.0;
        self.at_ms = now_ms;
    }

    /// Its time as a share of the usual one, near 1 where little was seen lately.
    pub fn ratio(&self, now_ms: u64) -> f64 {
        let kept = self.kept(now_ms);
        (self.sum * kept + PRIOR_ANSWERS) / (self.answers * kept + PRIOR_ANSWERS)
    }
}

#[cfg(test)]
#[path = "latency_tests.rs"]
mod tests;
