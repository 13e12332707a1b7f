//! One migration of a running generation: a first copy while it runs, then the order to stop it, which also copies what was
//! added since. The reader of the generation's stream resumes it at the other engine.

use crate::forwarding::control::{ControlError, send_control_request};
use crate::migration::copy_calls::{CallReply, CopyCalls, SourceStream};
use crate::migration::migrated_copy::{MigratedCopy, free_copy};
use crate::migration::stop_order::{StopOrders, StopOutcome};
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use peers::RelocateReply;
use platform::{CopyReply, copy_request, parse_copy_reply};
use prelude::{PoolId, TargetId};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

/// Pause before the next attempt to copy a generation.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// The same for a generation whose engine stays: it is not urgent, and engines that leave need the links.
const EVACUATED_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Attempts to move one generation.
const MAX_ATTEMPTS: u32 = 30;
/// Generations with fewer tokens left than this are not moved: they finish before the move would.
const MIN_REMAINING_TOKENS: u32 = 48;
/// Time after which an unanswered first copy is given up. A copy may wait for other copies on its links, but a leaving
/// engine is gone after this time.
const COPY_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Time for the order to stop and for the request to reach the engine.
const STOP_ALLOWANCE_MS: u64 = 250;

/// Progress of a migration.
pub(super) enum JobStep {
    /// The source is ordered to stop the generation, which can resume from this first copy.
    StopOrdered(MigratedCopy),
    /// No order stopped the generation.
    NotStopped,
    /// The last order could not be sent.
    SourceUnreachable,
    /// The generation was stopped and resumes from this copy.
    Continue(MigratedCopy),
}

/// Why a generation is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
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

/// One migration: the generation, its source engine and the cause.
#[derive(Clone, Debug)]
pub(super) struct MigrationJob {
    pub cause: Cause,
    pub pool: PoolId,
    pub serial: u64,
    pub id: Box<str>,
    pub source: TargetSlot,
    pub source_id: TargetId,
    pub source_address: SocketAddr,
    /// When the migration began: with the leaving of the source, if that is its cause.
    pub started_ms: u64,
    /// An order of an earlier migration may take effect at the source.
    pub has_open_order: bool,
    pub stream: Rc<SourceStream>,
}

