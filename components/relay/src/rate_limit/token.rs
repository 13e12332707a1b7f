//! Acquires the rate token of a call to a target with a rate limit: from the target's coordinator, or from this box's own
//! share of the limit if it reaches no coordinator.

use crate::membership::clocks::NotBefore;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use peers::{RateTokenReply, RateTokenRequest};
use prelude::{AccountId, BoxId};
use std::rc::Rc;
use std::time::Duration;

/// Added to the time that a call may wait at the coordinator, for the round trip of the request.
const CALL_SLACK: Duration = Duration::from_millis(120);
/// How long, at most, a denial keeps other calls of this box from requesting a token for the same target.
const DENIAL_CACHE_MS: u64 = 250;

/// A call's request for a rate token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenRequest {
    /// The client account of the call.
    pub account: AccountId,
    /// Priority rank; 0 is the most urgent.
    pub rank: u8,
    /// How long the call may wait for a token, in ms.
    pub wait_ms: u64,
    /// Whether the call fails if it gets no token.
    pub is_last_try: bool,
}

impl Relay {
    /// Acquires a rate token for one call; does nothing if the target has no rate limit.
    ///
    /// # Errors
    /// After how many ms a token may be available, if the request is denied.
    pub(crate) async fn acquire_rate_token(
        self: &Rc<Self>,
        slot: TargetSlot,
        token_request: &TokenRequest,
    ) -> Result<(), u64> {
        let now_ms = self.now_ms();
        let Some(no_token_until_ms) = self.no_token_until_ms(slot, now_ms) else {
            return Ok(());
        };
        if no_token_until_ms > now_ms && !token_request.is_last_try {
            return Err(no_token_until_ms - now_ms);
        }
        let reply = self.request_from_coordinator(slot, token_request).await;
        let has_coordinator = matches!(
            reply,
            Some(RateTokenReply::Granted | RateTokenReply::Denied { .. })
        );
        if let Some(target) = self
            .targets
            .borrow_mut()
            .get_mut(slot)
            .filter(|_| has_coordinator)
        {
            target.rate_limit.fallback_share.reset();
        }
        let outcome = match reply {
            Some(RateTokenReply::Granted) => Ok(()),
            Some(RateTokenReply::Denied { retry_after_ms }) => Err(u64::from(retry_after_ms)),
            Some(RateTokenReply::NotLimited(rate)) => {
                self.observe_peer_rate(&rate, Some(NotBefore::answer_to(now_ms)));
                self.take_fallback_token(slot)
            }
            Some(RateTokenReply::NotCoordinator) | None => self.take_fallback_token(slot),
        };
        let label = match outcome {
            Ok(()) => "granted",
            Err(_) => "denied",
        };
        metrics::counter!("shuntpier_rate_tokens", "outcome" => label).increment(1);
        if let Err(retry_after_ms) = outcome {
            self.record_denial(slot, retry_after_ms);
        }
        outcome
    }

    /// Until when no tokens are available for a target, according to the last denial; none if it has no limit.
    fn no_token_until_ms(&self, slot: TargetSlot, now_ms: u64) -> Option<u64> {
        let targets = self.targets.borrow();
        let limit = &targets.get(slot)?.rate_limit;
        limit.announced.rate_per_s(now_ms)?;
        Some(limit.no_token_until_ms)
    }

    fn record_denial(&self, slot: TargetSlot, retry_after_ms: u64) {
        let until_ms = self.now_ms() + retry_after_ms.min(DENIAL_CACHE_MS);
        if let Some(target) = self.targets.borrow_mut().get_mut(slot) {
            target.rate_limit.no_token_until_ms = until_ms;
        }
    }

    async fn request_from_coordinator(
        self: &Rc<Self>,
        slot: TargetSlot,
        token_request: &TokenRequest,
    ) -> Option<RateTokenReply> {
        let coordinator = self.rate_coordinator(slot)?;
        let request = RateTokenRequest {
            rate: self.target_rate(slot)?,
            account: token_request.account,
            rank: token_request.rank,
            wait_ms: token_request.wait_ms as u32,
            is_last_try: token_request.is_last_try,
        };
        match coordinator == self.id {
            true => Some(self.grant_rate_token(&request).await),
            false => self.request_from_box(coordinator, request).await,
        }
    }

    async fn request_from_box(
        self: &Rc<Self>,
        coordinator: BoxId,
        request: RateTokenRequest,
    ) -> Option<RateTokenReply> {
        let wait_ms = request.wait_ms;
        let limit = Duration::from_millis(u64::from(wait_ms)) + CALL_SLACK;
        let call = self
            .peers
            .call(coordinator, limit, |client, context| async move {
                client.rate_token(context, request).await
            });
        self.record_held_result(coordinator, call.await, "rate token", wait_ms)
    }

    /// Takes a token from this box's own share of the limit.
    fn take_fallback_token(&self, slot: TargetSlot) -> Result<(), u64> {
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
        let fallback_share = &mut target.rate_limit.fallback_share;
        fallback_share.try_take(rate_per_s, boxes, rand::random(), now_ms)
    }
}
