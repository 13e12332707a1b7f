//! Records the outcome of sends at their targets, and answers basic questions about a target.

use crate::forwarding::send::NotRun;
use crate::membership::gossip::broadcast_digest;
use crate::state::Relay;
use crate::watch::targets::{TargetRegistry, TargetSlot, TargetState};
use prelude::TargetId;
use settings::Mechanism;
use std::rc::Rc;

/// What one send or poll shows about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetOutcome {
    /// It answered correctly.
    Success,
    /// It refused the request as full.
    Full,
    /// Another target listens at its address.
    Gone,
    /// It announced that it is leaving.
    Leaving,
    /// It refused a connection, for which it is probed until it accepts one.
    RefusedConnection,
    /// It failed or could not be reached.
    Failure,
    /// No evidence, for example because the request was not sent.
    Unknown,
}

impl From<NotRun> for TargetOutcome {
    fn from(why: NotRun) -> Self {
        match why {
            NotRun::Refused { .. } => Self::Full,
            NotRun::Misdirected => Self::Gone,
            NotRun::ConnectionRefused => Self::RefusedConnection,
            NotRun::Unreachable => Self::Failure,
            NotRun::Evacuated
            | NotRun::Leaving
            | NotRun::ByteLimit
            | NotRun::BackingOff { .. }
            | NotRun::RateLimited { .. } => Self::Unknown,
        }
    }
}

impl NotRun {
    /// Whether the target received the request. A further attempt then takes from the retry budget.
    pub(crate) fn reached_target(self) -> bool {
        matches!(self, Self::Refused { .. } | Self::Misdirected)
    }
}

impl Relay {
    /// Records an outcome of a target. If the target turns out to be leaving, all boxes are notified.
    pub(crate) fn record_outcome(self: &Rc<Self>, slot: TargetSlot, outcome: TargetOutcome) {
        let now_ms = self.now_ms();
        let mut targets = self.targets.borrow_mut();
        let change = match outcome {
            TargetOutcome::Gone => targets.mark_leaving(slot),
            TargetOutcome::Leaving => targets.record_leaving_announcement(slot),
            _ => None,
        };
        if outcome == TargetOutcome::Full {
            targets.record_full(slot, now_ms);
        }
        let is_ejected = |targets: &TargetRegistry| {
            let target = targets.get(slot);
            target.is_some_and(|target| target.outlier.is_ejected(now_ms))
        };
        let was_ejected = is_ejected(&targets);
        match outcome {
            TargetOutcome::Success => {
                if let Some(target) = targets.get_mut(slot) {
                    target.outlier.record_success();
                }
            }
            TargetOutcome::Failure if self.settings().has(Mechanism::Suspicion) => {
                targets.record_failure(slot, now_ms);
            }
            TargetOutcome::Failure
            | TargetOutcome::Full
            | TargetOutcome::RefusedConnection
            | TargetOutcome::Gone
            | TargetOutcome::Leaving
            | TargetOutcome::Unknown => {}
        }
        let newly_ejected = is_ejected(&targets) && !was_ejected;
        drop(targets);
        if let Some(change) = change {
            self.handle_target_changes(&[change], "answer");
            broadcast_digest(self);
        }
        if newly_ejected {
            slog::info!(self.log, "target passed over"; "target" => self.name_of(slot));
            self.id_of(slot)
                .iter()
                .for_each(|id| self.sync_engines(&[*id]));
        }
    }

    /// Whether a target accepts new work, as far as this box knows.
    pub(crate) fn takes_work(&self, slot: TargetSlot) -> bool {
        let targets = self.targets.borrow();
        targets
            .get(slot)
            .is_some_and(|target| targets.takes_work(target))
    }

    /// Whether an incarnation has ended as far as this box knows: it is not listed, or another started under its name.
    pub(crate) fn is_gone(&self, slot: TargetSlot) -> bool {
        let targets = self.targets.borrow();
        targets
            .get(slot)
            .is_none_or(|target| target.state == TargetState::Gone)
    }

    /// Whether a target is leaving, and still serves what it has.
    pub(crate) fn is_leaving(&self, slot: TargetSlot) -> bool {
        let targets = self.targets.borrow();
        let target = targets.get(slot);
        target.is_some_and(|target| target.state == TargetState::Leaving)
    }

    /// The instance name of a target's incarnation; none if this box no longer tracks it.
    pub(crate) fn instance_of(&self, slot: TargetSlot) -> Option<Box<str>> {
        let targets = self.targets.borrow();
        targets
            .get(slot)
            .map(|target| target.entry.instance.clone())
    }

    /// A target's id; none if this box no longer tracks it.
    pub(crate) fn id_of(&self, slot: TargetSlot) -> Option<TargetId> {
        self.targets.borrow().get(slot).map(|target| target.id)
    }

    /// The instance name of a target for logs; empty if this box no longer tracks it.
    pub(crate) fn name_of(&self, slot: TargetSlot) -> String {
        self.instance_of(slot).unwrap_or_default().into()
    }
}
