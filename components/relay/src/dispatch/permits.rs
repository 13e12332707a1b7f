//! How a box gets the permission to run a generation on an engine: from the pool's dispatcher, which is
//! found by rendezvous hashing, from the next in rank where that one does not answer, and at the end from
//! its own view.

use crate::dispatch::dispatcher::refusal;
use crate::state::{Relay, pool_of};
use crate::watch::targets::TargetSlot;
use peers::{AcquireRequest, PermitReply, RelocateReply, RelocateRequest};
use prelude::{Avoided, BoxId, PermitId, PoolId, Refusal, RefusalReason, TargetId};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Longest time for a dispatcher's first word. Boxes are some milliseconds apart; a box at a fifth of its
/// speed still answers in this time.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(120);
/// How long a dispatcher holds a request that has to wait, before it is asked again.
const WAIT_PER_CALL_MS: u32 = 200;
/// What an answer may take beyond that.
const WAIT_SLACK: Duration = Duration::from_millis(120);
/// How long a box waits for the news of a target that its dispatcher already names.
const TARGET_WAIT_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time for other calls to a dispatcher.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Dispatchers that are asked before a box decides by its own view.
const DISPATCHERS_TRIED_MAX: usize = 2;

/// What a generation needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitDemand<'a> {
    /// The request's name, for the log.
    pub id: &'a str,
    pub service: &'a str,
    pub account: prelude::AccountId,
    /// Requests of one kind have answers of like length.
    pub kind: u8,
    pub prompt_tokens: u32,
    pub max_tokens: u32,
    pub rank: u8,
    /// When its caller came, on the clock of this box.
    pub arrived_ms: u64,
    pub pause_goal_ms: Option<u64>,
    /// When it is refused if it still waits.
    pub wait_deadline_ms: u64,
    /// When its caller leaves.
    pub caller_deadline_ms: u64,
    pub avoid: Avoided,
}

impl PermitDemand<'_> {
    /// The request for a permit, as it is asked now. A request that is asked again keeps its caller's time of coming, and has
    /// less time left: a dispatcher that is new takes its place in line from this.
    fn request(&self, permit: PermitId, now_ms: u64) -> AcquireRequest {
        AcquireRequest {
            pool: pool_of(self.service),
            permit,
            account: self.account,
            kind: self.kind,
            prompt_tokens: self.prompt_tokens,
            max_tokens: self.max_tokens,
            rank: self.rank,
            waited_ms: now_ms.saturating_sub(self.arrived_ms) as u32,
            pause_goal_ms: self.pause_goal_ms.map(|ms| ms as u32),
            wait_left_ms: self.wait_deadline_ms.saturating_sub(now_ms).max(1) as u32,
            caller_left_ms: self.caller_deadline_ms.saturating_sub(now_ms) as u32,
            prefix: None,
            told_tokens: None,
            avoid: self.avoid,
        }
    }
}

/// The permission to run one generation on one engine. It ends when it is dropped.
pub(crate) struct Permit {
    relay: Rc<Relay>,
    pub(crate) serial: u64,
    pub(crate) pool: PoolId,
    pub(crate) slot: TargetSlot,
    finished: bool,
}

impl Permit {
    /// Notes that the generation came to its own end.
    pub(crate) fn mark_finished(&mut self) {
        self.finished = true;
    }

    /// Notes how long its engine took for its next events.
    pub(crate) fn record_gap(&self, gap_ms: u64, events: u32) {
        let Some(engine) = self.relay.id_of(self.slot) else {
            return;
        };
        let mut open = self.relay.open_generations.borrow_mut();
        open.record_gap(self.serial, engine, gap_ms, events);
    }

    /// Notes how slow its engine says that work is there.
    pub(crate) fn record_slowness(&self, percent: Option<u32>) {
        let mut open = self.relay.open_generations.borrow_mut();
        if let Some(percent) = percent {
            open.record_slowness(self.serial, percent);
        }
    }

    /// Notes how many tokens the generation has.
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

    /// The boxes that dispatch a pool, the first in rank first.
    pub(crate) fn dispatchers_of(&self, pool: PoolId) -> Rc<[BoxId]> {
        let members = self.members.borrow();
        members.ranked(role_of(pool), self.is_stopping(), self.now_ms())
    }

    /// Gets a permit.
    ///
    /// # Errors
    /// The refusal, which is true: nothing was sent.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        want: &PermitDemand<'_>,
    ) -> Result<Permit, Refusal> {
        let serial = self.open_generations.borrow_mut().next_serial();
        let request = want.request(self.permit_id(serial), self.now_ms());
        let target = self.request_permit(request, want).await?;
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

    /// A target that a dispatcher names, which it may know some milliseconds before this box does.
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
        want: &PermitDemand<'_>,
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
            let asked = first
                .filter(|_| failed < DISPATCHERS_TRIED_MAX)
                .unwrap_or(self.id);
            let is_told = self.sync_new_dispatcher(asked, request.pool).await;
            let now_ms = self.now_ms();
            let request = want.request(request.permit, now_ms);
            let reply = match asked == self.id {
                _ if !is_told => None,
                true => Some(self.acquire_local(request, now_ms, wait_ms).await),
                false => tokio::select! {
                    reply = self.acquire_remote(asked, request, wait_ms) => reply,
                    () = self.dispatcher_changed(asked, request.pool) => {
                        // The next one is told what runs here before it grants.
                        self.generations_changed.notify_one();
                        continue;
                    }
                },
            };
            // Failures in a row count; any answer begins anew.
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
                    self.log_refusal(want, &request, refusal, standing);
                    return Err(refusal);
                }
                Some(PermitReply::Waiting { .. }) => wait_ms = WAIT_PER_CALL_MS,
                None => {}
            }
            if self.now_ms() >= want.wait_deadline_ms {
                return Err(refusal(RefusalReason::DeadlinePassed));
            }
        }
    }

    /// Waits until another box dispatches a pool: all that wait then ask that one at once, and keep their order.
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
        self.record_peer_result(dispatcher, call.await, "acquire")
    }

    /// Asks where a running generation can go on. Its permit then is for that engine. Where no dispatcher
    /// answers, this box decides by what it knows of its own generations.
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
            // A dispatcher that is new to the role is told first.
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

/// Takes a request back when whoever waits for it leaves.
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
