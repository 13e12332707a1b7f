//! Moves a running generation off an engine that leaves: a first copy while it runs, then a stop with what
//! is new, then on at the other engine. The decision where to is the dispatcher's.

use crate::dispatch::permits::Permit;
use crate::forwarding::control::send_control_request;
use crate::migration::moved::{Moved, free_copy};
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
const AGAIN: Duration = Duration::from_millis(60);
/// The same where its engine stays: there is time, and engines that leave need the links.
const EVACUATED_AGAIN: Duration = Duration::from_millis(500);
/// Tries to move one generation.
const TRIES_MAX: u32 = 30;
/// How long the source's stream may take to close after the stop.
const SOURCE_CLOSE_LIMIT: Duration = Duration::from_millis(150);
/// Generations with fewer tokens left than this end sooner than they move.
const TOKENS_LEFT_MIN: u32 = 48;

/// What a move tells whoever reads the generation's stream.
pub(crate) enum Step {
    /// The generation is about to be stopped: the end of its stream says nothing.
    Stopping,
    /// It goes on elsewhere.
    Continue(Moved),
    /// It was not stopped, or is not known to be.
    Failed,
}

/// Which generation is moved, and from where.
#[derive(Clone, Debug)]
struct Job {
    cause: Cause,
    pool: PoolId,
    serial: u64,
    id: Box<str>,
    source: TargetSlot,
    source_id: TargetId,
    source_address: SocketAddr,
}

/// Watches the engine of one generation, and moves the generation when it leaves.
pub(crate) struct Mover {
    relay: Rc<Relay>,
    changes: watch::Receiver<u64>,
    looked: bool,
    moves: bool,
    /// What the move under way tells. Once this is dropped, the move ends by itself: it frees the copy that it made.
    steps: Option<mpsc::UnboundedReceiver<Step>>,
    stopping: bool,
    source_open: bool,
    waiting: Option<Moved>,
    /// Why the move that is under way was begun.
    cause: Option<Cause>,
    /// It was tried to move the generation off its evacuated engine, in vain: it ends there.
    stays_evacuated: bool,
}

/// Why a generation is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// Its engine leaves, and takes with it what runs there.
    Leaves,
    /// Its engine's data centre is evacuated. The engine serves what it has.
    Evacuated,
}

impl Cause {
    /// Pause before a move is tried again.
    fn pause(self) -> Duration {
        match self {
            Self::Leaves => AGAIN,
            Self::Evacuated => EVACUATED_AGAIN,
        }
    }
}

impl Drop for Mover {
    fn drop(&mut self) {
        let mut unused = self.waiting.take();
        if let Some(steps) = &mut self.steps {
            steps.close();
            while let Ok(step) = steps.try_recv() {
                if let Step::Continue(moved) = step {
                    unused = Some(moved);
                }
            }
        }
        if let Some(moved) = unused {
            moved.free(&self.relay);
        }
    }
}

impl Mover {
    pub(crate) fn new(relay: &Rc<Relay>, engine: Option<EngineTraits>) -> Self {
        Self {
            relay: relay.clone(),
            changes: relay.target_changes.subscribe(),
            looked: false,
            moves: engine.is_some_and(|engine| engine.moves) && relay.file().has(Mechanism::Moves),
            steps: None,
            stopping: false,
            source_open: true,
            waiting: None,
            cause: None,
            stays_evacuated: false,
        }
    }

    /// Whether there is more to be read from the engine that the generation ran on.
    pub(crate) fn reads_source(&self) -> bool {
        self.source_open
    }

    /// Whether that engine was told to stop, so that the end of its stream is not the generation's.
    pub(crate) fn stops_source(&self) -> bool {
        self.stopping
    }

    /// Notes that the engine's stream is closed.
    pub(crate) fn source_ended(&mut self) {
        self.source_open = false;
    }

    /// Waits for the next step. May be dropped and called again.
    pub(crate) async fn next(&mut self, permit: &Permit, id: &str) -> Step {
        loop {
            if self.waiting.is_some() && self.source_open {
                sleep(SOURCE_CLOSE_LIMIT).await;
                self.source_open = false;
            }
            if let Some(moved) = self.waiting.take() {
                return Step::Continue(moved);
            }
            if let Some(steps) = &mut self.steps {
                match steps.recv().await {
                    Some(Step::Continue(moved)) => self.waiting = Some(moved),
                    Some(Step::Stopping) => {
                        self.stopping = true;
                        return Step::Stopping;
                    }
                    Some(Step::Failed) => {
                        self.stopping = false;
                        return Step::Failed;
                    }
                    None if self.cause == Some(Cause::Evacuated) => {
                        // The engine may still leave; the generation is moved then.
                        self.stays_evacuated = true;
                        self.steps = None;
                        self.looked = false;
                    }
                    None => std::future::pending::<()>().await,
                }
                continue;
            }
            if self.looked && self.changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
            self.looked = true;
            self.look(permit, id);
        }
    }

