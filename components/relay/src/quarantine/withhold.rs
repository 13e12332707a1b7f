//! Withholds requests that crashed too many targets.

use crate::ingress::request::{IncomingRequest, LocalReply};
use crate::quarantine::record::RECORDED_CRASHES_MIN;
use crate::state::Relay;
use operators::WithheldView;
use prelude::{AccountId, RequestKey, TargetEnd};
use settings::Mechanism;
use std::rc::Rc;

impl Relay {
    /// The reply to a withheld request; none if the request may be sent to a target. Checked before every send, also of
    /// retries and hedged requests, because these crash targets too.
    pub(crate) fn withheld_reply(&self, incoming: &IncomingRequest) -> Option<LocalReply> {
        let is_on = self.settings().has(Mechanism::Quarantine);
        let is_withheld = self
            .quarantine
            .borrow()
            .is_withheld(incoming.key, self.now_ms());
        if !is_on || !is_withheld {
            return None;
        }
        slog::info!(self.log, "request withheld"; "id" => incoming.id(),
            "request" => %incoming.key, "after_ms" => self.now_ms() - incoming.arrived_ms);
        metrics::counter!("shuntpier_requests_withheld").increment(1);
        Some(LocalReply::Withheld)
    }

    /// Records a successful answer to a request: a target survived it, which acquits the request.
    pub(crate) fn record_served_request(self: &Rc<Self>, request: RequestKey) {
        let now_ms = self.now_ms();
        let crashes = self.quarantine.borrow().crashes_of(request, now_ms).len();
        let acquittal = self.quarantine.borrow_mut().record_answer(request, now_ms);
        // A single crash withholds a request on no box. Most requests with one crash did not cause it, and a broadcast for
        // each of them would cost more than it saves.
        if let Some(acquittal) = acquittal.filter(|_| crashes >= RECORDED_CRASHES_MIN) {
            slog::info!(self.log, "request acquitted by an answer"; "request" => %request,
                "ends" => crashes);
            self.broadcast_acquittal(acquittal);
        }
    }

    /// Clears a request on all boxes, by order of an operator. Returns false if the request is unknown.
    pub(crate) fn clear_request(self: &Rc<Self>, request: RequestKey) -> bool {
        let acquittal = self.quarantine.borrow_mut().clear(request, self.now_ms());
        let Some(acquittal) = acquittal else {
            return false;
        };
        slog::info!(self.log, "request cleared by an operator"; "request" => %request);
        self.broadcast_acquittal(acquittal);
        true
    }

    /// Records crashes that this box observed itself, broadcasts them, and stores them.
    pub(super) fn report_crashes(self: &Rc<Self>, name: &str, crashes: &[TargetEnd]) {
        for crash in crashes {
            slog::info!(self.log, "target ended under a request"; "request" => %crash.request,
                "target" => name, "ran_ms" => crash.ran_ms);
            metrics::counter!("shuntpier_targets_ended_under_requests").increment(1);
        }
        let new_crashes = self.apply_crashes(crashes, "own");
        self.broadcast_crashes(&new_crashes);
        self.store_crashes(&new_crashes);
    }

    /// Applies crashes to the quarantine; returns those that were not known.
    pub(super) fn apply_crashes(
        &self,
        crashes: &[TargetEnd],
        source: &'static str,
    ) -> Vec<TargetEnd> {
        let now_ms = self.now_ms();
        let mut new_crashes = Vec::new();
        for crash in crashes {
            let was_withheld = self.quarantine.borrow().is_withheld(crash.request, now_ms);
            if self.quarantine.borrow_mut().record_crash(crash, now_ms) {
                new_crashes.push(*crash);
            }
            let quarantine = self.quarantine.borrow();
            if !was_withheld && quarantine.is_withheld(crash.request, now_ms) {
                slog::warn!(self.log, "request to be withheld"; "request" => %crash.request,
                    "source" => source, "targets_ended" => quarantine.crashes_of(crash.request, now_ms).len());
            }
        }
        let withheld_count = self.quarantine.borrow().withheld_requests(now_ms).len();
        metrics::gauge!("shuntpier_withheld_requests").set(withheld_count as f64);
        new_crashes
    }

    /// The withheld requests, for the operators' view.
    pub(crate) fn withheld_views(&self) -> Vec<WithheldView> {
        let requests = self.quarantine.borrow().withheld_requests(self.now_ms());
        let view = |withheld: policy::WithheldRequest| WithheldView {
            request: withheld.request.to_string(),
            account: self.declared_account_name(withheld.request.account),
            targets_ended: withheld.crashes,
            left_s: withheld.remaining_ms as f64 / 1000.0,
        };
        requests.into_iter().map(view).collect()
    }

    /// The name of an account; none if it is no longer declared.
    fn declared_account_name(&self, account: AccountId) -> Option<String> {
        let declared = self.declared()?;
        let mut accounts = declared.table.accounts.iter();
        let rule = accounts.find(|rule| AccountId::from_name(&rule.name) == account);
        rule.map(|rule| rule.name.to_string())
    }
}
