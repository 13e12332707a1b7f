//! Versions of what lies in the platform's store.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Bits of a version that hold the revision: at a million changes a second they last for nine years.
const REVISION_BITS: u32 = 48;
const REVISION_MOST: u64 = (1 << REVISION_BITS) - 1;

/// When something was written in the platform's store: in which era, and at which of its revisions. A store that comes back
/// from a copy loses what was written since the copy and gives the same revisions out again; its era rises with that, so that
/// a later version is newer whatever its revision. Ordered by era, then by revision. On the wire it is both, a byte more than a bare
/// revision while eras are few.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(into = "(u32, u64)", from = "(u32, u64)")]
pub struct Version(u64);

impl From<Version> for (u32, u64) {
    fn from(version: Version) -> Self {
        (version.era(), version.revision())
    }
}

impl From<(u32, u64)> for Version {
    fn from((era, revision): (u32, u64)) -> Self {
        Self::new(era, revision)
    }
}

impl Version {
    /// A version. Eras beyond 65,535 and revisions beyond 2^48 count as the last.
    pub fn new(era: u32, revision: u64) -> Self {
        let era = u64::from(era.min(u32::from(u16::MAX)));
        Self((era << REVISION_BITS) | revision.min(REVISION_MOST))
    }

    /// The era; 0 where the store tells none.
    pub fn era(self) -> u32 {
        (self.0 >> REVISION_BITS) as u32
    }

    /// The revision, which means nothing without the era.
    pub fn revision(self) -> u64 {
        self.0 & REVISION_MOST
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era(), self.revision())
    }
}
