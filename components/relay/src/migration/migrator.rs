//! Live migration of a running generation off an engine that is leaving: a first copy of its KV cache while it runs, then a
//! stop with a copy of what was added since, then resumption at the other engine. The dispatcher chooses that engine.

use crate::dispatch::permits::Permit;
use crate::forwarding::control::send_control_request;
use crate::migration::migrated_copy::{MigratedCopy, free_copy};
use crate::state::Relay;
use crate::watch::targets::{TargetSlot, TargetState};
use peers::RelocateReply;
use platform::{CopyReply, copy_request, parse_copy_reply};
use prelude::{PoolId, TargetId};
use routing::EngineTraits;
use settings::Mechanism;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// Pause before the next attempt to copy a generation.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// The same for a generation whose engine stays: it is not urgent, and engines that leave need the links.
const EVACUATED_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Attempts to move one generation.
const MAX_ATTEMPTS: u32 = 30;
/// How long the source's stream may take to close after the generation was stopped.
const SOURCE_CLOSE_TIMEOUT: Duration = Duration::from_millis(150);
/// Generations with fewer tokens left than this are not moved: they finish before the move would.
const MIN_REMAINING_TOKENS: u32 = 48;

/// Progress of a migration, sent to the reader of the generation's stream.
pub(crate) enum MigrationStep {
    /// The generation is about to be stopped: the end of its source's stream is not the end of the generation.
    Stopping,
    /// The generation resumes from this copy.
    Continue(MigratedCopy),
    /// The stop failed; the generation may still run at its source.
    Failed,
}

/// One migration: the generation, its source engine and the cause.
#[derive(Clone, Debug)]
struct MigrationJob {
    cause: Cause,
    pool: PoolId,
    serial: u64,
    id: Box<str>,
    source: TargetSlot,
    source_id: TargetId,
    source_address: SocketAddr,
}

/// Watches the engine of one generation, and migrates the generation when that engine leaves or is evacuated.
pub(crate) struct Migrator {
    relay: Rc<Relay>,
    changes: watch::Receiver<u64>,
    checked: bool,
    can_migrate: bool,
    /// Progress of the migration in progress. When this is dropped, the migration stops and frees the copy that it made.
    steps: Option<mpsc::UnboundedReceiver<MigrationStep>>,
    stopping: bool,
    source_open: bool,
    ready_copy: Option<MigratedCopy>,
    /// Cause of the migration in progress.
    cause: Option<Cause>,
    /// The migration off the evacuated engine ended without a move: the generation finishes there unless the engine leaves.
    evacuation_failed: bool,
}

/// Why a generation is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// Its engine is leaving; generations that still run there are lost.
    Leaving,
    /// Its engine's data centre is evacuated. The engine still finishes what it runs.
    Evacuated,
}

impl Cause {
    /// Pause before the next attempt.
    fn retry_pause(self) -> Duration {
        match self {
            Self::Leaving => RETRY_PAUSE,
            Self::Evacuated => EVACUATED_RETRY_PAUSE,
        }
    }
}

impl Drop for Migrator {
    fn drop(&mut self) {
        let mut unused = self.ready_copy.take();
        if let Some(steps) = &mut self.steps {
            steps.close();
            while let Ok(step) = steps.try_recv() {
                if let MigrationStep::Continue(migrated) = step {
                    unused = Some(migrated);
                }
            }
        }
        if let Some(migrated) = unused {
            migrated.free(&self.relay);
        }
    }
}

impl Migrator {
    pub(crate) fn new(relay: &Rc<Relay>, engine: Option<EngineTraits>) -> Self {
        Self {
            relay: relay.clone(),
            changes: relay.target_changes.subscribe(),
            checked: false,
            can_migrate: engine.is_some_and(|engine| engine.moves)
                && relay.settings().has(Mechanism::Moves),
            steps: None,
            stopping: false,
            source_open: true,
            ready_copy: None,
            cause: None,
            evacuation_failed: false,
        }
    }

    /// Whether the source engine's stream may deliver more events.
    pub(crate) fn is_source_open(&self) -> bool {
        self.source_open
    }

    /// Whether the source engine is being asked to stop the generation, so that the end of its stream is not the generation's.
    pub(crate) fn is_stopping_source(&self) -> bool {
        self.stopping
    }

    /// Records that the source engine's stream has closed.
    pub(crate) fn mark_source_closed(&mut self) {
        self.source_open = false;
    }

