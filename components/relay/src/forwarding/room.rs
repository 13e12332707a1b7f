//! A call whose targets are all full waits in the box, as long as its answer can still be in time: a refusal would send
//! its caller away for longer than a call takes.

use crate::forwarding::call::asked;
use crate::ingress::request::{Incoming, Way};
use crate::state::Relay;
use settings::Mechanism;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Usual times of the route that are left of the goal when the wait ends, for the target to answer.
const KEPT_TIMES: f64 = 2.0;
/// How often a call looks for room though no call of this box ended: other boxes' calls end too.
const LOOK_EACH_MS: u64 = 25;

/// Until when a call may wait, so that it is answered by its goal.
fn wait_until_ms(goal_ms: u64, usual_ms: Option<f64>, came_ms: u64) -> u64 {
    let kept_ms = usual_ms.map_or(goal_ms as f64 / 2.0, |usual_ms| KEPT_TIMES * usual_ms);
    came_ms + (goal_ms as f64 - kept_ms).max(0.0) as u64
}

/// Until when a call may wait here.
pub(super) fn waits_until_ms(relay: &Relay, incoming: &Incoming, way: &Way) -> u64 {
    let route = way.route();
    let usual_ms = relay.usual_ms(route);
    let until_ms = wait_until_ms(route.answer_goal_ms, usual_ms, incoming.came_ms);
    until_ms.min(incoming.due_ms(route))
}

/// Waits for a moment where all targets that a call was offered to hold as many bytes of requests as they may. False where
/// it may not wait on.
pub(super) async fn wait_for_request_room(
    relay: &Rc<Relay>,
    incoming: &Incoming,
    way: &Way,
) -> bool {
    let left_ms = waits_until_ms(relay, incoming, way).saturating_sub(relay.now_ms());
    if left_ms == 0 {
        slog::info!(relay.log, "targets hold enough"; "id" => incoming.id(),
            "service" => &*way.service().name, "bytes" => incoming.body.len(),
            "waited_ms" => relay.now_ms() - incoming.came_ms);
        return false;
    }
    let ended = relay.calls_ended.notified();
    let wait = Duration::from_millis(left_ms.min(LOOK_EACH_MS));
    // Whichever comes first, room or not is seen by the next offer.
    let _ = timeout(wait, ended).await;
    true
}

/// Waits while all targets of a call are full. After that it is offered to one of them all the same: whether it is
/// refused is the target's word.
pub(super) async fn wait_for_room(relay: &Rc<Relay>, incoming: &Incoming, way: &Way) {
    if !relay.settings().has(Mechanism::CallLimits) || !relay.is_full(&asked(relay, way)) {
        return;
    }
    let until_ms = waits_until_ms(relay, incoming, way);
    let began_ms = relay.now_ms();
    if relay.all_back_off_beyond(&asked(relay, way), until_ms) {
        return;
    }
    loop {
        let left_ms = until_ms.saturating_sub(relay.now_ms());
        if left_ms == 0 {
            break;
        }
        let ended = relay.calls_ended.notified();
        let _ = timeout(Duration::from_millis(left_ms.min(LOOK_EACH_MS)), ended).await;
        if !relay.is_full(&asked(relay, way)) {
            // The next one in the queue may find room as well.
            relay.calls_ended.notify_one();
            break;
        }
    }
    let waited_ms = relay.now_ms() - began_ms;
    metrics::histogram!("shuntpier_call_waited_ms").record(waited_ms as f64);
    slog::info!(relay.log, "call waited for room"; "id" => incoming.id(),
        "waited_ms" => waited_ms, "most_ms" => until_ms.saturating_sub(began_ms));
}

#[cfg(test)]
#[path = "room_tests.rs"]
mod tests;
