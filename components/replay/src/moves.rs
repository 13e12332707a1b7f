//! Copies of running generations, one after another on the link of the engine that they leave.

use crate::request::Phase;
use crate::world::{Occasion, World};
use policy::Relocation;
use prelude::TargetId;
use std::collections::VecDeque;

/// Pause before a move that found no room is tried again.
const AGAIN_US: u64 = 60_000;
/// Tries to move one generation.
const TRIES_MAX: u32 = 30;
/// A copy between data centres takes so many times as long.
const FAR_TIMES: f64 = 2.0;

/// A generation that is to leave an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// Which request.
    pub request: usize,
    /// Tries that found no room.
    pub tries: u32,
}

/// The copy that a link carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Copying {
    /// What is moved.
    pub order: Move,
    /// The engine that it goes to.
    pub to: usize,
    /// Memory that is set aside there.
    pub tokens: u32,
}

/// The link of one engine.
#[derive(Clone, Debug, Default)]
pub struct Link {
    /// What it carries.
    pub copying: Option<Copying>,
    /// What waits for it.
    pub waiting: VecDeque<Move>,
}

impl World<'_> {
    /// Begins the next copy on the link of an engine.
    pub(crate) fn next_move(&mut self, engine: usize) {
        while self.slots[engine].link.copying.is_none() {
            let Some(order) = self.slots[engine].link.waiting.pop_front() else {
                return;
            };
            let is_here = self.stories[order.request].phase == Phase::AtEngine(engine);
            if !is_here || order.tries > TRIES_MAX {
                continue;
            }
            if let Some(copying) = self.find_room(engine, order) {
                let far = self.slots[engine].data_centre != self.slots[copying.to].data_centre;
                let times = if far { FAR_TIMES } else { 1.0 };
                let spec = self.load.engine;
                let ms = f64::from(copying.tokens) * spec.token_bytes / spec.link_bytes_per_ms;
                let life = self.slots[engine].life;
                self.slots[engine].link.copying = Some(copying);
                self.after(
                    (ms * times * 1_000.0) as u64,
                    Occasion::Copied { engine, life },
                );
            } else {
                let life = self.slots[engine].life;
                let order = (order.request, order.tries + 1);
                self.after(
                    AGAIN_US,
                    Occasion::MoveAgain {
                        engine,
                        life,
                        order,
                    },
                );
            }
        }
    }

    pub(crate) fn find_room(&mut self, engine: usize, order: Move) -> Option<Copying> {
        let run = self.slots[engine].engine.runs(order.request)?;
        let from = self.slots[engine].id;
        let permit = self.stories[order.request].permit;
        let links = self.slots.iter().filter_map(|slot| slot.link.copying);
        let arriving: Vec<TargetId> = links.map(|copying| self.slots[copying.to].id).collect();
        let relocation = Relocation {
            permit,
            from,
            avoid: &[],
            inbound: &arriving,
            is_optional: false,
        };
        let target = self.pool.relocate(&relocation, self.now_us / 1_000)?;
        let to = self.by_id[&target];
        let tokens = run.prompt_tokens + run.made_tokens;
        self.slots[to]
            .engine
            .hold_copy(tokens)
            .then_some(Copying { order, to, tokens })
    }

    pub(crate) fn copied(&mut self, engine: usize, life: u32) {
        if self.slots[engine].life != life {
            return;
        }
        let Some(copying) = self.slots[engine].link.copying.take() else {
            return;
        };
        let (at, to) = (copying.order.request, copying.to);
        let run = match self.slots[engine].engine.runs(at) {
            Some(_) => self.slots[engine].engine.take(at),
            None => None,
        };
        match run {
            Some(run) if self.slots[to].is_there => {
                self.counts.moved += 1;
                self.stories[at].phase = Phase::AtEngine(to);
                self.slots[to].engine.resume(run, copying.tokens);
                self.step(to);
            }
            Some(run) => {
                // The other engine went meanwhile.
                self.slots[engine].engine.resume(run, 0);
            }
            None => self.slots[to].engine.free_copy(copying.tokens),
        }
        self.step(engine);
        self.next_move(engine);
    }
}
