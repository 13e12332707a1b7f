//! Who is let wait, by a forecast of their first tokens: what would come too late is refused at once, so that its caller
//! can come back elsewhere or later, and what is let wait is nearly always served in time.
//!
//! Two resources bind, and both are run forward for what goes before a request in the order in which it will be served:
//! the engines' reading of prompts, and their memory, which comes free as what runs ends, by the lengths of such answers.
//! The later of the two is the forecast. It is corrected by how far such forecasts were off lately. Where memory is not run
//! forward (`memory_ahead` is off, as by default), the pace at which requests of the same rank were granted lately stands
//! for it, and nothing is corrected.
//!
//! Load patterns that this answers: a burst while a third of the engines is evacuated, prompts that are suddenly twice
//! as long, a flood of requests that are less urgent than the others.

use crate::admission::forward::{ForwardRun, Reader};
use crate::admission::outlook::{Before, Need};
use crate::admission::returning::Returning;
use crate::demand::{Demand, Verdict};
use crate::placement::ledger::{EngineLedger, EngineState, ForecastContext};
use crate::pool::Pool;
use prelude::{PermitId, Refusal, RefusalReason};

/// Share of the time until its first token is due within which a request may be refused though it was let wait: later its
/// caller would have waited for nothing.
const EARLY_SHARE: f64 = 0.2;
/// Share of that time for which a request waits at the least, though its prompt takes longer to read than there is
/// time: an engine may be faster than it seems.
const WAIT_MIN_SHARE: f64 = 0.1;
/// A prompt whose first token comes within so many times what it takes to be read is not refused: nothing is before it.
const ALONE_TIMES: f64 = 1.1;
/// Share of the reading that more urgent requests are taken to use at the most: beyond it they wait for each other.
const URGENT_SHARE_MOST: f64 = 0.8;
/// Share of its goal within which a caller that comes back is to be served, where memory is run forward: a second refusal
/// is mostly final.
const BACK_SHARE: f64 = 0.5;
/// Least time after which a refused caller is told to come back.
const RETRY_AFTER_MIN_MS: u64 = 100;

/// Time from now until the first token of a request would come.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstToken {
    /// By the forecast.
    pub forecast_ms: f64,
    /// The same, corrected by how far forecasts were off.
    pub corrected_ms: f64,
}

impl Pool {
    /// Looks at the memory that will come free, where that was not done just now.
    pub(crate) fn look_ahead(&mut self, now_ms: u64) {
        if !self.settings.memory_ahead || !self.admission_forecast.room.is_stale(now_ms) {
            return;
        }
        let usual_tokens = self.admission_forecast.coming.usual_tokens(now_ms);
        let view = ForecastContext {
            streams: &self.streams,
            lengths: &self.lengths,
            settings: &self.settings,
            tokens_per_ms: self.tokens_per_ms,
            margin: self.margin_in_use(),
            now_ms,
        };
        self.admission_forecast
            .room
            .look(self.engines.iter_mut(), &view, usual_tokens);
    }

    /// Refusal of a request whose first token would come too late, with the time after which to come back. Otherwise its
    /// forecast is noted.
    pub(crate) fn too_late(
        &mut self,
        demand: &Demand,
        need: &Need,
        now_ms: u64,
    ) -> Option<Refusal> {
        self.look_ahead(now_ms);
        let mut run = self.run_forward(now_ms);
        let begins_by_ms = self.waits_until_ms(demand);
        let before = self
            .queue
            .before(demand, begins_by_ms, &self.tree, &mut run);
        let first = self.first_token(&run, demand, need, &before, now_ms)?;
        if self.is_over(demand, first, now_ms) {
            let mut returning = std::mem::take(&mut self.admission_forecast.returning);
            let refusal = self.crowded(run, demand, need, before, &mut returning);
            self.admission_forecast.returning = returning;
            return Some(refusal);
        }
        let errors = &mut self.admission_forecast.errors;
        errors.forecast(demand, first.forecast_ms, now_ms);
        None
    }

