//! What a box tells the dispatchers of its generations: how far they are, which ended, and what it takes back.

use crate::dispatch::permits::CALL_LIMIT;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use peers::{EngineFault, FleetClient, UpdateRequest};
use prelude::{BoxId, PermitId, PoolId, TargetId};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tokio::time::sleep;

/// What is to be told is gathered for this long.
const GATHER: Duration = Duration::from_millis(20);
/// A dispatcher is told at least this often, so that it notices what it missed.
const TELL_EACH: Duration = Duration::from_millis(1_000);

impl Relay {
    /// Notes whether a peer answered.
    pub(crate) fn heard_from<T>(
        &self,
        id: BoxId,
        answered: Result<T, peers::PeerError>,
        call: &'static str,
    ) -> Option<T> {
        let now_ms = self.now_ms();
        match answered {
            Ok(value) => {
                let was_cut_off = self.is_cut_off(now_ms);
                let heard = self.members.borrow_mut().record_contact(id, now_ms);
                self.note_heard(heard, was_cut_off);
                Some(value)
            }
            Err(error) => {
                self.members.borrow_mut().record_failure(id, now_ms);
                self.peer_doubted.notify_waiters();
                slog::info!(self.log, "peer did not answer"; "call" => call, "box" => id.0,
                    "error" => %error);
                metrics::counter!("shuntpier_peer_failures").increment(1);
                None
            }
        }
    }

    /// Tells a pool's dispatcher something, without waiting for the answer.
    fn tell_dispatcher<F, Fut>(
        self: &Rc<Self>,
        pool: PoolId,
        name: &'static str,
        here: impl FnOnce(&Self),
        there: F,
    ) where
        F: FnOnce(FleetClient, Context) -> Fut + 'static,
        Fut: Future<Output = Result<(), RpcError>> + 'static,
    {
        let Some(dispatcher) = self.dispatchers_of(pool).first().copied() else {
            return;
        };
        if dispatcher == self.id {
            here(self);
            return;
        }
        let relay = self.clone();
        tokio::task::spawn_local(async move {
            let call = relay.peers.call(dispatcher, CALL_LIMIT, there);
            relay.heard_from(dispatcher, call.await, name);
        });
    }

    /// Takes a request or a permit back.
    pub(crate) fn tell_withdrawn(self: &Rc<Self>, pool: PoolId, permit: PermitId) {
        self.tell_dispatcher(
            pool,
            "withdraw",
            |relay| relay.withdraw_here(pool, permit),
            move |client, context| async move { client.withdraw(context, pool, permit).await },
        );
    }

    /// Says that a generation's turn on a link is over.
    pub(crate) fn tell_relocated(self: &Rc<Self>, pool: PoolId, serial: u64, from: TargetId) {
        let permit = self.permit_id(serial);
        self.tell_dispatcher(
            pool,
            "relocated",
            |relay| relay.relocated_here(pool, permit, from),
            move |client, context| async move {
                client.relocated(context, pool, permit, from).await
            },
        );
    }

    /// Says that an engine failed a generation.
    pub(crate) fn tell_engine_failed(
        self: &Rc<Self>,
        pool: PoolId,
        slot: TargetSlot,
        fault: EngineFault,
    ) {
        let Some(target) = self.id_of(slot) else {
            return;
        };
        slog::info!(self.log, "engine failed"; "engine" => self.name_of(slot), "fault" => ?fault);
        self.tell_dispatcher(
            pool,
            "engine_failed",
            |relay| relay.engine_failed_here(pool, target, fault),
            move |client, context| async move {
                client.engine_failed(context, pool, target, fault).await
            },
        );
    }

    /// Tells dispatchers what this box has open, for as long as the box lives.
    pub(crate) async fn run_telling(self: Rc<Self>) {
        loop {
            let changed = self.generations_changed.notified();
            if tokio::time::timeout(TELL_EACH, changed).await.is_ok() {
                sleep(GATHER).await;
            }
            let first = |pool| self.dispatchers_of(pool).first().copied();
            let pools = self.open_generations.borrow().pools(first);
            for pool in pools {
                self.tell_open_generations(pool).await;
            }
        }
    }

    async fn tell_open_generations(self: &Rc<Self>, pool: PoolId) {
        let Some(dispatcher) = self.dispatchers_of(pool).first().copied() else {
            return;
        };
        if !self.tell_if_new(dispatcher, pool).await {
            return;
        }
        let (progress, ended) = self.open_generations.borrow_mut().untold(pool);
        let open_streams = self.open_generations.borrow().count_in(pool) as u32;
        let update = UpdateRequest {
            pool,
            progress,
            ended,
            from: self.id,
            life: self.life,
            open_streams,
        };
        if dispatcher == self.id {
            if self.update_here(&update).resync {
                self.tell_all_open_generations(dispatcher, pool).await;
            }
            return;
        }
        let call = self
            .peers
            .call(dispatcher, CALL_LIMIT, |client, context| async move {
                client.update(context, update).await
            });
        let reply = self.heard_from(dispatcher, call.await, "update");
        if reply.is_some_and(|reply| reply.resync) {
            self.tell_all_open_generations(dispatcher, pool).await;
        }
    }

    /// Tells a box that begins to dispatch a pool, or does so again, what this box has open there: before its next
    /// question, and also where that is nothing, as it may believe what was true a while ago. False where it did not answer.
    pub(crate) async fn tell_if_new(&self, dispatcher: BoxId, pool: PoolId) -> bool {
        let before = self.open_generations.borrow_mut().tells(pool, dispatcher);
        let Some(before) = before else {
            return true;
        };
        let is_told = self.tell_all_open_generations(dispatcher, pool).await;
        slog::info!(self.log, "dispatcher is another"; "pool" => %pool.model, "before" => before.0,
            "dispatcher" => dispatcher.0, "told" => is_told);
        if !is_told {
            let mut open = self.open_generations.borrow_mut();
            open.did_not_tell(pool, dispatcher, before);
        }
        is_told
    }

    /// True where the dispatcher has it.
    pub(crate) async fn tell_all_open_generations(&self, dispatcher: BoxId, pool: PoolId) -> bool {
        let me = self.id;
        let open = self.open_generations.borrow().all_in(pool, self.now_ms());
        if dispatcher == me {
            self.adopt_here(me, pool, &open);
            return true;
        }
        let call = self
            .peers
            .call(dispatcher, CALL_LIMIT, |client, context| async move {
                client.adopt(context, me, pool, open).await
            });
        self.heard_from(dispatcher, call.await, "adopt").is_some()
    }
}
