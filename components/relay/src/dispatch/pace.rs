//! What boxes tell of the pace of engines, as their dispatcher takes it in.

use crate::state::Relay;
use peers::GapsSeen;
use policy::{EventGaps, Pool};
use prelude::PermitId;

impl Relay {
    /// Notes the longest pause of a generation that ended, and what of its engine's pace explains one that was too long.
    pub(crate) fn record_pause(&self, pool: &Pool, permit: PermitId, now_ms: u64) {
        let Some(pause) = pool.pause_prediction(permit) else {
            return;
        };
        let (foretold_ms, seen_ms) = (pause.predicted_ms, pause.observed_ms);
        metrics::histogram!("shuntpier_pause_foretold_ms").record(f64::from(foretold_ms));
        metrics::histogram!("shuntpier_pause_seen_ms").record(f64::from(seen_ms));
        let error_ms = foretold_ms.abs_diff(seen_ms);
        metrics::histogram!("shuntpier_pause_error_ms").record(f64::from(error_ms));
        if !pause.exceeds_goal {
            return;
        }
        let Some(pace) = pool.pace_status(pause.target, now_ms) else {
            return;
        };
        slog::info!(self.log, "long pause"; "entry" => permit.entry.0, "permit" => permit.serial,
            "engine" => pause.target.0, "seen_ms" => seen_ms, "foretold_ms" => foretold_ms,
            "event_ms" => pace.event_ms as u32, "beside_ms" => pace.beside_ms as u32,
            "disturbed_ms" => (pace.event_ms * pace.disturbed_strength) as u32,
            "both_ms" => (pace.beside_ms * pace.disturbed_strength) as u32,
            "speed" => format_args!("{:.2}", pace.speed));
    }

    /// Takes in how fast the events of a generation came.
    pub(crate) fn record_gaps(
        &self,
        pool: &mut Pool,
        permit: PermitId,
        seen: &GapsSeen,
        now_ms: u64,
    ) {
        let gaps = EventGaps {
            events: seen.events,
            mean_ms: seen.mean_ms,
            longest_ms: seen.longest_ms,
            slowness_percent: seen.slowness_percent,
        };
        let Some(observed) = pool.record_event_gaps(permit, gaps, now_ms) else {
            return;
        };
        if let Some(expected_ms) = observed.expected_ms {
            let seen_ms = f64::from(gaps.mean_ms);
            metrics::histogram!("shuntpier_event_foretold_ms").record(expected_ms);
            metrics::histogram!("shuntpier_event_seen_ms").record(seen_ms);
            metrics::histogram!("shuntpier_event_error_ms").record((expected_ms - seen_ms).abs());
        }
        slog::debug!(self.log, "pace told"; "engine" => observed.target.0, "events" => gaps.events,
            "mean_ms" => gaps.mean_ms, "longest_ms" => gaps.longest_ms,
            "slowness_percent" => gaps.slowness_percent, "streams" => observed.streams,
            "expected_ms" => observed.expected_ms.map(|ms| ms.round() as u32),
            "reading_share" => format_args!("{:.3}", observed.prefill_share), "at_ms" => now_ms);
    }
}
