//! Disturbances of engines: for a part of a second everything that runs on an engine takes longer. They are described by
//! their share of the time, by how much they slow events down, and by how long one lasts.

use crate::pace::steps::DISTURBED_RATIO;

/// Factor on the weight of older observations with each new one: it halves after 34 of them.
const DECAY: f64 = 0.98;
/// Weight, in observations, of the pool's mean as a prior for an engine with few observations of its own.
const POOL_WEIGHT: f64 = 10.0;
/// Range of the duration of a disturbance: a shorter one hits no whole event, a longer one is the engine's own pace.
const DURATION_RANGE_MS: (f64, f64) = (20.0, 5_000.0);
/// Upper bound on the slowdown of events: anything beyond is a stall.
const MAX_SLOWDOWN: f64 = 8.0;

/// Gaps of one report relative to the predicted ones.
#[derive(Clone, Copy, Debug)]
pub struct GapRatios {
    /// Mean gap relative to the predicted one.
    pub mean: f64,
    /// Longest gap relative to the predicted one.
    pub longest: f64,
    /// Time that the report covers.
    pub span_ms: f64,
}

/// Sums over observed reports, with exponential decay of older ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct DisturbanceStats {
    observations: f64,
    span_ms: f64,
    excess_sum: f64,
    disturbed_reports: f64,
    slowdown_sum: f64,
}

/// Expected disturbances of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Disturbance {
    /// Share of the time in which the engine is disturbed.
    pub share: f64,
    /// How many times longer events take meanwhile.
    pub slowdown: f64,
    /// Mean duration of one disturbance.
    pub duration_ms: f64,
}

impl DisturbanceStats {
    /// Adds one report.
    pub fn observe(&mut self, ratios: &GapRatios) {
        let disturbed = f64::from(u8::from(ratios.longest > DISTURBED_RATIO));
        let longest = ratios.longest.min(MAX_SLOWDOWN);
        self.observations = self.observations * DECAY + 1.0;
        self.span_ms = self.span_ms * DECAY + ratios.span_ms;
        self.excess_sum =
            self.excess_sum * DECAY + disturbed * (ratios.mean.min(longest) - 1.0).max(0.0);
        self.disturbed_reports = self.disturbed_reports * DECAY + disturbed;
        self.slowdown_sum = self.slowdown_sum * DECAY + disturbed * longest;
    }

    /// Whether there was any report.
    pub fn is_known(&self) -> bool {
        self.observations > 0.0
    }

    /// Adds the pool's mean, with a weight of at most [`POOL_WEIGHT`] observations.
    fn with_prior(&self, pool: &Self) -> Self {
        let weight = POOL_WEIGHT / pool.observations.max(POOL_WEIGHT);
        let blend = |own: f64, pool: f64| own + weight * pool;
        Self {
            observations: blend(self.observations, pool.observations),
            span_ms: blend(self.span_ms, pool.span_ms),
            excess_sum: blend(self.excess_sum, pool.excess_sum),
            disturbed_reports: blend(self.disturbed_reports, pool.disturbed_reports),
            slowdown_sum: blend(self.slowdown_sum, pool.slowdown_sum),
        }
    }

    /// Expected disturbances of an engine, by its own reports and those of its pool; none if no report was disturbed.
    pub fn expected(&self, pool: &Self) -> Option<Disturbance> {
        let all = self.with_prior(pool);
        if all.disturbed_reports <= 0.0 || all.observations <= 0.0 {
            return None;
        }
        let slowdown = (all.slowdown_sum / all.disturbed_reports).max(DISTURBED_RATIO);
        let share = (all.excess_sum / all.observations / (slowdown - 1.0)).clamp(0.001, 0.9);
        // The probability that a report contains a disturbance follows from the share and from the duration of one.
        let disturbed_share = (all.disturbed_reports / all.observations).clamp(share, 0.99);
        let span_ms = all.span_ms / all.observations;
        let ln_undisturbed = ((1.0 - disturbed_share) / (1.0 - share)).min(0.999).ln();
        let duration_ms = span_ms * share / (-(1.0 - share) * ln_undisturbed);
        Some(Disturbance {
            share,
            slowdown,
            duration_ms: duration_ms.clamp(DURATION_RANGE_MS.0, DURATION_RANGE_MS.1),
        })
    }
}

#[cfg(test)]
#[path = "disturbance_tests.rs"]
mod tests;
