//! The box that grants the tokens of a target: one of the target's own data centre, found by rendezvous hashing, so that it
//! is near to most boxes that send there and is cut off together with it. Its state is soft: a box that takes the
//! role over begins with no tokens.

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

/// How often it is looked whether a coordinator that others pass over answers.
const CHECK_EACH_MS: u64 = 200;
/// A limit that became known within this time was granted by nobody before.
const FRESH_MS: u64 = 1_000;
/// The rate at which those that wait are let through once the limit of their target has ended.
const NO_LIMIT_PER_S: f64 = 1_000_000.0;

/// The tokens of one target, and the calls that wait for them.
pub(super) struct Grants {
    queue: RateQueue,
    waiting: HashMap<u64, oneshot::Sender<RateVerdict>>,
    last_id: u64,
    /// Until when another box may still grant.
    taking_over_until_ms: u64,
}

impl Grants {
    fn new(now_ms: u64, taking_over_until_ms: u64) -> Self {
        Self {
            queue: RateQueue::new(now_ms),
            waiting: HashMap::new(),
            last_id: 0,
            taking_over_until_ms,
        }
    }

    /// What may be granted of a rate.
    fn part_of(&self, rate_per_s: f64, now_ms: u64) -> f64 {
        match now_ms < self.taking_over_until_ms {
            true => rate_per_s * FAILOVER_SHARE,
            false => rate_per_s,
        }
    }

    fn run(&mut self, rate_per_s: f64, now_ms: u64) {
        for (id, verdict) in self.queue.run(rate_per_s, now_ms) {
            let asker = self.waiting.remove(&id);
            let is_taken = asker.is_some_and(|asker| asker.send(verdict).is_ok());
            if !is_taken && verdict == RateVerdict::Granted {
                self.queue.refund();
            }
        }
    }
}

impl Relay {
    /// The box that grants the tokens of a target; none where the target is forgotten.
    pub(super) fn rate_coordinator(&self, slot: TargetSlot) -> Option<BoxId> {
        let (id, data_centre) = {
            let targets = self.targets.borrow();
            let target = targets.get(slot)?;
            (target.id, target.data_centre)
        };
        let me = (!self.is_stopping()).then_some(self.data_centre);
        let members = self.members.borrow();
        let winner = members.role_holder_near(id.0, data_centre, me, self.now_ms());
        Some(winner.unwrap_or(self.id))
    }

    /// The part of a limit that a box may grant: that of the boxes which it reaches. Others may grant the rest.
    pub(crate) fn granted_share(&self) -> f64 {
        let members = self.members.borrow();
        let reached = members.eligible_count(self.now_ms());
        (reached as f64 / members.peak_box_count() as f64).min(1.0)
    }

    /// Requests a second that this box may grant for a target; none where the target has no limit.
    fn granted_rate(&self, slot: TargetSlot) -> Option<f64> {
        Some(self.rate_limit_of(slot)? * self.granted_share())
    }

