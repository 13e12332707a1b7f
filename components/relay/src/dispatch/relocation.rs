//! Where a running generation goes on: the dispatcher's word, once it is the generation's turn on the link of the engine that
//! it leaves.

use crate::dispatch::dispatcher::Dispatcher;
use crate::state::Relay;
use peers::{RelocateReply, RelocateRequest};
use policy::Relocation;
use prelude::{PermitId, PoolId, TargetId};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a generation waits here for its turn on a link before it asks again.
const SLOT_WAIT_TIMEOUT: Duration = Duration::from_millis(150);
/// How often it looks whether it is its turn.
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(8);
impl Dispatcher {
    fn relocate(&mut self, request: &RelocateRequest, now_ms: u64) -> RelocateReply {
        let (permit, from) = (request.permit, request.from);
        let Some(held_tokens) = self.pool.tokens_in_use(permit) else {
            return RelocateReply::NotKnown;
        };
        let asked = self.transfer_slots.as_mut();
        if asked.is_some_and(|turns| !turns.try_acquire(from, permit, held_tokens, now_ms)) {
            return RelocateReply::Wait;
        }
        let arriving = self.transfer_slots.as_ref();
        let arriving = arriving.map_or(Vec::new(), |turns| turns.inbound_targets(now_ms));
        let relocation = Relocation {
            permit,
            from,
            avoid: &request.avoid,
            inbound: &arriving,
            is_optional: request.may_stay,
        };
        let found = self.pool.relocate(&relocation, now_ms);
        match (found, &mut self.transfer_slots) {
            (Some(target), Some(turns)) => turns.start_transfer(from, permit, target, now_ms),
            (None, Some(turns)) => turns.release(from, permit),
            (_, None) => {}
        }
        found.map_or(RelocateReply::NoRoom, RelocateReply::Go)
    }
}

impl Relay {
    /// Decides where a running generation goes on, once it is its turn.
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

    /// Ends the turn of a generation.
    pub(crate) fn release_transfer_local(&self, pool: PoolId, permit: PermitId, from: TargetId) {
        self.with_dispatcher(pool, |dispatcher, _| {
            if let Some(turns) = &mut dispatcher.transfer_slots {
                turns.release(from, permit);
            }
        });
    }
}
