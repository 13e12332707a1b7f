//! The coordinator of a target: the box that grants its rate tokens. Rendezvous hashing selects it from the boxes of the
//! target's data centre, so that it is near most boxes that send there, and a network partition cuts it off together with the
//! target. Its state is soft: a box that takes over the role starts with no tokens.

use crate::membership::exchange::exchange_with;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use peers::{RateTokenReply, RateTokenRequest};
use policy::{FAILOVER_MS, FAILOVER_SHARE, RateGrantRequest, RateQueue, RateVerdict};
use prelude::{BoxId, TargetId};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Shortest interval, in ms, between checks of a coordinator that other boxes consider unreachable.
const CHECK_INTERVAL_MS: u64 = 200;
/// A limit that became known less than this many ms ago had no coordinator before, so its new coordinator need not share it.
const NEW_LIMIT_MS: u64 = 1_000;
/// The rate that is granted to waiting calls once their target no longer has a limit.
const UNLIMITED_PER_S: f64 = 1_000_000.0;

/// Grants the tokens of one target, and keeps the calls that wait for them.
pub(super) struct TokenGrants {
    queue: RateQueue,
    waiting: HashMap<u64, oneshot::Sender<RateVerdict>>,
    last_id: u64,
    /// Until this time, the previous coordinator may still grant tokens.
    failover_until_ms: u64,
}

impl TokenGrants {
    fn new(now_ms: u64, failover_until_ms: u64) -> Self {
        Self {
            queue: RateQueue::new(now_ms),
            waiting: HashMap::new(),
            last_id: 0,
            failover_until_ms,
        }
    }

    /// The part of a rate that may be granted now: less during a failover.
    fn grantable_rate(&self, rate_per_s: f64, now_ms: u64) -> f64 {
        match now_ms < self.failover_until_ms {
            true => rate_per_s * FAILOVER_SHARE,
            false => rate_per_s,
        }
    }

    fn grant_due(&mut self, rate_per_s: f64, now_ms: u64) {
        for (id, verdict) in self.queue.run(rate_per_s, now_ms) {
            let reply_sender = self.waiting.remove(&id);
            let is_delivered =
                reply_sender.is_some_and(|reply_sender| reply_sender.send(verdict).is_ok());
            if !is_delivered && verdict == RateVerdict::Granted {
                self.queue.refund();
            }
        }
    }
}

impl Relay {
    /// The coordinator of a target; none if the target is unknown.
    pub(super) fn rate_coordinator(&self, slot: TargetSlot) -> Option<BoxId> {
        let (id, data_centre) = {
            let targets = self.targets.borrow();
            let target = targets.get(slot)?;
            (target.id, target.data_centre)
        };
        let own_data_centre = (!self.is_stopping()).then_some(self.data_centre);
        let members = self.members.borrow();
        let holder = members.role_holder_near(id.0, data_centre, own_data_centre, self.now_ms());
        Some(holder.unwrap_or(self.id))
    }

    /// The share of each limit that this box may grant: the share of boxes that it reaches. In a partition, the boxes on the
    /// other side may grant the rest.
    pub(crate) fn granted_share(&self) -> f64 {
        let members = self.members.borrow();
        let reached = members.eligible_count(self.now_ms());
        (reached as f64 / members.peak_box_count() as f64).min(1.0)
    }

    /// Requests per second that this box may grant for a target; none if the target has no limit.
    fn granted_rate(&self, slot: TargetSlot) -> Option<f64> {
        Some(self.rate_limit_of(slot)? * self.granted_share())
    }

    /// Handles a token request: grants or denies it, if this box is the coordinator of the target.
    pub(crate) async fn grant_rate_token(
        self: &Rc<Self>,
        request: &RateTokenRequest,
    ) -> RateTokenReply {
        let target = request.rate.target;
        let slot = self.targets.borrow().slot_of(target);
        let Some(slot) = slot else {
            return RateTokenReply::NotCoordinator;
        };
        let coordinator = self.rate_coordinator(slot);
        if let Some(coordinator) = coordinator.filter(|id| *id != self.id) {
            self.check_coordinator(coordinator);
            return RateTokenReply::NotCoordinator;
        }
        let Some(rate_per_s) = self.granted_rate(slot) else {
            let rate = self.target_rate(slot);
            return rate.map_or(RateTokenReply::NotCoordinator, RateTokenReply::NotLimited);
        };
        match self.submit_request(target, request, rate_per_s) {
            Ok(verdict) => reply_for(verdict),
            Err(waiting) => self.wait_for_grant(slot, target, waiting).await,
        }
    }

