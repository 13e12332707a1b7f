//! Applies reports of boxes on the pace of engines at the dispatcher.

use crate::state::Relay;
use peers::GapsSeen;
use policy::{EventGaps, Pool};
use prelude::PermitId;

impl Relay {
    /// Records the longest pause of a generation that ended, and logs the pace of its engine if the pause exceeded the goal.
    pub(crate) fn record_pause(&self, pool: &Pool, permit: PermitId, now_ms: u64) {
        let Some(pause) = pool.pause_prediction(permit) else {
            return;
        };
        let (predicted_ms, observed_ms) = (pause.predicted_ms, pause.observed_ms);
        metrics::histogram!("shuntpier_pause_foretold_ms").record(f64::from(predicted_ms));
        metrics::histogram!("shuntpier_pause_seen_ms").record(f64::from(observed_ms));
        let error_ms = predicted_ms.abs_diff(observed_ms);
        metrics::histogram!("shuntpier_pause_error_ms").record(f64::from(error_ms));
        if !pause.exceeds_goal {
            return;
        }
        let Some(pace) = pool.pace_status(pause.target, now_ms) else {
            return;
        };
        slog::info!(self.log, "long pause"; "entry" => permit.entry.0, "permit" => permit.serial,
            "engine" => pause.target.0, "seen_ms" => observed_ms, "foretold_ms" => predicted_ms,
            "event_ms" => pace.event_ms as u32, "beside_ms" => pace.beside_ms as u32,
            "disturbed_ms" => (pace.event_ms * pace.disturbed_strength) as u32,
            "both_ms" => (pace.beside_ms * pace.disturbed_strength) as u32,
            "speed" => format_args!("{:.2}", pace.speed));
    }

    /// Applies a report of the gaps between the events of a generation.
    pub(crate) fn record_gaps(
        &self,
        pool: &mut Pool,
        permit: PermitId,
        report: &GapsSeen,
        now_ms: u64,
    ) {
        let gaps = EventGaps {
            events: report.events,
            mean_ms: report.mean_ms,
            longest_ms: report.longest_ms,
            slowness_percent: report.slowness_percent,
        };
        let Some(observed) = pool.record_event_gaps(permit, gaps, now_ms) else {
            return;
        };
        if let Some(expected_ms) = observed.expected_ms {
            let observed_ms = f64::from(gaps.mean_ms);
            metrics::histogram!("shuntpier_event_foretold_ms").record(expected_ms);
            metrics::histogram!("shuntpier_event_seen_ms").record(observed_ms);
            metrics::histogram!("shuntpier_event_error_ms")
                .record((expected_ms - observed_ms).abs());
        }
        slog::debug!(self.log, "pace reported"; "engine" => observed.target.0, "events" => gaps.events,
            "mean_ms" => gaps.mean_ms, "longest_ms" => gaps.longest_ms,
            "slowness_percent" => gaps.slowness_percent, "streams" => observed.streams,
            "expected_ms" => observed.expected_ms.map(|ms| ms.round() as u32),
            "reading_share" => format_args!("{:.3}", observed.prefill_share), "at_ms" => now_ms);
    }
}
