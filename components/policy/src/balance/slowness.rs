//! How slow a target currently is, as the target itself or a box that just got an answer from it reports.

/// How long a report counts. Slowdowns start and end within some tenths of a second.
const REPORT_TTL_MS: u64 = 700;
/// Reports below this are normal variation.
const SLOW_PERCENT: u32 = 150;
/// Upper bound on a report: a target that reports more is avoided no further.
const MAX_PERCENT: u32 = 400;

/// The latest slowness report of a target: 100 percent is its normal latency, 200 percent twice that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slowness {
    percent: u32,
    reported_ms: u64,
}

impl Slowness {
    /// Applies a report that was made `age_ms` ago, unless a newer one is known.
    pub fn update(&mut self, percent: u32, age_ms: u64, now_ms: u64) {
        let reported_ms = now_ms.saturating_sub(age_ms);
        if reported_ms >= self.reported_ms {
            *self = Self {
                percent,
                reported_ms,
            };
        }
    }

    /// Whether a report changes the known state from slow to normal or back, so that other boxes should get it as well.
    pub fn is_change(&self, percent: u32, now_ms: u64) -> bool {
        (percent >= SLOW_PERCENT) != self.is_slow(now_ms)
    }

    /// Whether a report that still counts says that the target is slow.
    pub fn is_slow(&self, now_ms: u64) -> bool {
        self.percent >= SLOW_PERCENT && now_ms < self.reported_ms + REPORT_TTL_MS
    }

    /// Expected latency relative to the baseline. Never below 1: a faster target must be observed to be so, as one that
    /// reports it falsely would attract all calls.
    pub fn latency_ratio(&self, now_ms: u64) -> f64 {
        match self.is_slow(now_ms) {
            true => f64::from(self.percent.min(MAX_PERCENT)) / 100.0,
            false => 1.0,
        }
    }
}

#[cfg(test)]
#[path = "slowness_tests.rs"]
mod tests;
