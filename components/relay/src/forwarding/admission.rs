//! Decides whether a request may be sent to a target, for all kinds of sends. The decision is checked again immediately
//! before sending.

use crate::forwarding::send::NotRun;
use crate::rate_limit::token::TokenRequest;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use std::rc::Rc;

/// What kind of request is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SendKind {
    /// A plain call.
    Call(TokenRequest),
    /// A new generation, placed on the target by its dispatcher within the target's rate limit.
    Generation,
    /// A running generation that resumes at the target it is moved to.
    Continuation,
    /// A running generation that resumes at its source because the move failed. It was counted there when it began, and
    /// is lost if it is not sent.
    Resumption,
}

/// The permission to send one request to one target.
#[derive(Debug)]
pub(crate) struct Admission {
    pub(crate) slot: TargetSlot,
    kind: SendKind,
    /// Whether the request was counted against the target's rate limit, if there is one.
    is_rate_counted: bool,
}

impl SendKind {
    /// Whether the generation is already running: a leaving target still serves what it has.
    fn is_running(self) -> bool {
        matches!(self, Self::Continuation | Self::Resumption)
    }
}

impl Relay {
    /// Admits a request to a target.
    ///
    /// # Errors
    /// The reason why the request may not be sent.
    pub(crate) async fn admit(
        self: &Rc<Self>,
        slot: TargetSlot,
        kind: SendKind,
    ) -> Result<Admission, NotRun> {
        let mut admission = Admission {
            slot,
            kind,
            is_rate_counted: true,
        };
        if let Some(why) = self.refusal_reason(&admission) {
            return Err(why);
        }
        if let SendKind::Call(token_request) = kind {
            admission.is_rate_counted = self.rate_limit_of(slot).is_some();
            let token = self.acquire_rate_token(slot, &token_request).await;
            token.map_err(|retry_after_ms| NotRun::RateLimited { retry_after_ms })?;
        }
        Ok(admission)
    }

    /// The reason why an admitted request may not be sent now; none if it may.
    pub(super) fn refusal_reason(&self, admission: &Admission) -> Option<NotRun> {
        let slot = admission.slot;
        if self.is_evacuated(slot) {
            // The request was placed before this box received the evacuation order.
            metrics::counter!("shuntpier_evacuated_sends_withheld").increment(1);
            return Some(NotRun::Evacuated);
        }
        if !admission.kind.is_running() && !self.takes_work(slot) {
            // The target was chosen before this box learned that it is leaving.
            metrics::counter!("shuntpier_leaving_sends_withheld").increment(1);
            return Some(NotRun::Leaving);
        }
        if let Some(retry_after_ms) = self.remaining_backoff_ms(admission) {
            metrics::counter!("shuntpier_backoff_sends_withheld").increment(1);
            return Some(NotRun::BackingOff { retry_after_ms });
        }
        if !admission.is_rate_counted && self.rate_limit_of(slot).is_some() {
            // The rate limit became known after the request was admitted.
            metrics::counter!("shuntpier_rate_limited_sends_withheld").increment(1);
            return Some(NotRun::RateLimited { retry_after_ms: 0 });
        }
        None
    }

    /// The remaining backoff (ms) of a target, unless the request is exempt from it.
    fn remaining_backoff_ms(&self, admission: &Admission) -> Option<u64> {
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
