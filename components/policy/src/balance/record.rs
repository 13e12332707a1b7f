//! All that a box knows of one target for plain calls.

use crate::balance::doubt::{FailedShare, RouteDoubts, SharedDoubt};
use crate::balance::limit::CallLimit;
use crate::balance::pace::{RoutePace, TargetPace};
use crate::balance::slowness::Slowness;

/// What all targets do with the calls of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteRecord {
    /// Their usual time.
    pub pace: RoutePace,
    /// How often they fail.
    pub failed: FailedShare,
}

/// What is known of one life of a target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallRecord {
    /// How fast it is beside the others.
    pub pace: TargetPace,
    /// How slow it is right now.
    pub slowness: Slowness,
    /// What it fails, by route.
    pub routes: RouteDoubts,
    /// How many calls of this box it bears at once.
    pub limit: CallLimit,
    /// That boxes got no answer.
    pub shared: SharedDoubt,
}

impl CallRecord {
    /// The time of a call, as a share of the usual time at an empty target, as far as it depends on the target alone.
    pub fn time_share(&self, now_ms: u64) -> f64 {
        let seen = self.pace.share(now_ms);
        // Not their product: the answers that were seen already hold a part of the slowness that it tells now.
        seen.max(self.slowness.share(now_ms))
    }
}
