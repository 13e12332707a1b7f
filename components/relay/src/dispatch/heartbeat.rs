//! Reports from a box to the dispatchers of its generations: progress, ends, and withdrawn requests or permits.

use crate::dispatch::permits::CALL_TIMEOUT;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use peers::{EngineFault, FleetClient, PeerError, UpdateRequest};
use prelude::{BoxId, PermitId, PoolId, TargetId};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tokio::time::sleep;

/// Delay in which changes are batched into one report.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Maximum time between two reports. A dispatcher that missed one notices it at the next.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

impl Relay {
    /// Records the result of a call to a peer, and returns the value if the peer answered.
    pub(crate) fn record_peer_result<T>(
        &self,
        id: BoxId,
        answered: Result<T, peers::PeerError>,
        call: &'static str,
    ) -> Option<T> {
        self.record_held_result(id, answered, call, 0)
    }

    /// Like [`Self::record_peer_result`] for a call whose answer the peer may hold for `held_ms`. That time is no silence.
    pub(crate) fn record_held_result<T>(
        &self,
        id: BoxId,
        answered: Result<T, peers::PeerError>,
        call: &'static str,
        held_ms: u32,
    ) -> Option<T> {
        let now_ms = self.now_ms();
        match answered {
            Ok(value) => {
                let had_lost_peers = self.has_lost_all_peers(now_ms);
                let update = self.members.borrow_mut().record_contact(id, now_ms);
                self.handle_peer_contact(update, had_lost_peers);
                Some(value)
            }
            Err(error) => {
                self.record_peer_failure(id, &error, call, held_ms);
                None
            }
        }
    }

    fn record_peer_failure(&self, id: BoxId, error: &PeerError, call: &'static str, held_ms: u32) {
        let now_ms = self.now_ms();
        let last_seen_ms = self.members.borrow().last_seen_ms(id);
        let is_suspected = {
            let mut members = self.members.borrow_mut();
            match error.timeout_ms() {
                Some(limit_ms) => {
                    let late_ms = limit_ms.saturating_sub(held_ms.into());
                    members.record_timeout(id, late_ms, now_ms)
                }
                None => {
                    members.record_failure(id, now_ms);
                    true
                }
            }
        };
        if is_suspected {
            self.peer_suspected.notify_waiters();
        }
        slog::info!(self.log, "peer did not answer"; "call" => call, "box" => id.0,
            "silent_ms" => last_seen_ms.map(|seen_ms| now_ms.saturating_sub(seen_ms)),
            "suspected" => is_suspected, "error" => %error);
        metrics::counter!("shuntpier_peer_failures").increment(1);
    }

