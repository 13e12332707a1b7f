//! Targets that refuse connections of this box. They get no work from it until they accept one.

use crate::forwarding::reachability::probe;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use peers::HintWord;
use std::rc::Rc;
use tokio::task::spawn_local;

/// A target that refuses connections for longer than this is reported to operators, in ms.
const LASTING_MS: u64 = 3_000;

impl Relay {
    /// Records a refused connection. The target gets no work from this box until it accepts a connection. Returns whether it
    /// was accepting them before.
    pub(super) fn record_refused(self: &Rc<Self>, slot: TargetSlot, service: &str) -> bool {
        if self.is_service_lost(service) {
            return false;
        }
        let now_ms = self.now_ms();
        let is_new = self.paths.refused.borrow_mut().record_refusal(slot, now_ms);
        if !is_new {
            return false;
        }
        self.paths.suspected.notify_one();
        slog::info!(self.log, "target refuses connections"; "target" => self.name_of(slot));
        metrics::counter!("shuntpier_targets_refusing").increment(1);
        self.set_refusing(slot, true);
        true
    }

    /// Notifies other boxes of a target that refuses connections. They check it themselves, as the path of this box may be
    /// what fails.
    pub(super) fn report_refusal(self: &Rc<Self>, slot: TargetSlot) {
        self.report_if_path_is_sound(slot, move |relay| {
            relay.broadcast_hint(slot, HintWord::Refused);
        });
    }

    /// Lets targets get work from this box again.
    pub(super) fn accept_again(self: &Rc<Self>, slots: &[TargetSlot]) {
        for slot in slots {
            let was_refusing = self.paths.refused.borrow_mut().remove(*slot);
            if was_refusing {
                slog::info!(self.log, "target accepts connections again"; "target" => self.name_of(*slot));
                self.set_refusing(*slot, false);
            }
        }
    }

    fn set_refusing(self: &Rc<Self>, slot: TargetSlot, is_refusing: bool) {
        let id = {
            let mut targets = self.targets.borrow_mut();
            let Some(target) = targets.get_mut(slot) else {
                return;
            };
            target.is_refusing = is_refusing;
            target.id
        };
        self.sync_engines(&[id]);
        self.target_changes.send_modify(|count| *count += 1);
    }

    /// The targets of a service that refuse connections.
    pub(super) fn refusing_targets(&self, service: &str) -> Vec<TargetSlot> {
        let targets = self.targets.borrow();
        let is_of_service = |slot: &TargetSlot| {
            let target = targets.get(*slot);
            target.is_some_and(|target| &*target.entry.service == service)
        };
        let mut refusing = self.paths.refused.borrow().all();
        refusing.retain(is_of_service);
        refusing
    }

    /// Connects to a target that another box reports as refusing connections.
    pub(crate) fn check_reported_refusal(self: &Rc<Self>, slot: TargetSlot) {
        let address = {
            let targets = self.targets.borrow();
            let unchecked = targets.get(slot).filter(|target| !target.is_refusing);
            unchecked.map(|target| target.entry.address)
        };
        if let Some(address) = address {
            spawn_local(probe(self.clone(), slot, address));
        }
    }

    /// Logs the targets that have refused connections for long although the store still lists them.
    fn log_lasting_refusals(&self) {
        let now_ms = self.now_ms();
        let mut refused = self.paths.refused.borrow_mut();
        for (slot, lasted_ms) in refused.take_lasting(LASTING_MS, now_ms) {
            if self.is_gone(slot) {
                continue;
            }
            slog::warn!(self.log, "target refuses connections but the store lists it";
                "target" => self.name_of(slot), "for_ms" => lasted_ms);
        }
    }

    /// Probes the targets that refuse connections.
    pub(super) fn probe_refusing_targets(self: &Rc<Self>) {
        self.log_lasting_refusals();
        let due = self.paths.refused.borrow().due(self.now_ms());
        for slot in due {
            let address = self
                .targets
                .borrow()
                .get(slot)
                .map(|target| target.entry.address);
            match address {
                Some(address) => drop(spawn_local(probe(self.clone(), slot, address))),
                None => drop(self.paths.refused.borrow_mut().remove(slot)),
            }
        }
    }
}
