//! Delays a call whose targets are all full, as long as its answer can still meet its goal. A refusal would make the
//! caller wait for longer than a call takes.

use crate::forwarding::call::target_query;
use crate::ingress::request::{IncomingRequest, ResolvedRoute};
use crate::state::Relay;
use settings::Mechanism;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Multiple of the route's baseline latency that is reserved for the target to answer before the goal.
const RESERVED_BASELINES: f64 = 2.0;
/// Polling interval while no call of this box ends: calls of other boxes also free capacity.
const POLL_INTERVAL_MS: u64 = 25;

/// The longest time from its arrival that a call may wait and still be answered by its goal. Without a baseline, half of the
/// goal is reserved.
fn longest_wait_ms(goal_ms: u64, baseline_ms: Option<f64>) -> u64 {
    let reserved_ms = baseline_ms.map_or(goal_ms as f64 / 2.0, |baseline_ms| {
        RESERVED_BASELINES * baseline_ms
    });
    (goal_ms as f64 - reserved_ms).max(0.0) as u64
}

/// Until when a call may wait on this box, at most its deadline.
pub(super) fn wait_deadline_ms(
    relay: &Relay,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
) -> u64 {
    let route = resolved.route();
    let baseline_ms = relay.baseline_ms(route);
    let wait_ms = longest_wait_ms(route.answer_goal_ms, baseline_ms);
    let deadline_ms = incoming.arrival.plus_ms(wait_ms);
    deadline_ms.min(incoming.deadline_ms(route))
}

/// Waits until a call ends or for one polling interval, if all attempted targets are at their limit of request bytes.
/// Returns false if the call may not wait any longer.
pub(super) async fn wait_for_byte_capacity(
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
) -> bool {
    let left_ms = wait_deadline_ms(relay, incoming, resolved).saturating_sub(relay.now_ms());
    if left_ms == 0 {
        slog::info!(relay.log, "targets hold enough"; "id" => incoming.id(),
            "service" => &*resolved.service().name, "bytes" => incoming.body.len(),
            "waited_ms" => incoming.arrival.elapsed_ms(relay.now_ms()));
        return false;
    }
    let call_ended = relay.calls_ended.notified();
    let wait = Duration::from_millis(left_ms.min(POLL_INTERVAL_MS));
    // The next attempt checks for capacity, whatever ended the wait.
    let _ = timeout(wait, call_ended).await;
    true
}

/// Waits while all targets of a call are full. The call is attempted afterwards in any case, and the target decides
/// whether to refuse it.
pub(super) async fn wait_for_capacity(
    relay: &Rc<Relay>,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
) {
    if !relay.settings().has(Mechanism::CallLimits)
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
            // The next waiting call may find capacity as well.
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
