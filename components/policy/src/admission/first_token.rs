//! Admission by first-token forecast: a request whose first token would be late is refused at once,
//! so that its caller can retry elsewhere or later, and an admitted request is nearly always served
//! in time.
//!
//! Two resources limit the first token: the engines' prefill throughput, and their memory, which is
//! released as running answers end, by the length model. Both are simulated for the requests ahead,
//! in the order of service. The later of the two times is the forecast, multiplied by a correction
//! for recent forecast errors. Where memory is not simulated (`memory_ahead` is off, the default),
//! the recent grant rate of the same rank replaces it, and no correction is applied unless
//! `corrects_forecasts` is on.
//!
//! Covers these load patterns: a burst while a third of the engines is evacuated, prompts that
//! suddenly double in length, and a flood of less urgent requests.

use crate::admission::forecast::{MemoryNeed, QueueAhead};
use crate::admission::pending_retries::PendingRetries;
use crate::admission::prefill_simulation::{PrefillEngine, PrefillSimulation};
use crate::demand::{Demand, Verdict};
use crate::placement::ledger::{EngineLedger, EngineState, ForecastContext};
use crate::pool::Pool;
use prelude::{PermitId, Refusal, RefusalReason};

/// An admitted request may still be refused within this share of the time from its arrival to its
/// deadline. A later refusal would have made its caller wait for nothing.
const EARLY_REFUSAL_SHARE: f64 = 0.2;
/// A request waits for at least this share of that time, even if the remaining time is shorter than
/// its prefill: an engine may be faster than estimated.
const MIN_WAIT_SHARE: f64 = 0.1;
/// A forecast within this multiple of the request's own prefill time means that no other request
/// delays it, so it is not refused.
const OWN_PREFILL_FACTOR: f64 = 1.1;
/// Maximum share of prefill throughput attributed to more urgent requests. Beyond it they wait for
/// each other.
const MAX_URGENT_SHARE: f64 = 0.8;
/// With simulated memory, the retry time aims at a first token within this share of the goal: a
/// second refusal is mostly final.
const RETRY_GOAL_SHARE: f64 = 0.5;
const MIN_RETRY_AFTER_MS: u64 = 100;

/// The measurements that first-token forecasts rest on.
#[derive(Clone, Copy, Debug)]
pub struct ForecastInputs {
    /// Prefill rate of the pool's engines, in tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Number of first tokens that the prefill rate was measured from.
    pub prefill_observations: f64,
    /// Mean time between grants of the rank; `None` if too few were measured.
    pub ms_per_grant: Option<f64>,
}

/// Forecast time from now to a request's first token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstTokenForecast {
    /// Uncorrected forecast.
    pub forecast_ms: f64,
    /// Forecast corrected for recent errors.
    pub corrected_ms: f64,
}

impl Pool {
    /// Refreshes the memory forecast if it is stale.
    pub(crate) fn refresh_memory_forecast(&mut self, now_ms: u64) {
        if !self.settings.memory_ahead || !self.admission_forecast.memory.is_stale(now_ms) {
            return;
        }
        let typical_tokens = self.admission_forecast.arrivals.mean_peak_tokens(now_ms);
        let view = ForecastContext {
            streams: &self.streams,
            lengths: &self.lengths,
            settings: &self.settings,
            tokens_per_ms: self.tokens_per_ms,
            margin: self.margin_in_use(),
            now_ms,
        };
        self.admission_forecast
            .memory
            .refresh(self.engines.iter_mut(), &view, typical_tokens);
    }

    /// Returns a refusal with a retry time if the request's first token would be late. Records the
    /// forecast otherwise.
    pub(crate) fn late_refusal(
        &mut self,
        demand: &Demand,
        need: &MemoryNeed,
        now_ms: u64,
    ) -> Option<Refusal> {
        self.refresh_memory_forecast(now_ms);
        let mut simulation = self.simulate_prefill(now_ms);
        let start_by_ms = self.start_by_ms(demand);
        let queue_ahead = self
            .queue
            .queue_ahead(demand, start_by_ms, &self.tree, &mut simulation);
        let first = self.first_token(&simulation, demand, need, &queue_ahead, now_ms)?;
        if self.is_late(demand, first, now_ms) {
            let mut retries = std::mem::take(&mut self.admission_forecast.retries);
            let refusal = self.crowded_refusal(simulation, demand, need, queue_ahead, &mut retries);
            self.admission_forecast.retries = retries;
            return Some(refusal);
        }
        let errors = &mut self.admission_forecast.errors;
        errors.record_forecast(demand, first.forecast_ms, now_ms);
        None
    }