/// A transfer slot on the source engine's link; dropping it releases the slot at the dispatcher.
pub(super) struct TransferSlot<'a> {
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
    pub(super) async fn run(&self, relay: &Rc<Relay>, steps: &mpsc::UnboundedSender<JobStep>) {
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
        steps: &mpsc::UnboundedSender<JobStep>,
    ) -> Next {
        let transfer_slot = TransferSlot { relay, job: self };
        let Some(target_address) = relay.targets.borrow().get(target).map(|t| t.entry.address)
        else {
            return Next::Retry("the engine is gone", None);
        };
        let started_ms = relay.now_ms();
        let target_id = relay.id_of(target);
        let first_copy = match self.first_copy(relay, target_address, steps).await {
            None => return Next::Done,
            Some(Ok(CopyReply::Done { copy, .. })) => copy,
            Some(Ok(CopyReply::NotRunning)) => {
                return Next::Retry("it does not run yet, or no more", None);
            }
            Some(Ok(CopyReply::UnderWay)) => return Next::Retry("another copy is under way", None),
            Some(reply) => {
                slog::info!(relay.log, "migration copy failed"; "id" => &*self.id, "reply" => ?reply);
                return Next::Retry("the copy failed", target_id);
            }
        };
        let copy_ms = relay.now_ms() - started_ms;
        if !relay.takes_work(target) && !self.must_go_on(relay, target, copy_ms) {
            // The engine became unusable during the copy, and the generation still runs at its source.
            free_copy(relay, target_address, &first_copy);
            return Next::Retry("the engine takes no work any more", target_id);
        }
        let first = self.migrated_to(target, first_copy);
        if steps.send(JobStep::StopOrdered(first.clone())).is_err() {
            // The generation finished, or its caller disconnected, during the copy.
            free_copy(relay, target_address, &first.copy);
            return Next::Done;
        }
        slog::info!(relay.log, "generation copied"; "id" => &*self.id, "copy" => &*first.copy, "took_ms" => copy_ms);
        self.stop(relay, first, target_address, transfer_slot, steps)
            .await
    }

    /// Orders the source to stop the generation, which has been copied to the target, and has it resume.
    async fn stop(
        &self,
        relay: &Rc<Relay>,
        first: MigratedCopy,
        target_address: SocketAddr,
        transfer_slot: TransferSlot<'_>,
        steps: &mpsc::UnboundedSender<JobStep>,
    ) -> Next {
        let ordered_ms = relay.now_ms();
        let mut orders = StopOrders::start(relay, self, target_address, steps);
        let outcome = orders.outcome(transfer_slot).await;
        let has_open_order = orders.has_open_order();
        slog::info!(relay.log, "order to stop a generation ended"; "id" => &*self.id, "outcome" => ?outcome,
            "first_copy" => &*first.copy,
            "orders" => orders.count(), "has_open_order" => has_open_order,
            "stopped_in_ms" => relay.now_ms() - ordered_ms);
        metrics::counter!("shuntpier_stops", "outcome" => outcome.label()).increment(1);
        let resumes_from = match outcome {
            StopOutcome::Stopped { copy, .. } => self.migrated_to(first.target, copy),
            StopOutcome::KeptAtSource { copy } => self.migrated_to(self.source, copy),
            StopOutcome::StoppedEarlier => first,
            StopOutcome::Ended | StopOutcome::Busy => {
                free_copy(relay, target_address, &first.copy);
                let is_read = steps.send(JobStep::NotStopped).is_ok();
                return match outcome {
                    StopOutcome::Busy if is_read => Next::Retry("another call is under way", None),
                    _ => Next::Done,
                };
            }
            StopOutcome::Abandoned => {
                self.free_unless_resumed(relay, &first);
                return Next::Done;
            }
        };
        let resumes_from = MigratedCopy {
            has_open_order,
            ..resumes_from
        };
        if steps.send(JobStep::Continue(resumes_from.clone())).is_err() {
            self.free_unless_resumed(relay, &resumes_from);
        }
        Next::Done
    }

    /// Whether a generation goes on at an engine that began to leave during the copy: its source may end before another copy
    /// could be made, and the engine serves for the promised time from when it began to leave.
    fn must_go_on(&self, relay: &Relay, target: TargetSlot, copy_ms: u64) -> bool {
        let leaving_ms = relay.settings().promises.leaving_ms as u64;
        let source_left_ms = relay.now_ms() - self.started_ms;
        self.cause == Cause::Leaving
            && relay.is_leaving(target)
            && source_left_ms + copy_ms > leaving_ms
            && copy_ms + STOP_ALLOWANCE_MS < leaving_ms
    }

    fn migrated_to(&self, target: TargetSlot, copy: Box<str>) -> MigratedCopy {
        MigratedCopy {
            target,
            source: self.source_address,
            source_slot: self.source,
            copy,
            has_open_order: true,
        }
    }

    /// Frees a copy that the reader of the stream left unused.
    fn free_unless_resumed(&self, relay: &Rc<Relay>, copy: &MigratedCopy) {
        if !self.stream.is_resumed() {
            copy.free_both(relay);
        }
    }

    fn log_not_moved(&self, relay: &Relay, why: &'static str, attempt: u32) {
        slog::info!(relay.log, "not moved"; "id" => &*self.id, "why" => why, "tries" => attempt);
    }

    /// Has the generation copied while it runs. None if the reader of its stream is gone.
    async fn first_copy(
        &self,
        relay: &Rc<Relay>,
        target: SocketAddr,
        steps: &mpsc::UnboundedSender<JobStep>,
    ) -> Option<CallReply> {
        let started_at = Instant::now();
        let mut calls = CopyCalls::start(relay, self, target, false, steps);
        loop {
            let reply = calls.next_reply().await?;
            let is_over = started_at.elapsed() >= COPY_TIMEOUT;
            match reply {
                Err(ControlError::NoAnswer) if !is_over => calls.record_unsettled(),
                Ok(CopyReply::UnderWay) if !is_over && calls.has_open_call() => {
                    calls.repeat_after_pause();
                }
                reply => return Some(reply),
            }
        }
    }

    /// Asks the source for a copy of the generation, or orders it to stop the generation and to copy the rest.
    pub(super) async fn copy(
        &self,
        relay: &Rc<Relay>,
        target: SocketAddr,
        is_final: bool,
    ) -> CallReply {
        let call = copy_request(self.source_address, &self.id, target, is_final);
        let source = self.source_address;
        let (status, body) = send_control_request(relay, source, &call).await?;
        Ok(parse_copy_reply(status, &body))
    }
}
