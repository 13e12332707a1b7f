//! Which data a peer has and this box is missing, and when to fetch it. A missing change usually arrives by broadcast: while
//! lists keep changing, every box is always behind some other one, and a fetch costs both a pass over their lists.

use prelude::Version;

/// How long a broadcast may take to arrive: it passes through three boxes, one of which is slow or does not answer.
const BROADCAST_DELAY_MS: u64 = 300;

/// Largest expected number of boxes that fetch at once from a box that broadcast to all.
const MAX_CONCURRENT_FETCHES: f64 = 24.0;

/// What another box has and this one is missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct MissingData {
    /// The operators' declarations in their newest version.
    pub table: bool,
    /// Changes of targets, or the whole target list.
    pub targets: bool,
    /// Boxes that this one has not met.
    pub boxes: bool,
}

impl MissingData {
    /// Whether anything is missing.
    pub fn any(self) -> bool {
        self.table || self.targets || self.boxes
    }

    /// The part to fetch at once from the sender of a broadcast, where `knows_list` says whether this box has a target list. All
    /// `boxes` receive a broadcast at the same time, so the whole list and unknown boxes are left to the periodic exchanges, which
    /// are spread over time, and of the boxes that missed a change only a random sample fetches, by the `random` number in 0..1.
    pub fn after_broadcast(self, knows_list: bool, boxes: usize, random: f64) -> Self {
        let is_sampled = random * (boxes as f64) < MAX_CONCURRENT_FETCHES;
        Self {
            targets: self.targets && knows_list && is_sampled,
            boxes: false,
            ..self
        }
    }
}

/// Since when this box has been missing changes of targets.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MissingChanges {
    /// A newer version that a peer reported, and the time of that report in ms.
    first_report: Option<(Version, u64)>,
}

impl MissingChanges {
    /// Whether to fetch now, where a peer reports changes up to `reported` and this box has those up to `own`.
    pub fn is_fetch_due(&mut self, own: Version, reported: Version, now_ms: u64) -> bool {
        self.first_report = self.first_report.filter(|(version, _)| own < *version);
        if own >= reported {
            return false;
        }
        let (_, since_ms) = *self.first_report.get_or_insert((reported, now_ms));
        now_ms >= since_ms + BROADCAST_DELAY_MS
    }
}

#[cfg(test)]
#[path = "missing_tests.rs"]
mod tests;
