//! Data centres that operators have evacuated, on one box: since when, and how much of this box's work is still
//! there. What follows from it for placement is decided in [`crate::watch::targets::TargetBook::takes_work`] alone.

use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use prelude::DataCentreId;
use routing::Evacuations;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How often it is looked how much is still there.
const LOOK_EACH: Duration = Duration::from_millis(500);

/// One evacuated data centre.
#[derive(Clone, Copy, Debug)]
struct Evacuated {
    /// When this box learnt of it.
    since_ms: u64,
    /// Nothing of this box's work is there any more, and that was said.
    is_empty: bool,
}

/// The data centres whose evacuation begins or ends with a change.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Changed {
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
    /// As peers are told them.
    pub(crate) fn known(&self) -> &Evacuations {
        &self.known
    }

    /// Since when each data centre is known to be evacuated.
    pub(crate) fn since_ms(&self) -> Vec<(Box<str>, u64)> {
        let evacuated = self.evacuated.iter();
        evacuated
            .map(|(name, state)| (name.clone(), state.since_ms))
            .collect()
    }

    /// Changes what is known; none where the set stays.
    fn change(
        &mut self,
        now_ms: u64,
        change: impl FnOnce(&mut Evacuations) -> bool,
    ) -> Option<Changed> {
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
        Some(Changed { begun, ended })
    }
}

impl Relay {
    /// Changes which evacuations are known, and acts on what changed. Says whether anything did.
    pub(crate) fn change_evacuations(
        &self,
        source: &'static str,
        change: impl FnOnce(&mut Evacuations) -> bool,
    ) -> bool {
        let changed = self.evacuation.borrow_mut().change(self.now_ms(), change);
        let Some(Changed { begun, ended }) = changed else {
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

    /// Closes channels that rest at targets to which nothing more is sent.
    fn close_evacuated_channels(&self) {
        let targets = self.targets.borrow();
        let evacuated = targets
            .all()
            .filter(|(_, target)| targets.is_evacuated(target));
        let mut channels = self.channels.borrow_mut();
        evacuated.for_each(|(slot, _)| channels.close_target(slot));
    }

    /// Whether a target stands in an evacuated data centre.
    pub(crate) fn is_evacuated(&self, slot: TargetSlot) -> bool {
        let targets = self.targets.borrow();
        let target = targets.get(slot);
        target.is_some_and(|target| targets.is_evacuated(target))
    }

    /// Requests that this box has open at targets of a data centre.
    pub(crate) fn open_in(&self, data_centre: &str) -> u32 {
        let id = DataCentreId::from_name(data_centre);
        let targets = self.targets.borrow();
        let there = targets.all().filter(|(_, target)| target.data_centre == id);
        there.map(|(_, target)| target.open).sum()
    }

    /// Says of each evacuated data centre how much of this box's work is there, and once when nothing is left.
    fn look_at_evacuated(&self) {
        let evacuated = self.evacuation.borrow().evacuated.clone();
        for (name, state) in evacuated {
            let open = self.open_in(&name);
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

/// Looks how much is still in evacuated data centres, for as long as the box lives.
pub(crate) async fn run_evacuation(relay: Rc<Relay>) {
    loop {
        sleep(LOOK_EACH).await;
        relay.look_at_evacuated();
    }
}

#[cfg(test)]
#[path = "evacuation_tests.rs"]
mod tests;
