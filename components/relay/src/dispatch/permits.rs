//! Acquires permits to run generations on engines. A box asks the pool's dispatcher, which is found by rendezvous
//! hashing, then the next in rank if that one does not answer, and finally decides by its own view.

use crate::dispatch::dispatcher::refusal;
use crate::ingress::arrival::Arrival;
use crate::state::{Relay, pool_of};
use crate::watch::targets::TargetSlot;
use peers::{AcquireRequest, PermitReply, RelocateReply, RelocateRequest};
use prelude::{Avoided, BoxId, PermitId, PoolId, Refusal, RefusalReason, TargetId};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Timeout of a dispatcher's first reply. Boxes are a few milliseconds apart; a box at a fifth of its speed still answers
/// in this time.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(120);
/// How long a dispatcher keeps a call open for a request that has to wait, before the box calls again.
const WAIT_PER_CALL_MS: u32 = 200;
/// The same after a call without an answer: a prompt reply shows sooner whether the dispatcher is silent.
const WAIT_AFTER_TIMEOUT_MS: u32 = 1;
/// Additional time that the reply to such a call may take.
const WAIT_SLACK: Duration = Duration::from_millis(120);
/// How long a box waits until it knows a target that its dispatcher has granted.
const TARGET_WAIT_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of other calls to a dispatcher.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of calls in a row without an answer after which a box decides by its own view: two to a dispatcher that may only
/// be late, and one to the next in rank.
const UNANSWERED_CALLS_MAX: usize = 3;

/// What a generation needs of a permit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitDemand<'a> {
    /// The request ID, for the log.
    pub id: &'a str,
    pub service: &'a str,
    pub account: prelude::AccountId,
    /// Requests of one kind have answers of similar length.
    pub kind: u8,
    pub prompt_tokens: u32,
    pub max_tokens: u32,
    pub rank: u8,
    pub arrival: Arrival,
    pub pause_goal_ms: Option<u64>,
    /// When the request is refused if it still waits.
    pub wait_deadline_ms: u64,
    /// When its caller gives up.
    pub caller_deadline_ms: u64,
    pub avoid: Avoided,
}

impl PermitDemand<'_> {
    /// Returns the request for a permit to send now. A retry keeps the caller's arrival time and has less time left, so that a
    /// new dispatcher can restore the place in the queue.
    fn request(&self, permit: PermitId, now_ms: u64) -> AcquireRequest {
        AcquireRequest {
            pool: pool_of(self.service),
            permit,
            account: self.account,
            kind: self.kind,
            prompt_tokens: self.prompt_tokens,
            max_tokens: self.max_tokens,
            rank: self.rank,
            waited_ms: self.arrival.elapsed_ms(now_ms) as u32,
            pause_goal_ms: self.pause_goal_ms.map(|ms| ms as u32),
            wait_left_ms: self.wait_deadline_ms.saturating_sub(now_ms).max(1) as u32,
            caller_left_ms: self.caller_deadline_ms.saturating_sub(now_ms) as u32,
            prefix: None,
            told_tokens: None,
            avoid: self.avoid,
        }
    }
}

/// A permit to run one generation on one engine. It is released on drop.
pub(crate) struct Permit {
    relay: Rc<Relay>,
    pub(crate) serial: u64,
    pub(crate) pool: PoolId,
    pub(crate) slot: TargetSlot,
    finished: bool,
}

impl Permit {
    /// Records that the generation finished by itself.
    pub(crate) fn mark_finished(&mut self) {
        self.finished = true;
    }

    /// Records the time in which its engine made its next events.
    pub(crate) fn record_gap(&self, gap_ms: u64, events: u32) {
        let Some(engine) = self.relay.id_of(self.slot) else {
            return;
        };
        let mut open = self.relay.open_generations.borrow_mut();
        open.record_gap(self.serial, engine, gap_ms, events);
    }

    /// Records the slowness that its engine reported, in percent.
    pub(crate) fn record_slowness(&self, percent: Option<u32>) {
        let mut open = self.relay.open_generations.borrow_mut();
        if let Some(percent) = percent {
            open.record_slowness(self.serial, percent);
        }
    }

