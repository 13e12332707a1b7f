//! What a pool expects of the next seconds: memory that comes free, requests that come, callers that come back, and how
//! far such forecasts were off.

use crate::admission::arrivals::Arrivals;
use crate::admission::forecast_error::ForecastErrors;
use crate::admission::memory_forecast::{MemoryForecast, TokensByHorizon, held_until};
use crate::admission::pending_retries::PendingRetries;
use crate::demand::Demand;
use crate::placement::forecast::Forecast;

/// What a pool expects.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionForecast {
    pub memory: MemoryForecast,
    pub arrivals: Arrivals,
    pub errors: ForecastErrors,
    pub retries: PendingRetries,
}

/// The memory that a request needs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MemoryNeed {
    /// The most that it holds at any time, as expected.
    pub peak_tokens: f64,
    /// What it holds on the mean at each point in time after it began.
    pub mean: TokensByHorizon,
    /// What it holds on the mean from its coming until each point in time.
    pub held: TokensByHorizon,
}

impl MemoryNeed {
    /// The need of a request by the forecast of its memory.
    pub fn of(forecast: &Forecast) -> Self {
        Self {
            peak_tokens: forecast.peak_tokens(0.0),
            mean: std::array::from_fn(|at| forecast.mean_at(at)),
            held: held_until(forecast),
        }
    }
}

/// What goes before a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QueueAhead {
    /// Memory that it holds on the mean until each point in time.
    pub held: TokensByHorizon,
    /// Requests of the same rank.
    pub same_rank: usize,
}

impl QueueAhead {
    /// Adds a request.
    pub fn add(&mut self, demand: &Demand, need: &MemoryNeed, rank: u8) {
        self.hold(&need.held);
        self.same_rank += usize::from(demand.rank_in_use() == rank);
    }

    /// Adds memory that is held.
    pub fn hold(&mut self, held: &TokensByHorizon) {
        for (sum, held) in self.held.iter_mut().zip(held) {
            *sum += held;
        }
    }
}

impl AdmissionForecast {
    /// Time until there is memory for a request of a rank behind what goes before it and what is likely to come and is
    /// more urgent.
    pub fn memory_in_ms(
        &self,
        rank: u8,
        need: &MemoryNeed,
        before: &QueueAhead,
        now_ms: u64,
    ) -> f64 {
        let point_ms = |at| self.memory.horizon_ms(at);
        let coming = self.arrivals.taken_before(rank, point_ms, now_ms);
        let taken = |at: usize| before.held[at] + coming[at];
        self.memory.wait_ms(need, taken)
    }
}
