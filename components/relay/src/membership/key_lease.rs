//! Duration and renewal interval of the lease on a box's key in the store. Peers detect by their calls whether a box is alive;
//! its key only lets boxes find it that know no peer yet. The renewal interval therefore grows with the number of boxes, so that
//! the store load of the whole fleet stays constant, as with the reads of the box list.

use platform::Lease;
use std::time::Duration;

/// Renewal interval in a small fleet, in seconds.
const RENEW_INTERVAL_S: u64 = 20;
/// Longest renewal interval, in seconds.
const RENEW_INTERVAL_MAX_S: u64 = 300;
/// Renewal intervals in one lease: two renewals may be lost.
const RENEWALS_PER_LEASE: u64 = 3;
/// Longest lease that the platform grants, in seconds.
const LEASE_MAX_S: u64 = 600;

/// Duration and renewal interval of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct KeyTerms {
    renew_interval_s: u64,
}

impl KeyTerms {
    /// The terms with the shortest lease, those of a small fleet.
    pub const SHORTEST: Self = Self {
        renew_interval_s: RENEW_INTERVAL_S,
    };

    /// The terms for a fleet in which each box polls the store `interval_factor` times less often than in a small one.
    pub fn for_factor(interval_factor: u64) -> Self {
        let renew_interval_s = RENEW_INTERVAL_S * interval_factor;
        Self {
            renew_interval_s: renew_interval_s.min(RENEW_INTERVAL_MAX_S),
        }
    }

    pub fn renew_interval(self) -> Duration {
        Duration::from_secs(self.renew_interval_s)
    }

    pub fn lease_s(self) -> u64 {
        (self.renew_interval_s * RENEWALS_PER_LEASE).min(LEASE_MAX_S)
    }

    /// Whether these terms are so much shorter than the wanted ones that a new lease costs less than renewing this one.
    pub fn is_too_short_for(self, wanted: Self) -> bool {
        self.renew_interval_s * 2 < wanted.renew_interval_s
    }
}

/// A lease that this box holds, with its terms.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldLease {
    pub lease: Lease,
    pub terms: KeyTerms,
}

impl HeldLease {
    /// A lease left by a previous incarnation of this box. Its duration is not recorded anywhere, so the shortest is assumed.
    pub fn from_previous_incarnation(lease: Lease) -> Self {
        Self {
            lease,
            terms: KeyTerms::SHORTEST,
        }
    }
}

#[cfg(test)]
#[path = "key_lease_tests.rs"]
mod tests;