    /// Refuses recently admitted requests whose first tokens would now be late, except those that
    /// another dispatcher has admitted: a new dispatcher's forecast rests on few measurements.
    pub(crate) fn refuse_late_forecasts(&mut self, now_ms: u64) -> Vec<(PermitId, Verdict)> {
        if self.queue.len() == 0 {
            return Vec::new();
        }
        self.refresh_memory_forecast(now_ms);
        let mut retries = std::mem::take(&mut self.admission_forecast.retries);
        let mut simulation = self.simulate_prefill(now_ms);
        let mut queue_ahead = QueueAhead::default();
        let mut rank = 0;
        let mut verdicts = Vec::new();
        for waiting in self.queue.waiting_in_order(&self.tree) {
            let (demand, need) = (&waiting.demand, &waiting.need);
            if demand.clamped_rank() != rank {
                rank = demand.clamped_rank();
                queue_ahead.same_rank_requests = 0;
            }
            let Some(first) = self.first_token(&simulation, demand, need, &queue_ahead, now_ms)
            else {
                break;
            };
            let waited_ms = now_ms.saturating_sub(demand.arrived_ms) as f64;
            let is_early = waited_ms <= goal_ms(demand) * EARLY_REFUSAL_SHARE;
            let is_refusable = is_early && !waiting.is_readmitted;
            if is_refusable && self.is_late(demand, first, now_ms) {
                let refusal = self.crowded_refusal(
                    simulation.clone(),
                    demand,
                    need,
                    queue_ahead,
                    &mut retries,
                );
                verdicts.push((demand.permit, Verdict::Refused(refusal)));
                continue;
            }
            simulation.enqueue(demand.prompt_tokens);
            queue_ahead.add_request(demand, need, rank);
        }
        self.admission_forecast.retries = retries;
        for (permit, _) in &verdicts {
            self.admission_forecast.errors.forget(*permit);
            if let Some(demand) = self.queue.remove(*permit) {
                self.usage.record_refusal(&demand);
                self.tree.remove_waiting(&demand.share);
            }
        }
        verdicts
    }

