//! One request on its way: it comes, waits or is refused, is read and answered at an engine, and its box tells of it.

use crate::engine::{Made, Run};
use crate::figures::is_early;
use crate::request::Phase;
use crate::world::{Occasion, World};
use policy::{Demand, LengthClass, Share, StreamEnd, SubmitOutcome, Verdict, WaitingPolicy};
use prelude::{AccountId, Avoided, BoxId, DataCentreId, OwnerId, PartnerId, PermitId, Refusal};

/// What a box takes for the way of a first token where its time is forecast.
const WAY_MS: u64 = 40;
/// Weight of one first token in what a box takes them to take.
const FIRST_WEIGHT: f64 = 0.02;
/// From a grant to the engine.
const SEND_US: u64 = 2_000;
/// What a box gathers before it tells its dispatcher, and the way there.
const TELL_US: u64 = 22_000;
/// How often requests that wait are looked over.
const LOOK_US: u64 = 20_000;
/// Tokens after which a dispatcher is told how far a generation is.
const TOLD_EACH_TOKENS: u32 = 128;
/// Steps of two in a caller's guess that tell kinds of answers apart.
const GUESS_STEPS: f64 = 2.0;

impl World<'_> {
    pub(crate) fn demand(&self, at: usize) -> Demand {
        let (request, story) = (&self.requests[at], &self.stories[at]);
        let kind = &self.load.kinds[request.kind];
        let steps = (f64::from(request.guess_tokens).log2() * GUESS_STEPS) as u8;
        let now_ms = self.now_ms();
        let reserve_ms = match self.load.settings.waiting {
            WaitingPolicy::Pace => self.first_ms as u64,
            WaitingPolicy::FirstToken => WAY_MS,
        };
        let first_due_ms = story.tried_ms + kind.goal_ms.saturating_sub(reserve_ms);
        Demand {
            permit: story.permit,
            share: Share {
                partner: PartnerId::default(),
                owner: OwnerId::default(),
                account: AccountId(u64::from(request.account)),
                partner_weight: 1.0,
                owner_weight: 1.0,
                account_weight: 1.0,
            },
            class: LengthClass {
                account: AccountId::default(),
                kind: steps.min(31) * 7 + kind.rank.min(6),
            },
            prompt_tokens: request.prompt_tokens,
            max_tokens: kind.answer_tokens.most,
            rank: kind.rank,
            pause_goal_ms: None,
            arrived_ms: now_ms,
            deadline_ms: first_due_ms.max(now_ms + kind.goal_ms / 10),
            caller_deadline_ms: request.at_ms + kind.stay_ms,
            prefix: None,
            oracle_tokens: None,
            avoid: Avoided::default(),
            preferred_data_centre: Some(DataCentreId(u64::from(request.data_centre))),
        }
    }

    pub(crate) fn comes(&mut self, at: usize) {
        self.next_serial += 1;
        let permit = PermitId {
            entry: BoxId(self.requests[at].data_centre),
            life: 0,
            serial: self.next_serial,
        };
        let now_ms = self.now_ms();
        self.stories[at].permit = permit;
        self.stories[at].tried_ms = now_ms;
        self.stories[at].phase = Phase::Waits;
        self.by_permit.insert(permit, at);
        let demand = self.demand(at);
        match self.pool.submit(demand, now_ms) {
            SubmitOutcome::Refused(refusal) => self.refused(at, refusal),
            SubmitOutcome::Queued { .. } => self.decide(),
        }
    }

    pub(crate) fn refused(&mut self, at: usize, refusal: Refusal) {
        let kind = &self.load.kinds[self.requests[at].kind];
        let now_ms = self.now_ms();
        let story = &mut self.stories[at];
        let after_ms = now_ms - story.tried_ms;
        self.counts.refusals += 1;
        self.counts.early_refusals += u64::from(is_early(kind, after_ms));
        story.refused_after_ms.get_or_insert(after_ms);
        story.held_ms = story.held_ms.max(after_ms);
        story.refusals += 1;
        let leaves_ms = self.requests[at].at_ms + kind.stay_ms;
        let left_ms = leaves_ms.saturating_sub(now_ms);
        if story.refusals > 1 || left_ms == 0 {
            story.phase = Phase::Refused;
            return;
        }
        story.phase = Phase::Away;
        let back_ms = refusal.retry_after_ms.unwrap_or(1_000).min(left_ms / 3);
        self.after(back_ms * 1_000, Occasion::Comes(at));
    }

    pub(crate) fn decide(&mut self) {
        let now_ms = self.now_ms();
        for (permit, verdict) in self.pool.schedule(now_ms) {
            let Some(at) = self.by_permit.get(&permit).copied() else {
                continue;
            };
            match verdict {
                Verdict::Refused(refusal) => self.refused(at, refusal),
                Verdict::Granted { target } => {
                    let engine = self.by_id[&target];
                    self.stories[at].phase = Phase::AtEngine(engine);
                    let life = self.slots[engine].life;
                    self.after(
                        SEND_US,
                        Occasion::Arrives {
                            request: at,
                            engine,
                            life,
                        },
                    );
                }
            }
        }
        let waits = self.pool.view(now_ms).waiting > 0;
        if waits && !self.looks {
            self.looks = true;
            self.after(LOOK_US, Occasion::Looks);
        }
    }

    pub(crate) fn arrives(&mut self, at: usize, engine: usize, life: u32) {
        let request = self.requests[at];
        let slot = &mut self.slots[engine];
        if slot.life != life || !slot.is_there {
            return self.lost(at);
        }
        slot.engine.push(Run {
            id: at,
            rank: self.load.kinds[request.kind].rank,
            prompt_tokens: request.prompt_tokens,
            made_tokens: 0,
            length_tokens: request.length_tokens,
            to_read_tokens: request.prompt_tokens,
        });
        self.step(engine);
    }

    pub(crate) fn step(&mut self, engine: usize) {
        let slot = &mut self.slots[engine];
        if slot.steps || !slot.is_there {
            return;
        }
        let life = slot.life;
        if let Some(us) = slot.engine.begin_step() {
            slot.steps = true;
            self.after(us, Occasion::StepEnds { engine, life });
        }
    }

    pub(crate) fn step_ends(&mut self, engine: usize, life: u32) {
        if self.slots[engine].life != life || !self.slots[engine].is_there {
            return;
        }
        self.slots[engine].steps = false;
        for made in self.slots[engine].engine.end_step() {
            match made {
                Made::Token { id, made_tokens } => self.token(id, made_tokens, false),
                Made::End { id, made_tokens } => self.token(id, made_tokens, true),
                Made::Outgrown { id } => self.lost(id),
                Made::Preempted { id } => {
                    self.counts.preempted += 1;
                    let held = self.requests[id].prompt_tokens + self.stories[id].told_tokens;
                    self.counts.read_again_tokens += u64::from(held);
                }
            }
        }
        self.step(engine);
    }

    pub(crate) fn token(&mut self, at: usize, tokens: u32, ended: bool) {
        let now_ms = self.now_ms();
        let story = &mut self.stories[at];
        let first = story.first_ms.is_none();
        if !first {
            story.pause_ms = story.pause_ms.max(now_ms - story.latest_ms);
        }
        story.first_ms.get_or_insert(now_ms);
        if first {
            let took_ms = (now_ms - story.tried_ms) as f64;
            self.first_ms += FIRST_WEIGHT * (took_ms - self.first_ms);
        }
        story.latest_ms = now_ms;
        if first || ended || tokens >= story.told_tokens + TOLD_EACH_TOKENS {
            story.told_tokens = tokens;
            let serial = story.permit.serial;
            self.after(
                TELL_US,
                Occasion::Told {
                    request: at,
                    serial,
                    tokens,
                    ended,
                },
            );
        }
        if ended {
            self.stories[at].phase = Phase::Whole;
        }
    }

    pub(crate) fn told(&mut self, at: usize, serial: u64, tokens: u32, ended: bool) {
        let permit = self.stories[at].permit;
        if permit.serial != serial {
            return;
        }
        let now_ms = self.now_ms();
        self.pool.record_progress(permit, tokens, now_ms);
        if ended {
            self.pool.release(permit, tokens, StreamEnd::Finished);
        }
        self.decide();
    }

    pub(crate) fn lost(&mut self, at: usize) {
        self.stories[at].phase = Phase::Lost;
        let story = &self.stories[at];
        self.pool
            .release(story.permit, story.told_tokens, StreamEnd::Censored);
    }
}
