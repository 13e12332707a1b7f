//! Live migration of a running generation off an engine that is leaving: a first copy of its KV cache while it runs, then a
//! stop with a copy of what was added since, then resumption at the other engine. The dispatcher chooses that engine.

use crate::dispatch::permits::Permit;
use crate::migration::copy_calls::SourceStream;
use crate::migration::job::{Cause, JobStep, MigrationJob};
use crate::migration::migrated_copy::MigratedCopy;
use crate::state::Relay;
use crate::watch::targets::TargetState;
use routing::EngineTraits;
use settings::Mechanism;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// How long the source's stream may take to close after the generation was stopped.
const SOURCE_CLOSE_TIMEOUT: Duration = Duration::from_millis(150);
/// How long the result of an order to stop is awaited once the source's stream has closed. Most orders are answered, or
/// repeated, within it.
const STOP_RESULT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Progress of a migration, for the reader of the generation's stream.
pub(crate) enum MigrationStep {
    /// The generation resumes from this copy.
    Continue(MigratedCopy),
    /// No order stopped the generation: the end of its stream is its own end.
    NotStopped,
    /// An order may have stopped the generation, and there is no copy from which it can resume.
    Lost,
}

/// Watches the engine of one generation, and migrates the generation when that engine leaves or is evacuated.
pub(crate) struct Migrator {
    relay: Rc<Relay>,
    changes: watch::Receiver<u64>,
    checked: bool,
    can_migrate: bool,
    /// Progress of the migration in progress. When this is dropped, the migration stops and frees the copy that it made.
    steps: Option<mpsc::UnboundedReceiver<JobStep>>,
    /// The first copy of the generation, once its source is being ordered to stop it.
    ordered: Option<MigratedCopy>,
    /// An order of an earlier migration may take effect at this source.
    has_open_order: bool,
    source_closed_at: Option<Instant>,
    ready_copy: Option<MigratedCopy>,
    stream: Rc<SourceStream>,
    /// Cause of the migration in progress.
    cause: Option<Cause>,
    /// The migration off the evacuated engine ended without a move: the generation finishes there unless the engine leaves.
    evacuation_failed: bool,
}

impl Drop for Migrator {
    fn drop(&mut self) {
        let mut unused = self.ready_copy.take();
        if let Some(steps) = &mut self.steps {
            steps.close();
            while let Ok(step) = steps.try_recv() {
                if let JobStep::Continue(migrated) = step {
                    unused = Some(migrated);
                }
            }
        }
        if let Some(migrated) = unused.filter(|_| !self.stream.is_resumed()) {
            migrated.free_both(&self.relay);
        }
    }
}

impl Migrator {
    pub(crate) fn new(
        relay: &Rc<Relay>,
        engine: Option<EngineTraits>,
        has_open_order: bool,
    ) -> Self {
        Self {
            relay: relay.clone(),
            changes: relay.target_changes.subscribe(),
            checked: false,
            can_migrate: engine.is_some_and(|engine| engine.moves)
                && relay.settings().has(Mechanism::Moves),
            steps: None,
            ordered: None,
            has_open_order,
            source_closed_at: None,
            ready_copy: None,
            stream: Rc::default(),
            cause: None,
            evacuation_failed: false,
        }
    }

    /// Whether the source engine's stream may deliver more events.
    pub(crate) fn is_source_open(&self) -> bool {
        self.source_closed_at.is_none()
    }

    /// Whether an order may stop the generation or have stopped it: the close of its stream need not be its end.
    pub(crate) fn may_be_stopped(&self) -> bool {
        self.ordered.is_some() || self.has_open_order
    }

    /// Records that the source engine's stream has closed.
    pub(crate) fn mark_source_closed(&mut self) {
        self.source_closed_at.get_or_insert_with(Instant::now);
        self.stream.mark_closed();
    }

    /// Waits for the next step. Cancel-safe: it may be dropped and called again.
    pub(crate) async fn next_step(&mut self, permit: &Permit, id: &str) -> MigrationStep {
        loop {
            if self.ready_copy.is_some() && self.is_source_open() {
                sleep(SOURCE_CLOSE_TIMEOUT).await;
                self.mark_source_closed();
            }
            if let Some(migrated) = self.ready_copy.take() {
                self.stream.mark_resumed();
                return MigrationStep::Continue(migrated);
            }
            if let Some(closed_at) = self.source_closed_at
                && self.ordered.is_none()
            {
                slog::info!(self.relay.log, "stopped generation has no copy"; "id" => id,
                    "closed_for_ms" => closed_at.elapsed().as_millis() as u64);
                return MigrationStep::Lost;
            }
            if self.steps.is_some() {
                if let Some(step) = self.next_job_step(id).await {
                    return step;
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

    /// Waits for progress of the migration; none where it does not concern the reader yet.
    async fn next_job_step(&mut self, id: &str) -> Option<MigrationStep> {
        let is_closed = !self.is_source_open();
        let steps = self.steps.as_mut()?;
        let received = match self.source_closed_at {
            None => steps.recv().await,
            Some(closed_at) => tokio::select! {
                biased;
                received = steps.recv() => received,
                () = sleep_until(closed_at + STOP_RESULT_TIMEOUT) => {
                    return self.resume_from_first_copy(id, "the order to stop has no result");
                }
            },
        };
        match received {
            Some(JobStep::StopOrdered(copy)) => self.ordered = Some(copy),
            Some(JobStep::Continue(migrated)) => self.ready_copy = Some(migrated),
            Some(JobStep::NotStopped) => {
                self.ordered = None;
                return Some(MigrationStep::NotStopped);
            }
            Some(JobStep::SourceUnreachable) if is_closed => {
                return self.resume_from_first_copy(id, "the engine cannot be reached");
            }
            Some(JobStep::SourceUnreachable) => {}
            None if is_closed => return self.resume_from_first_copy(id, "the migration ended"),
            None if self.cause == Some(Cause::Evacuated) && self.ordered.is_none() => {
                // If the engine leaves later, the generation is migrated then.
                self.evacuation_failed = true;
                self.steps = None;
                self.checked = false;
            }
            None => std::future::pending::<()>().await,
        }
        None
    }

    /// Resumes the generation, whose stream has closed, from what was copied before the order to stop.
    fn resume_from_first_copy(&mut self, id: &str, why: &'static str) -> Option<MigrationStep> {
        let copy = self.ordered.take()?;
        slog::info!(self.relay.log, "generation resumes from its first copy"; "id" => id, "why" => why,
            "copy" => &*copy.copy);
        self.stream.mark_resumed();
        Some(MigrationStep::Continue(copy))
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
            started_ms: self.relay.now_ms(),
            has_open_order: self.has_open_order,
            stream: self.stream.clone(),
        };
        let (sender, steps) = mpsc::unbounded_channel();
        self.steps = Some(steps);
        let relay = self.relay.clone();
        tokio::task::spawn_local(async move { job.run(&relay, &sender).await });
    }
}
