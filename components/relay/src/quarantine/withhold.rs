//! Which requests go to no target, as too many ended under them.

use crate::ingress::request::{Incoming, LocalReply};
use crate::quarantine::record::RECORDED_MIN;
use crate::state::Relay;
use operators::WithheldView;
use prelude::{AccountId, RequestKey, TargetEnd};
use settings::Mechanism;
use std::rc::Rc;

impl Relay {
    /// The answer to a request under which too many targets ended; none where it may be sent on. It stands before each send, not
    /// each try: second sends and tries beside the first end targets too.
    pub(crate) fn withheld_reply(&self, incoming: &Incoming) -> Option<LocalReply> {
        let is_on = self.settings().has(Mechanism::Quarantine);
        let withholds = self
            .quarantine
            .borrow()
            .is_withheld(incoming.key, self.now_ms());
        if !is_on || !withholds {
            return None;
        }
        slog::info!(self.log, "request withheld"; "id" => incoming.id(),
            "request" => %incoming.key, "after_ms" => self.now_ms() - incoming.came_ms);
        metrics::counter!("shuntpier_requests_withheld").increment(1);
        Some(LocalReply::Withheld)
    }

    /// Notes that a request was answered well: targets survive it.
    pub(crate) fn record_served_request(self: &Rc<Self>, request: RequestKey) {
        let now_ms = self.now_ms();
        let ends = self.quarantine.borrow().crashes_of(request, now_ms).len();
        let acquittal = self.quarantine.borrow_mut().record_answer(request, now_ms);
        // One end alone withholds nothing anywhere: most are of requests that stood beside, and telling each would cost more.
        if let Some(acquittal) = acquittal.filter(|_| ends >= RECORDED_MIN) {
            slog::info!(self.log, "request acquitted by an answer"; "request" => %request,
                "ends" => ends);
            self.tell_acquittal(acquittal);
        }
    }

    /// Clears a request by an operator's word, on all boxes. False where nothing is known of it.
    pub(crate) fn clear_request(self: &Rc<Self>, request: RequestKey) -> bool {
        let acquittal = self.quarantine.borrow_mut().clear(request, self.now_ms());
        let Some(acquittal) = acquittal else {
            return false;
        };
        slog::info!(self.log, "request cleared by an operator"; "request" => %request);
        self.tell_acquittal(acquittal);
        true
    }

    /// Notes that a target ended under requests, by this box's own sight, and tells the others.
    pub(super) fn ended_under(self: &Rc<Self>, name: &str, ends: &[TargetEnd]) {
        for end in ends {
            slog::info!(self.log, "target ended under a request"; "request" => %end.request,
                "target" => name, "ran_ms" => end.ran_ms);
            metrics::counter!("shuntpier_targets_ended_under_requests").increment(1);
        }
        let news = self.take_ends(ends, "own");
        self.tell_ends(&news);
        self.keep_record(&news);
    }

    /// Takes ends in. Gives those that are news.
    pub(super) fn take_ends(&self, ends: &[TargetEnd], source: &'static str) -> Vec<TargetEnd> {
        let now_ms = self.now_ms();
        let mut news = Vec::new();
        for end in ends {
            let before = self.quarantine.borrow().is_withheld(end.request, now_ms);
            if self.quarantine.borrow_mut().record_crash(end, now_ms) {
                news.push(*end);
            }
            let quarantine = self.quarantine.borrow();
            if !before && quarantine.is_withheld(end.request, now_ms) {
                slog::warn!(self.log, "request to be withheld"; "request" => %end.request,
                    "source" => source, "targets_ended" => quarantine.crashes_of(end.request, now_ms).len());
            }
        }
        let withheld = self.quarantine.borrow().withheld_requests(now_ms).len();
        metrics::gauge!("shuntpier_withheld_requests").set(withheld as f64);
        news
    }

    /// The requests that are withheld, for operators.
    pub(crate) fn withheld_views(&self) -> Vec<WithheldView> {
        let rows = self.quarantine.borrow().withheld_requests(self.now_ms());
        let view = |row: policy::WithheldRequest| WithheldView {
            request: row.request.to_string(),
            account: self.account_named(row.request.account),
            targets_ended: row.crashes,
            left_s: row.remaining_ms as f64 / 1000.0,
        };
        rows.into_iter().map(view).collect()
    }

    /// The name of an account that is still declared.
    fn account_named(&self, account: AccountId) -> Option<String> {
        let declared = self.declared()?;
        let mut accounts = declared.table.accounts.iter();
        let named = accounts.find(|rule| AccountId::from_name(&rule.name) == account);
        named.map(|rule| rule.name.to_string())
    }
}
