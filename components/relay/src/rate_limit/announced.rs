//! Observes the rate limits that targets announce, from their answers and from reports of peers.

use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use peers::TargetRate;
use policy::RateObservation;
use std::rc::Rc;

/// Longest transit time of a message from a peer. The answer that it reports may be older by this much than it says.
pub(crate) const TRANSIT_MAX_MS: u64 = 400;
/// Most limits that one message carries.
const RATES_PER_MESSAGE_MAX: usize = 32;

impl Relay {
    /// Applies the limit in an answer of a target; none if the answer announces no limit. `sent_ms` is when the request was
    /// sent.
    pub(crate) fn observe_rate(
        self: &Rc<Self>,
        slot: TargetSlot,
        limit_per_s: Option<f64>,
        sent_ms: u64,
    ) {
        let observation = RateObservation {
            limit_per_s,
            earliest_ms: sent_ms,
            latest_ms: self.now_ms(),
        };
        self.apply_rate_observation(slot, observation, "answer");
    }

    /// Applies limits reported by a peer.
    pub(crate) fn observe_peer_rates(self: &Rc<Self>, rates: &[TargetRate]) {
        for rate in rates {
            self.observe_peer_rate(rate, TRANSIT_MAX_MS);
        }
    }

    /// Applies a limit reported by a peer. `transit_max_ms` is the longest time that its message may have been in transit.
    pub(crate) fn observe_peer_rate(self: &Rc<Self>, rate: &TargetRate, transit_max_ms: u64) {
        let slot = self.targets.borrow().slot_of(rate.target);
        let limit_per_s = rate.limit_per_s.map(f64::from);
        let is_valid = limit_per_s.is_none_or(|limit| limit.is_finite() && limit >= 0.0);
        let Some(slot) = slot.filter(|_| is_valid) else {
            return;
        };
        let now_ms = self.now_ms();
        let max_age_ms = u64::from(rate.made_from_ms_ago) + transit_max_ms;
        let observation = RateObservation {
            limit_per_s,
            earliest_ms: now_ms.saturating_sub(max_age_ms),
            latest_ms: now_ms.saturating_sub(rate.made_until_ms_ago.into()),
        };
        self.apply_rate_observation(slot, observation, "peer");
    }

    fn apply_rate_observation(
        self: &Rc<Self>,
        slot: TargetSlot,
        observation: RateObservation,
        source: &'static str,
    ) {
        let now_ms = self.now_ms();
        let change = {
            let mut targets = self.targets.borrow_mut();
            let Some(target) = targets.get_mut(slot) else {
                return;
            };
            if !target.rate_limit.observe(observation, now_ms) {
                return;
            }
            let change = target.rate_limit.take_change();
            targets.index_rate_limit(slot);
            change
        };
        let Some((limit_per_s, before_per_s)) = change else {
            return;
        };
        metrics::counter!("shuntpier_rate_limit_changes", "source" => source).increment(1);
        slog::info!(self.log, "rate limit announced"; "target" => self.name_of(slot),
            "limit_per_s" => limit_per_s, "before_per_s" => before_per_s, "source" => source);
        let id = self.id_of(slot);
        self.sync_engines(id.as_slice());
        self.broadcast_rate(slot, source == "answer");
    }

    /// Requests per second that all boxes together may send to a target now; none if it has no limit.
    pub(crate) fn rate_limit_of(&self, slot: TargetSlot) -> Option<f64> {
        let targets = self.targets.borrow();
        let target = targets.get(slot)?;
        target.rate_limit.announced.rate_per_s(self.now_ms())
    }

    /// The limit of a target as this box knows it, to be sent to a peer.
    pub(super) fn target_rate(&self, slot: TargetSlot) -> Option<TargetRate> {
        let now_ms = self.now_ms();
        let targets = self.targets.borrow();
        let target = targets.get(slot)?;
        let observation = target.rate_limit.announced.effective()?;
        let age_ms = |at_ms: u64| u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX);
        Some(TargetRate {
            target: target.id,
            limit_per_s: observation.limit_per_s.map(|limit| limit as f32),
            made_from_ms_ago: age_ms(observation.earliest_ms),
            made_until_ms_ago: age_ms(observation.latest_ms),
        })
    }

    /// The limits in force, or a sample of them if they do not fit one message.
    pub(crate) fn known_rates(&self) -> Vec<TargetRate> {
        let limited = self
            .targets
            .borrow()
            .sample_rate_limited(RATES_PER_MESSAGE_MAX);
        let rates = limited
            .into_iter()
            .filter_map(|slot| self.target_rate(slot));
        rates.collect()
    }
}