    /// Contacts a box that is the coordinator in the view of this box, but not in that of the requesting one.
    fn check_coordinator(self: &Rc<Self>, id: BoxId) {
        let now_ms = self.now_ms();
        if now_ms < self.rate_limits.last_check_ms.get() + CHECK_INTERVAL_MS {
            return;
        }
        self.rate_limits.last_check_ms.set(now_ms);
        let relay = self.clone();
        spawn_local(async move { exchange_with(&relay, id).await });
    }

    /// Starts to grant the tokens of a target. Another box may still grant them too, unless the limit became known just now
    /// or this box is alone.
    fn start_granting(&self, target: TargetId, now_ms: u64) -> TokenGrants {
        let targets = self.targets.borrow();
        let found_target = targets.slot_of(target).and_then(|slot| targets.get(slot));
        let limited_since_ms = found_target.map_or(0, |target| target.rate_limit.limited_since_ms);
        let is_alone = self.members.borrow().others().is_empty();
        let is_failover = !is_alone && now_ms >= limited_since_ms + NEW_LIMIT_MS;
        slog::info!(self.log, "granting rate tokens"; "takes_over" => is_failover,
            "target" => found_target.map(|target| &*target.entry.instance));
        match is_failover {
            true => TokenGrants::new(now_ms, now_ms + FAILOVER_MS),
            false => TokenGrants::new(now_ms, 0),
        }
    }

    /// Queues a token request. Returns its verdict, or the channel that delivers it later.
    fn submit_request(
        &self,
        target: TargetId,
        request: &RateTokenRequest,
        rate_per_s: f64,
    ) -> Result<RateVerdict, oneshot::Receiver<RateVerdict>> {
        let now_ms = self.now_ms();
        let mut all_grants = self.rate_limits.grants.borrow_mut();
        let grants = all_grants
            .entry(target)
            .or_insert_with(|| self.start_granting(target, now_ms));
        let rate_per_s = grants.grantable_rate(rate_per_s, now_ms);
        grants.grant_due(rate_per_s, now_ms);
        grants.last_id += 1;
        let grant_request = RateGrantRequest {
            id: grants.last_id,
            account: request.account,
            weight: self.settings().accounts.weight_of(request.account),
            rank: request.rank,
            deadline_ms: now_ms + u64::from(request.wait_ms),
            is_last_try: request.is_last_try,
        };
        if let Some(verdict) = grants.queue.submit(grant_request, rate_per_s, now_ms) {
            return Ok(verdict);
        }
        let (reply_sender, verdict) = oneshot::channel();
        grants.waiting.insert(grant_request.id, reply_sender);
        Err(verdict)
    }

    async fn wait_for_grant(
        self: &Rc<Self>,
        slot: TargetSlot,
        target: TargetId,
        mut verdict: oneshot::Receiver<RateVerdict>,
    ) -> RateTokenReply {
        loop {
            let next_ms = self.grant_waiting(slot, target);
            let wait = Duration::from_millis(next_ms.max(1));
            match timeout(wait, &mut verdict).await {
                Ok(Ok(verdict)) => return reply_for(verdict),
                Ok(Err(_)) => return RateTokenReply::NotCoordinator,
                Err(_) => {}
            }
        }
    }

    /// Grants the tokens of a target that are due. Returns the time in ms until the next run.
    fn grant_waiting(&self, slot: TargetSlot, target: TargetId) -> u64 {
        let now_ms = self.now_ms();
        let rate_per_s = self.granted_rate(slot).unwrap_or(UNLIMITED_PER_S);
        let mut all_grants = self.rate_limits.grants.borrow_mut();
        let Some(grants) = all_grants.get_mut(&target) else {
            return 0;
        };
        let rate_per_s = grants.grantable_rate(rate_per_s, now_ms);
        grants.grant_due(rate_per_s, now_ms);
        let next_ms = grants.queue.next_run_in_ms(rate_per_s, now_ms);
        next_ms.unwrap_or_default()
    }

    /// Removes the grants of targets that are gone or have no limit, unless calls still wait for them.
    pub(crate) fn remove_stale_grants(&self) {
        let mut all_grants = self.rate_limits.grants.borrow_mut();
        all_grants.retain(|target, grants| {
            let slot = self.targets.borrow().slot_of(*target);
            let is_limited = slot.is_some_and(|slot| self.rate_limit_of(slot).is_some());
            is_limited
                || grants
                    .waiting
                    .values()
                    .any(|reply_sender| !reply_sender.is_closed())
        });
    }
}

fn reply_for(verdict: RateVerdict) -> RateTokenReply {
    match verdict {
        RateVerdict::Granted => RateTokenReply::Granted,
        RateVerdict::Denied { retry_after_ms } => RateTokenReply::Denied {
            retry_after_ms: u32::try_from(retry_after_ms).unwrap_or(u32::MAX),
        },
    }
}
