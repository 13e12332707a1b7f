//! Observes the rate limits that targets announce, from their answers and from reports of peers.

use crate::membership::clocks::NotBefore;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use peers::TargetRate;
use policy::RateObservation;
use prelude::TargetId;
use std::rc::Rc;

/// Longest transit time of a message from a peer. The answer that it reports may be older by this much than it says.
pub(crate) const TRANSIT_MAX_MS: u32 = 400;
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
            earliest_ms: sent_ms.cast_signed(),
            latest_ms: self.now_ms().cast_signed(),
        };
        self.apply_rate_observation(slot, observation, "answer");
    }

    /// Applies limits reported by a peer in a message that was made at `made_at`, if that is known.
    pub(crate) fn observe_peer_rates(
        self: &Rc<Self>,
        rates: &[TargetRate],
        made_at: Option<NotBefore>,
    ) {
        for rate in rates {
            self.observe_peer_rate(rate, made_at);
        }
    }

    /// Applies a limit reported by a peer in a message that was made at `made_at`, if that is known.
    pub(crate) fn observe_peer_rate(
        self: &Rc<Self>,
        rate: &TargetRate,
        made_at: Option<NotBefore>,
    ) {
        let slot = self.targets.borrow().slot_of(rate.target);
        let observation = reported_observation(rate, made_at, self.now_ms());
        let is_valid = |limit: f64| limit.is_finite() && limit >= 0.0;
        let is_valid = observation.limit_per_s.is_none_or(is_valid);
        let Some(slot) = slot.filter(|_| is_valid) else {
            return;
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
        report(target.id, observation, now_ms)
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

/// What a box tells its peers of an observation; none if its age does not fit.
fn report(target: TargetId, observation: RateObservation, now_ms: u64) -> Option<TargetRate> {
    let age_ms = |at_ms: i64| (now_ms.cast_signed() - at_ms).max(0);
    Some(TargetRate {
        target,
        limit_per_s: observation.limit_per_s.map(|limit| limit as f32),
        made_from_ms_ago: u32::try_from(age_ms(observation.earliest_ms)).ok()?,
        made_until_ms_ago: u32::try_from(age_ms(observation.latest_ms)).ok()?,
    })
}

/// The observation that a peer has reported in a message that was made at `made_at`, if that is known.
fn reported_observation(
    rate: &TargetRate,
    made_at: Option<NotBefore>,
    now_ms: u64,
) -> RateObservation {
    let now = NotBefore::at(now_ms);
    let made_at = made_at.unwrap_or(now.earlier_by(TRANSIT_MAX_MS));
    RateObservation {
        limit_per_s: rate.limit_per_s.map(f64::from),
        earliest_ms: made_at.earlier_by(rate.made_from_ms_ago).ms(),
        latest_ms: now.earlier_by(rate.made_until_ms_ago).ms(),
    }
}

#[cfg(test)]
#[path = "announced_tests.rs"]
mod tests;
