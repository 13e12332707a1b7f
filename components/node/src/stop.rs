//! A planned stop: no new work, roles move at once, what is in progress ends in its own time.

use crate::shared::{Node, lock};
use crate::spread::spread_own_card;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long the last answers have to leave after the last stream or call ended.
const LAST_BYTES: Duration = Duration::from_secs(5);

impl Node {
    /// Stops the box. Returns when nothing is in progress, or when the longest planned stop is over.
    pub async fn stop(&self) {
        let shared = &self.0;
        if shared.leaving.swap(true, Ordering::SeqCst) {
            shared.closed.cancelled().await;
            return;
        }
        slog::info!(shared.log, "box stops");
        lock(&shared.members).set_leaving();
        spread_own_card(shared);
        // The balancer still sends requests until it has seen that this box is not ready.
        tokio::time::sleep(Duration::from_millis(shared.limits().balancer_delay_ms)).await;
        shared.stop.cancel();
        shared.work.close();
        let limit = Duration::from_millis(shared.limits().stop_limit_ms);
        if tokio::time::timeout(limit, shared.work.wait())
            .await
            .is_err()
        {
            let cut = shared.work.len();
            slog::warn!(shared.log, "the longest planned stop is over"; "cut" => cut);
        }
        shared.closed.cancel();
        let _ = tokio::time::timeout(LAST_BYTES, shared.callers_served.cancelled()).await;
        slog::info!(shared.log, "box stopped");
    }

    /// Bytes exchanged with peers and calls made to them so far.
    pub fn control_traffic(&self) -> (u64, u64) {
        let traffic = &self.0.traffic;
        (traffic.total_bytes(), traffic.calls.load(Ordering::Relaxed))
    }

    /// Has the box's Unix clock step, for tests.
    pub fn step_clock(&self, ms: i64) {
        self.0.clock.step_unix(ms);
    }

    /// Streams in progress.
    pub fn open_streams(&self) -> u64 {
        self.0.open_streams.load(Ordering::Relaxed)
    }
}
