//! What a try says of its target, for the requests that come after it.

use crate::forwarding::send::NotRun;
use crate::membership::gossip::tell_current;
use crate::state::Relay;
use crate::watch::targets::{Belief, TargetBook, TargetSlot};
use prelude::TargetId;
use settings::Mechanism;
use std::rc::Rc;

/// What a target showed of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetOutcome {
    /// It answered as it was to.
    Success,
    /// It is full, and says so.
    Full,
    /// This life is over, or works for others.
    Gone,
    /// It says itself that it leaves.
    Leaving,
    /// It failed.
    Failure,
    /// Nothing: it was not sent the request.
    Unknown,
}

impl From<NotRun> for TargetOutcome {
    fn from(why: NotRun) -> Self {
        match why {
            NotRun::Refused { .. } => Self::Full,
            NotRun::Misdirected | NotRun::ConnectionRefused => Self::Gone,
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
    /// Whether the target got the request: such sends count against the budget of second ones.
    pub(crate) fn reached_target(self) -> bool {
        matches!(self, Self::Refused { .. } | Self::Misdirected)
    }
}

impl Relay {
    /// Notes what a target showed of itself. That it left is told to all boxes.
    pub(crate) fn record_outcome(self: &Rc<Self>, slot: TargetSlot, outcome: TargetOutcome) {
        let now_ms = self.now_ms();
        let mut targets = self.targets.borrow_mut();
        let change = match outcome {
            TargetOutcome::Gone => targets.leaves(slot),
            TargetOutcome::Leaving => targets.says_it_leaves(slot),
            _ => None,
        };
        if outcome == TargetOutcome::Full {
            targets.full(slot, now_ms);
        }
        let is_ejected = |targets: &TargetBook| {
            let target = targets.get(slot);
            target.is_some_and(|target| target.suspicion.is_ejected(now_ms))
        };
        let was_ejected = is_ejected(&targets);
        match outcome {
            TargetOutcome::Success => {
                if let Some(target) = targets.get_mut(slot) {
                    target.suspicion.record_success();
                }
            }
            TargetOutcome::Failure if self.file().has(Mechanism::Suspicion) => {
                targets.failed(slot, now_ms);
            }
            TargetOutcome::Failure
            | TargetOutcome::Full
            | TargetOutcome::Gone
            | TargetOutcome::Leaving
            | TargetOutcome::Unknown => {}
        }
        let newly_ejected = is_ejected(&targets) && !was_ejected;
        drop(targets);
        if let Some(change) = change {
            self.took_changes(&[change], "answer");
            tell_current(self);
        }
        if newly_ejected {
            slog::info!(self.log, "target passed over"; "target" => self.name_of(slot));
            self.id_of(slot)
                .iter()
                .for_each(|id| self.sync_engines(&[*id]));
        }
    }

    /// Whether this box believes that a target takes new work.
    pub(crate) fn takes_work(&self, slot: TargetSlot) -> bool {
        let targets = self.targets.borrow();
        targets
            .get(slot)
            .is_some_and(|target| targets.takes_work(target))
    }

    /// Whether a life is over as far as this box knows: it is not listed, or another has begun under its name.
    pub(crate) fn is_gone(&self, slot: TargetSlot) -> bool {
        let targets = self.targets.borrow();
        targets
            .get(slot)
            .is_none_or(|target| target.belief == Belief::Gone)
    }

    /// The name of a target's life; none where it is forgotten.
    pub(crate) fn instance_of(&self, slot: TargetSlot) -> Option<Box<str>> {
        let targets = self.targets.borrow();
        targets
            .get(slot)
            .map(|target| target.entry.instance.clone())
    }

    /// A target's key in the policies; none where it is forgotten.
    pub(crate) fn id_of(&self, slot: TargetSlot) -> Option<TargetId> {
        self.targets.borrow().get(slot).map(|target| target.id)
    }

    /// The name of a target's life, for logs.
    pub(crate) fn name_of(&self, slot: TargetSlot) -> String {
        self.instance_of(slot).unwrap_or_default().into()
    }
}
