//! Whether a request may be sent to a target: decided here for every way in which requests are sent, and looked at again
//! at the moment of sending.

use crate::forwarding::send::NotRun;
use crate::rate_limit::token::TokenAsk;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use std::rc::Rc;

/// What is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SendKind {
    /// A plain call.
    Call(TokenAsk),
    /// A generation whose dispatcher placed it on the target, within the target's rate limit.
    Generation,
    /// A running generation that goes on where it was placed, or at its source, where it was counted when it began.
    Continuation,
}

/// The permission to send one request to one target.
#[derive(Debug)]
pub(crate) struct Admission {
    pub(crate) slot: TargetSlot,
    /// It counts towards the target's rate limit, if that has one.
    is_counted: bool,
    /// It runs already: a target that leaves serves what it has.
    is_running: bool,
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
            is_counted: true,
            is_running: matches!(kind, SendKind::Continuation),
        };
        if let Some(why) = self.bars(&admission) {
            return Err(why);
        }
        if let SendKind::Call(ask) = kind {
            admission.is_counted = self.rate_limit_of(slot).is_some();
            let token = self.take_rate_token(slot, &ask).await;
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
        if !admission.is_running && !self.takes_work(slot) {
            // It was chosen before the target's word came here.
            metrics::counter!("shuntpier_leaving_sends_withheld").increment(1);
            return Some(NotRun::Leaving);
        }
        if !admission.is_counted && self.rate_limit_of(slot).is_some() {
            // The limit became known after it was admitted.
            metrics::counter!("shuntpier_rate_limited_sends_withheld").increment(1);
            return Some(NotRun::Limited { retry_after_ms: 0 });
        }
        None
    }
}
