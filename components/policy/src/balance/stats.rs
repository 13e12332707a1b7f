//! Statistics that a box keeps of routes and targets to balance plain calls.

use crate::balance::failures::{FailureRate, RouteFailures, SharedSuspicion};
use crate::balance::latency::{RouteLatency, TargetLatency};
use crate::balance::limit::ConcurrencyLimit;
use crate::balance::slowness::Slowness;

/// Statistics of one route over all targets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteStats {
    /// Mean latency of its calls.
    pub latency: RouteLatency,
    /// How often its calls fail.
    pub failures: FailureRate,
}

/// Statistics of one incarnation of a target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetStats {
    /// Latency of this box's calls, relative to the baseline of their routes.
    pub latency: TargetLatency,
    /// The latest report of how slow it is.
    pub slowness: Slowness,
    /// Its failure rate by route.
    pub route_failures: RouteFailures,
    /// Limit on this box's concurrent calls there.
    pub limit: ConcurrencyLimit,
    /// Unanswered calls of this box and of others.
    pub suspicion: SharedSuspicion,
}

impl TargetStats {
    /// Expected latency of a call relative to the baseline of its route, without queueing.
    pub fn latency_ratio(&self, now_ms: u64) -> f64 {
        let observed = self.latency.ratio(now_ms);
        // The maximum, not the product: the observed latencies already contain a part of the reported slowness.
        observed.max(self.slowness.latency_ratio(now_ms))
    }
}
