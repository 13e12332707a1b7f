//! What a box lacks that hears what another one knows, and when it asks for it. News of a change is mostly on its
//! way: while lists change all the time, every box is behind some other one at every moment, and asking costs both a pass
//! over their lists.

use prelude::Version;

/// How long news may be on its way: a broadcast through three boxes, one of which is slow or does not answer.
const ON_ITS_WAY_MS: u64 = 300;

/// So many boxes at the most ask at once a box that has told all.
const ASK_TELLER_MAX: f64 = 24.0;

/// What another box knows and this one lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct MissingData {
    /// The operators' declarations, or their newest version.
    pub table: bool,
    /// Changes of targets, or the whole list.
    pub targets: bool,
    /// Other boxes.
    pub boxes: bool,
}

impl MissingData {
    /// Whether it lacks anything.
    pub fn any(self) -> bool {
        self.table || self.targets || self.boxes
    }

    /// What of it to ask of a box that has told all boxes something, where this one `knows_list`. All of so many `boxes` hear it
    /// at one time: who lacks the whole list or other boxes asks for them in an exchange, of which each box has its own, and of
    /// those that missed a change some ask at once, by a `lot` from 0 to 1.
    pub fn after_broadcast(self, knows_list: bool, boxes: usize, lot: f64) -> Self {
        let is_drawn = lot * (boxes as f64) < ASK_TELLER_MAX;
        Self {
            targets: self.targets && knows_list && is_drawn,
            boxes: false,
            ..self
        }
    }
}

/// Since when this box has lacked changes of targets.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MissingChanges {
    /// Up to which version another box had changes, and when this box heard so.
    noted: Option<(Version, u64)>,
}

impl MissingChanges {
    /// Whether to ask now, where another box has changes up to `told` and this one up to `own`.
    pub fn is_fetch_due(&mut self, own: Version, told: Version, now_ms: u64) -> bool {
        self.noted = self.noted.filter(|(version, _)| own < *version);
        if own >= told {
            return false;
        }
        let (_, since_ms) = *self.noted.get_or_insert((told, now_ms));
        now_ms >= since_ms + ON_ITS_WAY_MS
    }
}

#[cfg(test)]
#[path = "missing_tests.rs"]
mod tests;
