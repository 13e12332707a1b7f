//! Takeover of the dispatcher role of a pool. A box that begins to dispatch, or that detects that another box dispatched in
//! the meantime, holds grants for a moment. In that time the boxes report their running generations, and waiting requests
//! are submitted again, so that they keep their place in the queue.

use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::permits::CALL_TIMEOUT;
use crate::membership::gossip::broadcast_digest;
use crate::membership::members::MemberUpdate;
use crate::state::Relay;
use crate::watch::election::ISOLATION_TIMEOUT_MS;
use prelude::{BoxId, PermitId, PoolId};
use std::collections::HashSet;
use std::rc::Rc;

/// How long grants are held. This is a small part of any goal for the time to first token.
pub(super) const TAKEOVER_HOLD_MS: u64 = 80;
/// How long a box that begins to dispatch waits for the reports of all others at most. A report that takes longer has failed
/// and is sent again.
pub(super) const REPORTS_TIMEOUT_MS: u64 = CALL_TIMEOUT.as_millis() as u64;
/// The same for a box that was isolated: the others reconnect first.
pub(super) const RECONNECT_TIMEOUT_MS: u64 = 2 * REPORTS_TIMEOUT_MS;
/// Grants are not held again within this time. Each box reports within a second, so that all reports of one takeover
/// delay callers by 80 ms only once.
const HOLD_COOLDOWN_MS: u64 = 1_000;

/// The reports that a takeover waits for. Grants that precede a report use memory that is taken, and charge accounts by what
/// the other boxes have reported.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportWait {
    /// Boxes that have not reported.
    awaited: HashSet<BoxId>,
    until_ms: u64,
    /// Whether another dispatcher has granted open generations: a box has reported some, or this box was isolated.
    expects_generations: bool,
}

impl ReportWait {
    /// Records the report of a box. Returns whether it was the last one awaited.
    fn record(&mut self, from: BoxId, generations: usize) -> bool {
        self.expects_generations |= generations > 0;
        self.awaited.remove(&from) && self.awaited.is_empty()
    }

    fn is_active(&self, now_ms: u64) -> bool {
        self.expects_generations && !self.awaited.is_empty() && now_ms < self.until_ms
    }
}

impl Dispatcher {
    /// Holds grants for [`TAKEOVER_HOLD_MS`], and longer for the reports of `boxes` if any box reports open generations.
    pub(super) fn hold_for_reports(&mut self, boxes: HashSet<BoxId>, now_ms: u64) {
        self.grants_from_ms = now_ms + TAKEOVER_HOLD_MS;
        self.report_wait = ReportWait {
            awaited: boxes,
            until_ms: now_ms + REPORTS_TIMEOUT_MS,
            expects_generations: false,
        };
    }

    /// Holds grants of a dispatcher that was isolated. The reports of `boxes` are awaited in any case: the first box to
    /// reconnect may have no generation open, while others have many.
    pub(super) fn hold_after_isolation(&mut self, boxes: HashSet<BoxId>, now_ms: u64) {
        self.hold_for_reports(boxes, now_ms);
        self.report_wait.until_ms = now_ms + RECONNECT_TIMEOUT_MS;
        self.report_wait.expects_generations = true;
    }

    /// Records that a box has reported this many open generations. The last report ends the hold.
    pub(super) fn record_report(&mut self, from: BoxId, generations: usize, now_ms: u64) {
        if self.report_wait.record(from, generations) {
            self.grants_from_ms = self.grants_from_ms.min(now_ms);
        }
    }

    /// Whether grants are held now. A request that would miss its goal does not wait for reports.
    pub(super) fn holds_grants(&self, now_ms: u64) -> bool {
        let awaits_reports = self.report_wait.is_active(now_ms);
        now_ms < self.grants_from_ms || (awaits_reports && !self.pool.has_due_request(now_ms))
    }

    /// Holds grants for [`TAKEOVER_HOLD_MS`], unless they were held less than [`HOLD_COOLDOWN_MS`] ago.
    fn hold_grants(&mut self, now_ms: u64) {
        if self.grants_from_ms == 0 || now_ms >= self.grants_from_ms + HOLD_COOLDOWN_MS {
            self.grants_from_ms = now_ms + TAKEOVER_HOLD_MS;
        }
    }

