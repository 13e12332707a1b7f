//! Exponential backoff for retries.

use std::time::Duration;
use tokio::time::sleep;

/// Pause after the first failure.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// Longest pause. Peers send updates in the meantime, and every call to the store is billed, refused ones too.
const PAUSE_MAX: Duration = Duration::from_millis(1_600);

/// Longest pause for work that can wait: peers still know a box whose key has lapsed.
const LONG_PAUSE_MAX: Duration = Duration::from_millis(6_400);

/// A retry pause that doubles with each failure, up to a maximum.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    pause: Duration,
    pause_max: Duration,
}

impl Backoff {
    pub(crate) fn new() -> Self {
        Self {
            pause: PAUSE_MIN,
            pause_max: PAUSE_MAX,
        }
    }

    /// A backoff with a higher maximum, for work that can wait.
    pub(crate) fn with_long_pauses() -> Self {
        Self {
            pause_max: LONG_PAUSE_MAX,
            ..Self::new()
        }
    }

    /// Sleeps for the current pause and doubles the next one.
    pub(crate) async fn pause(&mut self) {
        sleep(self.next_pause()).await;
    }

    /// Returns the current pause and doubles the next one.
    pub(crate) fn next_pause(&mut self) -> Duration {
        let pause = self.pause;
        self.pause = (pause * 2).min(self.pause_max);
        pause
    }

    /// Whether nothing has failed since the last reset.
    pub(crate) fn is_reset(&self) -> bool {
        self.pause == PAUSE_MIN
    }

    /// Returns to the shortest pause, after a success.
    pub(crate) fn reset(&mut self) {
        self.pause = PAUSE_MIN;
    }
}
