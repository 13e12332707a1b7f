//! Records the results of calls in the statistics of targets and routes, and sends hints about targets to other boxes.

use crate::forwarding::balance::route_key;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use peers::HintWord;
use policy::{TargetStats, hedge_delay_ms};
use prelude::BoxId;
use routing::Route;
use settings::Mechanism;
use std::rc::Rc;

impl Relay {
    /// Records an answer and its latency.
    pub(crate) fn record_call_answer(
        &self,
        slot: TargetSlot,
        route: &Route,
        took_ms: u64,
        failed: bool,
    ) {
        let now_ms = self.now_ms();
        let open = self.open_requests_at(slot);
        let key = route_key(route);
        let mut balance = self.balance.borrow_mut();
        let route_stats = balance.route_stats_mut(key);
        route_stats.failures.record(failed);
        if !failed {
            route_stats.latency.record(took_ms as f64);
        }
        let baseline_ms = route_stats.latency.baseline_ms();
        let Some(stats) = balance.stats_mut(slot) else {
            return;
        };
        stats.route_failures.record(key, failed);
        stats.suspicion.clear();
        stats.limit.record_answer(open);
        if let Some(baseline_ms) = baseline_ms.filter(|_| !failed) {
            stats.latency.record(took_ms as f64, baseline_ms, now_ms);
        }
    }

    /// Records that a target had not answered after `waited_ms` when the hedge had.
    pub(crate) fn record_hedge_loss(&self, slot: TargetSlot, route: &Route, waited_ms: u64) {
        let mut balance = self.balance.borrow_mut();
        let baseline_ms = balance
            .route_stats_mut(route_key(route))
            .latency
            .baseline_ms();
        if let (Some(baseline_ms), Some(stats)) = (baseline_ms, balance.stats_mut(slot)) {
            stats
                .latency
                .record(waited_ms as f64, baseline_ms, self.now_ms());
        }
    }

    /// Records that a call got no answer, and sends a hint about it to other boxes.
    pub(crate) fn record_no_answer(self: &Rc<Self>, slot: TargetSlot) {
        self.apply_hint(slot, self.id, HintWord::NoAnswer);
        self.report_if_path_is_sound(slot, move |relay| {
            relay.broadcast_hint(slot, HintWord::NoAnswer);
        });
    }

    /// Records the slowness that a target reports, and sends it to other boxes if it changed.
    pub(crate) fn record_slowness(self: &Rc<Self>, slot: TargetSlot, percent: u32) {
        let now_ms = self.now_ms();
        let slowness = |stats: &TargetStats| stats.slowness;
        let previous = self
            .balance
            .borrow()
            .stats(slot)
            .map_or_else(Default::default, slowness);
        self.apply_hint(slot, self.id, HintWord::Slowness(percent));
        if previous.is_change(percent, now_ms) {
            self.broadcast_hint(slot, HintWord::Slowness(percent));
        }
    }

    /// Applies a hint about a target, from this box or another.
    pub(crate) fn apply_hint(&self, slot: TargetSlot, from: BoxId, hint: HintWord) {
        let now_ms = self.now_ms();
        let mut balance = self.balance.borrow_mut();
        let Some(stats) = balance.stats_mut(slot) else {
            return;
        };
        match hint {
            HintWord::Slowness(percent) => stats.slowness.update(percent, 0, now_ms),
            HintWord::Refused => {}
            HintWord::NoAnswer | HintWord::TurnedAway => {
                let was_deprioritized = stats.suspicion.is_deprioritized(now_ms);
                stats.suspicion.record_no_answer(from.0.into(), now_ms);
                if stats.suspicion.is_deprioritized(now_ms) && !was_deprioritized {
                    slog::info!(self.log, "target spared: boxes got no answer, or were turned away";
                        "target" => self.name_of(slot), "from" => from.0);
                }
            }
        }
    }

    /// Whether a route's calls fail at all targets, so that a failure is no evidence against one of them.
    pub(crate) fn fails_everywhere(&self, route: &Route) -> bool {
        let fails_everywhere = self
            .balance
            .borrow_mut()
            .route_stats_mut(route_key(route))
            .failures
            .is_common();
        fails_everywhere && self.settings().has(Mechanism::CallBalance)
    }

    /// The baseline latency (ms) of a route over all targets, if known.
    pub(crate) fn baseline_ms(&self, route: &Route) -> Option<f64> {
        self.balance
            .borrow_mut()
            .route_stats_mut(route_key(route))
            .latency
            .baseline_ms()
    }

    fn open_requests_at(&self, slot: TargetSlot) -> u32 {
        let targets = self.targets.borrow();
        targets.get(slot).map_or(0, |target| target.open)
    }

    /// Records that a target refused a call as full, which lowers its concurrency limit.
    pub(crate) fn record_call_refusal(&self, slot: TargetSlot) {
        let open = self.open_requests_at(slot);
        if !self.settings().has(Mechanism::CallLimits) {
            return;
        }
        let now_ms = self.now_ms();
        if let Some(stats) = self.balance.borrow_mut().stats_mut(slot) {
            stats.limit.record_refusal(open, now_ms);
            slog::info!(self.log, "target full"; "target" => self.name_of(slot), "open" => open,
                "limit" => stats.limit.max_calls());
        }
    }

    /// How long (ms) to wait for one target before a hedged request.
    pub(crate) fn hedge_delay_for(&self, route: &Route) -> u64 {
        let baseline_ms = self
            .baseline_ms(route)
            .filter(|_| self.settings().has(Mechanism::SecondBeside));
        hedge_delay_ms(route.answer_goal_ms, baseline_ms)
    }
}
