//! Delay after which a call that may run twice is also sent to a second target (hedged request).

/// Time left before the goal for the second attempt, in multiples of the baseline latency: nine in ten calls take less.
const SECOND_ATTEMPT_BASELINES: f64 = 2.0;
/// Multiple of the baseline latency after which a call is late: fewer than one in ten take as long.
const LATE_BASELINES: f64 = 2.2;
/// Share of the goal after which the second attempt starts in any case.
const MAX_GOAL_SHARE: f64 = 0.8;

/// How long to wait for the first target alone, given the goal for the answer and the route's baseline latency, if known.
pub fn hedge_delay_ms(goal_ms: u64, baseline_ms: Option<f64>) -> u64 {
    let max_ms = goal_ms as f64 * MAX_GOAL_SHARE;
    let Some(baseline_ms) = baseline_ms else {
        return max_ms as u64;
    };
    let latest_start_ms = goal_ms as f64 - SECOND_ATTEMPT_BASELINES * baseline_ms;
    let late_ms = LATE_BASELINES * baseline_ms;
    latest_start_ms.max(late_ms).clamp(1.0, max_ms.max(1.0)) as u64
}

#[cfg(test)]
#[path = "hedge_tests.rs"]
mod tests;
