//! Which requests are refused: at once where they would wait too long, or when their deadline passes.

use crate::admission::outlook::Need;
use crate::demand::{Demand, Verdict};
use crate::pool::Pool;
use crate::settings::WaitingPolicy;
use prelude::{PermitId, Refusal, RefusalReason};
use std::collections::HashSet;

/// How often waiting requests are looked over for passed deadlines.
const EXPIRY_CHECK_MS: u64 = 20;
/// Least time after which a refused caller is told to come back.
const RETRY_AFTER_MIN_MS: u64 = 100;

impl Pool {
    /// Why a request that just came must be refused, if it must.
    pub(crate) fn refusal(&mut self, demand: &Demand, need: &Need, now_ms: u64) -> Option<Refusal> {
        let Some(largest) = self.engines.largest_live_tokens() else {
            return Some(Refusal {
                reason: RefusalReason::NoTarget,
                retry_after_ms: Some(1000),
            });
        };
        if u64::from(demand.prompt_tokens) >= largest {
            return Some(Refusal {
                reason: RefusalReason::TooLarge,
                retry_after_ms: None,
            });
        }
        let beyond_rates = self.beyond_rates(demand, now_ms);
        if beyond_rates.is_some() {
            return beyond_rates;
        }
        // What fits nowhere says nothing of what needs room, and no room is kept for what goes behind all others.
        if !self.tree.floods(&demand.share) {
            self.admission_forecast.coming.came(demand, need, now_ms);
        }
        if self.settings.waiting == WaitingPolicy::FirstToken {
            return self.too_late(demand, need, now_ms);
        }
        let wait_ms = self.expected_wait_ms(demand)?;
        let left_ms = demand.deadline_ms.saturating_sub(now_ms);
        (wait_ms > left_ms).then(|| Refusal {
            reason: RefusalReason::Crowded,
            retry_after_ms: Some((wait_ms - left_ms).max(RETRY_AFTER_MIN_MS)),
        })
    }

    /// How long a new request would wait, from the pace of grants; none where none is known.
    fn expected_wait_ms(&self, demand: &Demand) -> Option<u64> {
        if self.queue.len() == 0 {
            return Some(0);
        }
        let ms_per_grant = self.grant_rate.ms_per_grant()?;
        let part = self.queue.weight_part(&demand.share);
        let own_ahead = self.queue.len_of(demand.share.account) as f64 / part;
        let ahead = own_ahead.min(self.queue.len() as f64);
        Some((ahead * ms_per_grant) as u64)
    }

    /// Refuses what has waited until its deadline.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<(PermitId, Verdict)> {
        if now_ms < self.next_expiry_check_ms {
            return Vec::new();
        }
        self.next_expiry_check_ms = now_ms + EXPIRY_CHECK_MS;
        let forecasts = self.settings.waiting == WaitingPolicy::FirstToken;
        let mut verdicts = match forecasts {
            true => self.refuse_early(now_ms),
            false => Vec::new(),
        };
        let over = |demand: &Demand| match forecasts {
            true => self.waits_until_ms(demand) <= now_ms,
            false => demand.deadline_ms <= now_ms,
        };
        let over: HashSet<PermitId> = self
            .queue
            .in_order(&self.tree)
            .into_iter()
            .filter(|(demand, _)| over(demand))
            .map(|(demand, _)| demand.permit)
            .collect();
        let expired = self.queue.take_if(|demand| over.contains(&demand.permit));
        for demand in expired {
            self.tree.leaves(&demand.share);
            self.usage.refused(&demand);
            // Its first token would have come after its prompt was read, at the soonest.
            let read_ms = self.read_ms(&demand) as u64;
            let errors = &mut self.admission_forecast.errors;
            errors.first_token(demand.permit, now_ms.saturating_add(read_ms));
            let wait_ms = self.expected_wait_ms(&demand).unwrap_or(0);
            let refusal = Refusal {
                reason: RefusalReason::DeadlinePassed,
                retry_after_ms: Some(wait_ms.max(RETRY_AFTER_MIN_MS)),
            };
            verdicts.push((demand.permit, Verdict::Refused(refusal)));
        }
        verdicts
    }
}
