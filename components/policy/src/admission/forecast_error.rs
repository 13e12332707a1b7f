//! How far forecasts of first tokens were off, by rank: what they took against what was forecast, fading. A forecast is
//! corrected by it, so that a pool that serves later than it seems refuses sooner.

use crate::demand::{Demand, RANK_COUNT};
use prelude::PermitId;
use std::collections::HashMap;

/// Time after which an error counts half: a correction outlives the trouble that caused it by a few seconds.
const HALF_LIFE_MS: f64 = 2_000.0;
/// Time that counts as forecast without error from the start, a prior: one answer alone corrects little, and a correction
/// fades where all is refused.
const KNOWN_MS: f64 = 5_000.0;
/// Bounds of a correction: beyond them a fault of one engine, not of the forecast, is the cause.
const LEAST: f64 = 0.7;
const MOST: f64 = 2.0;
/// Forecasts that are kept at a time; one that is lost corrects nothing.
const KEPT_MOST: usize = 10_000;

/// The sums of one rank, in which older first tokens count less.
#[derive(Clone, Copy, Debug, Default)]
struct RankError {
    forecast_ms: f64,
    taken_ms: f64,
    seen_ms: u64,
}

/// A forecast whose first token has not come.
#[derive(Clone, Copy, Debug)]
struct Open {
    rank: u8,
    at_ms: u64,
    forecast_ms: f64,
}

/// How far forecasts were off.
#[derive(Clone, Debug, Default)]
pub(crate) struct ForecastErrors {
    ranks: [RankError; RANK_COUNT],
    open: HashMap<PermitId, Open>,
}

impl ForecastErrors {
    /// Notes what was forecast, uncorrected, when a request came.
    pub fn forecast(&mut self, demand: &Demand, forecast_ms: f64, now_ms: u64) {
        if self.open.len() >= KEPT_MOST {
            return;
        }
        let open = Open {
            rank: demand.clamped_rank(),
            at_ms: now_ms,
            forecast_ms,
        };
        self.open.insert(demand.permit, open);
    }

    /// Notes that its first token came.
    pub fn first_token(&mut self, permit: PermitId, now_ms: u64) {
        let Some(open) = self.open.remove(&permit) else {
            return;
        };
        let error = &mut self.ranks[usize::from(open.rank)];
        let left = fade(error.seen_ms, now_ms);
        error.forecast_ms = error.forecast_ms * left + open.forecast_ms;
        error.taken_ms = error.taken_ms * left + now_ms.saturating_sub(open.at_ms) as f64;
        error.seen_ms = now_ms;
    }

    /// Forgets a request that was refused, or that left.
    pub fn left(&mut self, permit: PermitId) {
        self.open.remove(&permit);
    }

    /// The ranks of which first tokens came.
    pub fn known(&self) -> impl Iterator<Item = u8> + '_ {
        let ranks = self.ranks.iter().enumerate();
        let came = ranks.filter(|(_, error)| error.seen_ms > 0);
        came.map(|(rank, _)| rank as u8)
    }

    /// What a forecast for a rank is multiplied by.
    pub fn correction(&self, rank: u8, now_ms: u64) -> f64 {
        let error = &self.ranks[usize::from(rank)];
        let left = fade(error.seen_ms, now_ms);
        let taken_ms = error.taken_ms * left + KNOWN_MS;
        let forecast_ms = error.forecast_ms * left + KNOWN_MS;
        (taken_ms / forecast_ms).clamp(LEAST, MOST)
    }
}

fn fade(seen_ms: u64, now_ms: u64) -> f64 {
    (-(now_ms.saturating_sub(seen_ms) as f64) / HALF_LIFE_MS).exp2()
}

#[cfg(test)]
#[path = "forecast_error_tests.rs"]
mod tests;
