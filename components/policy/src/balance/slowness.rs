//! How slow a target is right now, by its own word or by that of a box that just had its answer.

/// How long a word counts. Disturbances come and go within some tenths of a second.
const LIFE_MS: u64 = 700;
/// Words below this are the usual spread.
const SLOW_PERCENT: u32 = 150;
/// The most that a word counts: a target that says more is spared no further.
const PERCENT_MAX: u32 = 400;

/// The latest word.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slowness {
    percent: u32,
    at_ms: u64,
}

impl Slowness {
    /// Takes a word in that is `age_ms` old. An older one than is known changes nothing.
    pub fn update(&mut self, percent: u32, age_ms: u64, now_ms: u64) {
        let at_ms = now_ms.saturating_sub(age_ms);
        if at_ms >= self.at_ms {
            *self = Self { percent, at_ms };
        }
    }

    /// Whether a word differs from what is believed, so that other boxes gain by it.
    pub fn is_change(&self, percent: u32, now_ms: u64) -> bool {
        (percent >= SLOW_PERCENT) != self.is_slow(now_ms)
    }

    /// Whether the target is slow now, as far as is known.
    pub fn is_slow(&self, now_ms: u64) -> bool {
        self.percent >= SLOW_PERCENT && now_ms < self.at_ms + LIFE_MS
    }

    /// What its calls take, as a share of the usual time. Never below 1: that a target is faster has to be seen, as
    /// one that says so falsely would draw all calls.
    pub fn latency_ratio(&self, now_ms: u64) -> f64 {
        match self.is_slow(now_ms) {
            true => f64::from(self.percent.min(PERCENT_MAX)) / 100.0,
            false => 1.0,
        }
    }
}

#[cfg(test)]
#[path = "slowness_tests.rs"]
mod tests;
