//! Pauses that grow while something fails.

use std::time::Duration;
use tokio::time::sleep;

/// The first pause.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// The longest: news from peers fills the gap, and each call is paid for, refused ones too.
const PAUSE_MAX: Duration = Duration::from_millis(1_600);

/// Pauses that double with each failure.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff(Duration);

impl Backoff {
    pub(crate) fn new() -> Self {
        Self(PAUSE_MIN)
    }

    /// Waits, and makes the next pause longer.
    pub(crate) async fn pause(&mut self) {
        sleep(self.next()).await;
    }

    /// The next pause.
    pub(crate) fn next(&mut self) -> Duration {
        let pause = self.0;
        self.0 = (pause * 2).min(PAUSE_MAX);
        pause
    }

    /// Whether nothing has failed since the last success.
    pub(crate) fn is_fresh(&self) -> bool {
        self.0 == PAUSE_MIN
    }

    /// Begins anew, after a success.
    pub(crate) fn reset(&mut self) {
        self.0 = PAUSE_MIN;
    }
}
