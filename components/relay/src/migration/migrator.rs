//! Moves a running generation off an engine that leaves: a first copy while it runs, then a stop with what
//! is new, then on at the other engine. The decision where to is the dispatcher's.

use crate::dispatch::permits::Permit;
use crate::forwarding::control::control;
use crate::migration::migrated_copy::{MigratedCopy, free_copy};
use crate::state::Relay;
use crate::watch::targets::{Belief, TargetSlot};
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

/// Pause before a copy is asked for again.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// The same where its engine stays: there is time, and engines that leave need the links.
const EVACUATED_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Tries to move one generation.
const MAX_ATTEMPTS: u32 = 30;
/// How long the source's stream may take to close after the stop.
const SOURCE_CLOSE_TIMEOUT: Duration = Duration::from_millis(150);
/// Generations with fewer tokens left than this end sooner than they move.
const MIN_REMAINING_TOKENS: u32 = 48;

/// What a move tells whoever reads the generation's stream.
pub(crate) enum MigrationStep {
    /// The generation is about to be stopped: the end of its stream says nothing.
    Stopping,
    /// It goes on elsewhere.
    Continue(MigratedCopy),
    /// It was not stopped, or is not known to be.
    Failed,
}

/// Which generation is moved, and from where.
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

/// Watches the engine of one generation, and moves the generation when it leaves.
pub(crate) struct Migrator {
    relay: Rc<Relay>,
    changes: watch::Receiver<u64>,
    checked: bool,
    can_migrate: bool,
    /// What the move under way tells. Once this is dropped, the move ends by itself: it frees the copy that it made.
    steps: Option<mpsc::UnboundedReceiver<MigrationStep>>,
    stopping: bool,
    source_open: bool,
    ready_copy: Option<MigratedCopy>,
    /// Why the move that is under way was begun.
    cause: Option<Cause>,
    /// It was tried to move the generation off its evacuated engine, in vain: it ends there.
    move_failed: bool,
}

/// Why a generation is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// Its engine leaves, and takes with it what runs there.
    Leaving,
    /// Its engine's data centre is evacuated. The engine serves what it has.
    Evacuated,
}

