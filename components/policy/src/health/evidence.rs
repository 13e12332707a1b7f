//! Evidence on what crashes targets: the crashes during requests with each suspect, and when each suspect was last answered.
//! Times are on the clock of the box, and negative before its start.

use super::causes::SIMULTANEOUS_MS;
use prelude::{RunId, Suspect, TargetId};
use std::collections::{HashMap, VecDeque};

/// Crashes kept for each suspect.
const CRASHES_MAX: usize = 8;
/// Targets of earlier crashes kept for each suspect.
const FORGOTTEN_MAX: usize = 64;
/// Interrupted runs kept for each crash.
const RUNS_MAX: usize = 64;
/// Recently answered suspects kept.
pub(super) const ANSWERS_MAX: usize = 2_048;
/// Crashes of a request within this time after its answer have another cause: a target survived the request.
pub(super) const ANSWER_GRACE_MS: i64 = 10_000;

/// A crash during requests with one suspect.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub target: TargetId,
    /// The interrupted runs with the suspect, sorted.
    pub runs: Vec<RunId>,
    /// How long the latest of them had run.
    pub ran_ms: u32,
    /// The last millisecond of the clock in which it may have been.
    pub at_ms: i64,
}

impl Crash {
    /// Merges another report of the same crash. Returns whether it names runs that were not known.
    fn merge(&mut self, other: Crash) -> bool {
        // Several attempts or boxes report the same crash, none as earlier than it was.
        self.at_ms = self.at_ms.min(other.at_ms);
        self.ran_ms = self.ran_ms.min(other.ran_ms);
        let known = self.runs.clone();
        self.runs.extend(other.runs);
        self.sort_runs();
        self.runs != known
    }

    fn sort_runs(&mut self) {
        self.runs.sort_unstable();
        self.runs.dedup();
        self.runs.truncate(RUNS_MAX);
    }
}

/// The crashes during requests with one suspect.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    /// Sorted by time when they were added.
    pub crashes: Vec<Crash>,
    /// Targets whose crashes were dropped for others. Another box may still report them.
    forgotten: VecDeque<TargetId>,
    /// Crashes before this time do not count.
    pub cleared_to_ms: Option<i64>,
}

impl Evidence {
    /// The crashes that count against the suspect.
    pub fn counted_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes
            .iter()
            .filter(|crash| self.cleared_to_ms.is_none_or(|to_ms| crash.at_ms >= to_ms))
    }

    /// The number of crashes that count.
    pub fn count(&self) -> usize {
        self.counted_crashes().count()
    }

    /// The time of the last crash; none without crashes.
    pub fn last_crash_ms(&self) -> Option<i64> {
        self.counted_crashes().map(|crash| crash.at_ms).max()
    }

    /// The longest time it had run when a target crashed. The request that causes a crash has usually just started.
    pub fn longest_run_ms(&self) -> u32 {
        self.counted_crashes()
            .map(|crash| crash.ran_ms)
            .max()
            .unwrap_or(0)
    }

    /// Discards the crashes before a time.
    pub fn clear_to(&mut self, at_ms: i64) {
        self.cleared_to_ms = self.cleared_to_ms.max(Some(at_ms));
    }

    /// Adds a crash. Returns whether it, or one of its runs, was unknown.
    pub fn insert(&mut self, mut crash: Crash) -> bool {
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.target == crash.target) {
            return known.merge(crash);
        }
        if self.forgotten.contains(&crash.target) {
            return false;
        }
        let added = crash.target;
        crash.sort_runs();
        self.crashes.push(crash);
        self.crashes
            .sort_unstable_by_key(|crash| (crash.at_ms, crash.target));
        self.forget_excess() != Some(added)
    }

    /// Drops a crash if there are too many. Returns its target.
    fn forget_excess(&mut self) -> Option<TargetId> {
        if self.crashes.len() <= CRASHES_MAX {
            return None;
        }
        let target = self.crashes.remove(self.most_redundant()).target;
        self.forgotten.push_back(target);
        if self.forgotten.len() > FORGOTTEN_MAX {
            self.forgotten.pop_front();
        }
        Some(target)
    }

    /// The position of the crash that says least, of crashes sorted by time: one of the two that are closest, as simultaneous
    /// crashes count as one, or else the oldest.
    fn most_redundant(&self) -> usize {
        let gaps = self
            .crashes
            .windows(2)
            .map(|pair| pair[1].at_ms - pair[0].at_ms);
        let closest = gaps.enumerate().min_by_key(|(_, gap_ms)| *gap_ms);
        match closest {
            // The last crash decides until when requests are withheld.
            Some((at, gap_ms)) if gap_ms < SIMULTANEOUS_MS => {
                at + usize::from(at + 2 < self.crashes.len())
            }
            _ => 0,
        }
    }
}

/// Suspects that were answered recently.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentAnswers {
    pub answered_ms: HashMap<Suspect, i64>,
    pub in_order: VecDeque<(Suspect, i64)>,
}

impl RecentAnswers {
    pub fn insert(&mut self, suspect: Suspect, now_ms: i64) {
        self.answered_ms.insert(suspect, now_ms);
        self.in_order.push_back((suspect, now_ms));
        while let Some((oldest, at_ms)) = self.in_order.front().copied() {
            if self.in_order.len() <= ANSWERS_MAX && now_ms < at_ms + ANSWER_GRACE_MS {
                break;
            }
            self.in_order.pop_front();
            if self.answered_ms.get(&oldest) == Some(&at_ms) {
                self.answered_ms.remove(&oldest);
            }
        }
    }

    /// The time to which a recent answer clears a suspect.
    pub fn clears_to_ms(&self, suspect: Suspect) -> Option<i64> {
        let answered_ms = *self.answered_ms.get(&suspect)?;
        Some(cleared_by_answer_ms(suspect, answered_ms))
    }
}

/// The time up to which an answer at `answered_ms` clears a suspect. A prompt part may become fatal at any time, as with a new
/// release of the targets, so its answer speaks for the past only.
pub(super) fn cleared_by_answer_ms(suspect: Suspect, answered_ms: i64) -> i64 {
    match suspect {
        Suspect::Request(_) => answered_ms + ANSWER_GRACE_MS,
        Suspect::Part(_) => answered_ms,
    }
}
