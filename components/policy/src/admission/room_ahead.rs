//! Memory run forward: how much of it the engines will have free, by the lengths of what runs, and when a request will
//! find room behind those that go before it.

use crate::admission::outlook::Need;
use crate::placement::forecast::{Forecast, HORIZONS_TOKENS};
use crate::placement::ledger::{EngineLedger, EngineState, ForecastContext};

/// Points in time that are looked at.
pub(crate) const HORIZONS: usize = HORIZONS_TOKENS.len();
/// How long a look is used before it is taken anew.
const LOOK_LIFE_MS: u64 = 20;

/// Share of its memory below which a request that has ended nearly always by then needs no room.
const HELD_LEAST_SHARE: f64 = 0.05;

/// Memory in tokens at each point in time.
pub(crate) type Curve = [f64; HORIZONS];

/// The memory that the engines will have free.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RoomAhead {
    /// Free memory at each point, over all engines that take work.
    free_tokens: Curve,
    /// When each point is, from now.
    at_ms: Curve,
    looked_ms: Option<u64>,
}

impl RoomAhead {
    /// Whether it must be looked at anew.
    pub fn is_stale(&self, now_ms: u64) -> bool {
        self.looked_ms
            .is_none_or(|at_ms| now_ms >= at_ms + LOOK_LIFE_MS)
    }

    /// Looks at all engines. What is left at an engine counts only where a request of `usual_tokens` finds room.
    pub fn look<'a>(
        &mut self,
        engines: impl Iterator<Item = &'a mut EngineLedger>,
        view: &ForecastContext<'_>,
        usual_tokens: f64,
    ) {
        let pace = view.tokens_per_ms.max(f64::MIN_POSITIVE);
        self.free_tokens = Curve::default();
        self.at_ms = HORIZONS_TOKENS.map(|tokens| f64::from(tokens) / pace);
        self.looked_ms = Some(view.now_ms);
        for ledger in engines {
            let takes = ledger.state == EngineState::Live && ledger.within_rate_limits(view.now_ms);
            if !takes {
                continue;
            }
            let free = ledger.free_tokens_by_horizon(view);
            for (sum, free) in self.free_tokens.iter_mut().zip(free) {
                *sum += if free >= usual_tokens { free } else { 0.0 };
            }
        }
    }

    /// Notes that a request was placed since the last look.
    pub fn placed(&mut self, forecast: &Forecast) {
        for (at, free) in self.free_tokens.iter_mut().enumerate() {
            *free -= forecast.mean_at(at);
        }
    }

    /// Time from now until there is room for a need beside what others take, interpolated between points; that of the last
    /// point where there never is. From the points on at which the request has nearly always ended it needs nothing.
    pub fn free_in_ms(&self, need: &Need, taken: impl Fn(usize) -> f64) -> f64 {
        let least = need.peak_tokens * HELD_LEAST_SHARE;
        let mut before: Option<(f64, f64)> = None;
        for at in 0..HORIZONS {
            let spare_at = |later: usize| {
                let held = if later == at {
                    need.peak_tokens
                } else {
                    need.mean[later]
                };
                self.free_tokens[later] - taken(later) - held
            };
            let holds = |later: &usize| *later == at || need.mean[*later] >= least;
            let points = (at..HORIZONS).filter(holds);
            let spare = points.map(spare_at).fold(f64::INFINITY, f64::min);
            if spare < 0.0 {
                before = Some((spare, self.at_ms[at]));
                continue;
            }
            let Some((short, from_ms)) = before else {
                return 0.0;
            };
            let part = short / (short - spare);
            return from_ms + part * (self.at_ms[at] - from_ms);
        }
        self.at_ms[HORIZONS - 1]
    }

    /// When a point is, from now.
    pub fn point_ms(&self, at: usize) -> f64 {
        self.at_ms[at]
    }

    /// Free memory at a point.
    #[cfg(test)]
    pub fn free_at(&self, at: usize) -> f64 {
        self.free_tokens[at]
    }
}

/// Memory that requests hold on the mean from now until each point, where they begin evenly over that time.
pub(crate) fn held_until(forecast: &Forecast) -> Curve {
    let mut held = Curve::default();
    let (mut area, mut last) = (0.0, 0.0);
    for (at, horizon) in HORIZONS_TOKENS.iter().enumerate() {
        let horizon = f64::from(*horizon);
        let before = if at == 0 { 0 } else { at - 1 };
        let mean = (forecast.mean_at(before) + forecast.mean_at(at)) / 2.0;
        area += mean * (horizon - last);
        held[at] = area / horizon;
        last = horizon;
    }
    held
}

#[cfg(test)]
#[path = "room_ahead_tests.rs"]
mod tests;
