//! What follows from changes of targets: lines, channels that close, engines that dispatchers use, and whoever waits for them.

use crate::state::Relay;
use crate::watch::targets::{Change, TargetSlot};
use std::rc::Rc;

impl Relay {
    /// Acts on changes of targets.
    pub(crate) fn took_changes(self: &Rc<Self>, changes: &[Change], source: &'static str) {
        let mut changed = Vec::new();
        for change in changes {
            let (slot, word) = match change {
                Change::Came(slot) => (*slot, "came"),
                Change::Leaves(slot) => (*slot, "leaves"),
                Change::Went(slot) => (*slot, "went"),
                Change::Cold(slot) => (*slot, "cold"),
                Change::Restarted { slot, .. } => (*slot, "restarted"),
            };
            let targets = self.targets.borrow();
            if let Some(target) = targets.get(slot) {
                changed.push(target.id);
                slog::info!(self.log, "target"; "change" => word, "source" => source,
                    "instance" => &*target.entry.instance, "service" => &*target.entry.service,
                    "address" => %target.entry.address, "version" => %target.entry.version,
                    "born_ms" => target.entry.born_ms, "open" => target.open);
            }
            drop(targets);
            if matches!(change, Change::Restarted { .. }) {
                metrics::counter!("shuntpier_target_restarts").increment(1);
            }
            let ended = match change {
                Change::Leaves(slot) | Change::Went(slot) => Some(*slot),
                Change::Restarted { former, .. } => Some(*former),
                Change::Came(_) | Change::Cold(_) => None,
            };
            if let Some(ended) = ended {
                changed.extend(self.id_of(ended));
                if !matches!(change, Change::Leaves(_)) {
                    self.note_unannounced_end(ended);
                }
                self.channels.borrow_mut().close_target(ended);
                self.targets.borrow_mut().sweep(ended);
            }
        }
        if !changes.is_empty() {
            self.sync_engines(&changed);
            self.target_changes.send_modify(|count| *count += 1);
        }
    }

    /// Notes the end of a life that is listed no more, where it had not said that it leaves.
    fn note_unannounced_end(self: &Rc<Self>, slot: TargetSlot) {
        let life = {
            let targets = self.targets.borrow();
            let unannounced = targets.get(slot).filter(|target| !target.left);
            unannounced.map(|target| (target.id, target.entry.instance.clone()))
        };
        if let Some((target, name)) = life {
            self.ended_unannounced(target, &name);
        }
    }
}
