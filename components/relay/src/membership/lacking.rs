//! When a box that hears of a newer list of targets than it has asks for what it lacks. News of a change is mostly on its
//! way: while lists change all the time, every box is behind some other one at every moment, and asking costs both a pass
//! over their lists.

use prelude::Version;

/// How long news may be on its way: a broadcast through three boxes, one of which is slow or does not answer.
const ON_ITS_WAY_MS: u64 = 300;

/// What this box was found to lack.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Lacking {
    /// Up to which version another box had changes, and when this box heard so.
    noted: Option<(Version, u64)>,
}

impl Lacking {
    /// Whether to ask now, where another box has changes up to `told` and this one up to `own`.
    pub fn is_due(&mut self, own: Version, told: Version, now_ms: u64) -> bool {
        self.noted = self.noted.filter(|(version, _)| own < *version);
        if own >= told {
            return false;
        }
        let (_, since_ms) = *self.noted.get_or_insert((told, now_ms));
        now_ms >= since_ms + ON_ITS_WAY_MS
    }
}

#[cfg(test)]
#[path = "lacking_tests.rs"]
mod tests;
