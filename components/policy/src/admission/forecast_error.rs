//! Recent error of first-token forecasts by rank: actual against forecast time, with exponential
//! decay. Forecasts are multiplied by the ratio, so that a pool that turns out slower than forecast
//! refuses requests earlier.

use crate::demand::{Demand, RANK_COUNT};
use prelude::PermitId;
use std::collections::HashMap;

/// Half-life of an error: a correction outlives its cause by a few seconds.
const HALF_LIFE_MS: f64 = 2_000.0;
/// Time assumed to be forecast without error (the prior). One first token alone corrects little,
/// and a correction fades while all requests are refused.
const PRIOR_MS: f64 = 5_000.0;
/// Bounds of the correction factor. Errors beyond them come from a fault of one engine, not from
/// the forecast.
const MIN_FACTOR: f64 = 0.7;
const MAX_FACTOR: f64 = 2.0;
/// Maximum number of pending forecasts; further ones are not recorded and correct nothing.
const MAX_PENDING: usize = 10_000;

/// Sums of one rank, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct RankError {
    forecast_ms: f64,
    actual_ms: f64,
    updated_ms: u64,
}

/// A forecast whose first token is pending.
#[derive(Clone, Copy, Debug)]
struct PendingForecast {
    rank: u8,
    arrived_ms: u64,
    forecast_ms: f64,
}

/// Forecast errors by rank.
#[derive(Clone, Debug, Default)]
pub(crate) struct ForecastErrors {
    ranks: [RankError; RANK_COUNT],
    pending: HashMap<PermitId, PendingForecast>,
}

impl ForecastErrors {
    /// Records the uncorrected forecast of an arriving request.
    pub fn record_forecast(&mut self, demand: &Demand, forecast_ms: f64, now_ms: u64) {
        if self.pending.len() >= MAX_PENDING {
            return;
        }
        let pending = PendingForecast {
            rank: demand.clamped_rank(),
            arrived_ms: now_ms,
            forecast_ms,
        };
        self.pending.insert(demand.permit, pending);
    }

    /// Records that a request's first token arrived.
    pub fn record_first_token(&mut self, permit: PermitId, now_ms: u64) {
        let Some(pending) = self.pending.remove(&permit) else {
            return;
        };
        let error = &mut self.ranks[usize::from(pending.rank)];
        let decay = decay_since(error.updated_ms, now_ms);
        error.forecast_ms = error.forecast_ms * decay + pending.forecast_ms;
        error.actual_ms =
            error.actual_ms * decay + now_ms.saturating_sub(pending.arrived_ms) as f64;
        error.updated_ms = now_ms;
    }

    /// Drops the forecast of a request that was refused or withdrawn.
    pub fn forget(&mut self, permit: PermitId) {
        self.pending.remove(&permit);
    }

    /// Returns the ranks that have had first tokens.
    pub fn known_ranks(&self) -> impl Iterator<Item = u8> + '_ {
        let ranks = self.ranks.iter().enumerate();
        let measured = ranks.filter(|(_, error)| error.updated_ms > 0);
        measured.map(|(rank, _)| rank as u8)
    }

    /// Returns the factor that corrects a rank's forecasts.
    pub fn correction_factor(&self, rank: u8, now_ms: u64) -> f64 {
        let error = &self.ranks[usize::from(rank)];
        let decay = decay_since(error.updated_ms, now_ms);
        let actual_ms = error.actual_ms * decay + PRIOR_MS;
        let forecast_ms = error.forecast_ms * decay + PRIOR_MS;
        (actual_ms / forecast_ms).clamp(MIN_FACTOR, MAX_FACTOR)
    }
}

fn decay_since(updated_ms: u64, now_ms: u64) -> f64 {
    (-(now_ms.saturating_sub(updated_ms) as f64) / HALF_LIFE_MS).exp2()
}

#[cfg(test)]
#[path = "forecast_error_tests.rs"]
mod tests;
