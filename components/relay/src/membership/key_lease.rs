//! For how long the key of a box is leased, and how often that is renewed. Whether a box is there is told by its peers, who
//! call it; its key only lets those find it that know nobody yet. What all boxes ask the store for so does not grow with
//! their number, as how often they read each other's keys does not.

use platform::Lease;
use std::time::Duration;

/// How often the lease is renewed where boxes are few.
const RENEW_EACH_S: u64 = 20;
/// The longest time from one renewal to the next.
const RENEW_EACH_MAX_S: u64 = 300;
/// Renewals within a lease: two may be lost.
const RENEWALS: u64 = 3;
/// The longest lease that the platform grants.
const LEASE_MAX_S: u64 = 600;

/// The times of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct KeyTerms {
    renew_each_s: u64,
}

impl KeyTerms {
    /// The shortest that any box takes.
    pub const SHORTEST: Self = Self {
        renew_each_s: RENEW_EACH_S,
    };

    /// Those of a box that reads the others' keys so many times less often than one among few.
    pub fn for_factor(interval_factor: u64) -> Self {
        let renew_each_s = RENEW_EACH_S * interval_factor;
        Self {
            renew_each_s: renew_each_s.min(RENEW_EACH_MAX_S),
        }
    }

    pub fn renew_each(self) -> Duration {
        Duration::from_secs(self.renew_each_s)
    }

    pub fn lease_s(self) -> u64 {
        (self.renew_each_s * RENEWALS).min(LEASE_MAX_S)
    }

    /// Whether these are so much shorter than others that a new lease costs less than going on with it.
    pub fn is_short_of(self, wanted: Self) -> bool {
        self.renew_each_s * 2 < wanted.renew_each_s
    }
}

/// A lease that this box holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldLease {
    pub lease: Lease,
    pub terms: KeyTerms,
}

impl HeldLease {
    /// One that a former life of this box has left: nobody says for how long it was taken.
    pub fn of_former_life(lease: Lease) -> Self {
        Self {
            lease,
            terms: KeyTerms::SHORTEST,
        }
    }
}

#[cfg(test)]
#[path = "key_lease_tests.rs"]
mod tests;
