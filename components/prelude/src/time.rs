//! Time as the policies see it: milliseconds on a clock that never steps back.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock, read in milliseconds since it was made.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that reads zero now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Milliseconds since the clock was made.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Milliseconds since the Unix epoch. Used for names and records, never to decide safety.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