    /// Notifies a pool's dispatcher without waiting for the answer. Calls `here` if this box is the dispatcher, `there` if not.
    fn notify_dispatcher<F, Fut>(
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
            let call = relay.peers.call(dispatcher, CALL_TIMEOUT, there);
            relay.record_peer_result(dispatcher, call.await, name);
        });
    }

    /// Withdraws a request for a permit, or gives the permit back.
    pub(crate) fn notify_withdrawn(self: &Rc<Self>, pool: PoolId, permit: PermitId) {
        self.notify_dispatcher(
            pool,
            "withdraw",
            |relay| relay.withdraw_local(pool, permit),
            move |client, context| async move { client.withdraw(context, pool, permit).await },
        );
    }

    /// Notifies the dispatcher that a generation no longer uses its transfer slot on the link of engine `from`.
    pub(crate) fn notify_relocated(self: &Rc<Self>, pool: PoolId, serial: u64, from: TargetId) {
        let permit = self.permit_id(serial);
        self.notify_dispatcher(
            pool,
            "relocated",
            |relay| relay.release_transfer_local(pool, permit, from),
            move |client, context| async move {
                client.relocated(context, pool, permit, from).await
            },
        );
    }

    /// Notifies the dispatcher that an engine failed a generation.
    pub(crate) fn notify_engine_failed(
        self: &Rc<Self>,
        pool: PoolId,
        slot: TargetSlot,
        fault: EngineFault,
    ) {
        let Some(target) = self.id_of(slot) else {
            return;
        };
        slog::info!(self.log, "engine failed"; "engine" => self.name_of(slot), "fault" => ?fault);
        match fault {
            // The engine had accepted the connection.
            EngineFault::Broke if !self.is_service_lost(&self.service_of(slot)) => {
                self.report_engine_failure(pool, target, fault);
            }
            EngineFault::Broke | EngineFault::Silent => {
                self.report_if_path_is_sound(slot, move |relay| {
                    relay.report_engine_failure(pool, target, fault);
                });
            }
        }
    }

    /// Notifies the dispatcher of an engine that this box cannot connect to.
    pub(crate) fn notify_engine_unreachable(self: &Rc<Self>, pool: PoolId, slot: TargetSlot) {
        let Some(target) = self.id_of(slot) else {
            return;
        };
        slog::info!(self.log, "engine failed"; "engine" => self.name_of(slot), "fault" => "Unreachable");
        self.report_if_path_is_sound(slot, move |relay| {
            relay.report_engine_failure(pool, target, EngineFault::Broke);
        });
    }

    fn report_engine_failure(self: &Rc<Self>, pool: PoolId, target: TargetId, fault: EngineFault) {
        self.notify_dispatcher(
            pool,
            "engine_failed",
            |relay| relay.engine_failed_local(pool, target, fault),
            move |client, context| async move {
                client.engine_failed(context, pool, target, fault).await
            },
        );
    }

    /// Reports the open generations of this box to their dispatchers until the process ends.
    pub(crate) async fn run_progress_reports(self: Rc<Self>) {
        loop {
            let changed = self.generations_changed.notified();
            if tokio::time::timeout(REPORT_INTERVAL, changed).await.is_ok() {
                sleep(BATCH_DELAY).await;
            }
            let first_dispatcher = |pool| self.dispatchers_of(pool).first().copied();
            let pools = self
                .open_generations
                .borrow()
                .pools_to_report(first_dispatcher);
            for pool in pools {
                self.report_progress(pool).await;
            }
        }
    }

    async fn report_progress(self: &Rc<Self>, pool: PoolId) {
        let Some(dispatcher) = self.dispatchers_of(pool).first().copied() else {
            return;
        };
        if !self.sync_new_dispatcher(dispatcher, pool).await {
            return;
        }
        let (progress, ended) = self.open_generations.borrow_mut().take_unreported(pool);
        let open_streams = self.open_generations.borrow().count_in(pool) as u32;
        let update = UpdateRequest {
            pool,
            progress,
            ended,
            from: self.id,
            life: self.incarnation,
            open_streams,
        };
        if dispatcher == self.id {
            if self.update_local(&update).resync {
                self.send_open_generations(dispatcher, pool).await;
            }
            return;
        }
        let call = self
            .peers
            .call(dispatcher, CALL_TIMEOUT, |client, context| async move {
                client.update(context, update).await
            });
        let reply = self.record_peer_result(dispatcher, call.await, "update");
        if reply.is_some_and(|reply| reply.resync) {
            self.send_open_generations(dispatcher, pool).await;
        }
    }

    /// Sends the open generations of this box to a dispatcher that has changed since the last call, before anything else
    /// is asked of it. They are also sent if there are none, as the dispatcher may still hold an outdated list.
    /// Returns false if the dispatcher did not answer.
    pub(crate) async fn sync_new_dispatcher(&self, dispatcher: BoxId, pool: PoolId) -> bool {
        let previous = self
            .open_generations
            .borrow_mut()
            .set_dispatcher(pool, dispatcher);
        let Some(previous) = previous else {
            return true;
        };
        let is_synced = self.send_open_generations(dispatcher, pool).await;
        slog::info!(self.log, "dispatcher is another"; "pool" => %pool.model, "before" => previous.0,
            "dispatcher" => dispatcher.0, "told" => is_synced);
        if !is_synced {
            let mut open = self.open_generations.borrow_mut();
            open.restore_dispatcher(pool, dispatcher, previous);
        }
        is_synced
    }

    /// Sends all open generations of this box in a pool to its dispatcher. Returns true if it has them.
    pub(crate) async fn send_open_generations(&self, dispatcher: BoxId, pool: PoolId) -> bool {
        let me = self.id;
        let open = self.open_generations.borrow().snapshot(pool, self.now_ms());
        if dispatcher == me {
            self.adopt_local(me, pool, &open);
            return true;
        }
        let call = self
            .peers
            .call(dispatcher, CALL_TIMEOUT, |client, context| async move {
                client.adopt(context, me, pool, open).await
            });
        self.record_peer_result(dispatcher, call.await, "adopt")
            .is_some()
    }
}
