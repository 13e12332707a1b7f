//! Refusals: on arrival if the expected wait is too long, and later when a waiting request expires.

use crate::admission::forecast::MemoryNeed;
use crate::demand::{Demand, Verdict};
use crate::pool::Pool;
use crate::settings::WaitingPolicy;
use prelude::{PermitId, Refusal, RefusalReason};
use std::collections::HashSet;

/// Interval between checks for expired requests.
const EXPIRY_CHECK_MS: u64 = 20;
/// Minimum retry time of a refused caller.
const MIN_RETRY_AFTER_MS: u64 = 100;

impl Pool {
    /// Returns a refusal if an arriving request cannot be served in time or fits no engine.
    pub(crate) fn refusal(
        &mut self,
        demand: &Demand,
        need: &MemoryNeed,
        now_ms: u64,
    ) -> Option<Refusal> {
        let Some(max_tokens) = self.engines.largest_live_tokens() else {
            return Some(Refusal {
                reason: RefusalReason::NoTarget,
                retry_after_ms: Some(1000),
            });
        };
        if u64::from(demand.prompt_tokens) >= max_tokens {
            return Some(Refusal {
                reason: RefusalReason::TooLarge,
                retry_after_ms: None,
            });
        }
        let rate_limited = self.rate_limit_refusal(demand, now_ms);
        if rate_limited.is_some() {
            return rate_limited;
        }
        // Requests that fit no engine say nothing about demand, and no capacity is reserved for
        // flooding accounts.
        if !self.tree.is_flooding(&demand.share) {
            self.admission_forecast
                .arrivals
                .record(demand, need, now_ms);
        }
        if !self.trusts_forecasts(now_ms) {
            return None;
        }
        if self.settings.waiting == WaitingPolicy::FirstToken {
            return self.late_refusal(demand, need, now_ms);
        }
        let wait_ms = self.expected_wait_ms(demand)?;
        let left_ms = demand.deadline_ms.saturating_sub(now_ms);
        (wait_ms > left_ms).then(|| Refusal {
            reason: RefusalReason::Crowded,
            retry_after_ms: Some((wait_ms - left_ms).max(MIN_RETRY_AFTER_MS)),
        })
    }

    /// Returns a new request's expected wait from the grant rate, or `None` if the rate is unknown.
    fn expected_wait_ms(&self, demand: &Demand) -> Option<u64> {
        if self.queue.len() == 0 {
            return Some(0);
        }
        let ms_per_grant = self.grant_rate.ms_per_grant()?;
        let weight_part = self.queue.weight_part(&demand.share);
        let account_ahead = self.queue.len_of_account(demand.share.account) as f64 / weight_part;
        let ahead = account_ahead.min(self.queue.len() as f64);
        Some((ahead * ms_per_grant) as u64)
    }

    /// Refuses requests that have waited past their deadline.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<(PermitId, Verdict)> {
        if now_ms < self.next_expiry_check_ms {
            return Vec::new();
        }
        self.next_expiry_check_ms = now_ms + EXPIRY_CHECK_MS;
        let uses_forecasts = self.settings.waiting == WaitingPolicy::FirstToken;
        let mut verdicts = match uses_forecasts && self.trusts_forecasts(now_ms) {
            true => self.refuse_late_forecasts(now_ms),
            false => Vec::new(),
        };
        let is_expired = |demand: &Demand| match uses_forecasts {
            true => self.start_by_ms(demand) <= now_ms,
            false => demand.deadline_ms <= now_ms,
        };
        let expired_permits: HashSet<PermitId> = self
            .queue
            .in_order(&self.tree)
            .into_iter()
            .filter(|(demand, _)| is_expired(demand))
            .map(|(demand, _)| demand.permit)
            .collect();
        let expired = self
            .queue
            .remove_if(|demand| expired_permits.contains(&demand.permit));
        for demand in expired {
            self.tree.remove_waiting(&demand.share);
            self.usage.record_refusal(&demand);
            // Its first token could not have come before the end of its prefill.
            let prefill_ms = self.prefill_ms(&demand) as u64;
            let errors = &mut self.admission_forecast.errors;
            errors.record_first_token(demand.permit, now_ms.saturating_add(prefill_ms));
            let wait_ms = self.expected_wait_ms(&demand).unwrap_or(0);
            let refusal = Refusal {
                reason: RefusalReason::DeadlinePassed,
                retry_after_ms: Some(wait_ms.max(MIN_RETRY_AFTER_MS)),
            };
            verdicts.push((demand.permit, Verdict::Refused(refusal)));
        }
        verdicts
    }
}
