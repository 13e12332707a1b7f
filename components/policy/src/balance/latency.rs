//! Latency of calls: of a route over all targets, and of one target relative to that baseline.

/// Weight of one answer in a route's mean latency: some twenty answers, so that a single long one counts little.
const ROUTE_WEIGHT: f64 = 0.05;
/// Answers after which a route's mean latency counts as known: fewer are within the variation of one kind of work.
const ROUTE_MIN_ANSWERS: u32 = 5;
/// Lower bound on the latency ratio of one answer: less comes from an unusual request, not from a fast target.
const MIN_RATIO: f64 = 0.2;
/// Upper bound on the latency ratio of one answer.
const MAX_RATIO: f64 = 4.0;
/// Weight, in answers, of a ratio of 1 as a prior.
const PRIOR_ANSWERS: f64 = 4.0;
/// Time without an answer after which what was observed of a target counts half.
const HALF_LIFE_MS: f64 = 6_000.0;

/// Exponentially weighted mean latency of a route's calls over all targets: the baseline for each of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteLatency {
    mean_ms: f64,
    answers: u32,
}

impl RouteLatency {
    /// Records the latency of a call.
    pub fn record(&mut self, latency_ms: f64) {
        self.answers = self.answers.saturating_add(1);
        let weight = ROUTE_WEIGHT.max(1.0 / f64::from(self.answers));
        self.mean_ms += weight * (latency_ms - self.mean_ms);
    }

    /// The mean latency; none before enough answers were recorded.
    pub fn baseline_ms(&self) -> Option<f64> {
        let is_known = self.answers >= ROUTE_MIN_ANSWERS && self.mean_ms > 0.0;
        is_known.then_some(self.mean_ms)
    }
}

/// Latency of one target relative to the baseline, with exponential decay: 2 takes twice as long.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetLatency {
    ratio_sum: f64,
    answers: f64,
    updated_ms: u64,
}

impl TargetLatency {
    fn decay(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        0.5_f64.powf(age_ms / HALF_LIFE_MS)
    }

    /// Records the latency of a call, or how long a call has been without an answer so far.
    pub fn record(&mut self, latency_ms: f64, baseline_ms: f64, now_ms: u64) {
        let decay = self.decay(now_ms);
        let ratio = (latency_ms / baseline_ms.max(1.0)).clamp(MIN_RATIO, MAX_RATIO);
        self.ratio_sum = self.ratio_sum * decay + ratio;
        self.answers = self.answers * decay + 1.0;
        self.updated_ms = now_ms;
    }

    /// Latency relative to the baseline, close to 1 if there were few answers lately.
    pub fn ratio(&self, now_ms: u64) -> f64 {
        let decay = self.decay(now_ms);
        (self.ratio_sum * decay + PRIOR_ANSWERS) / (self.answers * decay + PRIOR_ANSWERS)
    }
}

#[cfg(test)]
#[path = "latency_tests.rs"]
mod tests;
