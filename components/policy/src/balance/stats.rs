//! All that a box knows of one target for plain calls.

use crate::balance::failures::{FailureRate, RouteFailures, SharedSuspicion};
use crate::balance::latency::{RouteLatency, TargetLatency};
use crate::balance::limit::ConcurrencyLimit;
use crate::balance::slowness::Slowness;

/// What all targets do with the calls of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteStats {
    /// Their usual time.
    pub latency: RouteLatency,
    /// How often they fail.
    pub failures: FailureRate,
}

/// What is known of one life of a target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetStats {
    /// How fast it is beside the others.
    pub latency: TargetLatency,
    /// How slow it is right now.
    pub slowness: Slowness,
    /// What it fails, by route.
    pub route_failures: RouteFailures,
    /// How many calls of this box it bears at once.
    pub limit: ConcurrencyLimit,
    /// That boxes got no answer.
    pub suspicion: SharedSuspicion,
}

impl TargetStats {
    /// The time of a call, as a share of the usual time at an empty target, as far as it depends on the target alone.
    pub fn latency_ratio(&self, now_ms: u64) -> f64 {
        let seen = self.latency.ratio(now_ms);
        // Not their product: the answers that were seen already hold a part of the slowness that it tells now.
        seen.max(self.slowness.latency_ratio(now_ms))
    }
}
