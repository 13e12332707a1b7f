//! What boxes tell of the pace of engines, as their dispatcher takes it in.

use crate::state::Relay;
use peers::GapsSeen;
use policy::{GapsTold, Pool};
use prelude::PermitId;

impl Relay {
    /// Takes in how fast the events of a generation came.
    pub(crate) fn gaps_told(
        &self,
        pool: &mut Pool,
        permit: PermitId,
        seen: &GapsSeen,
        now_ms: u64,
    ) {
        let gaps = GapsTold {
            events: seen.events,
            mean_ms: seen.mean_ms,
            longest_ms: seen.longest_ms,
            slowness_percent: seen.slowness_percent,
        };
        let Some(observed) = pool.gaps_seen(permit, gaps, now_ms) else {
            return;
        };
        slog::debug!(self.log, "pace told"; "engine" => observed.target.0, "events" => gaps.events,
            "mean_ms" => gaps.mean_ms, "longest_ms" => gaps.longest_ms,
            "slowness_percent" => gaps.slowness_percent, "streams" => observed.streams,
            "expected_ms" => observed.expected_ms.map(|ms| ms.round() as u32),
            "reading_share" => format_args!("{:.3}", observed.reading_share), "at_ms" => now_ms);
    }
}