    /// Records the token count of the generation.
    pub(crate) fn record_tokens(&self, tokens: u32) {
        if self
            .relay
            .open_generations
            .borrow_mut()
            .record_tokens(self.serial, tokens)
        {
            self.relay.generations_changed.notify_one();
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut runs = self.relay.open_generations.borrow_mut();
        runs.record_end(self.serial, self.finished, self.relay.now_ms());
        self.relay.generations_changed.notify_one();
    }
}

/// The role of a pool's dispatcher, for rendezvous hashing.
fn role_of(pool: PoolId) -> u64 {
    xxh3_64(&pool.model.0.to_le_bytes())
}

impl Relay {
    pub(crate) fn permit_id(&self, serial: u64) -> PermitId {
        PermitId {
            entry: self.id,
            life: self.incarnation,
            serial,
        }
    }

    /// Returns the candidates for the dispatcher of a pool, in order of rank.
    pub(crate) fn dispatchers_of(&self, pool: PoolId) -> Rc<[BoxId]> {
        let members = self.members.borrow();
        members.ranked(role_of(pool), self.is_stopping(), self.now_ms())
    }

    /// Acquires a permit.
    ///
    /// # Errors
    /// The refusal. It guarantees that nothing was sent to an engine.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        demand: &PermitDemand<'_>,
    ) -> Result<Permit, Refusal> {
        let serial = self.open_generations.borrow_mut().next_serial();
        let request = demand.request(self.permit_id(serial), self.now_ms());
        let target = self.request_permit(request, demand).await?;
        let Some(slot) = self.wait_for_slot(target).await else {
            self.notify_withdrawn(request.pool, request.permit);
            return Err(refusal(RefusalReason::NoTarget));
        };
        self.open_generations
            .borrow_mut()
            .insert(request, target, self.now_ms());
        Ok(Permit {
            relay: self.clone(),
            serial,
            pool: request.pool,
            slot,
            finished: false,
        })
    }

    /// Returns the slot of a granted target. The dispatcher may know the target some milliseconds before this box does.
    async fn wait_for_slot(&self, target: TargetId) -> Option<TargetSlot> {
        let mut changes = self.target_changes.subscribe();
        let until = Instant::now() + TARGET_WAIT_TIMEOUT;
        loop {
            let slot = self.targets.borrow().slot_of(target);
            if slot.is_some() {
                return slot;
            }
            let changed = tokio::time::timeout_at(until, changes.changed()).await;
            if !matches!(changed, Ok(Ok(()))) {
                return None;
            }
        }
    }

    async fn request_permit(
        self: &Rc<Self>,
        request: AcquireRequest,
        demand: &PermitDemand<'_>,
    ) -> Result<TargetId, Refusal> {
        let mut withdrawal = WithdrawOnDrop {
            relay: self.clone(),
            request,
            armed: true,
        };
        let mut wait_ms = 0;
        let mut failed = 0;
        loop {
            let first = self.dispatchers_of(request.pool).first().copied();
            let dispatcher = first
                .filter(|_| failed < UNANSWERED_CALLS_MAX)
                .unwrap_or(self.id);
            let is_synced = self.sync_new_dispatcher(dispatcher, request.pool).await;
            let now_ms = self.now_ms();
            let request = demand.request(request.permit, now_ms);
            let reply = match dispatcher == self.id {
                _ if !is_synced => None,
                true => Some(self.acquire_local(request, now_ms, wait_ms).await),
                false => tokio::select! {
                    reply = self.acquire_remote(dispatcher, request, wait_ms) => reply,
                    () = self.dispatcher_changed(dispatcher, request.pool) => {
                        // The next dispatcher receives the open generations of this box before it grants.
                        self.generations_changed.notify_one();
                        continue;
                    }
                },
            };
            // Only consecutive failures count.
            failed = reply.as_ref().map_or(failed + 1, |_| 0);
            match reply {
                Some(PermitReply::Granted { target }) => {
                    withdrawal.armed = false;
                    return Ok(target.id);
                }
                Some(PermitReply::Refused(refusal)) => {
                    withdrawal.armed = false;
                    return Err(refusal);
                }
                Some(PermitReply::RefusedBehind(refusal, standing)) => {
                    withdrawal.armed = false;
                    self.log_refusal(demand, &request, refusal, standing);
                    return Err(refusal);
                }
                Some(PermitReply::Waiting { .. }) => wait_ms = WAIT_PER_CALL_MS,
                None => wait_ms = wait_ms.min(WAIT_AFTER_TIMEOUT_MS),
            }
            if self.now_ms() >= demand.wait_deadline_ms {
                return Err(refusal(RefusalReason::DeadlinePassed));
            }
        }
    }

