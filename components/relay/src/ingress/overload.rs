//! A box that is overrun is not ready for a while, if others are: see [`crate::membership::stand_back`]. What it has
//! taken it serves.

use crate::ingress::lag::{LagMeter, is_late};
use crate::membership::stand_back::holds_until_ms;
use crate::state::Relay;
use settings::Mechanism;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// How often the loop is looked at after a wake that was late. Drawn anew each time: a box that gets its processor a
/// tenth of a second at a time would else be looked at whenever it has it.
const LATE_WAKE_INTERVAL_MS: RangeInclusive<u64> = 50..=150;
/// The same after one that was not: more wakes would cost processor time on every box.
const WAKE_INTERVAL_MS: RangeInclusive<u64> = 250..=750;
/// How often an overrun box asks whether it may stand back.
const PERMISSION_INTERVAL_MS: u64 = 2_000;
/// One answer in so many closes its channel while the box stands back: callers go over in some seconds, not all at once.
const CLOSE_ONE_IN: u32 = 8;

/// Watches the box's own loop for as long as the box lives.
pub(crate) async fn run_overload_monitor(relay: Rc<Relay>) {
    let mut meter = LagMeter::default();
    let mut next_request_ms = 0;
    let mut was_overloaded = false;
    let mut was_late = false;
    loop {
        let interval_ms = match was_late {
            true => LATE_WAKE_INTERVAL_MS,
            false => WAKE_INTERVAL_MS,
        };
        let due = Instant::now() + Duration::from_millis(rand::random_range(interval_ms));
        sleep_until(due).await;
        let late_ms = due.elapsed().as_millis() as u64;
        metrics::histogram!("shuntpier_loop_late_ms").record(late_ms as f64);
        was_late = is_late(late_ms);
        let overloaded = meter.record_wake(late_ms) && relay.file().has(Mechanism::StandBack);
        let now_ms = relay.now_ms();
        if overloaded != was_overloaded {
            slog::info!(relay.log, "box overrun"; "overrun" => overloaded,
                "late_ms_mean" => meter.mean_ms(), "requests" => relay.in_progress.get());
            metrics::gauge!("shuntpier_overrun").set(f64::from(u8::from(overloaded)));
            was_overloaded = overloaded;
        }
        if !overloaded {
            relay.stands_back_until_ms.set(0);
        } else if now_ms >= next_request_ms && !relay.is_stopping() {
            next_request_ms = now_ms + PERMISSION_INTERVAL_MS;
            let requester = relay.clone();
            tokio::task::spawn_local(async move { requester.request_load_shedding(now_ms).await });
        }
    }
}

impl Relay {
    async fn request_load_shedding(self: &Rc<Self>, requested_ms: u64) {
        let allowed = self.asks_to_stand_back().await;
        let outcome = match allowed {
            true => "allowed",
            false => "denied",
        };
        metrics::counter!("shuntpier_stand_backs", "outcome" => outcome).increment(1);
        slog::info!(self.log, "box stands back"; "allowed" => allowed);
        let until_ms = match allowed {
            true => holds_until_ms(requested_ms),
            false => 0,
        };
        self.stands_back_until_ms.set(until_ms);
    }

    /// Whether this box takes no new channels for now, as it is overrun and others are not.
    pub(crate) fn is_shedding_load(&self) -> bool {
        self.now_ms() < self.stands_back_until_ms.get()
    }

    /// Whether the channel of an answer is closed after it, so that its caller finds another box.
    pub(crate) fn should_close_channel(&self) -> bool {
        self.is_stopping()
            || (self.is_shedding_load() && rand::random::<u32>().is_multiple_of(CLOSE_ONE_IN))
    }
}
