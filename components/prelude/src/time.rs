//! Time as the policies see it: milliseconds on a clock that never steps back.

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock, read in milliseconds since it was made.
#[derive(Clone, Debug)]
pub struct Clock {
    start: Instant,
    unix_step_ms: Arc<AtomicI64>,
}

impl Clock {
    /// A clock that reads zero now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            unix_step_ms: Arc::default(),
        }
    }

    /// Milliseconds since the clock was made.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Milliseconds since the Unix epoch, with the steps that this clock has made.
    pub fn unix_ms(&self) -> u64 {
        unix_ms().saturating_add_signed(self.unix_step_ms.load(Ordering::Relaxed))
    }

    /// Has the Unix time step, as an administrator or a time service may. Time since the start does
    /// not.
    pub fn step_unix(&self, ms: i64) {
        self.unix_step_ms.fetch_add(ms, Ordering::Relaxed);
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// The longest time to come back that is taken for one, in seconds.
const RETRY_AFTER_MAX_S: f64 = 86_400.0;

/// The milliseconds of a `Retry-After` in seconds; none where it is a date, or no time within a day.
pub fn retry_after_ms(text: &str) -> Option<u64> {
    let seconds: f64 = text.trim().parse().ok()?;
    let is_sound = (0.0..=RETRY_AFTER_MAX_S).contains(&seconds);
    is_sound.then_some((seconds * 1_000.0) as u64)
}

/// Milliseconds since the Unix epoch. Used for names and records, never to decide safety.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
