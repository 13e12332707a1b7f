//! Chooses the engine for a queued request and reserves engines for requests that waited too long.

use crate::admission::queue::QueueKey;
use crate::demand::Demand;
use crate::pace::impact::{PauseEstimator, PauseProfile, expected_tokens};
use crate::placement::ledger::{EngineLedger, EngineState, ForecastContext};
use crate::placement::prefill::PrefillRate;
use crate::pool::{Pool, demand_forecast};
use crate::settings::PrefillPolicy;
use prelude::TargetId;

/// Possible engines for a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineChoice {
    /// The best engine with room for the request.
    pub best_engine: Option<TargetId>,
    /// The engines without room for the request, the one closest to having room first.
    pub nearest: Vec<TargetId>,
}

impl Pool {
    /// Chooses the engine for the first request of a queue. Engines in `reserved` are excluded.
    pub(crate) fn choose_engine(
        &mut self,
        queue_key: QueueKey,
        now_ms: u64,
        reserved: &[TargetId],
    ) -> EngineChoice {
        let Some(demand) = self.queue.front(queue_key) else {
            return EngineChoice::default();
        };
        let forecast = demand_forecast(&self.lengths, demand, self.settings.policy);
        let margin = self.margin_in_use();
        let began_ms = *self.first_request_ms.get_or_insert(now_ms);
        // Before an engine's first report the dispatcher does not know what runs there and could
        // fill it twice.
        let needs_report = now_ms < began_ms + self.settings.first_report_ms;
        let context = ForecastContext {
            streams: &self.streams,
            lengths: &self.lengths,
            settings: &self.settings,
            tokens_per_ms: self.tokens_per_ms,
            margin,
            now_ms,
        };
        let pauses = PauseEstimator {
            pace: &self.pace_model,
            streams: &self.streams,
            settings: &self.settings,
            prefill_rate: &self.prefill_rate,
            tokens_per_ms: self.tokens_per_ms,
            now_ms,
        };
        let pausing = PauseProfile {
            goal_ms: demand.pause_goal_ms.map(f64::from),
            remaining_tokens: expected_tokens(&self.lengths, demand),
            prompt_tokens: f64::from(demand.prompt_tokens),
        };
        let mut best: Option<(f64, TargetId)> = None;
        let mut nearest: Vec<(f64, TargetId)> = Vec::new();
        for slot in self
            .engines
            .candidates(demand.preferred_data_centre, now_ms)
        {
            let Some(ledger) = self.engines.slot_mut(slot) else {
                continue;
            };
            let running_max = self.settings.running_limit as usize;
            let is_at_limit = running_max > 0 && ledger.streams.len() >= running_max;
            let is_eligible = ledger.state == EngineState::Live
                && !reserved.contains(&ledger.info.id)
                && (ledger.report.is_some() || !needs_report)
                && !demand.avoid.contains(ledger.info.id)
                && !is_at_limit
                && ledger.within_rate_limits(now_ms)
                && !ledger.has_memory_backlog(now_ms);
            if !is_eligible || !accepts_prefill(ledger, &self.prefill_rate, demand, &context) {
                continue;
            }
            let affinity = demand.prefix.map_or(0.0, |(prefix, tokens)| {
                let tokens = tokens.min(self.settings.affinity_tokens);
                self.prefixes.confidence(ledger.info.id, prefix, now_ms) * f64::from(tokens)
            });
            let is_near = demand.preferred_data_centre == Some(ledger.info.data_centre);
            let locality_bonus =
                f64::from(u8::from(is_near)) * f64::from(self.settings.near_tokens);
            let prefill_cost = prefill_cost_tokens(ledger, &self.prefill_rate, &context);
            let bonus_before_pauses = affinity + locality_bonus - prefill_cost;
            // The memory forecast is most of the cost of a decision. It is skipped for an engine
            // that would lose even if its memory were empty.
            let capacity_tokens = ledger.info.capacity_tokens as f64;
            let is_beaten =
                |max_score: f64| best.is_some_and(|(best_score, _)| best_score >= max_score);
            if is_beaten(capacity_tokens + bonus_before_pauses) {
                continue;
            }
            let bonus = bonus_before_pauses - pauses.pause_cost_tokens(ledger, &pausing);
            if is_beaten(capacity_tokens + bonus) {
                continue;
            }
            let free = ledger.free_tokens(&context, &forecast);
            let is_idle = ledger.streams.is_empty() && ledger.foreign_tokens == 0.0;
            if free < 0.0 && !is_idle {
                nearest.push((free, ledger.info.id));
                continue;
            }
            let score = free + bonus;
            if best.is_none_or(|(best_score, _)| score > best_score) {
                best = Some((score, ledger.info.id));
            }
        }
        nearest.sort_by(|a, b| b.0.total_cmp(&a.0));
        EngineChoice {
            best_engine: best.map(|(_, target)| target),
            nearest: nearest.into_iter().map(|(_, target)| target).collect(),
        }
    }

    /// Reserves engines for the requests of a queue that have waited past `reserve_after_ms`: those
    /// closest to having room, up to the `reserve_share` of all engines.
    pub(crate) fn reserve_engines(
        &self,
        queue_key: QueueKey,
        nearest: &[TargetId],
        reserved: &mut Vec<TargetId>,
        now_ms: u64,
    ) {
        let reserved_max =
            (self.engines.len() as f64 * self.settings.reserve_share).ceil() as usize;
        let available = reserved_max.saturating_sub(reserved.len());
        let late_since_ms = now_ms.saturating_sub(self.settings.reserve_after_ms);
        let late_count = self.queue.count_since(queue_key, late_since_ms, available);
        reserved.extend(nearest.iter().take(late_count));
    }
}

/// Whether an engine may take one more prompt to prefill.
fn accepts_prefill(
    ledger: &EngineLedger,
    rate: &PrefillRate,
    demand: &Demand,
    context: &ForecastContext<'_>,
) -> bool {
    let (settings, prefill) = (context.settings, &ledger.prefill);
    if prefill.is_idle() {
        return true;
    }
    match settings.prefill {
        PrefillPolicy::Bound => {
            let total = prefill.pending_tokens() + u64::from(demand.prompt_tokens);
            total <= u64::from(settings.prefill_tokens)
        }
        PrefillPolicy::FirstToken => {
            prefill.remaining_ms(rate, context.now_ms) <= f64::from(settings.prefill_ahead_ms)
        }
    }
}

/// Cost of an engine's pending prefill, in tokens of memory.
fn prefill_cost_tokens(
    ledger: &EngineLedger,
    rate: &PrefillRate,
    context: &ForecastContext<'_>,
) -> f64 {
    match context.settings.prefill {
        PrefillPolicy::Bound => 0.0,
        PrefillPolicy::FirstToken => {
            let remaining_ms = ledger.prefill.remaining_ms(rate, context.now_ms);
            remaining_ms * f64::from(context.settings.prefill_cost_tokens_per_ms)
        }
    }
}
