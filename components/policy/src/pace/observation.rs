//! Observations of an engine's pace: the gaps between the events of one stream, and the load on the engine meanwhile.

use crate::pace::model::span_ms;
use crate::pool::Pool;
use prelude::{PermitId, TargetId};

/// Gaps between the events of one stream since its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventGaps {
    /// Events that followed another one.
    pub events: u16,
    /// Mean time from one event to the next.
    pub mean_ms: u16,
    /// Longest time from one event to the next.
    pub longest_ms: u16,
    /// Slowness that the engine reported, 100 for its normal pace; 0 if it reported none.
    pub slowness_percent: u16,
}

/// Gaps between the events of one stream, with the load on its engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceObservation {
    /// The engine.
    pub target: TargetId,
    /// The gaps.
    pub gaps: EventGaps,
    /// Streams that the engine had.
    pub streams: u32,
    /// Share of the time in which it was prefilling a prompt.
    pub prefill_share: f64,
    /// Whether it was prefilling at all, meanwhile or shortly before or after.
    pub overlaps_prefill: bool,
    /// The mean time from one event to the next that was predicted; none where too little is known.
    pub expected_ms: Option<f64>,
}

/// Upper bound on the delay with which reports of prefills and of events reach a dispatcher.
const REPORT_DELAY_MS: u64 = 150;

impl Pool {
    /// Records the gaps between a stream's events. Returns the resulting observation of its engine; none if the report is
    /// empty or the permit is unknown.
    pub fn record_event_gaps(
        &mut self,
        permit: PermitId,
        gaps: EventGaps,
        now_ms: u64,
    ) -> Option<PaceObservation> {
        if gaps.events == 0 && gaps.slowness_percent == 0 {
            return None;
        }
        let key = *self.by_permit.get(&permit)?;
        let stream = self.streams.get_mut(key)?;
        stream.longest_pause_ms = stream.longest_pause_ms.max(u32::from(gaps.longest_ms));
        let target = stream.target;
        if self.settings.learns_pace && self.pace_model.is_baseline_due(now_ms) {
            let engines = self.engines.iter().map(|ledger| &ledger.pace);
            self.pace_model.update_baseline(engines, now_ms);
        }
        let ledger = self.engines.get_mut(target)?;
        let span_ms = span_ms(&gaps) as u64;
        let mut observation = PaceObservation {
            target,
            gaps,
            streams: ledger.streams.len() as u32,
            prefill_share: ledger.prefill_spans.share(span_ms, now_ms),
            overlaps_prefill: ledger
                .prefill_spans
                .share(span_ms + REPORT_DELAY_MS, now_ms)
                > 0.0,
            expected_ms: None,
        };
        if self.settings.learns_pace {
            let pace = &mut ledger.pace;
            observation.expected_ms = self.pace_model.observe(pace, &observation, now_ms);
        }
        Some(observation)
    }
}
