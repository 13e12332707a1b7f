//! Load shedding: an overloaded box reports that it is not ready for a while if enough other boxes are ready (see
//! [`crate::membership::load_shedding`]). It still serves the requests that it has accepted.

use crate::ingress::lag::{LagMeter, is_late};
use crate::membership::load_shedding::shedding_until_ms;
use crate::state::Relay;
use settings::Mechanism;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Sampling interval of the loop after a late wake. It is random because a box that is scheduled in slices of 0.1 s would
/// otherwise be sampled only while it runs.
const LATE_WAKE_INTERVAL_MS: RangeInclusive<u64> = 50..=150;
/// Sampling interval after a wake on time. A shorter one would cost CPU time on every box.
const WAKE_INTERVAL_MS: RangeInclusive<u64> = 250..=750;
/// How often an overloaded box asks for permission to shed load.
const PERMISSION_INTERVAL_MS: u64 = 2_000;
/// While the box sheds load, one response in this many closes its channel, so that callers move to other boxes over some
/// seconds and not all at once.
const CLOSE_ONE_IN: u32 = 8;

/// Monitors the delay of the box's event loop for the lifetime of the process.
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
        let overloaded = meter.record_wake(late_ms) && relay.settings().has(Mechanism::StandBack);
        let now_ms = relay.now_ms();
        if overloaded != was_overloaded {
            slog::info!(relay.log, "box overrun"; "overrun" => overloaded,
                "late_ms_mean" => meter.mean_ms(), "requests" => relay.in_progress.get());
            metrics::gauge!("shuntpier_overrun").set(f64::from(u8::from(overloaded)));
            was_overloaded = overloaded;
        }
        if !overloaded {
            relay.sheds_load_until_ms.set(0);
        } else if now_ms >= next_request_ms && !relay.is_stopping() {
            next_request_ms = now_ms + PERMISSION_INTERVAL_MS;
            let requester = relay.clone();
            tokio::task::spawn_local(async move { requester.try_shed_load(now_ms).await });
        }
    }
}

impl Relay {
    async fn try_shed_load(self: &Rc<Self>, requested_ms: u64) {
        let allowed = self.request_load_shedding().await;
        let outcome = match allowed {
            true => "allowed",
            false => "denied",
        };
        metrics::counter!("shuntpier_stand_backs", "outcome" => outcome).increment(1);
        slog::info!(self.log, "box stands back"; "allowed" => allowed);
        let until_ms = match allowed {
            true => shedding_until_ms(requested_ms),
            false => 0,
        };
        self.sheds_load_until_ms.set(until_ms);
    }

    /// Whether this box currently accepts no new channels because it is overloaded and other boxes are not.
    pub(crate) fn is_shedding_load(&self) -> bool {
        self.now_ms() < self.sheds_load_until_ms.get()
    }

    /// Whether to close a caller's channel after a response, so that the caller moves to another box.
    pub(crate) fn should_close_channel(&self) -> bool {
        self.is_stopping()
            || (self.is_shedding_load() && rand::random::<u32>().is_multiple_of(CLOSE_ONE_IN))
    }
}
