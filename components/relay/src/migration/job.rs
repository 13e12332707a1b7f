//! One move of a running generation: a first copy while it runs, then a stop with what is new. The decision where to is the
//! dispatcher's.

use crate::forwarding::control::control;
use crate::migration::moved::{Moved, Step, free_copy};
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use peers::{RelocateReply, RelocateRequest, TurnOver};
use platform::{CopyReply, copy_call, read_copy_reply};
use prelude::{PoolId, TargetId};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Pause before a copy is asked for again.
const AGAIN: Duration = Duration::from_millis(60);
/// The same where its engine stays: there is time, and engines that leave need the links.
const EVACUATED_AGAIN: Duration = Duration::from_millis(500);
/// Tries to move one generation.
const TRIES_MAX: u32 = 30;
/// Tries to get a turn on the link for a move that is wished.
const WISHED_TRIES_MAX: u32 = 3;
/// Generations with fewer tokens left than this end sooner than they move.
const TOKENS_LEFT_MIN: u32 = 48;

/// Why a generation is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// Its engine leaves, and takes with it what runs there.
    Leaves,
    /// Its engine's data centre is evacuated. The engine serves what it has.
    Evacuated,
    /// Its dispatcher wishes it. The engine serves what it has.
    Wished,
}

impl Cause {
    /// Pause before a move is tried again.
    fn pause(self) -> Duration {
        match self {
            Self::Leaves => AGAIN,
            Self::Evacuated | Self::Wished => EVACUATED_AGAIN,
        }
    }

    /// Whether the generation may as well end where it is.
    pub(crate) fn may_stay(self) -> bool {
        self != Self::Leaves
    }

    /// How often a move is tried. Whoever wished it tries again with another generation.
    fn tries(self) -> u32 {
        match self {
            Self::Leaves | Self::Evacuated => TRIES_MAX,
            Self::Wished => WISHED_TRIES_MAX,
        }
    }
}

/// Which generation is moved, and from where.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) cause: Cause,
    pub(crate) pool: PoolId,
    pub(crate) serial: u64,
    /// The request's name.
    pub(crate) id: Box<str>,
    pub(crate) source: TargetSlot,
    pub(crate) source_id: TargetId,
    pub(crate) source_address: SocketAddr,
}

/// A turn on the link of an engine; it is over when this is dropped.
struct Turn<'a> {
    relay: &'a Rc<Relay>,
    job: &'a Job,
    over: TurnOver,
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.job.tell_over(self.relay, self.over);
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
    /// Tries to move the generation, until it is moved, or is better left.
    pub(crate) async fn run(&self, relay: &Rc<Relay>, steps: &mpsc::UnboundedSender<Step>) {
        let mut avoid: Vec<TargetId> = Vec::new();
        for tries in 0..self.cause.tries() {
            let Some(run) = relay.open_generations.borrow().get(self.serial) else {
                return;
            };
            if steps.is_closed() {
                return;
            }
            if run.tokens > 0 && run.request.max_tokens < run.tokens + TOKENS_LEFT_MIN {
                return self.note(relay, "it ends sooner", tries);
            }
            let request = self.request(relay, &avoid);
            let to = match relay.relocate(self.serial, request).await {
                Ok(to) if relay.takes_work(to) => to,
                Ok(to) => {
                    // The dispatcher has not heard yet that it leaves too.
                    avoid.extend(relay.id_of(to));
                    self.tell_over(relay, self.not_moved());
                    continue;
                }
                Err(RelocateReply::Wait) => continue,
                Err(reply) => {
                    slog::info!(relay.log, "not moved"; "id" => &*self.id, "why" => ?reply,
                        "tries" => tries, "cause" => ?self.cause);
                    if self.cause == Cause::Wished {
                        return;
                    }
                    sleep(self.cause.pause()).await;
                    continue;
                }
            };
            match self.try_to(relay, to, steps).await {
                Try::Over => return,
                Try::Again(why, other) => {
                    self.note(relay, why, tries);
                    if self.cause == Cause::Wished {
                        return;
                    }
                    avoid.extend(other);
                    sleep(self.cause.pause()).await;
                }
            }
        }
    }

    fn request(&self, relay: &Relay, avoid: &[TargetId]) -> RelocateRequest {
        RelocateRequest {
            pool: self.pool,
            permit: relay.permit_id(self.serial),
            from: self.source_id,
            avoid: avoid.to_vec(),
            may_stay: self.cause.may_stay(),
            wished: self.cause == Cause::Wished,
        }
    }

    /// What a turn ends with in which the generation was not moved.
    fn not_moved(&self) -> TurnOver {
        match self.cause.may_stay() {
            true => TurnOver::Stays,
            false => TurnOver::Again,
        }
    }

    /// Tells the dispatcher that the turn is over. Where the generation stays, its permit does as well.
    fn tell_over(&self, relay: &Rc<Relay>, over: TurnOver) {
        if over == TurnOver::Stays {
            let mut open = relay.open_generations.borrow_mut();
            open.moved(self.serial, self.source_id);
        }
        relay.tell_relocated(self.pool, self.serial, self.source_id, over);
    }

    /// Copies the generation to an engine, stops it, and has it go on there.
    async fn try_to(
        &self,
        relay: &Rc<Relay>,
        to: TargetSlot,
        steps: &mpsc::UnboundedSender<Step>,
    ) -> Try {
        let mut turn = Turn {
            relay,
            job: self,
            over: self.not_moved(),
        };
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
        if relay.is_over(to) {
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
                let stopped_ms = (relay.now_ms() - copied_ms) as u32;
                turn.over = TurnOver::Moved { stopped_ms };
                slog::info!(relay.log, "generation stopped to be moved"; "id" => &*self.id,
                    "cause" => ?self.cause, "events" => events_made,
                    "copied_in_ms" => copied_ms - began_ms, "stopped_in_ms" => stopped_ms);
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
        slog::info!(relay.log, "not moved"; "id" => &*self.id, "why" => why, "tries" => tries,
            "cause" => ?self.cause);
    }

    async fn copy(&self, relay: &Rc<Relay>, to: TargetSlot, stops: bool) -> CopyReply {
        let to_address = relay.targets.borrow().get(to).map(|t| t.entry.address);
        let Some(to_address) = to_address else {
            return CopyReply::NoRoom { kept: None };
        };
        let call = copy_call(self.source_address, &self.id, to_address, stops);
        let reply = control(relay, self.source_address, &call).await;
        reply.map_or(CopyReply::Unknown { status: 0 }, |(status, body)| {
            read_copy_reply(status, &body)
        })
    }
}