impl Cause {
    /// Pause before a move is tried again.
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
                if let MigrationStep::Continue(moved) = step {
                    unused = Some(moved);
                }
            }
        }
        if let Some(moved) = unused {
            moved.free(&self.relay);
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
                && relay.file().has(Mechanism::Moves),
            steps: None,
            stopping: false,
            source_open: true,
            ready_copy: None,
            cause: None,
            move_failed: false,
        }
    }

    /// Whether there is more to be read from the engine that the generation ran on.
    pub(crate) fn is_source_open(&self) -> bool {
        self.source_open
    }

    /// Whether that engine was told to stop, so that the end of its stream is not the generation's.
    pub(crate) fn is_stopping_source(&self) -> bool {
        self.stopping
    }

    /// Notes that the engine's stream is closed.
    pub(crate) fn mark_source_closed(&mut self) {
        self.source_open = false;
    }

    /// Waits for the next step. May be dropped and called again.
    pub(crate) async fn next_step(&mut self, permit: &Permit, id: &str) -> MigrationStep {
        loop {
            if self.ready_copy.is_some() && self.source_open {
                sleep(SOURCE_CLOSE_TIMEOUT).await;
                self.source_open = false;
            }
            if let Some(moved) = self.ready_copy.take() {
                return MigrationStep::Continue(moved);
            }
            if let Some(steps) = &mut self.steps {
                match steps.recv().await {
                    Some(MigrationStep::Continue(moved)) => self.ready_copy = Some(moved),
                    Some(MigrationStep::Stopping) => {
                        self.stopping = true;
                        return MigrationStep::Stopping;
                    }
                    Some(MigrationStep::Failed) => {
                        self.stopping = false;
                        return MigrationStep::Failed;
                    }
                    None if self.cause == Some(Cause::Evacuated) => {
                        // The engine may still leave; the generation is moved then.
                        self.move_failed = true;
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

    /// Begins to move the generation where its engine leaves, or is to be left.
    fn start_if_needed(&mut self, permit: &Permit, id: &str) {
        let targets = self.relay.targets.borrow();
        let Some(target) = targets.get(permit.slot) else {
            return;
        };
        let cause = match target.belief {
            Belief::Ready if !targets.is_evacuated(target) || self.move_failed => return,
            Belief::Ready if !self.relay.file().has(Mechanism::EvacuationMoves) => return,
            Belief::Ready => Cause::Evacuated,
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

/// A turn on the link of an engine; it is over when this is dropped.
struct TransferSlot<'a> {
    relay: &'a Rc<Relay>,
    job: &'a MigrationJob,
}

impl Drop for TransferSlot<'_> {
    fn drop(&mut self) {
        let job = self.job;
        self.relay
            .tell_relocated(job.pool, job.serial, job.source_id);
    }
}

/// What became of one try to move a generation.
enum Attempt {
    /// It is over, one way or the other.
    Done,
    /// It is tried again, elsewhere where an engine is named.
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
                    // The dispatcher has not heard yet that it leaves too.
                    avoid.extend(relay.id_of(target));
                    relay.tell_relocated(self.pool, self.serial, self.source_id);
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
                Attempt::Done => return,
                Attempt::Retry(why, other) => {
                    self.log_not_moved(relay, why, attempt);
                    avoid.extend(other);
                    sleep(self.cause.retry_pause()).await;
                }
            }
        }
    }

    /// Copies the generation to an engine, stops it, and has it go on there.
    async fn attempt(
        &self,
        relay: &Rc<Relay>,
        target: TargetSlot,
        steps: &mpsc::UnboundedSender<MigrationStep>,
    ) -> Attempt {
        let _slot = TransferSlot { relay, job: self };
        let Some(target_address) = relay.targets.borrow().get(target).map(|t| t.entry.address)
        else {
            return Attempt::Retry("the engine is gone", None);
        };
        let started_ms = relay.now_ms();
        let target_id = relay.id_of(target);
        let first = match self.copy(relay, target, false).await {
            CopyReply::Done { copy, .. } => copy,
            CopyReply::NotRunning => {
                return Attempt::Retry("it does not run yet, or no more", None);
            }
            CopyReply::UnderWay => return Attempt::Retry("another copy is under way", None),
            reply => {
                slog::info!(relay.log, "copy failed"; "id" => &*self.id, "reply" => ?reply);
                return Attempt::Retry("the copy failed", target_id);
            }
        };
        let copied_ms = relay.now_ms();
        if relay.is_over(target) {
            // The copy went with the life that held it: a stop now would end the generation.
            free_copy(relay, target_address, &first);
            return Attempt::Retry("the engine is gone", target_id);
        }
        if steps.send(MigrationStep::Stopping).is_err() {
            // It came to its own end, or its caller left, while it was copied.
            free_copy(relay, target_address, &first);
            return Attempt::Done;
        }
        match self.copy(relay, target, true).await {
            CopyReply::Done { copy, events_made } => {
                slog::info!(relay.log, "generation stopped to be moved"; "id" => &*self.id,
                    "events" => events_made, "copied_in_ms" => copied_ms - started_ms,
                    "stopped_in_ms" => relay.now_ms() - copied_ms);
                if !self.resume_at(target, copy, steps) {
                    free_copy(relay, target_address, &first);
                }
                Attempt::Done
            }
            CopyReply::NoRoom { kept: Some(copy) } => {
                slog::info!(relay.log, "generation goes on at its source"; "id" => &*self.id);
                self.resume_at(self.source, copy, steps);
                Attempt::Done
            }
            CopyReply::NotRunning => {
                // It came to its own end meanwhile.
                free_copy(relay, target_address, &first);
                Attempt::Done
            }
            reply => {
                slog::info!(relay.log, "stop failed"; "id" => &*self.id, "reply" => ?reply);
                free_copy(relay, target_address, &first);
                match steps.send(MigrationStep::Failed) {
                    Ok(()) => Attempt::Retry("the stop failed", target_id),
                    Err(_) => Attempt::Done,
                }
            }
        }
    }

    /// Has the generation go on. False where nobody waits for that any more.
    fn resume_at(
        &self,
        target: TargetSlot,
        copy: Box<str>,
        steps: &mpsc::UnboundedSender<MigrationStep>,
    ) -> bool {
        let moved = MigratedCopy {
            target,
            source: self.source_address,
            source_slot: self.source,
            copy,
        };
        steps.send(MigrationStep::Continue(moved)).is_ok()
    }

    fn log_not_moved(&self, relay: &Relay, why: &'static str, attempt: u32) {
        slog::info!(relay.log, "not moved"; "id" => &*self.id, "why" => why, "tries" => attempt);
    }

    async fn copy(&self, relay: &Rc<Relay>, target: TargetSlot, stops: bool) -> CopyReply {
        let target_address = relay.targets.borrow().get(target).map(|t| t.entry.address);
        let Some(target_address) = target_address else {
            return CopyReply::NoRoom { kept: None };
        };
        let call = copy_request(self.source_address, &self.id, target_address, stops);
        let reply = control(relay, self.source_address, &call).await;
        reply.map_or(CopyReply::Unknown { status: 0 }, |(status, body)| {
            parse_copy_reply(status, &body)
        })
    }
}
