//! State of evacuated data centres on one box: start times and the requests that are still open there. Placement
//! applies it in [`crate::watch::targets::TargetRegistry::takes_work`] alone.

use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use prelude::{DataCentreId, Version};
use routing::Evacuations;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How often the open requests in evacuated data centres are counted.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// State of one evacuated data centre.
#[derive(Clone, Copy, Debug)]
struct Evacuated {
    /// When this box learned of the evacuation, in ms since its start.
    since_ms: u64,
    /// This box has no open requests there, and has logged that.
    is_empty: bool,
}

/// Data centres whose evacuation begins or ends with an update.
#[derive(Clone, Debug, PartialEq, Eq)]
struct EvacuationDiff {
    begun: Vec<Box<str>>,
    ended: Vec<Box<str>>,
}

/// The evacuations that a box knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evacuation {
    known: Evacuations,
    evacuated: BTreeMap<Box<str>, Evacuated>,
}

impl Evacuation {
    /// The evacuations as sent to peers.
    pub(crate) fn known(&self) -> &Evacuations {
        &self.known
    }

    /// When this box learned of each evacuation.
    pub(crate) fn since_ms(&self) -> Vec<(Box<str>, u64)> {
        let evacuated = self.evacuated.iter();
        evacuated
            .map(|(name, state)| (name.clone(), state.since_ms))
            .collect()
    }

    /// Updates the known evacuations; returns `None` if the set stays the same.
    fn update(
        &mut self,
        now_ms: u64,
        change: impl FnOnce(&mut Evacuations) -> bool,
    ) -> Option<EvacuationDiff> {
        if !change(&mut self.known) {
            return None;
        }
        let now = &self.known.data_centres;
        let before: BTreeSet<Box<str>> = self.evacuated.keys().cloned().collect();
        let begun: Vec<Box<str>> = now.difference(&before).cloned().collect();
        let ended: Vec<Box<str>> = before.difference(now).cloned().collect();
        self.evacuated.retain(|name, _| now.contains(name));
        for name in &begun {
            let evacuated = Evacuated {
                since_ms: now_ms,
                is_empty: false,
            };
            self.evacuated.insert(name.clone(), evacuated);
        }
        Some(EvacuationDiff { begun, ended })
    }
}

impl Relay {
    /// Updates the known evacuations and applies the difference. Returns whether the set changed.
    pub(crate) fn update_evacuations(
        &self,
        source: &'static str,
        change: impl FnOnce(&mut Evacuations) -> bool,
    ) -> bool {
        let changed = self.evacuation.borrow_mut().update(self.now_ms(), change);
        let Some(EvacuationDiff { begun, ended }) = changed else {
            return false;
        };
        let (version, names) = {
            let evacuation = self.evacuation.borrow();
            let known = evacuation.known();
            (known.version, known.data_centres.clone())
        };
        for name in &begun {
            slog::info!(self.log, "evacuation begins"; "data_centre" => &**name,
                "version" => %version, "source" => source);
        }
        for name in &ended {
            slog::info!(self.log, "evacuation ends"; "data_centre" => &**name,
                "version" => %version, "source" => source);
        }
        metrics::gauge!("shuntpier_evacuated_data_centres").set(names.len() as f64);
        let ids: HashSet<DataCentreId> = names.iter().map(|n| DataCentreId::from_name(n)).collect();
        self.targets.borrow_mut().evacuate(ids);
        self.close_evacuated_channels();
        self.targets_changed();
        true
    }

    /// Logs evacuations that are in a list of the store but not in force on this box.
    pub(crate) fn log_ignored_evacuations(&self, listed: &BTreeSet<Box<str>>, read_at: Version) {
        let evacuation = self.evacuation.borrow();
        let known = evacuation.known();
        for name in listed.difference(&known.data_centres) {
            slog::warn!(self.log, "listed evacuation ignored"; "data_centre" => &**name,
                "read_at" => %read_at, "known_version" => %known.version,
                "is_settling" => self.is_settling());
        }
    }

    /// Closes idle channels to targets in evacuated data centres.
    fn close_evacuated_channels(&self) {
        let targets = self.targets.borrow();
        let evacuated = targets
            .all()
            .filter(|(_, target)| targets.is_evacuated(target));
        let mut channels = self.channels.borrow_mut();
        evacuated.for_each(|(slot, _)| channels.close_target(slot));
    }

    /// Whether a target is in an evacuated data centre.
    pub(crate) fn is_evacuated(&self, slot: TargetSlot) -> bool {
        let targets = self.targets.borrow();
        let target = targets.get(slot);
        target.is_some_and(|target| targets.is_evacuated(target))
    }

    /// Number of requests that this box has open at targets of a data centre.
    pub(crate) fn open_requests_in(&self, data_centre: &str) -> u32 {
        let id = DataCentreId::from_name(data_centre);
        let targets = self.targets.borrow();
        let there = targets.all().filter(|(_, target)| target.data_centre == id);
        there.map(|(_, target)| target.open).sum()
    }

    /// Exports this box's open requests in each evacuated data centre, and logs once when none are left.
    fn update_evacuation_progress(&self) {
        let evacuated = self.evacuation.borrow().evacuated.clone();
        for (name, state) in evacuated {
            let open = self.open_requests_in(&name);
            metrics::gauge!("shuntpier_evacuated_open", "data_centre" => name.to_string())
                .set(f64::from(open));
            if (open == 0) == state.is_empty {
                continue;
            }
            if open == 0 {
                slog::info!(self.log, "evacuated data centre is empty"; "data_centre" => &*name,
                    "after_ms" => self.now_ms() - state.since_ms);
            }
            if let Some(state) = self.evacuation.borrow_mut().evacuated.get_mut(&name) {
                state.is_empty = open == 0;
            }
        }
    }
}

/// Updates the progress of evacuations periodically, for the lifetime of the box.
pub(crate) async fn run_evacuation(relay: Rc<Relay>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        relay.update_evacuation_progress();
    }
}

#[cfg(test)]
#[path = "evacuation_tests.rs"]
mod tests;