    /// Waits for the next step. Cancel-safe: it may be dropped and called again.
    pub(crate) async fn next_step(&mut self, permit: &Permit, id: &str) -> MigrationStep {
        loop {
            if self.ready_copy.is_some() && self.source_open {
                sleep(SOURCE_CLOSE_TIMEOUT).await;
                self.source_open = false;
            }
            if let Some(migrated) = self.ready_copy.take() {
                return MigrationStep::Continue(migrated);
            }
            if let Some(steps) = &mut self.steps {
                match steps.recv().await {
                    Some(MigrationStep::Continue(migrated)) => self.ready_copy = Some(migrated),
                    Some(MigrationStep::Stopping) => {
                        self.stopping = true;
                        return MigrationStep::Stopping;
                    }
                    Some(MigrationStep::Failed) => {
                        self.stopping = false;
                        return MigrationStep::Failed;
                    }
                    None if self.cause == Some(Cause::Evacuated) => {
                        // If the engine leaves later, the generation is migrated then.
                        self.evacuation_failed = true;
                        self.steps = None;
                        self.checked = false;
                    }
                    None => std::future::pending::<()>().await,
                }
                continue;
            }
            if self.checked && self.changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
            self.checked = true;
            self.start_if_needed(permit, id);
        }
    }

    /// Starts a migration if the generation's engine is leaving or its data centre is evacuated.
    fn start_if_needed(&mut self, permit: &Permit, id: &str) {
        let targets = self.relay.targets.borrow();
        let Some(target) = targets.get(permit.slot) else {
            return;
        };
        let cause = match target.state {
            TargetState::Ready if !targets.is_evacuated(target) || self.evacuation_failed => return,
            TargetState::Ready if !self.relay.settings().has(Mechanism::EvacuationMoves) => return,
            TargetState::Ready => Cause::Evacuated,
            _ => Cause::Leaving,
        };
        if !self.can_migrate {
            return;
        }
        self.cause = Some(cause);
        let job = MigrationJob {
            cause,
            pool: permit.pool,
            serial: permit.serial,
            id: id.into(),
            source: permit.slot,
            source_id: target.id,
            source_address: target.entry.address,
        };
        let (sender, steps) = mpsc::unbounded_channel();
        self.steps = Some(steps);
        let relay = self.relay.clone();
        tokio::task::spawn_local(async move { job.run(&relay, &sender).await });
    }
}

/// A transfer slot on the source engine's link; dropping it releases the slot at the dispatcher.
struct TransferSlot<'a> {
    relay: &'a Rc<Relay>,
    job: &'a MigrationJob,
}

impl Drop for TransferSlot<'_> {
    fn drop(&mut self) {
        let job = self.job;
        self.relay
            .notify_relocated(job.pool, job.serial, job.source_id);
    }
}

/// What follows one attempt to migrate a generation.
enum Next {
    /// No further attempt: the generation moved, finished, or resumes at its source.
    Done,
    /// Retry for this reason, avoiding the engine if one is given.
    Retry(&'static str, Option<TargetId>),
}

impl MigrationJob {
    async fn run(&self, relay: &Rc<Relay>, steps: &mpsc::UnboundedSender<MigrationStep>) {
        let mut avoid: Vec<TargetId> = Vec::new();
        for attempt in 0..MAX_ATTEMPTS {
            let Some(generation) = relay.open_generations.borrow().get(self.serial) else {
                return;
            };
            if steps.is_closed() {
                return;
            }
            if generation.tokens > 0
                && generation.request.max_tokens < generation.tokens + MIN_REMAINING_TOKENS
            {
                return self.log_not_moved(relay, "it ends sooner", attempt);
            }
            let is_optional = self.cause == Cause::Evacuated;
            let found = relay
                .relocate(self.pool, self.serial, self.source_id, &avoid, is_optional)
                .await;
            let target = match found {
                Ok(target) if relay.takes_work(target) => target,
                Ok(target) => {
                    // The dispatcher does not know yet that the chosen engine is leaving too.
                    avoid.extend(relay.id_of(target));
                    relay.notify_relocated(self.pool, self.serial, self.source_id);
                    continue;
                }
                Err(RelocateReply::Wait) => continue,
                Err(reply) => {
                    slog::info!(relay.log, "not moved"; "id" => &*self.id, "why" => ?reply,
                        "tries" => attempt);
                    sleep(self.cause.retry_pause()).await;
                    continue;
                }
            };
            match self.attempt(relay, target, steps).await {
                Next::Done => return,
                Next::Retry(why, other) => {
                    self.log_not_moved(relay, why, attempt);
                    avoid.extend(other);
                    sleep(self.cause.retry_pause()).await;
                }
            }
        }
    }