    /// Refuses what was let wait a moment ago and will be too late by what is known now.
    pub(crate) fn refuse_early(&mut self, now_ms: u64) -> Vec<(PermitId, Verdict)> {
        if self.queue.len() == 0 {
            return Vec::new();
        }
        self.look_ahead(now_ms);
        let mut returning = std::mem::take(&mut self.admission_forecast.returning);
        let mut run = self.run_forward(now_ms);
        let mut before = Before::default();
        let mut rank = 0;
        let mut verdicts = Vec::new();
        for (demand, need) in self.queue.in_order(&self.tree) {
            if demand.clamped_rank() != rank {
                rank = demand.clamped_rank();
                before.same_rank = 0;
            }
            let Some(first) = self.first_token(&run, demand, need, &before, now_ms) else {
                break;
            };
            let waited_ms = now_ms.saturating_sub(demand.arrived_ms) as f64;
            let is_early = waited_ms <= whole_ms(demand) * EARLY_SHARE;
            if is_early && self.is_over(demand, first, now_ms) {
                let refusal = self.crowded(run.clone(), demand, need, before, &mut returning);
                verdicts.push((demand.permit, Verdict::Refused(refusal)));
                continue;
            }
            run.read(demand.prompt_tokens);
            before.add(demand, need, rank);
        }
        self.admission_forecast.returning = returning;
        for (permit, _) in &verdicts {
            self.admission_forecast.errors.left(*permit);
            if let Some(demand) = self.queue.remove(*permit) {
                self.usage.refused(&demand);
                self.tree.leaves(&demand.share);
            }
        }
        verdicts
    }

    /// A refusal with the time after which a request would be served, behind those who were told to come back before it.
    fn crowded(
        &self,
        mut run: ForwardRun,
        demand: &Demand,
        need: &Need,
        mut before: Before,
        returning: &mut Returning,
    ) -> Refusal {
        let now_ms = self.now_ms;
        let floods = self.tree.floods(&demand.share);
        let turn = (floods, demand.clamped_rank());
        let ahead = self.settings.memory_ahead;
        if ahead {
            returning.add_to(&mut before, &mut run, turn, now_ms);
        }
        let first = self.first_token(&run, demand, need, &before, now_ms);
        let first_ms = first.map_or(0.0, |first| first.corrected_ms);
        // Its goal begins anew when it comes back.
        let share = if ahead { BACK_SHARE } else { 1.0 };
        let back_ms = (first_ms - whole_ms(demand) * share).max(0.0) as u64;
        let back_ms = back_ms.max(RETRY_AFTER_MIN_MS);
        returning.told(demand, need, floods, now_ms.saturating_add(back_ms));
        Refusal {
            reason: RefusalReason::Crowded,
            retry_after_ms: Some(back_ms),
        }
    }

    /// Until when a request waits: beyond that its prompt could not be read in time.
    pub(crate) fn waits_until_ms(&self, demand: &Demand) -> u64 {
        let latest_ms = demand
            .deadline_ms
            .saturating_sub(self.read_ms(demand) as u64);
        let least_ms = (whole_ms(demand) * WAIT_MIN_SHARE) as u64;
        latest_ms.max(demand.arrived_ms.saturating_add(least_ms))
    }

    /// Whether a first token comes too late, and not only because its own prompt is long.
    fn is_over(&self, demand: &Demand, first: FirstToken, now_ms: u64) -> bool {
        let left_ms = demand.deadline_ms.saturating_sub(now_ms) as f64;
        let is_alone = first.forecast_ms <= self.read_ms(demand) * ALONE_TIMES;
        first.corrected_ms > left_ms && !is_alone
    }

