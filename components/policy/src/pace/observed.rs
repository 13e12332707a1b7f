//! What is seen of an engine's pace: the times between the events of one stream, and the load on it meanwhile.

use crate::pace::book::over_ms;
use crate::pool::Pool;
use prelude::{PermitId, TargetId};

/// The times between events of one stream since they were last told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GapsTold {
    /// Events that came after another.
    pub events: u16,
    /// Mean time from one event to the next.
    pub mean_ms: u16,
    /// Longest time from one event to the next.
    pub longest_ms: u16,
    /// How slow the engine said that work is there, 100 as usual; 0 where it said nothing.
    pub slowness_percent: u16,
}

/// The same with the load that the engine had.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observed {
    /// The engine.
    pub target: TargetId,
    /// The times.
    pub gaps: GapsTold,
    /// Streams that it had.
    pub streams: u32,
    /// Share of the time in which it read a prompt.
    pub reading_share: f64,
    /// Whether it read one at all, meanwhile or shortly before or after.
    pub read_beside: bool,
    /// The mean time from one event to the next that was expected; none where too little is known.
    pub expected_ms: Option<f64>,
}

/// News of a prompt that is read, and of events, come so late to a dispatcher at the most.
const NEWS_MS: u64 = 150;

impl Pool {
    /// Takes in how fast the events of a stream came. Returns what that says of its engine.
    pub fn gaps_seen(&mut self, permit: PermitId, gaps: GapsTold, now_ms: u64) -> Option<Observed> {
        if gaps.events == 0 && gaps.slowness_percent == 0 {
            return None;
        }
        let key = *self.by_permit.get(&permit)?;
        let stream = self.streams.get_mut(key)?;
        stream.longest_pause_ms = stream.longest_pause_ms.max(u32::from(gaps.longest_ms));
        let target = stream.target;
        if self.settings.learns_pace && self.pace_book.is_due(now_ms) {
            let engines = self.engines.iter().map(|ledger| &ledger.pace);
            self.pace_book.set_usual(engines, now_ms);
        }
        let ledger = self.engines.get_mut(target)?;
        let over_ms = over_ms(&gaps) as u64;
        let mut observed = Observed {
            target,
            gaps,
            streams: ledger.streams.len() as u32,
            reading_share: ledger.prefill_spans.share(over_ms, now_ms),
            read_beside: ledger.prefill_spans.share(over_ms + NEWS_MS, now_ms) > 0.0,
            expected_ms: None,
        };
        if self.settings.learns_pace {
            let pace = &mut ledger.pace;
            observed.expected_ms = self.pace_book.observe(pace, &observed, now_ms);
        }
        Some(observed)
    }
}
