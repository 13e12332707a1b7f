//! An engine's own pace, which is constant over its lifetime. Disturbances only slow events down, so a low quantile of
//! recent observations is the engine's own pace. The slowness that it reports itself counts until enough of its events
//! were observed.

use std::collections::VecDeque;

/// Observations that are kept: each stream reports about one a second.
const WINDOW_LEN: usize = 12;
/// Quantile of the observations, from the fastest, that is taken as the engine's own pace: it does not change even if the
/// engine is disturbed for a third of the time.
const OWN_PACE_QUANTILE: f64 = 0.3;
/// Observations from which on the slowness that the engine reports itself is ignored.
const MIN_OBSERVATIONS: usize = 4;
/// Time without an event after which the deviation from the baseline is halved, so that the engine is tried again.
const HALF_LIFE_MS: f64 = 20_000.0;
/// Quantile of the known engines' paces, from the fastest, that is assumed for an engine of unknown pace. Such an engine is
/// empty; assumed at the baseline, it would get streams that it may be too slow for.
const UNKNOWN_PACE_QUANTILE: f64 = 0.75;
/// Paces within this range count as the baseline: the observations are no more precise.
const BASELINE_RANGE: std::ops::RangeInclusive<f64> = 0.87..=1.15;

/// The last observations and their low quantile, which is computed on insertion because every decision reads it.
#[derive(Clone, Debug, Default)]
struct RecentQuantile {
    values: VecDeque<f64>,
    quantile: Option<f64>,
}

impl RecentQuantile {
    fn push(&mut self, value: f64) {
        self.values.push_back(value);
        if self.values.len() > WINDOW_LEN {
            self.values.pop_front();
        }
        let mut sorted: Vec<f64> = self.values.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let index = ((sorted.len() - 1) as f64 * OWN_PACE_QUANTILE) as usize;
        self.quantile = Some(sorted[index]);
    }
}

/// Time per event of one engine relative to the baseline of its pool: 1 is the baseline, 2 takes twice as long.
#[derive(Clone, Debug, Default)]
pub struct RelativePace {
    observed: RecentQuantile,
    reported: RecentQuantile,
    updated_ms: u64,
}

/// Median pace of the engines of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PaceBaseline {
    observed: f64,
    reported: f64,
    /// Pace that is assumed for an engine while nothing is known of it.
    unknown: f64,
}

impl Default for PaceBaseline {
    fn default() -> Self {
        Self {
            observed: 1.0,
            reported: 1.0,
            unknown: 1.0,
        }
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(1.0)
}

impl PaceBaseline {
    /// The medians over all engines, separately for observed events and for the slowness that engines report.
    pub fn from_paces<'a>(paces: impl Iterator<Item = &'a RelativePace> + Clone) -> Self {
        let observed = paces.clone().filter_map(|pace| pace.observed.quantile);
        let reported = paces.clone().filter_map(|pace| pace.reported.quantile);
        let mut baseline = Self {
            observed: median(observed.collect()),
            reported: median(reported.collect()),
            unknown: 1.0,
        };
        let mut known: Vec<f64> = paces.filter_map(|pace| pace.undecayed(&baseline)).collect();
        known.sort_by(f64::total_cmp);
        let index = (known.len() as f64 * UNKNOWN_PACE_QUANTILE) as usize;
        baseline.unknown = known.get(index).copied().unwrap_or(1.0).max(1.0);
        baseline
    }
}

impl RelativePace {
    /// Records the time per event that was observed, relative to an engine at the baseline under the same load.
    pub fn record_observed(&mut self, ratio: f64, now_ms: u64) {
        self.observed.push(ratio);
        self.updated_ms = now_ms;
    }

    /// Records the slowness that the engine reports, 1 for its normal pace.
    pub fn record_reported(&mut self, ratio: f64, now_ms: u64) {
        self.reported.push(ratio);
        self.updated_ms = now_ms;
    }

    /// The pace without decay; none if nothing is known.
    fn undecayed(&self, baseline: &PaceBaseline) -> Option<f64> {
        let observed = self
            .observed
            .quantile
            .map(|observed| observed / baseline.observed);
        let reported = self
            .reported
            .quantile
            .map(|reported| reported / baseline.reported);
        match self.observed.values.len() >= MIN_OBSERVATIONS {
            true => observed,
            // The smaller of the two: a disturbance only raises either.
            false => match (observed, reported) {
                (Some(observed), Some(reported)) => Some(observed.min(reported)),
                (observed, reported) => observed.or(reported),
            },
        }
    }

    /// The pace relative to the baseline, which it approaches with the time since the last record.
    pub fn ratio(&self, baseline: &PaceBaseline, now_ms: u64) -> f64 {
        let ratio = match self.undecayed(baseline) {
            Some(undecayed) => {
                let silent_ms = now_ms.saturating_sub(self.updated_ms) as f64;
                let decay = (-silent_ms / HALF_LIFE_MS * std::f64::consts::LN_2).exp();
                1.0 + (undecayed - 1.0) * decay
            }
            None => baseline.unknown,
        };
        match BASELINE_RANGE.contains(&ratio) {
            true => 1.0,
            false => ratio,
        }
    }
}

#[cfg(test)]
#[path = "relative_pace_tests.rs"]
mod tests;
