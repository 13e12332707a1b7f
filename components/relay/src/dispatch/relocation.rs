//! Running generations that go on at another engine, at the dispatcher: which are wished to, where each goes, and its turn.

use crate::dispatch::dispatcher::Dispatcher;
use crate::state::{Relay, pool_of};
use peers::{RelocateReply, RelocateRequest, TurnOver};
use policy::{Relocation, TurnEnd};
use prelude::{BoxId, PermitId, PoolId, TargetId};
use settings::Mechanism;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a generation waits here for its turn on a link before it asks again.
const TURN_WAIT: Duration = Duration::from_millis(150);
/// How often it looks whether it is its turn.
const TURN_LOOK_EACH: Duration = Duration::from_millis(8);

impl Dispatcher {
    /// The generations of a box that are wished to go on elsewhere.
    pub(crate) fn wishes(&mut self, entry: BoxId, now_ms: u64) -> Vec<u64> {
        let wishes = self.pool.wishes(entry, now_ms);
        for wish in &wishes {
            metrics::counter!("shuntpier_moves_wished", "cause" => wish.cause.as_str())
                .increment(1);
            slog::info!(self.log, "move wished"; "entry" => entry.0,
                "permit" => wish.permit.serial, "from" => wish.from.0, "to" => wish.to.0,
                "cause" => wish.cause.as_str(), "staying" => format_args!("{:.2}", wish.staying),
                "gain" => format_args!("{:.2}", wish.gain));
        }
        wishes.iter().map(|wish| wish.permit.serial).collect()
    }

    /// Decides where a running generation goes on, where it is its turn.
    fn relocate(&mut self, request: &RelocateRequest, now_ms: u64) -> RelocateReply {
        let (permit, from) = (request.permit, request.from);
        let Some(held_tokens) = self.pool.held_tokens(permit) else {
            return RelocateReply::NotKnown;
        };
        let only = self.pool.wished_to(permit).filter(|_| request.wished);
        if request.wished && only.is_none() {
            // Another dispatcher wished it, or too long ago: what it would gain is not known here.
            return RelocateReply::NoRoom;
        }
        let now_arriving = self.turns.as_ref().map(|turns| turns.arriving(now_ms));
        let is_taken = |to| now_arriving.is_some_and(|arriving| arriving.contains(&to));
        if only.is_some_and(is_taken) {
            // A copy that a generation would be lost without comes there first.
            return RelocateReply::NoRoom;
        }
        let asked = self.turns.as_mut();
        if asked.is_some_and(|turns| !turns.ask(from, permit, held_tokens, now_ms)) {
            return RelocateReply::Wait;
        }
        let arriving = self.turns.as_ref();
        let arriving = arriving.map_or(Vec::new(), |turns| turns.arriving(now_ms));
        let relocation = Relocation {
            permit,
            from,
            avoid: &request.avoid,
            arriving: &arriving,
            may_stay: request.may_stay,
            only,
        };
        let found = self.pool.relocate(&relocation, now_ms);
        match (found, &mut self.turns) {
            (Some(target), Some(turns)) => turns.begin(from, permit, target, now_ms),
            (None, Some(turns)) => turns.end(from, permit),
            (_, None) => {}
        }
        found.map_or(RelocateReply::NoRoom, RelocateReply::Go)
    }
}

impl Relay {
    /// Whether generations of a pool can go on at another engine.
    pub(crate) fn can_move(&self, pool: PoolId) -> bool {
        let held = self.declared();
        let services = held.iter().flat_map(|held| held.table.services.iter());
        let mut engines = services.filter(|service| pool_of(&service.name) == pool);
        let moves = engines.any(|service| service.engine.is_some_and(|engine| engine.moves));
        moves && self.file().has(Mechanism::Moves)
    }

    /// Decides where a running generation goes on, once it is its turn.
    pub(crate) async fn relocate_here(&self, request: &RelocateRequest) -> RelocateReply {
        let until = Instant::now() + TURN_WAIT;
        loop {
            let reply = self.with_dispatcher(request.pool, |dispatcher, now_ms| {
                dispatcher.relocate(request, now_ms)
            });
            if reply == RelocateReply::Wait && Instant::now() >= until {
                return reply;
            }
            if reply != RelocateReply::Wait {
                slog::info!(self.log, "relocation"; "box" => request.permit.entry.0,
                    "permit" => request.permit.serial, "from" => request.from.0,
                    "word" => ?reply);
                return reply;
            }
            sleep(TURN_LOOK_EACH).await;
        }
    }

    /// Ends the turn of a generation.
    pub(crate) fn relocated_here(
        &self,
        pool: PoolId,
        permit: PermitId,
        from: TargetId,
        over: TurnOver,
    ) {
        let end = match over {
            TurnOver::Moved { stopped_ms } => Some(TurnEnd::Moved { stopped_ms }),
            TurnOver::Stays => Some(TurnEnd::Stays),
            TurnOver::Again => None,
        };
        self.with_dispatcher(pool, |dispatcher, now_ms| {
            if let Some(end) = end {
                dispatcher.pool.turn_ended(permit, from, end, now_ms);
            }
            if let Some(turns) = &mut dispatcher.turns {
                turns.end(from, permit);
            }
        });
    }
}