    /// Waits until another box dispatches a pool. All waiting requests then go to it at once and keep their order.
    async fn dispatcher_changed(&self, dispatcher: BoxId, pool: PoolId) {
        loop {
            let changed = self.peer_suspected.notified();
            if self.dispatchers_of(pool).first() != Some(&dispatcher) {
                return;
            }
            changed.await;
        }
    }

    async fn acquire_remote(
        &self,
        dispatcher: BoxId,
        request: AcquireRequest,
        wait_ms: u32,
    ) -> Option<PermitReply> {
        let limit = match wait_ms {
            0 => FIRST_REPLY_TIMEOUT,
            ms => Duration::from_millis(u64::from(ms)) + WAIT_SLACK,
        };
        let call = self
            .peers
            .call(dispatcher, limit, |client, context| async move {
                client.acquire(context, request, wait_ms).await
            });
        self.record_held_result(dispatcher, call.await, "acquire", wait_ms)
    }

    /// Asks the dispatcher for an engine on which a running generation can continue, and moves its permit there. If no
    /// dispatcher answers, this box decides by what it knows of its own generations.
    pub(crate) async fn relocate(
        self: &Rc<Self>,
        pool: PoolId,
        serial: u64,
        from: TargetId,
        avoid: &[TargetId],
        may_stay: bool,
    ) -> Result<TargetSlot, RelocateReply> {
        let request = RelocateRequest {
            pool,
            permit: self.permit_id(serial),
            from,
            avoid: avoid.to_vec(),
            may_stay,
        };
        let dispatcher = self.dispatchers_of(pool).first().copied();
        let mut reply = match dispatcher {
            Some(id) if id != self.id => self.relocate_remote(id, request.clone()).await,
            _ => None,
        };
        if reply == Some(RelocateReply::NotKnown) {
            // A new dispatcher first needs the open generations of this box.
            if let Some(id) = dispatcher {
                self.send_open_generations(id, pool).await;
                reply = self.relocate_remote(id, request.clone()).await;
            }
        }
        let reply = match reply {
            Some(reply) => reply,
            None => {
                let open = self.open_generations.borrow().snapshot(pool, self.now_ms());
                self.adopt_local(self.id, pool, &open);
                self.relocate_local(&request).await
            }
        };
        let RelocateReply::Go(target) = reply else {
            return Err(reply);
        };
        let slot = self.wait_for_slot(target).await;
        let slot = slot.ok_or(RelocateReply::NoRoom)?;
        self.open_generations
            .borrow_mut()
            .set_target(serial, target);
        Ok(slot)
    }

    async fn relocate_remote(&self, id: BoxId, request: RelocateRequest) -> Option<RelocateReply> {
        let call = self
            .peers
            .call(id, CALL_TIMEOUT, |client, context| async move {
                client.relocate(context, request).await
            });
        self.record_peer_result(id, call.await, "relocate")
    }
}

/// Withdraws a request for a permit if the waiting caller is dropped.
struct WithdrawOnDrop {
    relay: Rc<Relay>,
    request: AcquireRequest,
    armed: bool,
}

impl Drop for WithdrawOnDrop {
    fn drop(&mut self) {
        if self.armed {
            self.relay
                .notify_withdrawn(self.request.pool, self.request.permit);
        }
    }
}

#[cfg(test)]
#[path = "permits_tests.rs"]
mod tests;
