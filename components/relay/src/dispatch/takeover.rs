//! A box that begins to dispatch a pool, or that finds that another dispatched it meanwhile, grants nothing for a moment: the
//! boxes tell it what runs, and the callers that wait ask it again, so that they keep their places.

use crate::dispatch::dispatcher::Dispatcher;
use crate::membership::gossip::broadcast_digest;
use crate::membership::members::MemberUpdate;
use crate::state::Relay;
use crate::watch::election::ALONE_MS;
use prelude::{PermitId, PoolId};
use std::rc::Rc;

/// How long nothing is granted. A small part of any goal for a first token.
const TAKEN_OVER_HOLD_MS: u64 = 80;
/// Boxes that tell within this time after it begins do not hold grants again: each tells within a second, so that callers
/// lose 80 ms once.
const HELD_ONCE_MS: u64 = 1_000;

impl Dispatcher {
    /// Grants nothing for a moment, unless it did not long ago.
    fn hold_grants(&mut self, now_ms: u64) {
        if self.grants_from_ms == 0 || now_ms >= self.grants_from_ms + HELD_ONCE_MS {
            self.grants_from_ms = now_ms + TAKEN_OVER_HOLD_MS;
        }
    }

    /// Notes that another box dispatched the pool meanwhile. True where the others are to hear that this one does again.
    pub(crate) fn dispatched_elsewhere(&mut self, now_ms: u64) -> bool {
        self.hold_grants(now_ms);
        let says_again = now_ms >= self.said_ms + HELD_ONCE_MS;
        if says_again {
            self.said_ms = now_ms;
        }
        self.forget_who_went_elsewhere();
        says_again
    }

    /// Forgets requests of which nobody waits here for the word now: most asked another box, and the pace of grants that was
    /// seen while they seemed to wait would have others refused. One that is between two questions comes with its place.
    fn forget_who_went_elsewhere(&mut self) {
        let gone = self
            .waiting
            .extract_if(|_, waiting| waiting.asker.is_closed());
        let gone: Vec<PermitId> = gone.map(|(permit, _)| permit).collect();
        for permit in &gone {
            self.pool.withdraw(*permit);
        }
        if !gone.is_empty() {
            self.pool.reset_grant_rate();
        }
    }
}

impl Relay {
    /// Begins to dispatch a pool that another box may have dispatched before, whether or not this box told that one of any
    /// generation: what this box has open there is known at once, and the others have the time to tell.
    pub(crate) fn take_over(&self, pool: PoolId) {
        if self.members.borrow().others().is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        if let Some(dispatcher) = self.dispatchers.borrow_mut().get_mut(&pool) {
            dispatcher.hold_grants(now_ms);
            dispatcher.said_ms = now_ms;
        }
        let open = self.open_generations.borrow().all_in(pool, now_ms);
        self.adopt_here(self.id, pool, &open);
    }

    /// Whether no other box was heard for so long that its pools are dispatched elsewhere.
    pub(crate) fn is_cut_off(&self, now_ms: u64) -> bool {
        let heard_ms = self.members.borrow().last_contact_ms();
        heard_ms > 0 && heard_ms + ALONE_MS < now_ms
    }

    /// Whether no other box is heard, or ever was.
    pub(crate) fn hears_nobody(&self, now_ms: u64) -> bool {
        let heard_ms = self.members.borrow().last_contact_ms();
        heard_ms == 0 || heard_ms + ALONE_MS < now_ms
    }

    /// Notes that a box was heard. Where roles moved by it, requests that wait ask the box that dispatches their pool now, and
    /// it is told what runs here.
    pub(crate) fn note_heard(&self, met: MemberUpdate, was_cut_off: bool) {
        if was_cut_off {
            let now_ms = self.now_ms();
            for (pool, dispatcher) in self.dispatchers.borrow_mut().iter_mut() {
                dispatcher.hold_grants(now_ms);
                slog::info!(self.log, "dispatcher was cut off"; "pool" => %pool.model,
                    "grants_from_ms" => dispatcher.grants_from_ms, "now_ms" => now_ms);
            }
        }
        if was_cut_off || met != MemberUpdate::Unchanged {
            self.peer_doubted.notify_waiters();
            self.generations_changed.notify_one();
        }
    }

    /// Says to all boxes that this one is there: some may still have a pool dispatched by another.
    pub(crate) fn dispatches_again(self: &Rc<Self>, pool: PoolId) {
        slog::info!(self.log, "dispatching again"; "pool" => %pool.model);
        broadcast_digest(self);
    }
}