    /// Begins to move the generation where its engine leaves, or is to be left.
    fn look(&mut self, permit: &Permit, id: &str) {
        let targets = self.relay.targets.borrow();
        let Some(target) = targets.get(permit.slot) else {
            return;
        };
        let cause = match target.belief {
            Belief::Ready if !targets.is_evacuated(target) || self.stays_evacuated => return,
            Belief::Ready if !self.relay.file().has(Mechanism::EvacuationMoves) => return,
            Belief::Ready => Cause::Evacuated,
            _ => Cause::Leaves,
        };
        if !self.moves {
            return;
        }
        self.cause = Some(cause);
        let job = Job {
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
struct Turn<'a> {
    relay: &'a Rc<Relay>,
    job: &'a Job,
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let job = self.job;
        self.relay
            .tell_relocated(job.pool, job.serial, job.source_id);
    }
}

/// What became of one try to move a generation.
enum Try {
    /// It is over, one way or the other.
    Over,
    /// It is tried again, elsewhere where an engine is named.
    Again(&'static str, Option<TargetId>),
}

impl Job {
    async fn run(&self, relay: &Rc<Relay>, steps: &mpsc::UnboundedSender<Step>) {
        let mut avoid: Vec<TargetId> = Vec::new();
        for tries in 0..TRIES_MAX {
            let Some(run) = relay.open_generations.borrow().get(self.serial) else {
                return;
            };
            if steps.is_closed() {
                return;
            }
            if run.tokens > 0 && run.request.max_tokens < run.tokens + TOKENS_LEFT_MIN {
                return self.note(relay, "it ends sooner", tries);
            }
            let may_stay = self.cause == Cause::Evacuated;
            let found = relay
                .relocate(self.pool, self.serial, self.source_id, &avoid, may_stay)
                .await;
            let to = match found {
                Ok(to) if relay.takes_work(to) => to,
                Ok(to) => {
                    // The dispatcher has not heard yet that it leaves too.
                    avoid.extend(relay.id_of(to));
                    relay.tell_relocated(self.pool, self.serial, self.source_id);
                    continue;
                }
                Err(RelocateReply::Wait) => continue,
                Err(reply) => {
                    slog::info!(relay.log, "not moved"; "id" => &*self.id, "why" => ?reply,
                        "tries" => tries);
                    sleep(self.cause.pause()).await;
                    continue;
                }
            };
            match self.try_to(relay, to, steps).await {
                Try::Over => return,
                Try::Again(why, other) => {
                    self.note(relay, why, tries);
                    avoid.extend(other);
                    sleep(self.cause.pause()).await;
                }
            }
        }
    }

    /// Copies the generation to an engine, stops it, and has it go on there.
    async fn try_to(
        &self,
        relay: &Rc<Relay>,
        to: TargetSlot,
        steps: &mpsc::UnboundedSender<Step>,
    ) -> Try {
        let _turn = Turn { relay, job: self };
        let Some(to_address) = relay.targets.borrow().get(to).map(|t| t.entry.address) else {
            return Try::Again("the engine is gone", None);
        };
        let began_ms = relay.now_ms();
        let to_id = relay.id_of(to);
        let first = match self.copy(relay, to, false).await {
            CopyReply::Done { copy, .. } => copy,
            CopyReply::NotRunning => return Try::Again("it does not run yet, or no more", None),
            CopyReply::UnderWay => return Try::Again("another copy is under way", None),
            reply => {
                slog::info!(relay.log, "copy failed"; "id" => &*self.id, "reply" => ?reply);
                return Try::Again("the copy failed", to_id);
            }
        };
        let copied_ms = relay.now_ms();
        if relay.is_gone(to) {
            // The copy went with the life that held it: a stop now would end the generation.
            free_copy(relay, to_address, &first);
            return Try::Again("the engine is gone", to_id);
        }
        if steps.send(Step::Stopping).is_err() {
            // It came to its own end, or its caller left, while it was copied.
            free_copy(relay, to_address, &first);
            return Try::Over;
        }
        match self.copy(relay, to, true).await {
            CopyReply::Done { copy, events_made } => {
                slog::info!(relay.log, "generation stopped to be moved"; "id" => &*self.id,
                    "events" => events_made, "copied_in_ms" => copied_ms - began_ms,
                    "stopped_in_ms" => relay.now_ms() - copied_ms);
                if !self.goes_on(to, copy, steps) {
                    free_copy(relay, to_address, &first);
                }
                Try::Over
            }
            CopyReply::NoRoom { kept: Some(copy) } => {
                slog::info!(relay.log, "generation goes on at its source"; "id" => &*self.id);
                self.goes_on(self.source, copy, steps);
                Try::Over
            }
            CopyReply::NotRunning => {
                // It came to its own end meanwhile.
                free_copy(relay, to_address, &first);
                Try::Over
            }
            reply => {
                slog::info!(relay.log, "stop failed"; "id" => &*self.id, "reply" => ?reply);
                free_copy(relay, to_address, &first);
                match steps.send(Step::Failed) {
                    Ok(()) => Try::Again("the stop failed", to_id),
                    Err(_) => Try::Over,
                }
            }
        }
    }

    /// Has the generation go on. False where nobody waits for that any more.
    fn goes_on(&self, to: TargetSlot, copy: Box<str>, steps: &mpsc::UnboundedSender<Step>) -> bool {
        let moved = Moved {
            to,
            source: self.source_address,
            source_slot: self.source,
            copy,
        };
        steps.send(Step::Continue(moved)).is_ok()
    }

    fn note(&self, relay: &Relay, why: &'static str, tries: u32) {
        slog::info!(relay.log, "not moved"; "id" => &*self.id, "why" => why, "tries" => tries);
    }

    async fn copy(&self, relay: &Rc<Relay>, to: TargetSlot, stops: bool) -> CopyReply {
        let to_address = relay.targets.borrow().get(to).map(|t| t.entry.address);
        let Some(to_address) = to_address else {
            return CopyReply::NoRoom { kept: None };
        };
        let call = copy_request(self.source_address, &self.id, to_address, stops);
        let reply = send_control_request(relay, self.source_address, &call).await;
        reply.map_or(CopyReply::Unknown { status: 0 }, |(status, body)| {
            parse_copy_reply(status, &body)
        })
    }
}
