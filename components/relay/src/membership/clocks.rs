//! Bounds on when something happened at another box. Each process has a clock of its own that begins at 0, and a message says
//! nothing of how long it was under way, so that the time of an event elsewhere is only known to lie after some time here.

use peers::ClockReading;
use prelude::BoxId;
use std::collections::HashMap;

/// How long a bound on the clock of a peer is used, in ms.
const BOUND_KEPT_MS: u64 = 30_000;
/// Time in ms in which two clocks may drift apart by 1 ms: twice the rate at which a clock is adjusted at most.
const DRIFT_INTERVAL_MS: u64 = 1_000;

/// The earliest time at which something may have happened, in ms on the clock of this box; negative before the clock began.
/// An earlier bound is valid, too, and a later one is not, so all conversions round down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct NotBefore(i64);

impl NotBefore {
    /// Something that happens at `now_ms`, or after it.
    pub(crate) fn at(now_ms: u64) -> Self {
        Self(now_ms.cast_signed())
    }

    /// What a peer does in answer to a call that was sent at `sent_ms`.
    pub(crate) fn answer_to(sent_ms: u64) -> Self {
        // A clock reads whole milliseconds, and the peer's may have advanced to the next one already.
        Self::at(sent_ms).earlier_by(1)
    }

    /// The bound in ms, where a policy takes plain numbers.
    pub(crate) fn ms(self) -> i64 {
        self.0
    }

    /// Something that happened `age_ms` before.
    pub(crate) fn earlier_by(self, age_ms: u32) -> Self {
        Self(self.0 - i64::from(age_ms))
    }

    /// The longest time since then, in ms; none if it is too long to be expressed.
    pub(crate) fn age_ms(self, now_ms: u64) -> Option<u32> {
        u32::try_from((now_ms.cast_signed() - self.0).max(0)).ok()
    }

    /// Whether it may be longer ago than `limit_ms`.
    pub(crate) fn is_older_than(self, limit_ms: u64, now_ms: u64) -> bool {
        self.0 + limit_ms.cast_signed() < now_ms.cast_signed()
    }
}

/// A bound on the clock of a peer's process.
#[derive(Clone, Copy, Debug)]
struct ClockBound {
    /// Which process it is.
    incarnation: u32,
    /// The peer's clock is ahead of the clock of this box by at least this, in ms.
    ahead_ms: i64,
    /// When the peer's clock was read, in ms.
    read_ms: u64,
}

impl ClockBound {
    fn ahead_ms_at(self, now_ms: u64) -> Option<i64> {
        let age_ms = now_ms.saturating_sub(self.read_ms);
        let drift_ms = age_ms.div_ceil(DRIFT_INTERVAL_MS).cast_signed();
        (age_ms <= BOUND_KEPT_MS).then_some(self.ahead_ms - drift_ms)
    }
}

/// Bounds on the clocks of peers, from their answers.
#[derive(Debug, Default)]
pub(crate) struct PeerClocks {
    bounds: HashMap<BoxId, ClockBound>,
}

impl PeerClocks {
    /// Records the clock of a peer from an answer that was received at `now_ms`.
    pub(crate) fn record(&mut self, id: BoxId, reading: ClockReading, now_ms: u64) {
        let bound = ClockBound {
            incarnation: reading.incarnation,
            // The peer's clock was read before the answer arrived, which was less than 1 ms after `now_ms`.
            ahead_ms: reading.at_ms - now_ms.cast_signed() - 1,
            read_ms: now_ms,
        };
        let known = self
            .bounds
            .get(&id)
            .filter(|known| known.incarnation == bound.incarnation);
        let known_ahead_ms = known.and_then(|known| known.ahead_ms_at(now_ms));
        if known_ahead_ms.is_none_or(|known_ms| known_ms < bound.ahead_ms) {
            self.bounds.insert(id, bound);
        }
    }

    /// A time on the clock of a peer; none if nothing is known of that clock.
    pub(crate) fn on_clock_of(
        &self,
        id: BoxId,
        at: NotBefore,
        now_ms: u64,
    ) -> Option<ClockReading> {
        let bound = self.bounds.get(&id)?;
        Some(ClockReading {
            incarnation: bound.incarnation,
            at_ms: at.0 + bound.ahead_ms_at(now_ms)?,
        })
    }

    /// A time that a peer has expressed on the clock of this box; none if it is that of another process.
    pub(crate) fn received(reading: ClockReading, own_incarnation: u32) -> Option<NotBefore> {
        (reading.incarnation == own_incarnation).then_some(NotBefore(reading.at_ms))
    }

    /// Forgets the clock of a peer.
    pub(crate) fn forget(&mut self, id: BoxId) {
        self.bounds.remove(&id);
    }
}

#[cfg(test)]
#[path = "clocks_tests.rs"]
mod tests;
