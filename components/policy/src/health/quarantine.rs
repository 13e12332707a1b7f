//! Quarantine of requests that crash targets ("queries of death"). A crash breaks off all requests that run on the target, and
//! does not show which of them caused it; over several crashes only the cause was present each time. The smallest set of
//! requests that explains the crashes is withheld, found by greedy set cover (Chvátal 1979), as in group testing.

use prelude::{Acquittal, AcquittedBy, RequestKey, TargetEnd, TargetId};
use std::collections::{HashMap, HashSet, VecDeque};

/// Targets that a request must have crashed, not counting those that a stronger suspect explains, before it is withheld. One
/// or two crashes also hit innocent requests on the same target. In 200 series of five crashes on nine engines with 64 slots
/// each, with half of the interrupted requests retried at once, 285 of 64,000 interrupted innocent requests reached three
/// crashes, and none was withheld (test `innocent_requests_are_rarely_withheld`).
const CRASHES_MIN: usize = 3;
/// How long a request is withheld after its last crash: the fault is fixed by a new release of the target, and until then
/// each attempt costs all requests on the same target.
const WITHHELD_MS: u64 = 600_000;
/// How long a crash counts. Within this time, one more crash withholds a released request again at once.
const CRASH_MEMORY_MS: u64 = 3_600_000;
/// Crashes within this time after an answer to the same request have another cause: a target survived the request.
const ANSWER_GRACE_MS: u64 = 10_000;
/// Suspected requests kept. The one with the fewest crashes is evicted first, and among equals the one whose last
/// crash is oldest.
const SUSPECTS_MAX: usize = 1_024;
/// Crashes kept for each suspected request.
const CRASHES_MAX: usize = 8;
/// Recently answered requests kept.
const ANSWERS_MAX: usize = 2_048;

/// A withheld request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WithheldRequest {
    /// The request.
    pub request: RequestKey,
    /// Targets that it crashed, up to the number that is kept.
    pub crashes: usize,
    /// How much longer it is withheld.
    pub remaining_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    target: TargetId,
    ran_ms: u32,
    at_ms: u64,
}

/// The crashes during one request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: Vec<Crash>,
    /// Crashes up to this time do not count. Crashes before the start of this box have the time 0.
    cleared_to_ms: Option<u64>,
}

impl Suspect {
    fn counted_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes
            .iter()
            .filter(|crash| self.cleared_to_ms.is_none_or(|to_ms| crash.at_ms > to_ms))
    }

    fn last_crash_ms(&self) -> u64 {
        self.counted_crashes()
            .map(|crash| crash.at_ms)
            .max()
            .unwrap_or(0)
    }

    /// The longest time it had run when a target crashed. The request that causes a crash has usually just started.
    fn longest_run_ms(&self) -> u32 {
        self.counted_crashes()
            .map(|crash| crash.ran_ms)
            .max()
            .unwrap_or(0)
    }

    /// Adds a crash. Returns whether it was unknown.
    fn insert(&mut self, crash: Crash) -> bool {
        if let Some(known) = self
            .crashes
            .iter_mut()
            .find(|known| known.target == crash.target)
        {
            // Several attempts or boxes report the same crash: the earliest report is the most accurate.
            known.at_ms = known.at_ms.min(crash.at_ms);
            known.ran_ms = known.ran_ms.min(crash.ran_ms);
            return false;
        }
        if self.crashes.len() >= CRASHES_MAX {
            let oldest = self
                .crashes
                .iter()
                .enumerate()
                .min_by_key(|(_, crash)| crash.at_ms);
            if let Some(at) = oldest.map(|(at, _)| at) {
                self.crashes.swap_remove(at);
            }
        }
        self.crashes.push(crash);
        true
    }
}

/// Requests that were answered recently.
#[derive(Clone, Debug, Default)]
struct RecentAnswers {
    answered_ms: HashMap<RequestKey, u64>,
    in_order: VecDeque<(RequestKey, u64)>,
}

impl RecentAnswers {
    fn insert(&mut self, request: RequestKey, now_ms: u64) {
        self.answered_ms.insert(request, now_ms);
        self.in_order.push_back((request, now_ms));
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
}

/// Suspected and withheld requests, by the crashes that all boxes report. It reads no clock: all times are on the clock of its
/// own box.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<RequestKey, Suspect>,
    withheld: HashSet<RequestKey>,
    recent_answers: RecentAnswers,
}

impl Quarantine {
    /// Records that a target crashed during a request, observed by this box or reported by another. Returns whether the crash
    /// was unknown.
    pub fn record_crash(&mut self, reported: &TargetEnd, now_ms: u64) -> bool {
        let at_ms = now_ms.saturating_sub(u64::from(reported.age_ms));
        if now_ms >= at_ms + CRASH_MEMORY_MS {
            return false;
        }
        self.evict_weakest(reported.request);
        let answered_ms = self
            .recent_answers
            .answered_ms
            .get(&reported.request)
            .copied();
        let suspect = self.suspects.entry(reported.request).or_default();
        if let Some(answered_ms) = answered_ms {
            suspect.cleared_to_ms = suspect
                .cleared_to_ms
                .max(Some(answered_ms + ANSWER_GRACE_MS));
        }
        let is_new = suspect.insert(Crash {
            target: reported.target,
            ran_ms: reported.ran_ms,
            at_ms,
        });
        self.update_withheld(now_ms);
        is_new
    }

    /// Records a successful answer to a request. Returns the acquittal to send to other boxes, if they may suspect the request.
    pub fn record_answer(&mut self, request: RequestKey, now_ms: u64) -> Option<Acquittal> {
        self.recent_answers.insert(request, now_ms);
        self.acquit(request, AcquittedBy::Answer, now_ms)
    }

