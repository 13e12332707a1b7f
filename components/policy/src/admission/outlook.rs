//! What a pool expects of the next seconds: memory that comes free, requests that come, callers that come back, and how
//! far such forecasts were off.

use crate::admission::coming::Coming;
use crate::admission::forecast_error::ForecastErrors;
use crate::admission::returning::Returning;
use crate::admission::room_ahead::{Curve, RoomAhead, held_until};
use crate::demand::Demand;
use crate::placement::forecast::Forecast;

/// What a pool expects.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outlook {
    pub room: RoomAhead,
    pub coming: Coming,
    pub errors: ForecastErrors,
    pub returning: Returning,
}

/// The memory that a request needs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Need {
    /// The most that it holds at any time, as expected.
    pub peak_tokens: f64,
    /// What it holds on the mean at each point in time after it began.
    pub mean: Curve,
    /// What it holds on the mean from its coming until each point in time.
    pub held: Curve,
}

impl Need {
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
pub(crate) struct Before {
    /// Memory that it holds on the mean until each point in time.
    pub held: Curve,
    /// Requests of the same rank.
    pub same_rank: usize,
}

impl Before {
    /// Adds a request.
    pub fn add(&mut self, demand: &Demand, need: &Need, rank: u8) {
        self.hold(&need.held);
        self.same_rank += usize::from(demand.clamped_rank() == rank);
    }

    /// Adds memory that is held.
    pub fn hold(&mut self, held: &Curve) {
        for (sum, held) in self.held.iter_mut().zip(held) {
            *sum += held;
        }
    }
}

impl Outlook {
    /// Time until there is memory for a request of a rank behind what goes before it and what is likely to come and is
    /// more urgent.
    pub fn memory_in_ms(&self, rank: u8, need: &Need, before: &Before, now_ms: u64) -> f64 {
        let point_ms = |at| self.room.point_ms(at);
        let coming = self.coming.taken_before(rank, point_ms, now_ms);
        let taken = |at: usize| before.held[at] + coming[at];
        self.room.free_in_ms(need, taken)
    }
}
