//! What a pool expects in the next seconds: released memory, arrivals, retries, and the recent
//! error of such forecasts.

use crate::admission::arrivals::Arrivals;
use crate::admission::forecast_error::ForecastErrors;
use crate::admission::memory_forecast::{MemoryForecast, TokensByHorizon, time_averaged};
use crate::admission::pending_retries::PendingRetries;
use crate::demand::Demand;
use crate::placement::forecast::Forecast;

/// The forecasts that admission uses.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionForecast {
    pub memory: MemoryForecast,
    pub arrivals: Arrivals,
    pub errors: ForecastErrors,
    pub retries: PendingRetries,
}

/// Expected memory use of a request, in tokens.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MemoryNeed {
    /// Peak of the mean over all horizons.
    pub peak_tokens: f64,
    /// Mean at each horizon after its start.
    pub mean_tokens: TokensByHorizon,
    /// Mean over the time from arrival to each horizon.
    pub time_averaged_tokens: TokensByHorizon,
}

impl MemoryNeed {
    /// Derives the need from a memory forecast.
    pub fn of(forecast: &Forecast) -> Self {
        Self {
            peak_tokens: forecast.peak_tokens(0.0),
            mean_tokens: std::array::from_fn(|at| forecast.mean_at(at)),
            time_averaged_tokens: time_averaged(forecast),
        }
    }
}

/// The work served before a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QueueAhead {
    /// Time-averaged memory use until each horizon.
    pub time_averaged_tokens: TokensByHorizon,
    /// Number of requests of the same rank.
    pub same_rank_requests: usize,
}

impl QueueAhead {
    /// Adds a request.
    pub fn add_request(&mut self, demand: &Demand, need: &MemoryNeed, rank: u8) {
        self.add_tokens(&need.time_averaged_tokens);
        self.same_rank_requests += usize::from(demand.clamped_rank() == rank);
    }

    /// Adds memory use.
    pub fn add_tokens(&mut self, tokens: &TokensByHorizon) {
        for (sum, tokens) in self.time_averaged_tokens.iter_mut().zip(tokens) {
            *sum += tokens;
        }
    }
}

impl AdmissionForecast {
    /// Returns the time until a request fits in memory, behind `queue_ahead` and the expected
    /// arrivals of more urgent ranks.
    pub fn memory_wait_ms(
        &self,
        rank: u8,
        need: &MemoryNeed,
        queue_ahead: &QueueAhead,
        now_ms: u64,
    ) -> f64 {
        let horizon_ms = |at| self.memory.horizon_ms(at);
        let arriving = self
            .arrivals
            .urgent_tokens_by_horizon(rank, horizon_ms, now_ms);
        let taken = |at: usize| queue_ahead.time_averaged_tokens[at] + arriving[at];
        self.memory.wait_ms(need, taken)
    }
}