    /// Grants the token of one call, or denies it.
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
        if let Some(other) = coordinator.filter(|id| *id != self.id) {
            self.check_coordinator(other);
            return RateTokenReply::NotCoordinator;
        }
        let Some(rate_per_s) = self.granted_rate(slot) else {
            let rate = self.target_rate(slot);
            return rate.map_or(RateTokenReply::NotCoordinator, RateTokenReply::NotLimited);
        };
        match self.ask_grants(target, request, rate_per_s) {
            Ok(verdict) => reply_of(verdict),
            Err(waiting) => self.wait_for_grant(slot, target, waiting).await,
        }
    }

    /// Finds out whether a box answers that this one takes for a coordinator, and another box does not.
    fn check_coordinator(self: &Rc<Self>, id: BoxId) {
        let now_ms = self.now_ms();
        if now_ms < self.rate_limits.checked_ms.get() + CHECK_EACH_MS {
            return;
        }
        self.rate_limits.checked_ms.set(now_ms);
        let relay = self.clone();
        spawn_local(async move { exchange_with(&relay, id).await });
    }

    /// Begins to grant the tokens of a target. Another box may still do so as well, unless the limit has just become known.
    fn begin_to_grant(&self, target: TargetId, now_ms: u64) -> Grants {
        let targets = self.targets.borrow();
        let found = targets.slot_of(target).and_then(|slot| targets.get(slot));
        let known_ms = found.map_or(0, |target| target.rate_limit.limited_since_ms);
        let is_alone = self.members.borrow().others().is_empty();
        let takes_over = !is_alone && now_ms >= known_ms + FRESH_MS;
        slog::info!(self.log, "granting rate tokens"; "takes_over" => takes_over,
            "target" => found.map(|target| &*target.entry.instance));
        match takes_over {
            true => Grants::new(now_ms, now_ms + FAILOVER_MS),
            false => Grants::new(now_ms, 0),
        }
    }

    /// The verdict, where there is one at once.
    fn ask_grants(
        &self,
        target: TargetId,
        request: &RateTokenRequest,
        rate_per_s: f64,
    ) -> Result<RateVerdict, oneshot::Receiver<RateVerdict>> {
        let now_ms = self.now_ms();
        let mut all = self.rate_limits.grants.borrow_mut();
        let grants = all
            .entry(target)
            .or_insert_with(|| self.begin_to_grant(target, now_ms));
        let rate_per_s = grants.part_of(rate_per_s, now_ms);
        grants.run(rate_per_s, now_ms);
        grants.last_id += 1;
        let ask = RateGrantRequest {
            id: grants.last_id,
            account: request.account,
            weight: self.settings().accounts.weight_of(request.account),
            rank: request.rank,
            deadline_ms: now_ms + u64::from(request.wait_ms),
            is_last_try: request.is_last_try,
        };
        if let Some(verdict) = grants.queue.submit(ask, rate_per_s, now_ms) {
            return Ok(verdict);
        }
        let (asker, verdict) = oneshot::channel();
        grants.waiting.insert(ask.id, asker);
        Err(verdict)
    }

    async fn wait_for_grant(
        self: &Rc<Self>,
        slot: TargetSlot,
        target: TargetId,
        mut verdict: oneshot::Receiver<RateVerdict>,
    ) -> RateTokenReply {
        loop {
            let next_ms = self.run_grants(slot, target);
            let wait = Duration::from_millis(next_ms.max(1));
            match timeout(wait, &mut verdict).await {
                Ok(Ok(verdict)) => return reply_of(verdict),
                Ok(Err(_)) => return RateTokenReply::NotCoordinator,
                Err(_) => {}
            }
        }
    }

    /// Grants what can be granted of a target, and says when there is more to do.
    fn run_grants(&self, slot: TargetSlot, target: TargetId) -> u64 {
        let now_ms = self.now_ms();
        let rate_per_s = self.granted_rate(slot).unwrap_or(NO_LIMIT_PER_S);
        let mut all = self.rate_limits.grants.borrow_mut();
        let Some(grants) = all.get_mut(&target) else {
            return 0;
        };
        let rate_per_s = grants.part_of(rate_per_s, now_ms);
        grants.run(rate_per_s, now_ms);
        let next_ms = grants.queue.next_run_in_ms(rate_per_s, now_ms);
        next_ms.unwrap_or_default()
    }

    /// Forgets the tokens of targets that have no limit any more, or are gone.
    pub(crate) fn remove_stale_grants(&self) {
        let mut all = self.rate_limits.grants.borrow_mut();
        all.retain(|target, grants| {
            let slot = self.targets.borrow().slot_of(*target);
            let is_limited = slot.is_some_and(|slot| self.rate_limit_of(slot).is_some());
            is_limited || grants.waiting.values().any(|asker| !asker.is_closed())
        });
    }
}

fn reply_of(verdict: RateVerdict) -> RateTokenReply {
    match verdict {
        RateVerdict::Granted => RateTokenReply::Granted,
        RateVerdict::Denied { retry_after_ms } => RateTokenReply::Denied {
            retry_after_ms: u32::try_from(retry_after_ms).unwrap_or(u32::MAX),
        },
    }
}
