//! Withholds requests whose prompt parts, or which themselves, crashed too many targets.

use crate::ingress::request::{IncomingRequest, LocalReply};
use crate::quarantine::record::RECORDED_CRASHES_MIN;
use crate::state::Relay;
use operators::WithheldView;
use policy::{QuarantineVerdict, Trial, WithheldCause};
use prelude::{AccountId, Acquittal, PartKey, Suspect, TargetEnd};
use settings::Mechanism;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

impl Relay {
    /// The reply to a withheld request; none if the request may be sent to a target. Checked before every send, also of
    /// retries and hedged requests, because these crash targets too.
    pub(crate) fn withheld_reply(&self, incoming: &IncomingRequest) -> Option<LocalReply> {
        let is_withheld = match self.quarantine_verdict(incoming) {
            QuarantineVerdict::Send | QuarantineVerdict::Held { .. } => false,
            QuarantineVerdict::Trial(trial) => !self.may_try(trial),
            QuarantineVerdict::Withheld => true,
        };
        is_withheld.then(|| self.withhold(incoming))
    }

    /// Like [`Relay::withheld_reply`], after waiting until it is decided whether the request is withheld.
    pub(crate) async fn decided_withheld_reply(
        &self,
        incoming: &IncomingRequest,
    ) -> Option<LocalReply> {
        let mut changes = self.quarantine_changes.subscribe();
        while let QuarantineVerdict::Held { remaining_ms } = self.quarantine_verdict(incoming) {
            let _ = timeout(Duration::from_millis(remaining_ms), changes.changed()).await;
        }
        self.withheld_reply(incoming)
    }

    /// Records that a request is about to be sent to an engine. If it is sent on trial, no other one is.
    pub(crate) fn begin_trial(&self, incoming: &IncomingRequest) {
        if let QuarantineVerdict::Trial(trial) = self.quarantine_verdict(incoming) {
            slog::info!(self.log, "request sent on trial"; "id" => incoming.id(),
                "request" => %incoming.key, "trial" => trial.number);
            incoming.is_on_trial.set(true);
            self.last_trials
                .borrow_mut()
                .insert(trial.role, trial.number);
        }
    }

    /// Waits until a request that was sent, and has not begun to be answered, is to be taken back.
    pub(crate) async fn wait_until_withheld(&self, incoming: &IncomingRequest) {
        let mut changes = self.quarantine_changes.subscribe();
        loop {
            match self.quarantine_verdict(incoming) {
                QuarantineVerdict::Withheld => return,
                QuarantineVerdict::Held { remaining_ms } => {
                    let _ = timeout(Duration::from_millis(remaining_ms), changes.changed()).await;
                }
                QuarantineVerdict::Send | QuarantineVerdict::Trial(_) => {
                    let _ = changes.changed().await;
                }
            }
        }
    }

    fn quarantine_verdict(&self, incoming: &IncomingRequest) -> QuarantineVerdict {
        if incoming.is_on_trial.get() || !self.settings().has(Mechanism::Quarantine) {
            return QuarantineVerdict::Send;
        }
        let quarantine = self.quarantine.borrow();
        quarantine.verdict(incoming.key, &incoming.parts, self.now_ms())
    }

    /// Whether a trial is this box's, and not begun. Boxes take turns.
    fn may_try(&self, trial: Trial) -> bool {
        let is_begun = self.last_trials.borrow().get(&trial.role) == Some(&trial.number);
        let members = self.members.borrow();
        !is_begun && members.has_turn(trial.role, trial.number, self.is_stopping(), self.now_ms())
    }

    fn withhold(&self, incoming: &IncomingRequest) -> LocalReply {
        slog::info!(self.log, "request withheld"; "id" => incoming.id(),
            "request" => %incoming.key, "parts" => incoming.shared_part_ids(),
            "after_ms" => incoming.arrival.elapsed_ms(self.now_ms()));
        metrics::counter!("shuntpier_requests_withheld").increment(1);
        LocalReply::Withheld
    }

    /// Records a successful answer to a request: a target survived it, which acquits the request.
    pub(crate) fn record_served_request(self: &Rc<Self>, incoming: &IncomingRequest) {
        let suspect = Suspect::Request(incoming.key);
        let now_ms = self.now_ms();
        let crashes = self.quarantine.borrow().crashes_of(suspect, now_ms).len();
        // A single crash withholds a request on no box. Most requests with one crash did not cause it, and a broadcast for
        // each of them would cost more than it saves.
        let acquittal = self.record_answer(suspect);
        if let Some(acquittal) = acquittal.filter(|_| crashes >= RECORDED_CRASHES_MIN) {
            self.broadcast_answer(acquittal, crashes);
        }
    }

