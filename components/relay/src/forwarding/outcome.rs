//! What a try says of its target, for the requests that come after it.

use crate::forwarding::send::NotRun;
use crate::membership::gossip::broadcast_digest;
use crate::state::Relay;
use crate::watch::targets::{TargetRegistry, TargetSlot, TargetState};
use prelude::TargetId;
use settings::Mechanism;
use std::rc::Rc;

/// What a target showed of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetOutcome {
    /// It answered as it was to.
    Well,
    /// It is full, and says so.
    Full,
    /// This life is over, or works for others.
    Left,
    /// It says itself that it leaves.
    Leaves,
    /// It failed.
    Failed,
    /// Nothing: it was not sent the request.
    Untried,
}

impl From<NotRun> for TargetOutcome {
    fn from(why: NotRun) -> Self {
        match why {
            NotRun::Refused { .. } => Self::Full,
            NotRun::Misdirected | NotRun::Dead => Self::Left,
            NotRun::Unreachable => Self::Failed,
            NotRun::Evacuated
            | NotRun::Leaving
            | NotRun::Heavy
            | NotRun::BackingOff { .. }
            | NotRun::Limited { .. } => Self::Untried,
        }
    }
}

impl NotRun {
    /// Whether the target got the request: such sends count against the budget of second ones.
    pub(crate) fn arrived(self) -> bool {
        matches!(self, Self::Refused { .. } | Self::Misdirected)
    }
}

impl Relay {
    /// Notes what a target showed of itself. That it left is told to all boxes.
    pub(crate) fn record_outcome(self: &Rc<Self>, slot: TargetSlot, word: TargetOutcome) {
        let now_ms = self.now_ms();
        let mut targets = self.targets.borrow_mut();
        let left = match word {
            TargetOutcome::Left => targets.mark_leaving(slot),
            TargetOutcome::Leaves => targets.record_leaving_announcement(slot),
            _ => None,
        };
        if word == TargetOutcome::Full {
            targets.record_full(slot, now_ms);
        }
        let passed_over = |targets: &TargetRegistry| {
            let target = targets.get(slot);
            target.is_some_and(|target| target.outlier.is_ejected(now_ms))
        };
        let before = passed_over(&targets);
        match word {
            TargetOutcome::Well => {
                if let Some(target) = targets.get_mut(slot) {
                    target.outlier.record_success();
                }
            }
            TargetOutcome::Failed if self.settings().has(Mechanism::Suspicion) => {
                targets.record_failure(slot, now_ms);
            }
            TargetOutcome::Failed
            | TargetOutcome::Full
            | TargetOutcome::Left
            | TargetOutcome::Leaves
            | TargetOutcome::Untried => {}
        }
        let doubted = passed_over(&targets) && !before;
        drop(targets);
        if let Some(change) = left {
            self.handle_target_changes(&[change], "answer");
            broadcast_digest(self);
        }
        if doubted {
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
    pub(crate) fn is_over(&self, slot: TargetSlot) -> bool {
        let targets = self.targets.borrow();
        targets
            .get(slot)
            .is_none_or(|target| target.state == TargetState::Gone)
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
