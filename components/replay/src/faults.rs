//! Engines that go and come: reclaims with a notice, crashes, evacuations, engines that turn slow.

use crate::engine::Engine;
use crate::load::Happening;
use crate::moves::{Link, Move};
use crate::world::{Occasion, Slot, World, slowness_of};
use policy::{EngineInfo, EngineState};
use prelude::{DataCentreId, TargetId};
use rand::Rng;

impl World<'_> {
    /// Tells the pool which engines there are and which take work.
    pub(crate) fn sync(&mut self) {
        let there = || self.slots.iter().filter(|slot| slot.is_there);
        let info = |slot: &Slot| EngineInfo {
            id: slot.id,
            capacity_tokens: u64::from(self.load.engine.memory_tokens),
            data_centre: DataCentreId(u64::from(slot.data_centre)),
            cold_rate_per_s: None,
        };
        let infos: Vec<EngineInfo> = there().map(info).collect();
        let state = |slot: &Slot| {
            let evacuated = self.evacuated.contains(&slot.data_centre);
            match slot.leaves || evacuated {
                true => (slot.id, EngineState::Leaving),
                false => (slot.id, EngineState::Live),
            }
        };
        let states: Vec<(TargetId, EngineState)> = there().map(state).collect();
        self.pool.set_engines(&infos);
        for (id, state) in states {
            self.pool.set_state(id, state);
        }
    }

    pub(crate) fn draw(&mut self, share: f64) -> Vec<usize> {
        let there = self.slots.iter().enumerate();
        let there = there.filter(|(_, slot)| slot.is_there && !slot.leaves);
        let mut there: Vec<usize> = there.map(|(at, _)| at).collect();
        let count = (self.slots.len() as f64 * share) as usize;
        let mut drawn = Vec::new();
        while drawn.len() < count && !there.is_empty() {
            let at = self.rng.random_range(0..there.len());
            drawn.push(there.swap_remove(at));
        }
        drawn
    }

    pub(crate) fn reclaims(&mut self) {
        let Some(reclaims) = self.load.reclaims else {
            return;
        };
        for engine in self.draw(reclaims.share) {
            let life = self.slots[engine].life;
            self.slots[engine].leaves = true;
            self.after(reclaims.notice_ms * 1_000, Occasion::Ends { engine, life });
            self.after(reclaims.back_ms * 1_000, Occasion::Returns { engine });
            let mut all = self.slots[engine].engine.all();
            all.sort_by_key(|at| self.requests[*at].prompt_tokens);
            let orders = all.into_iter().map(|request| Move { request, tries: 0 });
            self.slots[engine].link.waiting.extend(orders);
            self.sync();
            self.next_move(engine);
        }
        if self.now_ms() < self.load.length_ms {
            self.after(reclaims.each_ms * 1_000, Occasion::Reclaims);
        }
        self.decide();
    }

    pub(crate) fn ends(&mut self, engine: usize, life: u32) {
        if self.slots[engine].life != life || !self.slots[engine].is_there {
            return;
        }
        for at in self.slots[engine].engine.all() {
            self.lost(at);
        }
        if let Some(copying) = self.slots[engine].link.copying.take() {
            self.slots[copying.to].engine.free_copy(copying.tokens);
        }
        let slot = &mut self.slots[engine];
        slot.is_there = false;
        slot.steps = false;
        slot.link = Link::default();
        self.sync();
        self.decide();
    }

    pub(crate) fn returns(&mut self, engine: usize) {
        let spec = self.load.engine;
        let slot = &mut self.slots[engine];
        slot.engine = Engine::new(spec, slowness_of(self.load, engine));
        slot.life += 1;
        slot.is_there = true;
        slot.leaves = false;
        slot.steps = false;
        slot.link = Link::default();
        self.give_id(engine);
        self.sync();
        self.decide();
    }

    pub(crate) fn happens(&mut self, at: usize, begins: bool) {
        match self.load.events[at].what {
            Happening::Evacuate { data_centre } if begins => self.evacuated.push(data_centre),
            Happening::Evacuate { data_centre } => self.evacuated.retain(|at| *at != data_centre),
            Happening::Crash { share } if begins => {
                let back_us = self.load.events[at].for_ms * 1_000;
                for engine in self.draw(share) {
                    let life = self.slots[engine].life;
                    self.ends(engine, life);
                    self.after(back_us, Occasion::Returns { engine });
                }
            }
            Happening::Slow { share, times } if begins => {
                for engine in self.draw(share) {
                    self.slots[engine].engine.slowness *= times;
                }
            }
            Happening::Slow { .. } => {
                for (at, slot) in self.slots.iter_mut().enumerate() {
                    slot.engine.slowness = slowness_of(self.load, at);
                }
            }
            _ => return,
        }
        self.sync();
        self.decide();
    }
}
