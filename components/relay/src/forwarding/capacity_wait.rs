//! A call whose targets are all full waits in the box, as long as its answer can still be in time: a refusal would send
//! its caller away for longer than a call takes.

use crate::forwarding::call::target_query;
use crate::ingress::request::{IncomingRequest, ResolvedRoute};
use crate::state::Relay;
use settings::Mechanism;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Usual times of the route that are left of the goal when the wait ends, for the target to answer.
const RESERVED_BASELINES: f64 = 2.0;
/// How often a call looks for room though no call of this box ended: other boxes' calls end too.
const POLL_INTERVAL_MS: u64 = 25;

/// Until when a call may wait, so that it is answered by its goal.
fn latest_wait_end_ms(goal_ms: u64, baseline_ms: Option<f64>, arrived_ms: u64) -> u64 {
    let reserved_ms = baseline_ms.map_or(goal_ms as f64 / 2.0, |baseline_ms| {
        RESERVED_BASELINES * baseline_ms
    });
    arrived_ms + (goal_ms as f64 - reserved_ms).max(0.0) as u64
}

/// Until when a call may wait here.
pub(super) fn wait_deadline_ms(
    relay: &Relay,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
) -> u64 {
    let route = resolved.route();
    let baseline_ms = relay.baseline_ms(route);
    let deadline_ms = latest_wait_end_ms(route.answer_goal_ms, baseline_ms, incoming.arrived_ms);
    deadline_ms.min(incoming.deadline_ms(route))
}

/// Waits for a moment where all targets that a call was offered to hold as many bytes of requests as they may. False where
/// it may not wait on.
pub(super) async fn wait_for_byte_capacity(
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
) -> bool {
    let left_ms = wait_deadline_ms(relay, incoming, resolved).saturating_sub(relay.now_ms());
    if left_ms == 0 {
        slog::info!(relay.log, "targets hold enough"; "id" => incoming.id(),
            "service" => &*resolved.service().name, "bytes" => incoming.body.len(),
            "waited_ms" => relay.now_ms() - incoming.arrived_ms);
        return false;
    }
    let call_ended = relay.calls_ended.notified();
    let wait = Duration::from_millis(left_ms.min(POLL_INTERVAL_MS));
    // Whichever comes first, room or not is seen by the next offer.
    let _ = timeout(wait, call_ended).await;
    true
}

/// Waits while all targets of a call are full. After that it is offered to one of them all the same: whether it is
/// refused is the target's word.
pub(super) async fn wait_for_capacity(
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
) {
    if !relay.file().has(Mechanism::CallLimits)
        || !relay.all_targets_full(&target_query(relay, resolved))
    {
        return;
    }
    let deadline_ms = wait_deadline_ms(relay, incoming, resolved);
    let started_ms = relay.now_ms();
    if relay.all_backing_off_past(&target_query(relay, resolved), deadline_ms) {
        return;
    }
    loop {
        let left_ms = deadline_ms.saturating_sub(relay.now_ms());
        if left_ms == 0 {
            break;
        }
        let call_ended = relay.calls_ended.notified();
        let _ = timeout(
            Duration::from_millis(left_ms.min(POLL_INTERVAL_MS)),
            call_ended,
        )
        .await;
        if !relay.all_targets_full(&target_query(relay, resolved)) {
            // The next one in the queue may find room as well.
            relay.calls_ended.notify_one();
            break;
        }
    }
    let waited_ms = relay.now_ms() - started_ms;
    metrics::histogram!("shuntpier_call_waited_ms").record(waited_ms as f64);
    slog::info!(relay.log, "call waited for room"; "id" => incoming.id(),
        "waited_ms" => waited_ms, "most_ms" => deadline_ms.saturating_sub(started_ms));
}

#[cfg(test)]
#[path = "capacity_wait_tests.rs"]
mod tests;
