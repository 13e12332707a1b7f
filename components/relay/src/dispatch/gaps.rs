//! Times between the events of a stream, collected until the next report to the dispatcher: 8 bytes per stream and report.

use peers::GapsSeen;

/// Times between events since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PendingGaps {
    events: u32,
    total_ms: u64,
    longest_ms: u64,
    slowness_percent: u32,
}

fn saturating_u16(value: u64) -> u16 {
    u16::try_from(value).unwrap_or(u16::MAX)
}

impl PendingGaps {
    /// Records the slowness that the engine reported, in percent.
    pub(crate) fn record_slowness(&mut self, percent: u32) {
        self.slowness_percent = percent;
    }

    /// Records `events` events that arrived together, `gap_ms` after the previous event.
    pub(crate) fn record_gap(&mut self, gap_ms: u64, events: u32) {
        self.events += events;
        self.total_ms += gap_ms;
        self.longest_ms = self.longest_ms.max(gap_ms);
    }

    /// Returns the collected times for a report and resets them.
    pub(crate) fn take(&mut self) -> GapsSeen {
        let gaps = std::mem::take(self);
        GapsSeen {
            events: saturating_u16(u64::from(gaps.events)),
            mean_ms: saturating_u16(gaps.total_ms / u64::from(gaps.events.max(1))),
            longest_ms: saturating_u16(gaps.longest_ms),
            slowness_percent: saturating_u16(u64::from(gaps.slowness_percent)),
        }
    }
}

#[cfg(test)]
#[path = "gaps_tests.rs"]
mod tests;
