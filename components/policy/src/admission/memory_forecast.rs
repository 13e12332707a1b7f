//! Forecast of the engines' free memory from the expected lengths of running answers, and of when a
//! request will fit behind those ahead of it.

use crate::admission::forecast::MemoryNeed;
use crate::placement::forecast::{Forecast, HORIZONS_TOKENS};
use crate::placement::ledger::{EngineLedger, EngineState, ForecastContext};

/// Number of forecast horizons.
pub(crate) const HORIZON_COUNT: usize = HORIZONS_TOKENS.len();
/// Age at which the forecast is stale.
const REFRESH_INTERVAL_MS: u64 = 20;

/// Below this share of its peak memory a request has nearly always ended, and needs no memory at
/// that horizon.
const NEGLIGIBLE_SHARE: f64 = 0.05;

/// Memory in tokens at each horizon.
pub(crate) type TokensByHorizon = [f64; HORIZON_COUNT];

/// Free memory of the engines at each horizon.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MemoryForecast {
    /// Free memory over all engines that accept work.
    free_tokens: TokensByHorizon,
    /// Time from now to each horizon.
    horizons_ms: TokensByHorizon,
    refreshed_ms: Option<u64>,
}

impl MemoryForecast {
    pub fn is_stale(&self, now_ms: u64) -> bool {
        self.refreshed_ms
            .is_none_or(|refreshed_ms| now_ms >= refreshed_ms + REFRESH_INTERVAL_MS)
    }

    /// Recomputes the forecast from all engines. Free memory of an engine counts only if it holds a
    /// request of `typical_tokens`; smaller remainders fit no request.
    pub fn refresh<'a>(
        &mut self,
        engines: impl Iterator<Item = &'a mut EngineLedger>,
        view: &ForecastContext<'_>,
        typical_tokens: f64,
    ) {
        let tokens_per_ms = view.tokens_per_ms.max(f64::MIN_POSITIVE);
        self.free_tokens = TokensByHorizon::default();
        self.horizons_ms = HORIZONS_TOKENS.map(|tokens| f64::from(tokens) / tokens_per_ms);
        self.refreshed_ms = Some(view.now_ms);
        for ledger in engines {
            let accepts_work =
                ledger.state == EngineState::Live && ledger.within_rate_limits(view.now_ms);
            if !accepts_work {
                continue;
            }
            let free = ledger.free_tokens_by_horizon(view);
            for (sum, free) in self.free_tokens.iter_mut().zip(free) {
                *sum += if free >= typical_tokens { free } else { 0.0 };
            }
        }
    }

    /// Subtracts a request that was placed since the last refresh.
    pub fn record_placement(&mut self, forecast: &Forecast) {
        for (at, free) in self.free_tokens.iter_mut().enumerate() {
            *free -= forecast.mean_at(at);
        }
    }

    /// Returns the time until `need` fits beside the memory `taken` by others, interpolated between
    /// horizons, and the last horizon if it never fits. Horizons by which the request has nearly
    /// always ended are ignored.
    pub fn wait_ms(&self, need: &MemoryNeed, taken: impl Fn(usize) -> f64) -> f64 {
        let negligible_tokens = need.peak_tokens * NEGLIGIBLE_SHARE;
        let mut previous: Option<(f64, f64)> = None;
        for at in 0..HORIZON_COUNT {
            let spare_at = |later: usize| {
                let needed = if later == at {
                    need.peak_tokens
                } else {
                    need.mean_tokens[later]
                };
                self.free_tokens[later] - taken(later) - needed
            };
            let is_needed =
                |later: &usize| *later == at || need.mean_tokens[*later] >= negligible_tokens;
            let horizons = (at..HORIZON_COUNT).filter(is_needed);
            let spare = horizons.map(spare_at).fold(f64::INFINITY, f64::min);
            if spare < 0.0 {
                previous = Some((spare, self.horizons_ms[at]));
                continue;
            }
            let Some((shortfall, from_ms)) = previous else {
                return 0.0;
            };
            let fraction = shortfall / (shortfall - spare);
            return from_ms + fraction * (self.horizons_ms[at] - from_ms);
        }
        self.horizons_ms[HORIZON_COUNT - 1]
    }

    /// Returns the time from now to a horizon.
    pub fn horizon_ms(&self, at: usize) -> f64 {
        self.horizons_ms[at]
    }

    #[cfg(test)]
    pub fn free_tokens_at(&self, at: usize) -> f64 {
        self.free_tokens[at]
    }
}

/// Returns the mean memory use from now to each horizon, for requests that start evenly over that
/// time.
pub(crate) fn time_averaged(forecast: &Forecast) -> TokensByHorizon {
    let mut averaged = TokensByHorizon::default();
    let (mut area, mut last) = (0.0, 0.0);
    for (at, horizon) in HORIZONS_TOKENS.iter().enumerate() {
        let horizon = f64::from(*horizon);
        let previous = if at == 0 { 0 } else { at - 1 };
        let mean = (forecast.mean_at(previous) + forecast.mean_at(at)) / 2.0;
        area += mean * (horizon - last);
        averaged[at] = area / horizon;
        last = horizon;
    }
    averaged
}

#[cfg(test)]
#[path = "memory_forecast_tests.rs"]
mod tests;
