//! Watches the engine of one running generation, and has the generation move off an engine that leaves or that its
//! dispatcher wishes it to leave.

use crate::dispatch::permits::Permit;
use crate::migration::job::{Cause, Job};
use crate::migration::moved::{Moved, Step};
use crate::state::Relay;
use crate::watch::targets::Belief;
use routing::EngineTraits;
use settings::Mechanism;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// How long the source's stream may take to close after the stop.
const SOURCE_CLOSE_LIMIT: Duration = Duration::from_millis(150);
/// Watches the engine of one generation, and moves the generation when it leaves.
pub(crate) struct Mover {
    relay: Rc<Relay>,
    changes: watch::Receiver<u64>,
    wishes: watch::Receiver<u64>,
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
            wishes: relay.moves_wished.subscribe(),
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
                    None if self.cause.is_some_and(Cause::may_stay) => {
                        // The engine may still leave; the generation is moved then.
                        self.stays_evacuated |= self.cause == Some(Cause::Evacuated);
                        self.steps = None;
                        self.looked = false;
                    }
                    None => std::future::pending::<()>().await,
                }
                continue;
            }
            if self.looked {
                let changed = tokio::select! {
                    changed = self.changes.changed() => changed,
                    changed = self.wishes.changed() => changed,
                };
                if changed.is_err() {
                    std::future::pending::<()>().await;
                }
            }
            self.looked = true;
            self.look(permit, id);
        }
    }

    /// Begins to move the generation where its engine leaves, or is to be left.
    fn look(&mut self, permit: &Permit, id: &str) {
        if !self.moves {
            return;
        }
        let is_wished = || {
            let mut open = self.relay.open_generations.borrow_mut();
            open.take_wish(permit.serial)
        };
        let targets = self.relay.targets.borrow();
        let Some(target) = targets.get(permit.slot) else {
            return;
        };
        let leaves_evacuated = targets.is_evacuated(target)
            && !self.stays_evacuated
            && self.relay.file().has(Mechanism::EvacuationMoves);
        let cause = match target.belief {
            Belief::Ready if leaves_evacuated => Cause::Evacuated,
            Belief::Ready if is_wished() => Cause::Wished,
            Belief::Ready => return,
            _ => Cause::Leaves,
        };
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

impl Relay {
    /// Takes in which generations a dispatcher wishes to go on elsewhere.
    pub(crate) fn wished(&self, serials: &[u64]) {
        let mut open = self.open_generations.borrow_mut();
        let known = serials.iter().filter(|serial| open.wished(**serial));
        if known.count() > 0 {
            self.moves_wished.send_modify(|count| *count += 1);
        }
    }
}
