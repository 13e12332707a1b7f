//! What targets announce of their rate limits, from answers to this box and from peers.

use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use peers::TargetRate;
use policy::RateObservation;
use std::rc::Rc;

/// Longest time that a message of a peer is under way: so much earlier the answer that it is about may have been made.
pub(crate) const TRANSIT_MAX_MS: u64 = 400;
/// Limits that one message carries at the most.
const SENT_MAX: usize = 32;

impl Relay {
    /// Takes in what an answer of a target says of its limit, whose request was sent at `sent_ms`.
    pub(crate) fn observe_rate(
        self: &Rc<Self>,
        slot: TargetSlot,
        limit_per_s: Option<f64>,
        sent_ms: u64,
    ) {
        let word = RateObservation {
            limit_per_s,
            earliest_ms: sent_ms,
            latest_ms: self.now_ms(),
        };
        self.observe_rate_word(slot, word, "answer");
    }

    /// Takes in what a peer knows of limits.
    pub(crate) fn observe_peer_rates(self: &Rc<Self>, rates: &[TargetRate]) {
        for rate in rates {
            self.observe_peer_rate(rate, TRANSIT_MAX_MS);
        }
    }

    /// Takes in what a peer knows of a limit, from a message that was under way for so long at the most.
    pub(crate) fn observe_peer_rate(self: &Rc<Self>, rate: &TargetRate, under_way_ms: u64) {
        let slot = self.targets.borrow().slot_of(rate.target);
        let limit_per_s = rate.limit_per_s.map(f64::from);
        let is_sound = limit_per_s.is_none_or(|limit| limit.is_finite() && limit >= 0.0);
        let Some(slot) = slot.filter(|_| is_sound) else {
            return;
        };
        let now_ms = self.now_ms();
        let from_ms = u64::from(rate.made_from_ms_ago) + under_way_ms;
        let word = RateObservation {
            limit_per_s,
            earliest_ms: now_ms.saturating_sub(from_ms),
            latest_ms: now_ms.saturating_sub(rate.made_until_ms_ago.into()),
        };
        self.observe_rate_word(slot, word, "peer");
    }

    fn observe_rate_word(
        self: &Rc<Self>,
        slot: TargetSlot,
        word: RateObservation,
        source: &'static str,
    ) {
        let now_ms = self.now_ms();
        let shown = {
            let mut targets = self.targets.borrow_mut();
            let Some(target) = targets.get_mut(slot) else {
                return;
            };
            if !target.rate_limit.observe(word, now_ms) {
                return;
            }
            let shown = target.rate_limit.take_shown();
            targets.index_rate_limit(slot);
            shown
        };
        let Some((limit_per_s, before_per_s)) = shown else {
            return;
        };
        metrics::counter!("shuntpier_rate_limit_changes", "source" => source).increment(1);
        slog::info!(self.log, "rate limit announced"; "target" => self.name_of(slot),
            "limit_per_s" => limit_per_s, "before_per_s" => before_per_s, "source" => source);
        let id = self.id_of(slot);
        self.sync_engines(id.as_slice());
        self.broadcast_rate(slot, source == "answer");
    }

    /// Requests a second that all boxes together may send a target now; none where it has no limit.
    pub(crate) fn rate_limit_of(&self, slot: TargetSlot) -> Option<f64> {
        let targets = self.targets.borrow();
        let target = targets.get(slot)?;
        target.rate_limit.announced.rate_per_s(self.now_ms())
    }

    /// What this box knows of the limit of a target, for a peer.
    pub(super) fn target_rate(&self, slot: TargetSlot) -> Option<TargetRate> {
        let now_ms = self.now_ms();
        let targets = self.targets.borrow();
        let target = targets.get(slot)?;
        let word = target.rate_limit.announced.effective()?;
        let age_ms = |at_ms: u64| u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX);
        Some(TargetRate {
            target: target.id,
            limit_per_s: word.limit_per_s.map(|limit| limit as f32),
            made_from_ms_ago: age_ms(word.earliest_ms),
            made_until_ms_ago: age_ms(word.latest_ms),
        })
    }

    /// The limits that are in force, some of them where they are many.
    pub(crate) fn known_rates(&self) -> Vec<TargetRate> {
        let limited = self.targets.borrow().sample_rate_limited(SENT_MAX);
        let rates = limited
            .into_iter()
            .filter_map(|slot| self.target_rate(slot));
        rates.collect()
    }
}
