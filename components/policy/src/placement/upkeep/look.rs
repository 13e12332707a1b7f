//! Looks a pool's engines over: which generation would gain most by a move, and where to.

use crate::placement::forecast::Forecast;
use crate::placement::ledger::{EngineLedger, EngineState, RoomView, StreamKey};
use crate::placement::relocate::AMPLE_SHARE;
use crate::placement::upkeep::gain::GainView;
use crate::placement::upkeep::{TurnEnd, Wish, WishCause};
use crate::pool::Pool;
use prelude::{BoxId, PermitId, TargetId};

/// Wishes that one answer tells.
const TOLD_MOST: usize = 4;
/// Engines for whose generations another engine is looked for at a time, the worst first: each look is over all engines.
const LOOKED_FOR: usize = 4;

/// The generation of an engine that would gain most by a move to one where nothing pauses.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: StreamKey,
    /// Its engine's place among all.
    at: usize,
    cause: WishCause,
    /// Pauses that are expected if it stays.
    staying: f64,
}

impl Pool {
    /// The generations of a box that are to go on elsewhere, which it was not told yet.
    pub fn wishes(&mut self, entry: BoxId, now_ms: u64) -> Vec<Wish> {
        if !self.settings.upkeep {
            return Vec::new();
        }
        if self.upkeep.is_due(now_ms) {
            self.look_over(now_ms);
        }
        self.upkeep.take_untold(entry, TOLD_MOST)
    }

    /// Where a generation is wished to go on; none where nothing is known of that.
    pub fn wished_to(&self, permit: PermitId) -> Option<TargetId> {
        self.upkeep.budget.wished_to(permit)
    }

    /// Notes how a turn on an engine's link ended. A permit that was moved ahead of its generation goes back.
    pub fn turn_ended(&mut self, permit: PermitId, from: TargetId, end: TurnEnd, now_ms: u64) {
        match end {
            TurnEnd::Moved { stopped_ms } => self.upkeep.pauses.seen(stopped_ms),
            TurnEnd::Stays => self.put_back(permit, from, now_ms),
        }
        let is_moved = matches!(end, TurnEnd::Moved { .. });
        self.upkeep.budget.end(permit, is_moved, now_ms);
    }

    fn look_over(&mut self, now_ms: u64) {
        let engines = &self.engines;
        let is_there = |id| engines.iter().any(|ledger| ledger.info.id == id);
        self.upkeep.budget.expire(is_there, now_ms);
        let budget = &self.upkeep.budget;
        self.upkeep
            .untold
            .retain(|wish| budget.wished_to(wish.permit).is_some());
        let mut candidates: Vec<Candidate> = Vec::new();
        for at in 0..self.engines.len() {
            let Some(candidate) = self.candidate(at, now_ms) else {
                continue;
            };
            // Noted also where no wish can be made now, so that an engine is known to be bad for long.
            let engine = self.engines[at].info.id;
            if self.upkeep.budget.is_bad(engine, now_ms) {
                candidates.push(candidate);
            }
        }
        // The links, and the room elsewhere, are first for what would be lost.
        let leaves = |ledger: &&EngineLedger| ledger.state != EngineState::Live;
        let leaving = self.engines.iter().filter(leaves);
        let leaving: usize = leaving.map(|ledger| ledger.streams.len()).sum();
        let engines = self.engines.len();
        if !self.upkeep.budget.bears_one_more(engines, leaving) {
            return;
        }
        candidates.sort_by(|a, b| b.staying.total_cmp(&a.staying));
        candidates.truncate(LOOKED_FOR);
        let found = candidates.iter().filter_map(|candidate| {
            let wish = self.at_best(candidate, now_ms)?;
            Some((candidate.key, wish))
        });
        let best = found.max_by(|a, b| a.1.gain.total_cmp(&b.1.gain));
        if let Some((key, wish)) = best {
            self.wish(key, wish, now_ms);
        }
    }

    fn wish(&mut self, key: StreamKey, wish: Wish, now_ms: u64) {
        let budget = &mut self.upkeep.budget;
        budget.begin(wish.permit, wish.from, wish.to, now_ms);
        if let Some(stream) = self.streams.get_mut(key) {
            stream.is_wished = true;
        }
        self.upkeep.untold.push(wish);
    }

    /// The generation of one engine that would gain most.
    fn candidate(&mut self, at: usize, now_ms: u64) -> Option<Candidate> {
        let by_memory = self.short_of_memory(at, now_ms);
        match by_memory {
            Some(short_tokens) => self.by_memory(at, short_tokens, now_ms),
            None => self.by_pace(at, now_ms),
        }
    }

    /// Memory that an engine will lack, as likely as not, in tokens.
    fn short_of_memory(&mut self, at: usize, now_ms: u64) -> Option<f64> {
        let view = RoomView {
            streams: &self.streams,
            lengths: &self.lengths,
            settings: &self.settings,
            tokens_per_ms: self.tokens_per_ms,
            margin: 0.0,
            now_ms,
        };
        let ledger = &mut self.engines[at];
        let left = ledger.room_left(&view, &Forecast::default());
        let backed_up = ledger.is_backed_up(now_ms);
        (left < 0.0 || backed_up).then(|| (-left).max(0.0))
    }

