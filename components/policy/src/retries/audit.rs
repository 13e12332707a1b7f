//! Checks recorded sends against a [`RetryLimit`], over all boxes.

use crate::retries::window::RetryLimit;

/// A window with more retries than its limit allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryExcess {
    /// Begin of the window, in ms.
    pub from_ms: u64,
    /// Retries in the window.
    pub retries: usize,
    /// Retries that the limit allows there.
    pub allowed: f64,
}

/// Returns the window that exceeds the limit most, if any does. Takes the times of all requests and of all retries, in ms and
/// sorted. Requests count in the window itself, in the one before, or in the one half a window before, whichever has most.
pub fn worst_retry_excess(
    limit: &RetryLimit,
    requests_ms: &[u64],
    retries_ms: &[u64],
) -> Option<RetryExcess> {
    let count = |times: &[u64], from_ms: i64| {
        let until_ms = from_ms + limit.window_ms as i64;
        let before = |bound_ms: i64| times.partition_point(|at_ms| (*at_ms as i64) < bound_ms);
        before(until_ms) - before(from_ms)
    };
    // Counts change only where a window begins or ends at a retry, or a counted window begins or ends at a request.
    let window_ms = limit.window_ms as i64;
    let offsets = [0, window_ms / 2, window_ms];
    let at_retries = retries_ms
        .iter()
        .flat_map(|at_ms| [*at_ms as i64, *at_ms as i64 + 1 - window_ms]);
    let at_requests = requests_ms.iter().flat_map(|at_ms| {
        let begins = offsets.map(|offset_ms| *at_ms as i64 + 1 + offset_ms);
        let ends = offsets.map(|offset_ms| *at_ms as i64 - window_ms + offset_ms);
        begins.into_iter().chain(ends)
    });
    let starts = at_retries.chain(at_requests);
    let excesses = starts.map(|from_ms| {
        let requests = offsets.map(|offset_ms| count(requests_ms, from_ms - offset_ms));
        let requests = requests.into_iter().max().unwrap_or_default();
        RetryExcess {
            from_ms: from_ms.max(0) as u64,
            retries: count(retries_ms, from_ms),
            allowed: limit.share * requests as f64 + limit.extra,
        }
    });
    let over = |excess: &RetryExcess| excess.retries as f64 - excess.allowed;
    excesses
        .filter(|excess| over(excess) > 0.0)
        .max_by(|one, other| over(one).total_cmp(&over(other)))
}

#[cfg(test)]
#[path = "audit_tests.rs"]
mod tests;