    /// Records that another box dispatched the pool in the meantime. Returns true if this box is to announce itself again.
    pub(crate) fn record_other_dispatcher(&mut self, now_ms: u64) -> bool {
        self.hold_grants(now_ms);
        let must_announce = now_ms >= self.announced_ms + HOLD_COOLDOWN_MS;
        if must_announce {
            self.announced_ms = now_ms;
        }
        self.drop_abandoned_requests(now_ms);
        must_announce
    }

    /// Drops queued requests whose caller no longer waits for a verdict here. Most have gone to another box, and the grant
    /// rate measured while they were queued would cause refusals of others. A request that is between two calls keeps its
    /// place, as it sends the time that it has waited.
    fn drop_abandoned_requests(&mut self, now_ms: u64) {
        let abandoned = self
            .waiting
            .extract_if(|_, waiting| waiting.verdict_sender.is_closed());
        let abandoned: Vec<PermitId> = abandoned.map(|(permit, _)| permit).collect();
        for permit in &abandoned {
            self.pool.withdraw(*permit);
        }
        if !abandoned.is_empty() {
            self.pool.reset_grant_rate(now_ms);
        }
    }
}

impl Relay {
    /// Begins to dispatch a pool that another box may have dispatched before. Adopts the open generations of this box at once,
    /// and holds grants until the other boxes have reported theirs.
    pub(crate) fn begin_dispatching(&self, pool: PoolId) {
        if self.members.borrow().others().is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let candidates = self.dispatchers_of(pool);
        let others = candidates.iter().copied().filter(|id| *id != self.id);
        if let Some(dispatcher) = self.dispatchers.borrow_mut().get_mut(&pool) {
            dispatcher.hold_for_reports(others.collect(), now_ms);
            dispatcher.pool.begin_takeover(now_ms);
            dispatcher.announced_ms = now_ms;
        }
        let open = self.open_generations.borrow().snapshot(pool, now_ms);
        self.adopt_local(self.id, pool, &open);
    }

    /// Returns true if this box had contact with peers but lost it for so long that other boxes dispatch its pools.
    pub(crate) fn has_lost_all_peers(&self, now_ms: u64) -> bool {
        let last_contact_ms = self.members.borrow().last_contact_ms();
        last_contact_ms > 0 && last_contact_ms + ISOLATION_TIMEOUT_MS < now_ms
    }

    /// Returns true if this box has no contact with any peer, now or since its start.
    pub(crate) fn has_no_peer_contact(&self, now_ms: u64) -> bool {
        let last_contact_ms = self.members.borrow().last_contact_ms();
        last_contact_ms == 0 || last_contact_ms + ISOLATION_TIMEOUT_MS < now_ms
    }

    /// Handles a message from a peer. If roles move because of it, waiting requests go to the new dispatcher of their pool,
    /// and it receives the open generations of this box.
    pub(crate) fn handle_peer_contact(&self, update: MemberUpdate, had_lost_peers: bool) {
        if had_lost_peers {
            let now_ms = self.now_ms();
            // Boxes that do not answer this one yet may have generations open.
            let others: HashSet<BoxId> = self.members.borrow().others().into_iter().collect();
            for (pool, dispatcher) in self.dispatchers.borrow_mut().iter_mut() {
                dispatcher.hold_after_isolation(others.clone(), now_ms);
                slog::info!(self.log, "dispatcher was isolated"; "pool" => %pool.model,
                    "grants_from_ms" => dispatcher.grants_from_ms, "now_ms" => now_ms,
                    "awaited" => others.len());
            }
        }
        if had_lost_peers || update != MemberUpdate::Unchanged {
            self.peer_suspected.notify_waiters();
            self.generations_changed.notify_one();
        }
    }

    /// Announces this box to all others, as some may still use another dispatcher for the pool.
    pub(crate) fn announce_dispatcher(self: &Rc<Self>, pool: PoolId) {
        slog::info!(self.log, "dispatching resumed"; "pool" => %pool.model);
        broadcast_digest(self);
    }
}