    /// Copies the generation to an engine, stops it at the source, and has it resume from the copy.
    async fn attempt(
        &self,
        relay: &Rc<Relay>,
        target: TargetSlot,
        steps: &mpsc::UnboundedSender<MigrationStep>,
    ) -> Next {
        let _transfer_slot = TransferSlot { relay, job: self };
        let Some(target_address) = relay.targets.borrow().get(target).map(|t| t.entry.address)
        else {
            return Next::Retry("the engine is gone", None);
        };
        let started_ms = relay.now_ms();
        let target_id = relay.id_of(target);
        let first_copy = match self.copy(relay, target, false).await {
            CopyReply::Done { copy, .. } => copy,
            CopyReply::NotRunning => return Next::Retry("it does not run yet, or no more", None),
            CopyReply::UnderWay => return Next::Retry("another copy is under way", None),
            reply => {
                slog::info!(relay.log, "migration copy failed"; "id" => &*self.id, "reply" => ?reply);
                return Next::Retry("the copy failed", target_id);
            }
        };
        let copied_ms = relay.now_ms();
        if relay.is_gone(target) {
            // The copy is lost with the engine process that held it: stopping the generation now would end it.
            free_copy(relay, target_address, &first_copy);
            return Next::Retry("the engine is gone", target_id);
        }
        if steps.send(MigrationStep::Stopping).is_err() {
            // The generation finished, or its caller disconnected, during the copy.
            free_copy(relay, target_address, &first_copy);
            return Next::Done;
        }
        match self.copy(relay, target, true).await {
            CopyReply::Done { copy, events_made } => {
                slog::info!(relay.log, "generation stopped for migration"; "id" => &*self.id,
                    "events" => events_made, "copied_in_ms" => copied_ms - started_ms,
                    "stopped_in_ms" => relay.now_ms() - copied_ms);
                if !self.resume_at(target, copy, steps) {
                    free_copy(relay, target_address, &first_copy);
                }
                Next::Done
            }
            CopyReply::NoRoom { kept: Some(copy) } => {
                slog::info!(relay.log, "generation resumes at its source"; "id" => &*self.id);
                self.resume_at(self.source, copy, steps);
                Next::Done
            }
            CopyReply::NotRunning => {
                // The generation finished before the stop.
                free_copy(relay, target_address, &first_copy);
                Next::Done
            }
            reply => {
                slog::info!(relay.log, "migration stop failed"; "id" => &*self.id, "reply" => ?reply);
                free_copy(relay, target_address, &first_copy);
                match steps.send(MigrationStep::Failed) {
                    Ok(()) => Next::Retry("the stop failed", target_id),
                    Err(_) => Next::Done,
                }
            }
        }
    }

    /// Hands the copy to the reader of the stream. False if the reader is gone.
    fn resume_at(
        &self,
        target: TargetSlot,
        copy: Box<str>,
        steps: &mpsc::UnboundedSender<MigrationStep>,
    ) -> bool {
        let migrated = MigratedCopy {
            target,
            source: self.source_address,
            source_slot: self.source,
            copy,
        };
        steps.send(MigrationStep::Continue(migrated)).is_ok()
    }

    fn log_not_moved(&self, relay: &Relay, why: &'static str, attempt: u32) {
        slog::info!(relay.log, "not moved"; "id" => &*self.id, "why" => why, "tries" => attempt);
    }

    async fn copy(&self, relay: &Rc<Relay>, target: TargetSlot, is_final: bool) -> CopyReply {
        let target_address = relay.targets.borrow().get(target).map(|t| t.entry.address);
        let Some(target_address) = target_address else {
            return CopyReply::NoRoom { kept: None };
        };
        let call = copy_request(self.source_address, &self.id, target_address, is_final);
        let reply = send_control_request(relay, self.source_address, &call).await;
        reply.map_or(CopyReply::Unknown { status: 0 }, |(status, body)| {
            parse_copy_reply(status, &body)
        })
    }
}