    /// Discards all crashes of a request so far, on behalf of an operator. Returns the acquittal to send to other boxes; none if
    /// the request is not suspected.
    pub fn clear(&mut self, request: RequestKey, now_ms: u64) -> Option<Acquittal> {
        self.acquit(request, AcquittedBy::Operator, now_ms)
    }

    fn acquit(&mut self, request: RequestKey, by: AcquittedBy, now_ms: u64) -> Option<Acquittal> {
        let suspect = self.suspects.get(&request)?;
        suspect.counted_crashes().next()?;
        let acquittal = Acquittal {
            request,
            by,
            age_ms: 0,
        };
        self.apply_acquittal(&acquittal, now_ms);
        Some(acquittal)
    }

    /// Applies an acquittal: earlier crashes no longer count against its request. Returns whether any crash was discarded.
    pub fn apply_acquittal(&mut self, acquittal: &Acquittal, now_ms: u64) -> bool {
        let at_ms = now_ms.saturating_sub(u64::from(acquittal.age_ms));
        let to_ms = match acquittal.by {
            // Crashes shortly after an answer have another cause too.
            AcquittedBy::Answer => at_ms + ANSWER_GRACE_MS,
            AcquittedBy::Operator => at_ms,
        };
        let Some(suspect) = self.suspects.get_mut(&acquittal.request) else {
            return false;
        };
        let is_new = suspect.counted_crashes().any(|crash| crash.at_ms <= to_ms);
        suspect.cleared_to_ms = suspect.cleared_to_ms.max(Some(to_ms));
        self.update_withheld(now_ms);
        is_new
    }

    /// Whether a request must not be sent to any target.
    pub fn is_withheld(&self, request: RequestKey, now_ms: u64) -> bool {
        self.withheld.contains(&request) && self.remaining_ms(request, now_ms) > 0
    }

    fn remaining_ms(&self, request: RequestKey, now_ms: u64) -> u64 {
        let last_crash_ms = self
            .suspects
            .get(&request)
            .map_or(0, Suspect::last_crash_ms);
        (last_crash_ms + WITHHELD_MS).saturating_sub(now_ms)
    }

    /// The withheld requests, sorted by key.
    pub fn withheld_requests(&self, now_ms: u64) -> Vec<WithheldRequest> {
        let row = |request: &RequestKey| WithheldRequest {
            request: *request,
            crashes: self.suspects[request].counted_crashes().count(),
            remaining_ms: self.remaining_ms(*request, now_ms),
        };
        let rows = self.withheld.iter().map(row);
        let mut rows: Vec<WithheldRequest> = rows.filter(|row| row.remaining_ms > 0).collect();
        rows.sort_unstable_by_key(|row| row.request);
        rows
    }

    /// The crashes that count against a request, in the form that is sent to other boxes.
    pub fn crashes_of(&self, request: RequestKey, now_ms: u64) -> Vec<TargetEnd> {
        let Some(suspect) = self.suspects.get(&request) else {
            return Vec::new();
        };
        let age_ms = |at_ms: u64| u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX);
        let reported = |crash: &Crash| TargetEnd {
            request,
            target: crash.target,
            ran_ms: crash.ran_ms,
            age_ms: age_ms(crash.at_ms),
        };
        suspect.counted_crashes().map(reported).collect()
    }

    /// The crashes of all withheld requests, for a box that has just started.
    pub fn crashes_of_withheld(&self, now_ms: u64) -> Vec<TargetEnd> {
        let requests = self.withheld.iter();
        requests
            .flat_map(|request| self.crashes_of(*request, now_ms))
            .collect()
    }

    /// Recomputes the withheld requests by greedy set cover. Of two requests with equally many crashes, the one with the shorter
    /// runs comes first.
    fn update_withheld(&mut self, now_ms: u64) {
        self.suspects.retain(|_, suspect| {
            suspect
                .crashes
                .retain(|crash| now_ms < crash.at_ms + CRASH_MEMORY_MS);
            !suspect.crashes.is_empty()
        });
        let crash_count = |suspect: &Suspect| suspect.counted_crashes().count();
        let suspects = self
            .suspects
            .iter()
            .filter(|(_, suspect)| crash_count(suspect) >= CRASHES_MIN);
        let mut candidates: Vec<(&RequestKey, &Suspect)> = suspects.collect();
        candidates.sort_unstable_by_key(|(request, suspect)| {
            let by_crashes = std::cmp::Reverse(crash_count(suspect));
            (by_crashes, suspect.longest_run_ms(), **request)
        });
        let mut explained: HashSet<TargetId> = HashSet::new();
        let mut withheld = HashSet::new();
        for (request, suspect) in candidates {
            let targets = suspect.counted_crashes().map(|crash| crash.target);
            let unexplained: Vec<TargetId> = targets
                .filter(|target| !explained.contains(target))
                .collect();
            if unexplained.len() >= CRASHES_MIN {
                explained.extend(unexplained);
                withheld.insert(*request);
            }
        }
        self.withheld = withheld;
    }

    /// Evicts the weakest suspect if there is no room for one more.
    fn evict_weakest(&mut self, request: RequestKey) {
        if self.suspects.len() < SUSPECTS_MAX || self.suspects.contains_key(&request) {
            return;
        }
        let weakest = self.suspects.iter().min_by_key(|(request, suspect)| {
            (
                suspect.counted_crashes().count(),
                suspect.last_crash_ms(),
                **request,
            )
        });
        if let Some(weakest) = weakest.map(|(request, _)| *request) {
            self.suspects.remove(&weakest);
        }
    }
}

#[cfg(test)]
#[path = "quarantine_tests.rs"]
mod tests;
