//! Whether a request may be sent to a target: decided here for every way in which requests are sent, and looked at again
//! at the moment of sending.

use crate::forwarding::send::NotRun;
use crate::rate_limit::token::TokenRequest;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use std::rc::Rc;

/// What is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SendKind {
    /// A plain call.
    Call(TokenRequest),
    /// A generation whose dispatcher placed it on the target, within the target's rate limit.
    Generation,
    /// A running generation that goes on where it was placed.
    Continuation,
    /// A running generation that goes on at its source, as it could not where it was placed. It was counted there when it
    /// began, and is lost if it is not sent.
    Resumption,
}

/// The permission to send one request to one target.
#[derive(Debug)]
pub(crate) struct Admission {
    pub(crate) slot: TargetSlot,
    kind: SendKind,
    /// It counts towards the target's rate limit, if that has one.
    is_counted: bool,
}

impl SendKind {
    /// Whether it runs already: a target that leaves serves what it has.
    fn is_running(self) -> bool {
        matches!(self, Self::Continuation | Self::Resumption)
    }
}

impl Relay {
    /// Admits a request to a target.
    ///
    /// # Errors
    /// Why it may not be sent.
    pub(crate) async fn admit(
        self: &Rc<Self>,
        slot: TargetSlot,
        kind: SendKind,
    ) -> Result<Admission, NotRun> {
        let mut admission = Admission {
            slot,
            kind,
            is_counted: true,
        };
        if let Some(why) = self.bars(&admission) {
            return Err(why);
        }
        if let SendKind::Call(ask) = kind {
            admission.is_counted = self.rate_limit_of(slot).is_some();
            let token = self.acquire_rate_token(slot, &ask).await;
            token.map_err(|retry_after_ms| NotRun::Limited { retry_after_ms })?;
        }
        Ok(admission)
    }

    /// Why an admitted request may not be sent now, if it may not.
    pub(super) fn bars(&self, admission: &Admission) -> Option<NotRun> {
        let slot = admission.slot;
        if self.is_evacuated(slot) {
            // It was placed before the order came here.
            metrics::counter!("shuntpier_evacuated_sends_withheld").increment(1);
            return Some(NotRun::Evacuated);
        }
        if !admission.kind.is_running() && !self.takes_work(slot) {
            // It was chosen before the target's word came here.
            metrics::counter!("shuntpier_leaving_sends_withheld").increment(1);
            return Some(NotRun::Leaving);
        }
        if let Some(retry_after_ms) = self.pause_left_ms(admission) {
            metrics::counter!("shuntpier_backoff_sends_withheld").increment(1);
            return Some(NotRun::BackingOff { retry_after_ms });
        }
        if !admission.is_counted && self.rate_limit_of(slot).is_some() {
            // The limit became known after it was admitted.
            metrics::counter!("shuntpier_rate_limited_sends_withheld").increment(1);
            return Some(NotRun::Limited { retry_after_ms: 0 });
        }
        None
    }

    /// What is left of the pause that a target asked this box for, where a request is kept from it by that.
    fn pause_left_ms(&self, admission: &Admission) -> Option<u64> {
        if matches!(admission.kind, SendKind::Resumption) {
            return None;
        }
        let targets = self.targets.borrow();
        targets
            .get(admission.slot)?
            .backoff
            .remaining_ms(self.now_ms())
    }
}
