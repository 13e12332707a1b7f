//! When a call that may run twice is sent to a second target beside the first.

/// Usual times that are left to the second try before the goal: nine in ten calls take less.
const SECOND_TIMES: f64 = 2.0;
/// Usual times after which a call is late: fewer than one in ten takes as long.
const LATE_TIMES: f64 = 2.2;
/// Share of the goal after which a second try is sent in any case.
const GOAL_SHARE: f64 = 0.8;

/// How long one target is waited for alone, given the goal and the route's usual time where it is known.
pub fn hedge_delay_ms(goal_ms: u64, baseline_ms: Option<f64>) -> u64 {
    let most_ms = goal_ms as f64 * GOAL_SHARE;
    let Some(baseline_ms) = baseline_ms else {
        return most_ms as u64;
    };
    let in_time_ms = goal_ms as f64 - SECOND_TIMES * baseline_ms;
    let late_ms = LATE_TIMES * baseline_ms;
    in_time_ms.max(late_ms).clamp(1.0, most_ms.max(1.0)) as u64
}

#[cfg(test)]
#[path = "hedge_tests.rs"]
mod tests;
