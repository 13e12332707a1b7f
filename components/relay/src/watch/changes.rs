//! Side effects of target changes: logs, closed channels, updated engine sets of dispatchers, and wake-ups of waiting
//! requests.

use crate::state::Relay;
use crate::watch::targets::{Change, TargetSlot};
use std::rc::Rc;

impl Relay {
    /// Logs changes of targets, closes the channels of ended incarnations and notifies dispatchers and waiting
    /// requests.
    pub(crate) fn handle_target_changes(self: &Rc<Self>, changes: &[Change], source: &'static str) {
        let mut changed = Vec::new();
        for change in changes {
            let (slot, label) = match change {
                Change::Added(slot) => (*slot, "came"),
                Change::Leaving(slot) => (*slot, "leaves"),
                Change::Removed(slot) => (*slot, "went"),
                Change::TurnedCold(slot) => (*slot, "cold"),
                Change::Restarted { slot, .. } => (*slot, "restarted"),
            };
            let targets = self.targets.borrow();
            if let Some(target) = targets.get(slot) {
                changed.push(target.id);
                slog::info!(self.log, "target"; "change" => label, "source" => source,
                    "instance" => &*target.entry.instance, "service" => &*target.entry.service,
                    "address" => %target.entry.address, "version" => %target.entry.version,
                    "born_ms" => target.entry.born_ms, "open" => target.open);
            }
            drop(targets);
            if matches!(change, Change::Restarted { .. }) {
                metrics::counter!("shuntpier_target_restarts").increment(1);
            }
            let ended = match change {
                Change::Leaving(slot) | Change::Removed(slot) => Some(*slot),
                Change::Restarted { previous, .. } => Some(*previous),
                Change::Added(_) | Change::TurnedCold(_) => None,
            };
            if let Some(ended) = ended {
                changed.extend(self.id_of(ended));
                if !matches!(change, Change::Leaving(_)) {
                    self.handle_unannounced_end(ended);
                }
                self.channels.borrow_mut().close_target(ended);
                self.targets.borrow_mut().remove_if_idle(ended);
            }
        }
        if !changes.is_empty() {
            self.sync_engines(&changed);
            self.target_changes.send_modify(|count| *count += 1);
        }
    }

    /// Records the end of an incarnation that was removed without having announced that it leaves.
    fn handle_unannounced_end(self: &Rc<Self>, slot: TargetSlot) {
        let incarnation = {
            let targets = self.targets.borrow();
            let unannounced = targets.get(slot).filter(|target| !target.was_leaving);
            unannounced.map(|target| (target.id, target.entry.instance.clone()))
        };
        if let Some((target, name)) = incarnation {
            self.record_unannounced_end(target, &name);
        }
    }
}
