//! Builds the view of a box that operators are status.

use crate::forwarding::balance::{CallBalancer, route_key};
use crate::state::{Relay, pool_of};
use crate::watch::targets::TargetSlot;
use crate::watch::targets::{Target, TargetRegistry, TargetState};
use operators::{
    EvacuationView, FleetTargetView, FleetView, TargetCallsView, TargetPaceView, UnreachableView,
};
use policy::TargetStats;

fn target_state(targets: &TargetRegistry, target: &Target) -> &'static str {
    match target.state {
        TargetState::Ready if targets.is_evacuated(target) => "evacuated",
        TargetState::Ready => "ready",
        TargetState::Leaving => "leaving",
        TargetState::Gone => "gone",
    }
}

impl Relay {
    pub(crate) fn view(&self) -> FleetView {
        FleetView {
            name: self.identity.name.clone(),
            data_centre: self.identity.data_centre.clone(),
            ready: self.is_ready(),
            stopping: self.is_stopping(),
            declarations: self.declared().map_or(0, |declared| declared.table.version),
            store_era: self.observed_era.get(),
            boxes: self.members.borrow().others().len() + 1,
            follows_store: self.following.get().any(),
            generations_open: self.open_generations.borrow().count(),
            requests_open: self.in_progress.get(),
            held_bytes: self.memory.usage().0,
            held_bytes_most: self.memory.usage().1,
            unreachable: self.unreachable_views(),
            withheld: self.withheld_views(),
            evacuations: self.evacuation_views(),
            targets: self.target_views(),
            shares: self.share_views(),
        }
    }

    fn unreachable_views(&self) -> Vec<UnreachableView> {
        let view = |(service, lost_ms): (Box<str>, u64)| UnreachableView {
            service: service.into(),
            for_s: lost_ms as f64 / 1000.0,
        };
        self.lost_services().into_iter().map(view).collect()
    }

    fn evacuation_views(&self) -> Vec<EvacuationView> {
        let now_ms = self.now_ms();
        let evacuated = self.evacuation.borrow().since_ms();
        let view = |(name, since_ms): (Box<str>, u64)| EvacuationView {
            open: self.open_requests_in(&name),
            for_s: (now_ms - since_ms) as f64 / 1000.0,
            data_centre: name.into(),
        };
        evacuated.into_iter().map(view).collect()
    }

    /// Returns the pace of an engine if this box dispatches its pool.
    fn pace_view(&self, target: &Target, now_ms: u64) -> Option<TargetPaceView> {
        let dispatchers = self.dispatchers.borrow();
        let dispatcher = dispatchers.get(&pool_of(&target.entry.service))?;
        let status = dispatcher.pool.pace_status(target.id, now_ms)?;
        Some(TargetPaceView {
            speed: status.speed,
            event_ms: status.event_ms,
            beside_ms: status.beside_ms,
            disturbed_share: status.disturbed_share,
            disturbed_strength: status.disturbed_strength,
            disturbed_ms: status.disturbed_ms,
            error_share: status.error_share,
            streams: status.streams,
            streams_share: status.streams_share,
            spared: status.spared,
        })
    }

    fn target_views(&self) -> Vec<FleetTargetView> {
        let now_ms = self.now_ms();
        let targets = self.targets.borrow();
        let balance = self.balance.borrow();
        let view = |slot: TargetSlot, target: &Target| FleetTargetView {
            name: target.entry.instance.to_string(),
            service: target.entry.service.to_string(),
            data_centre: target.entry.data_centre.to_string(),
            address: target.entry.address.to_string(),
            state: target_state(&targets, target).into(),
            cold: now_ms < target.cold_until_ms,
            refusing: target.is_refusing,
            own_open: target.open,
            own_open_bytes: target.open_bytes,
            pause_left_ms: target.backoff.remaining_ms(now_ms),
            rate_limit_per_s: target.rate_limit.announced.rate_per_s(now_ms),
            calls: self.calls_view(&balance, slot, target),
            pace: self.pace_view(target, now_ms),
        };
        let views = targets.all().map(|(slot, target)| view(slot, target));
        views.collect()
    }

    fn calls_view(
        &self,
        balance: &CallBalancer,
        slot: TargetSlot,
        target: &Target,
    ) -> Option<TargetCallsView> {
        let stats = balance.stats(slot)?;
        let now_ms = self.now_ms();
        Some(TargetCallsView {
            pace_share: stats.latency.ratio(now_ms),
            slowness_share: stats.slowness.latency_ratio(now_ms),
            fullness: target.fullness(now_ms),
            limit: stats.limit.max_calls(),
            spared: stats.suspicion.is_deprioritized(now_ms),
            doubted: stats.suspicion.is_suspected(now_ms),
            passed_over: target.outlier.is_ejected(now_ms),
            failed_by_route: self.failed_by_route(stats),
        })
    }

    /// Returns the share of failures by route, for routes that are still declared.
    fn failed_by_route(&self, stats: &TargetStats) -> Vec<(String, f64)> {
        let Some(declared) = self.declared() else {
            return Vec::new();
        };
        let routes = &declared.table.routes;
        let name = |key: u64| routes.iter().find(|route| route_key(route) == key);
        let share = |(key, share): (u64, f64)| Some((name(key)?.name.to_string(), share));
        stats.route_failures.rates().filter_map(share).collect()
    }
}
