//! How a call to a target with a rate limit gets its token: from the target's coordinator, or from this box's own share
//! where it reaches none.

use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use peers::{RateTokenReply, RateTokenRequest};
use prelude::{AccountId, BoxId};
use std::rc::Rc;
use std::time::Duration;

/// What an answer may take beyond the time that the call waits there.
const CALL_SLACK: Duration = Duration::from_millis(120);
/// How long a denial keeps other calls of this box from asking for the same target.
const DENIED_FOR_MS: u64 = 250;

/// A call that needs a token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenRequest {
    /// Whose call it is.
    pub account: AccountId,
    /// 0 for the most urgent.
    pub rank: u8,
    /// How long it may wait.
    pub wait_ms: u64,
    /// Its caller is sent away where it gets none.
    pub is_last_try: bool,
}

impl Relay {
    /// Gets the token of one call, where its target has a rate limit.
    ///
    /// # Errors
    /// When there may be one, from now.
    pub(crate) async fn acquire_rate_token(
        self: &Rc<Self>,
        slot: TargetSlot,
        ask: &TokenRequest,
    ) -> Result<(), u64> {
        let now_ms = self.now_ms();
        let Some(no_token_until_ms) = self.no_token_until_ms(slot, now_ms) else {
            return Ok(());
        };
        if no_token_until_ms > now_ms && !ask.is_last_try {
            return Err(no_token_until_ms - now_ms);
        }
        let reply = self.ask_coordinator(slot, ask).await;
        let is_coordinated = matches!(
            reply,
            Some(RateTokenReply::Granted | RateTokenReply::Denied { .. })
        );
        if let Some(target) = self
            .targets
            .borrow_mut()
            .get_mut(slot)
            .filter(|_| is_coordinated)
        {
            target.rate_limit.share.reset();
        }
        let outcome = match reply {
            Some(RateTokenReply::Granted) => Ok(()),
            Some(RateTokenReply::Denied { retry_after_ms }) => Err(u64::from(retry_after_ms)),
            Some(RateTokenReply::NotLimited(rate)) => {
                self.observe_peer_rate(&rate, self.now_ms() - now_ms);
                self.take_own_token(slot)
            }
            Some(RateTokenReply::NotCoordinator) | None => self.take_own_token(slot),
        };
        let word = match outcome {
            Ok(()) => "granted",
            Err(_) => "denied",
        };
        metrics::counter!("shuntpier_rate_tokens", "outcome" => word).increment(1);
        if let Err(retry_after_ms) = outcome {
            self.note_denied(slot, retry_after_ms);
        }
        outcome
    }

    /// Until when there are no tokens for a target, as far as is known; none where it has no limit.
    fn no_token_until_ms(&self, slot: TargetSlot, now_ms: u64) -> Option<u64> {
        let targets = self.targets.borrow();
        let limit = &targets.get(slot)?.rate_limit;
        limit.announced.rate_per_s(now_ms)?;
        Some(limit.no_token_until_ms)
    }

    fn note_denied(&self, slot: TargetSlot, retry_after_ms: u64) {
        let until_ms = self.now_ms() + retry_after_ms.min(DENIED_FOR_MS);
        if let Some(target) = self.targets.borrow_mut().get_mut(slot) {
            target.rate_limit.no_token_until_ms = until_ms;
        }
    }

    async fn ask_coordinator(
        self: &Rc<Self>,
        slot: TargetSlot,
        ask: &TokenRequest,
    ) -> Option<RateTokenReply> {
        let coordinator = self.rate_coordinator(slot)?;
        let request = RateTokenRequest {
            rate: self.target_rate(slot)?,
            account: ask.account,
            rank: ask.rank,
            wait_ms: ask.wait_ms as u32,
            is_last_try: ask.is_last_try,
        };
        match coordinator == self.id {
            true => Some(self.grant_rate_token(&request).await),
            false => self.ask_box(coordinator, request).await,
        }
    }

    async fn ask_box(
        self: &Rc<Self>,
        coordinator: BoxId,
        request: RateTokenRequest,
    ) -> Option<RateTokenReply> {
        let limit = Duration::from_millis(u64::from(request.wait_ms)) + CALL_SLACK;
        let call = self
            .peers
            .call(coordinator, limit, |client, context| async move {
                client.rate_token(context, request).await
            });
        self.record_peer_result(coordinator, call.await, "rate token")
    }

    /// Takes a token from this box's own share of a limit.
    fn take_own_token(&self, slot: TargetSlot) -> Result<(), u64> {
        let now_ms = self.now_ms();
        let boxes = self.members.borrow().peak_box_count();
        let Some(rate_per_s) = self.rate_limit_of(slot) else {
            return Ok(());
        };
        metrics::counter!("shuntpier_rate_tokens", "outcome" => "own share").increment(1);
        let mut targets = self.targets.borrow_mut();
        let Some(target) = targets.get_mut(slot) else {
            return Ok(());
        };
        let share = &mut target.rate_limit.share;
        share.try_take(rate_per_s, boxes, rand::random(), now_ms)
    }
}