    /// When the first token of a request comes that goes next, behind what goes before it.
    fn first_token(
        &self,
        run: &ForwardRun,
        demand: &Demand,
        need: &Need,
        before: &Before,
        now_ms: u64,
    ) -> Option<FirstToken> {
        let rank = demand.clamped_rank();
        let read_ms = self.read_ms(demand);
        let alone_ms = run.first_token_ms(demand.prompt_tokens)?;
        let held_up = self.held_up(run, rank, now_ms);
        let by_reading_ms = read_ms + (alone_ms - read_ms).max(0.0) * held_up;
        let granted_ms = match self.settings.memory_ahead {
            true => self
                .admission_forecast
                .memory_in_ms(rank, need, before, now_ms),
            false => self.by_pace_ms(rank, before.same_rank),
        };
        let forecast_ms = by_reading_ms.max(granted_ms + read_ms);
        let corrects = self.settings.corrects_forecasts || self.settings.memory_ahead;
        let correction = match corrects {
            true => self.admission_forecast.errors.correction(rank, now_ms),
            false => 1.0,
        };
        Some(FirstToken {
            forecast_ms,
            corrected_ms: forecast_ms * correction,
        })
    }

    /// By how much forecasts of first tokens are corrected, for the ranks of which some came lately: 1 where they were right.
    pub fn forecast_corrections(&self) -> impl Iterator<Item = (u8, f64)> + '_ {
        let errors = &self.admission_forecast.errors;
        errors
            .known()
            .map(|rank| (rank, errors.correction(rank, self.now_ms)))
    }

    /// How many times longer a request waits to be read because more urgent ones come meanwhile.
    fn held_up(&self, run: &ForwardRun, rank: u8, now_ms: u64) -> f64 {
        if !self.counts_what_comes() {
            return 1.0;
        }
        let coming = &self.admission_forecast.coming;
        let urgent = coming.prompt_tokens_before(rank, now_ms) / run.tokens_per_ms();
        (1.0 - urgent.min(URGENT_SHARE_MOST)).recip()
    }

    /// Whether forecasts count what comes meanwhile and is more urgent, and so how much all engines read together.
    fn counts_what_comes(&self) -> bool {
        self.settings.urgent_ahead || self.settings.memory_ahead
    }

    /// When a request behind so many of its rank is granted, by the pace at which that rank was granted lately.
    fn by_pace_ms(&self, rank: u8, same_rank: usize) -> f64 {
        if same_rank == 0 {
            return 0.0;
        }
        let pace = self.rank_grant_rates[usize::from(rank)].ms_per_grant();
        pace.unwrap_or(0.0) * (same_rank + 1) as f64
    }

    pub(crate) fn read_ms(&self, demand: &Demand) -> f64 {
        f64::from(demand.prompt_tokens) / self.prefill_rate.tokens_per_ms()
    }

    fn run_forward(&self, now_ms: u64) -> ForwardRun {
        let takes = |ledger: &&EngineLedger| {
            ledger.state == EngineState::Live && ledger.within_rate_limits(now_ms)
        };
        let reader = |ledger: &EngineLedger| Reader {
            left_ms: ledger.prefill.remaining_ms(&self.prefill_rate, now_ms),
            tokens_per_ms: ledger.prefill.tokens_per_ms(&self.prefill_rate),
        };
        // Each prompt that waits is read by the engine that is free first: so many free ones are enough for all of them.
        let wanted = self.queue.len() + 1;
        let mut readers = Vec::new();
        let mut free = 0;
        for reader in self.engines.iter().filter(takes).map(reader) {
            free += usize::from(reader.left_ms == 0.0);
            readers.push(reader);
            if free == wanted && !self.counts_what_comes() {
                break;
            }
        }
        ForwardRun::new(&readers)
    }
}

/// The time from its coming until its first token is due.
fn whole_ms(demand: &Demand) -> f64 {
    demand.deadline_ms.saturating_sub(demand.arrived_ms) as f64
}

#[cfg(test)]
#[path = "waiting_tests.rs"]
mod tests;
