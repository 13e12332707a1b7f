//! Which boxes may say that they are not ready because they are overrun: never many at once. The first in rank counts.

use crate::state::Relay;
use prelude::BoxId;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// One box in so many may stand back: the others then bear a third more.
const READY_FOR_EACH: usize = 4;
/// How long a permission holds: three times as long as from one question to the next, for lost ones.
const HOLDS_MS: u64 = 6_000;
/// Longest time for an answer: longer than for other calls, as whoever asks is late itself.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);

/// The role of the box that counts, for rendezvous hashing.
const COUNTING_ROLE: u64 = 0x5ba2;

/// Who stands back, and until when.
#[derive(Clone, Debug, Default)]
pub(crate) struct StandBacks(HashMap<BoxId, u64>);

impl StandBacks {
    /// Whether a box may stand back, where so many are ready, those that stand back counted.
    pub(crate) fn ask(&mut self, from: BoxId, ready: usize, now_ms: u64) -> bool {
        self.0.retain(|_, until_ms| *until_ms > now_ms);
        let others = self.0.keys().filter(|id| **id != from).count();
        let most = match ready {
            0 | 1 => 0,
            ready => (ready / READY_FOR_EACH).max(1),
        };
        if others >= most {
            self.0.remove(&from);
            return false;
        }
        self.0.insert(from, now_ms + HOLDS_MS);
        true
    }

    /// Whether another box than this one may stand back now.
    pub(crate) fn allows_others(&self, me: BoxId, now_ms: u64) -> bool {
        let mut others = self.0.iter().filter(|(id, _)| **id != me);
        others.any(|(_, until_ms)| *until_ms > now_ms)
    }
}

impl Relay {
    /// Answers a box that is overrun, also this one.
    pub(crate) fn may_stand_back(&self, from: BoxId) -> bool {
        if from != self.id && self.is_shedding_load() {
            // Where the role moved, two that count would let all go.
            return false;
        }
        let now_ms = self.now_ms();
        let ready = self
            .members
            .borrow()
            .ranked(COUNTING_ROLE, self.is_stopping(), now_ms)
            .len();
        let allowed = self.stand_backs.borrow_mut().ask(from, ready, now_ms);
        slog::info!(self.log, "asked to stand back"; "box" => from.0, "allowed" => allowed,
            "ready" => ready);
        allowed
    }

    /// Asks whether this box may stand back. No answer is no.
    pub(crate) async fn asks_to_stand_back(self: &Rc<Self>) -> bool {
        let now_ms = self.now_ms();
        let ranked = self
            .members
            .borrow()
            .ranked(COUNTING_ROLE, self.is_stopping(), now_ms);
        let Some(first) = ranked.first().copied() else {
            return false;
        };
        let counts = self.stand_backs.borrow().allows_others(self.id, now_ms);
        // Who allowed others counts itself with them, whoever is first now.
        if counts || first == self.id {
            return self.may_stand_back(self.id);
        }
        let from = self.id;
        let call = self
            .peers
            .call(first, CALL_LIMIT, |client, context| async move {
                client.stand_back(context, from).await
            });
        self.heard_from(first, call.await, "stand back")
            .unwrap_or(false)
    }
}

/// Until when a permission that was asked for at a time holds.
pub(crate) fn holds_until_ms(asked_ms: u64) -> u64 {
    asked_ms + HOLDS_MS
}

#[cfg(test)]
#[path = "stand_back_tests.rs"]
mod tests;