    /// Returns a refusal whose retry time accounts for callers that were given earlier retry times.
    fn crowded_refusal(
        &self,
        mut simulation: PrefillSimulation,
        demand: &Demand,
        need: &MemoryNeed,
        mut queue_ahead: QueueAhead,
        retries: &mut PendingRetries,
    ) -> Refusal {
        let now_ms = self.now_ms;
        let is_flooding = self.tree.is_flooding(&demand.share);
        let priority = (is_flooding, demand.clamped_rank());
        let simulates_memory = self.settings.memory_ahead;
        if simulates_memory {
            retries.add_to(&mut queue_ahead, &mut simulation, priority, now_ms);
        }
        let first = self.first_token(&simulation, demand, need, &queue_ahead, now_ms);
        let first_ms = first.map_or(0.0, |first| first.corrected_ms);
        // The goal starts anew with the retry.
        let goal_share = if simulates_memory {
            RETRY_GOAL_SHARE
        } else {
            1.0
        };
        let retry_after_ms = (first_ms - goal_ms(demand) * goal_share).max(0.0) as u64;
        let retry_after_ms = retry_after_ms.max(MIN_RETRY_AFTER_MS);
        retries.record(
            demand,
            need,
            is_flooding,
            now_ms.saturating_add(retry_after_ms),
        );
        Refusal {
            reason: RefusalReason::Crowded,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// Returns the latest time at which the request's prefill can start and still meet its
    /// deadline. A request is refused if it waits longer.
    pub(crate) fn start_by_ms(&self, demand: &Demand) -> u64 {
        let latest_ms = demand
            .deadline_ms
            .saturating_sub(self.prefill_ms(demand) as u64);
        let min_wait_ms = (goal_ms(demand) * MIN_WAIT_SHARE) as u64;
        latest_ms.max(demand.arrived_ms.saturating_add(min_wait_ms))
    }

    /// Returns whether the first token would be late for other reasons than the request's own
    /// prefill time.
    fn is_late(&self, demand: &Demand, first: FirstTokenForecast, now_ms: u64) -> bool {
        let remaining_ms = demand.deadline_ms.saturating_sub(now_ms) as f64;
        let is_undelayed = first.forecast_ms <= self.prefill_ms(demand) * OWN_PREFILL_FACTOR;
        first.corrected_ms > remaining_ms && !is_undelayed
    }

    /// Forecasts the first token of a request that is served after `queue_ahead`. Returns `None` if
    /// no engine accepts work.
    fn first_token(
        &self,
        simulation: &PrefillSimulation,
        demand: &Demand,
        need: &MemoryNeed,
        queue_ahead: &QueueAhead,
        now_ms: u64,
    ) -> Option<FirstTokenForecast> {
        let rank = demand.clamped_rank();
        let prefill_ms = self.prefill_ms(demand);
        let queued_ms = simulation.first_token_ms(demand.prompt_tokens)?;
        let urgent_slowdown = self.urgent_slowdown(simulation, rank, now_ms);
        let by_prefill_ms = prefill_ms + (queued_ms - prefill_ms).max(0.0) * urgent_slowdown;
        let granted_ms = match self.settings.memory_ahead {
            true => self
                .admission_forecast
                .memory_wait_ms(rank, need, queue_ahead, now_ms),
            false => self.grant_wait_ms(rank, queue_ahead.same_rank_requests),
        };
        let forecast_ms = by_prefill_ms.max(granted_ms + prefill_ms);
        let corrects = self.settings.corrects_forecasts || self.settings.memory_ahead;
        let correction = match corrects {
            true => self
                .admission_forecast
                .errors
                .correction_factor(rank, now_ms),
            false => 1.0,
        };
        Some(FirstTokenForecast {
            forecast_ms,
            corrected_ms: forecast_ms * correction,
        })
    }

    /// Returns the correction factor of each rank that had first tokens; 1 means accurate
    /// forecasts.
    pub fn forecast_corrections(&self) -> impl Iterator<Item = (u8, f64)> + '_ {
        let errors = &self.admission_forecast.errors;
        errors
            .known_ranks()
            .map(|rank| (rank, errors.correction_factor(rank, self.now_ms)))
    }

    /// Returns the measurements that forecasts for a rank rest on, for the log.
    pub fn forecast_inputs(&self, rank: u8) -> ForecastInputs {
        let rank = usize::from(rank).min(self.rank_grant_rates.len() - 1);
        ForecastInputs {
            prefill_tokens_per_ms: self.prefill_rate.tokens_per_ms(),
            prefill_observations: self.prefill_rate.observations(),
            ms_per_grant: self.rank_grant_rates[rank].ms_per_grant(),
        }
    }

    /// Returns the factor by which arrivals of more urgent requests lengthen the wait for prefill.
    fn urgent_slowdown(&self, simulation: &PrefillSimulation, rank: u8, now_ms: u64) -> f64 {
        if !self.counts_arrivals() {
            return 1.0;
        }
        let arrivals = &self.admission_forecast.arrivals;
        let urgent_share =
            arrivals.urgent_prompt_tokens_per_ms(rank, now_ms) / simulation.tokens_per_ms();
        (1.0 - urgent_share.min(MAX_URGENT_SHARE)).recip()
    }

    /// Returns whether forecasts account for arrivals of more urgent requests, which needs the
    /// prefill throughput of all engines.
    fn counts_arrivals(&self) -> bool {
        self.settings.urgent_ahead || self.settings.memory_ahead
    }

    /// Returns the wait for a grant behind the other requests of its rank, at that rank's recent
    /// grant rate.
    fn grant_wait_ms(&self, rank: u8, same_rank_requests: usize) -> f64 {
        if same_rank_requests == 0 {
            return 0.0;
        }
        let ms_per_grant = self.rank_grant_rates[usize::from(rank)].ms_per_grant();
        ms_per_grant.unwrap_or(0.0) * (same_rank_requests + 1) as f64
    }

    pub(crate) fn prefill_ms(&self, demand: &Demand) -> f64 {
        f64::from(demand.prompt_tokens) / self.prefill_rate.tokens_per_ms()
    }

    fn simulate_prefill(&self, now_ms: u64) -> PrefillSimulation {
        let accepts_work = |ledger: &&EngineLedger| {
            ledger.state == EngineState::Live && ledger.within_rate_limits(now_ms)
        };
        let engine = |ledger: &EngineLedger| PrefillEngine {
            backlog_ms: ledger.prefill.remaining_ms(&self.prefill_rate, now_ms),
            tokens_per_ms: ledger.prefill.tokens_per_ms(&self.prefill_rate),
        };
        // Each waiting prompt goes to the engine that is idle first, so one idle engine per prompt
        // suffices.
        let needed = self.queue.len() + 1;
        let mut engines = Vec::new();
        let mut idle = 0;
        for engine in self.engines.iter().filter(accepts_work).map(engine) {
            idle += usize::from(engine.backlog_ms == 0.0);
            engines.push(engine);
            if idle == needed && !self.counts_arrivals() {
                break;
            }
        }
        PrefillSimulation::new(&engines)
    }
}

/// Returns the time from arrival to the first-token deadline.
fn goal_ms(demand: &Demand) -> f64 {
    demand.deadline_ms.saturating_sub(demand.arrived_ms) as f64
}

#[cfg(test)]
#[path = "first_token_tests.rs"]
mod tests;
