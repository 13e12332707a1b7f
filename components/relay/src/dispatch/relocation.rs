//! Relocation of running generations: the dispatcher chooses the engine on which one continues, once the generation has a
//! transfer slot on the link of the engine that it leaves.

use crate::dispatch::dispatcher::Dispatcher;
use crate::state::Relay;
use peers::{RelocateReply, RelocateRequest};
use policy::Relocation;
use prelude::{PermitId, PoolId, TargetId};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a call waits for a transfer slot before the box has to call again.
const SLOT_WAIT_TIMEOUT: Duration = Duration::from_millis(150);
/// How often a waiting call tries to acquire the slot.
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(8);
impl Dispatcher {
    fn relocate(&mut self, request: &RelocateRequest, now_ms: u64) -> RelocateReply {
        let (permit, from) = (request.permit, request.from);
        let Some(tokens_in_use) = self.pool.tokens_in_use(permit) else {
            return RelocateReply::NotKnown;
        };
        let slots = self.transfer_slots.as_mut();
        if slots.is_some_and(|slots| !slots.try_acquire(from, permit, tokens_in_use, now_ms)) {
            return RelocateReply::Wait;
        }
        let inbound = self.transfer_slots.as_ref();
        let inbound = inbound.map_or(Vec::new(), |slots| slots.inbound_targets(now_ms));
        let relocation = Relocation {
            permit,
            from,
            avoid: &request.avoid,
            inbound: &inbound,
            is_optional: request.may_stay,
        };
        let destination = self.pool.relocate(&relocation, now_ms);
        match (destination, &mut self.transfer_slots) {
            (Some(target), Some(slots)) => slots.start_transfer(from, permit, target, now_ms),
            (None, Some(slots)) => slots.release(from, permit),
            (_, None) => {}
        }
        destination.map_or(RelocateReply::NoRoom, RelocateReply::Go)
    }
}

impl Relay {
    /// Chooses the engine on which a running generation continues, once it has a transfer slot.
    pub(crate) async fn relocate_local(&self, request: &RelocateRequest) -> RelocateReply {
        let until = Instant::now() + SLOT_WAIT_TIMEOUT;
        loop {
            let reply = self.with_dispatcher(request.pool, |dispatcher, now_ms| {
                dispatcher.relocate(request, now_ms)
            });
            if reply == RelocateReply::Wait && Instant::now() >= until {
                return reply;
            }
            if reply != RelocateReply::Wait {
                slog::info!(self.log, "relocation"; "box" => request.permit.entry.0,
                    "permit" => request.permit.serial, "from" => request.from.0,
                    "word" => ?reply);
                return reply;
            }
            sleep(SLOT_POLL_INTERVAL).await;
        }
    }

    /// Releases the transfer slot of a generation.
    pub(crate) fn release_transfer_local(&self, pool: PoolId, permit: PermitId, from: TargetId) {
        self.with_dispatcher(pool, |dispatcher, _| {
            if let Some(slots) = &mut dispatcher.transfer_slots {
                slots.release(from, permit);
            }
        });
    }
}
