//! The box as operators see it.

use crate::state::Relay;
use crate::watch::targets::{Belief, Target, TargetBook};
use operators::{EvacuationView, FleetTargetView, FleetView};

fn state_of(targets: &TargetBook, target: &Target) -> &'static str {
    match target.belief {
        Belief::Ready if targets.is_evacuated(target) => "evacuated",
        Belief::Ready => "ready",
        Belief::Leaving => "leaving",
        Belief::Gone => "gone",
    }
}

impl Relay {
    pub(crate) fn view(&self) -> FleetView {
        FleetView {
            name: self.identity.name.clone(),
            data_centre: self.identity.data_centre.clone(),
            ready: self.is_ready(),
            stopping: self.is_stopping(),
            declarations: self.declared().map_or(0, |held| held.table.version),
            boxes: self.members.borrow().others().len() + 1,
            follows_store: self.following.get().any(),
            generations_open: self.open_generations.borrow().count(),
            requests_open: self.in_progress.get(),
            evacuations: self.evacuation_views(),
            targets: self.target_views(),
            shares: self.share_views(),
        }
    }

    fn evacuation_views(&self) -> Vec<EvacuationView> {
        let now_ms = self.now_ms();
        let evacuated = self.evacuation.borrow().since_ms();
        let view = |(name, since_ms): (Box<str>, u64)| EvacuationView {
            open: self.open_in(&name),
            for_s: (now_ms - since_ms) as f64 / 1000.0,
            data_centre: name.into(),
        };
        evacuated.into_iter().map(view).collect()
    }

    fn target_views(&self) -> Vec<FleetTargetView> {
        let now_ms = self.now_ms();
        let targets = self.targets.borrow();
        let view = |target: &Target| FleetTargetView {
            name: target.entry.instance.to_string(),
            service: target.entry.service.to_string(),
            data_centre: target.entry.data_centre.to_string(),
            address: target.entry.address.to_string(),
            state: state_of(&targets, target).into(),
            cold: now_ms < target.cold_until_ms,
            own_open: target.open,
        };
        targets.all().map(|(_, target)| view(target)).collect()
    }
}