    /// The smallest generation whose leaving is enough; else the largest.
    fn by_memory(&mut self, at: usize, short_tokens: f64, now_ms: u64) -> Option<Candidate> {
        let streams = self.engines[at].streams.iter();
        let known = streams.filter_map(|key| Some((*key, self.streams.get(*key)?)));
        let all: Vec<_> = known.collect();
        let can_lose = all
            .iter()
            .filter(|(_, stream)| stream.goal_left_ms().is_some());
        let spared = can_lose.count() as f64 / all.len().max(1) as f64;
        let held = |key: &StreamKey| {
            self.streams.get(*key).map_or(0.0, |stream| {
                f64::from(stream.prompt_tokens + stream.generated_tokens)
            })
        };
        let view = self.gain_view(now_ms);
        let movable = all.iter().filter(|(_, stream)| view.can_move(stream));
        let mut keys: Vec<StreamKey> = movable.map(|(key, _)| *key).collect();
        keys.sort_by(|a, b| held(a).total_cmp(&held(b)));
        let enough = keys.iter().position(|key| held(key) >= short_tokens);
        let key = *enough.map_or(keys.last(), |at| keys.get(at))?;
        let stream = self.streams.get(key)?;
        let is_worth = self.gain_view(now_ms).is_worth(spared, stream);
        is_worth.then_some(Candidate {
            key,
            at,
            cause: WishCause::Memory,
            staying: spared,
        })
    }

    fn by_pace(&mut self, at: usize, now_ms: u64) -> Option<Candidate> {
        let view = self.gain_view(now_ms);
        if !view.pauses.decides() {
            return None;
        }
        let ledger = &self.engines[at];
        let here = view.here(ledger)?;
        let mut best: Option<(f64, StreamKey)> = None;
        for key in &ledger.streams {
            let Some(stream) = self
                .streams
                .get(*key)
                .filter(|stream| view.can_move(stream))
            else {
                continue;
            };
            let staying = view.staying(&here, stream);
            if view.is_worth(staying, stream) && best.is_none_or(|(other, _)| staying > other) {
                best = Some((staying, *key));
            }
        }
        let (staying, key) = best?;
        Some(Candidate {
            key,
            at,
            cause: WishCause::Pace,
            staying,
        })
    }

    /// The engine where a generation pauses least, of those with ample room, if that is worth the move.
    fn at_best(&mut self, candidate: &Candidate, now_ms: u64) -> Option<Wish> {
        let Candidate {
            key,
            at,
            cause,
            staying,
        } = *candidate;
        let stream = self.streams.get(key)?.clone();
        let mut more = Forecast::default();
        let generated = f64::from(stream.generated_tokens);
        let held = f64::from(stream.prompt_tokens) + generated;
        more.add(held, stream.survival(&self.lengths, generated));
        let roomy = self.roomy(at, &more, now_ms);
        let view = self.gain_view(now_ms);
        let here = view.here(&self.engines[at]);
        let mut best: Option<(f64, TargetId)> = None;
        for other in roomy {
            let ledger = &self.engines[other];
            let moving = match (here, view.there(ledger)) {
                (Some(here), Some(there)) => view.moving(&here, &there, &stream),
                // Nothing is known of paces: a move then costs what it can.
                _ => f64::from(u8::from(stream.goal_left_ms().is_some())),
            };
            let gain = staying - moving;
            if view.is_worth(gain, &stream) && best.is_none_or(|(other, _)| gain > other) {
                best = Some((gain, ledger.info.id));
            }
        }
        let (gain, to) = best?;
        Some(Wish {
            permit: stream.permit,
            from: stream.target,
            to,
            cause,
            staying,
            gain,
        })
    }

    /// The engines but one that are known by their events and keep ample room with a generation more, the emptiest first.
    fn roomy(&mut self, but: usize, more: &Forecast, now_ms: u64) -> Vec<usize> {
        let view = RoomView {
            streams: &self.streams,
            lengths: &self.lengths,
            settings: &self.settings,
            tokens_per_ms: self.tokens_per_ms,
            margin: self.margin_in_use(),
            now_ms,
        };
        let budget = &self.upkeep.budget;
        let mut roomy = Vec::new();
        for (at, ledger) in self.engines.iter_mut().enumerate() {
            let takes = at != but
                && ledger.state == EngineState::Live
                && ledger.pace.speed.is_seen()
                && ledger.bears_one_more(now_ms)
                && !ledger.is_backed_up(now_ms)
                && budget.may_come(ledger.info.id, now_ms);
            if !takes {
                continue;
            }
            let left = ledger.room_left(&view, more);
            if left >= ledger.info.capacity_tokens as f64 * AMPLE_SHARE {
                roomy.push((left, at));
            }
        }
        roomy.sort_by(|a, b| b.0.total_cmp(&a.0));
        roomy.into_iter().map(|(_, at)| at).collect()
    }

    fn gain_view(&self, now_ms: u64) -> GainView<'_> {
        let prompts = self.streams.values().map(|s| f64::from(s.prompt_tokens));
        let prompt_tokens = prompts.sum::<f64>() / self.streams.len().max(1) as f64;
        GainView {
            pauses: self.pause_view(now_ms),
            moves: &self.upkeep.pauses,
            lengths: &self.lengths,
            prompt_tokens,
        }
    }
}

#[cfg(test)]
#[path = "look_tests.rs"]
mod tests;
