//! Pauses that grow while something fails.

use std::time::Duration;
use tokio::time::sleep;

/// The first pause.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// The longest: news from peers fills the gap, and each call is paid for, refused ones too.
const PAUSE_MAX: Duration = Duration::from_millis(1_600);

/// The longest for what can wait: a box whose key lapses is still known to its peers.
const LONG_PAUSE_MAX: Duration = Duration::from_millis(6_400);

/// Pauses that double with each failure.
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

    /// Pauses that grow longer, for what can wait.
    pub(crate) fn with_long_pauses() -> Self {
        Self {
            pause_max: LONG_PAUSE_MAX,
            ..Self::new()
        }
    }

    /// Waits, and makes the next pause longer.
    pub(crate) async fn pause(&mut self) {
        sleep(self.next_pause()).await;
    }

    /// The next pause.
    pub(crate) fn next_pause(&mut self) -> Duration {
        let pause = self.pause;
        self.pause = (pause * 2).min(self.pause_max);
        pause
    }

    /// Whether nothing has failed since the last success.
    pub(crate) fn is_reset(&self) -> bool {
        self.pause == PAUSE_MIN
    }

    /// Begins anew, after a success.
    pub(crate) fn reset(&mut self) {
        self.pause = PAUSE_MIN;
    }
}
