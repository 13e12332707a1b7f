//! The events of a day in the order of their times: arrivals, steps of engines, words to the dispatcher, its decisions,
//! faults, and callers who come back.

use crate::arrivals::arrivals;
use crate::engine::Engine;
use crate::figures::{Counts, Figures};
use crate::load::Load;
use crate::moves::{Link, Move};
use crate::request::{Phase, Request, Story};
use policy::Pool;
use prelude::{PermitId, TargetId};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// What a box takes first tokens to take before it saw any.
const FIRST_INITIAL_MS: f64 = 500.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Occasion {
    Comes(usize),
    Arrives {
        request: usize,
        engine: usize,
        life: u32,
    },
    StepEnds {
        engine: usize,
        life: u32,
    },
    Told {
        request: usize,
        serial: u64,
        tokens: u32,
        ended: bool,
    },
    Looks,
    Reclaims,
    Returns {
        engine: usize,
    },
    Ends {
        engine: usize,
        life: u32,
    },
    Begins(usize),
    IsOver(usize),
    MoveAgain {
        engine: usize,
        life: u32,
        order: (usize, u32),
    },
    Copied {
        engine: usize,
        life: u32,
    },
}

/// A place for an engine, with the one that is there.
pub(crate) struct Slot {
    pub(crate) engine: Engine,
    /// Its key in the policy; a new one for each life.
    pub(crate) id: TargetId,
    pub(crate) life: u32,
    pub(crate) data_centre: u32,
    pub(crate) is_there: bool,
    pub(crate) leaves: bool,
    pub(crate) steps: bool,
    pub(crate) link: Link,
}

/// A day as it is played.
pub(crate) struct World<'a> {
    pub(crate) load: &'a Load,
    pub(crate) pool: Pool,
    pub(crate) requests: Vec<Request>,
    pub(crate) stories: Vec<Story>,
    pub(crate) slots: Vec<Slot>,
    pub(crate) by_id: HashMap<TargetId, usize>,
    pub(crate) by_permit: HashMap<PermitId, usize>,
    pub(crate) evacuated: Vec<u32>,
    pub(crate) occasions: BinaryHeap<Reverse<(u64, u64, Occasion)>>,
    pub(crate) sequence: u64,
    pub(crate) now_us: u64,
    pub(crate) next_serial: u64,
    pub(crate) next_target: u64,
    pub(crate) looks: bool,
    pub(crate) counts: Counts,
    /// What first tokens took of late, as boxes see it.
    pub(crate) first_ms: f64,
    pub(crate) rng: ChaCha8Rng,
}

/// So many times slower than its kind an engine is.
pub(crate) fn slowness_of(load: &Load, engine: usize) -> f64 {
    // Data centres go round by engine too: each has engines of every speed.
    let group = engine / load.data_centres as usize;
    load.slowness[group % load.slowness.len()]
}

/// Plays a load pattern from a seed.
pub fn play(load: &Load, seed: u64) -> Figures {
    let mut world = World::new(load, seed);
    world.run();
    Figures::of(load, &world.requests, &world.stories, world.counts)
}

impl<'a> World<'a> {
    pub(crate) fn new(load: &'a Load, seed: u64) -> Self {
        let requests = arrivals(load, seed);
        let story = |request: &Request| Story {
            phase: Phase::Away,
            permit: PermitId::default(),
            tried_ms: request.at_ms,
            refusals: 0,
            refused_after_ms: None,
            held_ms: 0,
            first_ms: None,
            latest_ms: 0,
            pause_ms: 0,
            told_tokens: 0,
        };
        let mut world = Self {
            load,
            pool: Pool::new(load.settings.clone()),
            stories: requests.iter().map(story).collect(),
            requests,
            slots: Vec::new(),
            by_id: HashMap::new(),
            by_permit: HashMap::new(),
            evacuated: Vec::new(),
            occasions: BinaryHeap::new(),
            sequence: 0,
            now_us: 0,
            next_serial: 0,
            next_target: 0,
            looks: false,
            counts: Counts::default(),
            first_ms: FIRST_INITIAL_MS,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
        };
        for at in 0..load.engines {
            let slot = Slot {
                engine: Engine::new(load.engine, slowness_of(load, at as usize)),
                id: TargetId(0),
                life: 0,
                data_centre: at % load.data_centres,
                is_there: true,
                leaves: false,
                steps: false,
                link: Link::default(),
            };
            world.slots.push(slot);
            world.give_id(at as usize);
        }
        world.sync();
        for at in 0..world.requests.len() {
            let at_us = world.requests[at].at_ms * 1_000;
            world.push(at_us, Occasion::Comes(at));
        }
        if let Some(reclaims) = load.reclaims {
            world.push(reclaims.each_ms * 500, Occasion::Reclaims);
        }
        for (at, event) in load.events.iter().enumerate() {
            world.push(event.at_ms * 1_000, Occasion::Begins(at));
            world.push((event.at_ms + event.for_ms) * 1_000, Occasion::IsOver(at));
        }
        world
    }

    pub(crate) fn push(&mut self, at_us: u64, occasion: Occasion) {
        self.sequence += 1;
        self.occasions
            .push(Reverse((at_us, self.sequence, occasion)));
    }

    pub(crate) fn after(&mut self, us: u64, occasion: Occasion) {
        self.push(self.now_us + us, occasion);
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    pub(crate) fn run(&mut self) {
        // The last callers stay so long.
        let stays_ms = self.load.kinds.iter().map(|kind| kind.stay_ms).max();
        let end_us = (self.load.length_ms + stays_ms.unwrap_or_default()) * 1_000;
        while let Some(Reverse((at_us, _, occasion))) = self.occasions.pop() {
            if at_us > end_us {
                return;
            }
            self.now_us = at_us;
            self.act(occasion);
        }
    }

    pub(crate) fn act(&mut self, occasion: Occasion) {
        match occasion {
            Occasion::Comes(at) => self.comes(at),
            Occasion::Arrives {
                request,
                engine,
                life,
            } => self.arrives(request, engine, life),
            Occasion::StepEnds { engine, life } => self.step_ends(engine, life),
            Occasion::Told {
                request,
                serial,
                tokens,
                ended,
            } => {
                self.told(request, serial, tokens, ended);
            }
            Occasion::Looks => {
                self.looks = false;
                self.decide();
            }
            Occasion::Reclaims => self.reclaims(),
            Occasion::Returns { engine } => self.returns(engine),
            Occasion::Ends { engine, life } => self.ends(engine, life),
            Occasion::Begins(at) => self.happens(at, true),
            Occasion::IsOver(at) => self.happens(at, false),
            Occasion::MoveAgain {
                engine,
                life,
                order,
            } => {
                if self.slots[engine].life == life {
                    let (request, tries) = order;
                    self.slots[engine]
                        .link
                        .waiting
                        .push_back(Move { request, tries });
                    self.next_move(engine);
                }
            }
            Occasion::Copied { engine, life } => self.copied(engine, life),
        }
    }

    pub(crate) fn give_id(&mut self, engine: usize) {
        self.next_target += 1;
        let id = TargetId(self.next_target);
        self.slots[engine].id = id;
        self.by_id.insert(id, engine);
    }
}