    /// Records that a target survived the beginning of an answer, which acquits the parts of the prompt.
    pub(crate) fn record_served_parts(self: &Rc<Self>, parts: &[PartKey]) {
        for part in parts {
            let suspect = Suspect::Part(*part);
            let now_ms = self.now_ms();
            let crashes = self.quarantine.borrow().crashes_of(suspect, now_ms).len();
            // Sound parts meet crashes all the time. What boxes hold back or have recorded is worth a broadcast.
            let concerns_others = self.quarantine.borrow().is_implicated(suspect, now_ms)
                || self.recorded_suspects.borrow().contains(&suspect);
            let acquittal = self.record_answer(suspect);
            if let Some(acquittal) = acquittal.filter(|_| concerns_others) {
                self.broadcast_answer(acquittal, crashes);
            }
        }
    }

    fn record_answer(&self, suspect: Suspect) -> Option<Acquittal> {
        let now_ms = self.now_ms();
        let acquittal = self
            .quarantine
            .borrow_mut()
            .record_answer(suspect, now_ms)?;
        self.quarantine_changed();
        Some(acquittal)
    }

    fn broadcast_answer(self: &Rc<Self>, acquittal: Acquittal, crashes: usize) {
        slog::info!(self.log, "request acquitted by an answer"; "request" => %acquittal.suspect,
            "ends" => crashes);
        self.broadcast_acquittal(acquittal);
    }

    /// Clears a request or prompt part on all boxes, by order of an operator, with all parts that are withheld together with
    /// it. Returns false if it is unknown.
    pub(crate) fn clear_suspect(self: &Rc<Self>, suspect: Suspect) -> bool {
        let acquittals = self.quarantine.borrow_mut().clear(suspect, self.now_ms());
        for acquittal in &acquittals {
            slog::info!(self.log, "request cleared by an operator"; "request" => %acquittal.suspect);
            self.broadcast_acquittal(*acquittal);
        }
        self.quarantine_changed();
        !acquittals.is_empty()
    }

    /// Records crashes that this box observed itself, broadcasts them, and stores them.
    pub(super) fn report_crashes(self: &Rc<Self>, name: &str, crashes: &[TargetEnd]) {
        for crash in crashes {
            match crash.suspect {
                Suspect::Request(request) => {
                    slog::info!(self.log, "target ended under a request"; "request" => %request,
                        "target" => name, "ran_ms" => crash.ran_ms);
                    metrics::counter!("shuntpier_targets_ended_under_requests").increment(1);
                }
                Suspect::Part(part) => {
                    slog::info!(self.log, "target ended under a prompt part"; "part" => %part,
                        "target" => name, "ran_ms" => crash.ran_ms, "runs" => crash.runs.len());
                }
            }
        }
        let new_crashes = self.apply_crashes(crashes, "own");
        self.broadcast_crashes(&new_crashes);
        self.store_crashes(&new_crashes);
    }

    /// Applies crashes to the quarantine; returns those that were not known.
    pub(super) fn apply_crashes(
        self: &Rc<Self>,
        crashes: &[TargetEnd],
        source: &'static str,
    ) -> Vec<TargetEnd> {
        let now_ms = self.now_ms();
        let recorded = self.quarantine.borrow_mut().record_crashes(crashes, now_ms);
        for cause in &recorded.new_causes {
            slog::warn!(self.log, "request to be withheld"; "request" => cause.to_string(),
                "source" => source, "targets_ended" => cause.crashes,
                "over_ms" => cause.crashed_over_ms);
            self.query_answers(cause);
        }
        self.quarantine_changed();
        recorded.new_crashes
    }

    /// Lets requests that wait for a verdict check it again.
    pub(super) fn quarantine_changed(&self) {
        let withheld = self.quarantine.borrow().withheld_causes(self.now_ms());
        metrics::gauge!("shuntpier_withheld_requests").set(withheld.len() as f64);
        self.quarantine_changes.send_modify(|count| *count += 1);
    }

    /// The withheld requests and prompt parts, for the operators' view.
    pub(crate) fn withheld_views(&self) -> Vec<WithheldView> {
        let causes = self.quarantine.borrow().withheld_causes(self.now_ms());
        let view = |cause: WithheldCause| WithheldView {
            request: cause.to_string(),
            account: self.account_of(&cause.suspects),
            targets_ended: cause.crashes,
            left_s: cause.remaining_ms as f64 / 1000.0,
        };
        causes.into_iter().map(view).collect()
    }

    /// The account of a withheld request. Prompt parts belong to none.
    fn account_of(&self, suspects: &[Suspect]) -> Option<String> {
        match suspects {
            [Suspect::Request(request)] => self.declared_account_name(request.account),
            _ => None,
        }
    }

    /// The name of an account; none if it is no longer declared.
    fn declared_account_name(&self, account: AccountId) -> Option<String> {
        let declared = self.declared()?;
        let mut accounts = declared.table.accounts.iter();
        let rule = accounts.find(|rule| AccountId::from_name(&rule.name) == account);
        rule.map(|rule| rule.name.to_string())
    }
}
