//! Requests under which targets end, one after another. A target that ends takes with it whatever runs there, and each of
//! these requests looks alike; over several ends the one that was there every time stands out. The fewest requests that
//! explain the ends are withheld: the greedy cover of a set (Chvátal 1979), as in finding the group of a failing test.

use prelude::{Acquittal, AcquittedBy, RequestKey, TargetEnd, TargetId};
use std::collections::{HashMap, HashSet, VecDeque};

/// Targets that must have ended under a request, and under no better suspect, before it is withheld. One or two ends befall
/// whoever stands beside. In 200 rows of five ends at nine engines with 64 places each, of 64,000 innocent requests that lost
/// their engine, half of them asked again at once, 285 stood at three ends or more and none was withheld (test
/// `innocents_are_seldom_withheld`).
const ENDS_MIN: usize = 3;
/// How long a request is withheld after the last end under it: targets are mended by a release, and each try until then
/// costs all that runs beside it.
const WITHHELD_MS: u64 = 600_000;
/// How long ends are remembered: within this time one more withholds the request again at once.
const KEPT_MS: u64 = 3_600_000;
/// Ends so soon after an answer to the same request have another cause: targets survive it.
const SERVED_MS: u64 = 10_000;
/// Requests of which ends are remembered. Those with the fewest ends give way, the oldest first.
const REQUESTS_MAX: usize = 1_024;
/// Ends that are remembered of one request.
const ENDS_MAX: usize = 8;
/// Answered requests that are remembered.
const SERVED_MAX: usize = 2_048;

/// A request that is withheld.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WithheldRequest {
    /// The request.
    pub request: RequestKey,
    /// Targets that ended under it, as far as they are remembered.
    pub crashes: usize,
    /// How long it is withheld still.
    pub remaining_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct End {
    target: TargetId,
    ran_ms: u32,
    at_ms: u64,
}

/// What is known of one request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    ends: Vec<End>,
    /// Ends until then are not put down to it. What ended before this box started counts as of its start, 0.
    acquitted_to_ms: Option<u64>,
}

impl Suspect {
    fn counted(&self) -> impl Iterator<Item = &End> {
        self.ends
            .iter()
            .filter(|end| self.acquitted_to_ms.is_none_or(|to_ms| end.at_ms > to_ms))
    }

    fn last_ms(&self) -> u64 {
        self.counted().map(|end| end.at_ms).max().unwrap_or(0)
    }

    /// The longest that it had run when a target ended: whoever ends targets has mostly just begun.
    fn longest_ran_ms(&self) -> u32 {
        self.counted().map(|end| end.ran_ms).max().unwrap_or(0)
    }

    /// Notes an end. Says whether it is news.
    fn add(&mut self, end: End) -> bool {
        if let Some(known) = self
            .ends
            .iter_mut()
            .find(|known| known.target == end.target)
        {
            // Several tries, or several boxes, saw the same end: the earliest word on it is nearest to it.
            known.at_ms = known.at_ms.min(end.at_ms);
            known.ran_ms = known.ran_ms.min(end.ran_ms);
            return false;
        }
        if self.ends.len() >= ENDS_MAX {
            let oldest = self
                .ends
                .iter()
                .enumerate()
                .min_by_key(|(_, end)| end.at_ms);
            if let Some(at) = oldest.map(|(at, _)| at) {
                self.ends.swap_remove(at);
            }
        }
        self.ends.push(end);
        true
    }
}

/// The answers that came lately, by request.
#[derive(Clone, Debug, Default)]
struct ServedLately {
    at_ms: HashMap<RequestKey, u64>,
    in_order: VecDeque<(RequestKey, u64)>,
}

impl ServedLately {
    fn note(&mut self, request: RequestKey, now_ms: u64) {
        self.at_ms.insert(request, now_ms);
        self.in_order.push_back((request, now_ms));
        while let Some((oldest, at_ms)) = self.in_order.front().copied() {
            if self.in_order.len() <= SERVED_MAX && now_ms < at_ms + SERVED_MS {
                break;
            }
            self.in_order.pop_front();
            if self.at_ms.get(&oldest) == Some(&at_ms) {
                self.at_ms.remove(&oldest);
            }
        }
    }
}

/// What boxes know together of requests under which targets ended. It reads no clock: all times are those of its box.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<RequestKey, Suspect>,
    withheld: HashSet<RequestKey>,
    served: ServedLately,
}

impl Quarantine {
    /// Notes that a target ended under a request, by this box's sight or another's word. Says whether that is news.
    pub fn record_crash(&mut self, told: &TargetEnd, now_ms: u64) -> bool {
        let at_ms = now_ms.saturating_sub(u64::from(told.age_ms));
        if now_ms >= at_ms + KEPT_MS {
            return false;
        }
        self.make_room(told.request);
        let served_ms = self.served.at_ms.get(&told.request).copied();
        let suspect = self.suspects.entry(told.request).or_default();
        if let Some(served_ms) = served_ms {
            suspect.acquitted_to_ms = suspect.acquitted_to_ms.max(Some(served_ms + SERVED_MS));
        }
        let is_news = suspect.add(End {
            target: told.target,
            ran_ms: told.ran_ms,
            at_ms,
        });
        self.judge(now_ms);
        is_news
    }

    /// Notes that a request was answered well. Gives what other boxes are to be told, where they may suspect it.
    pub fn record_answer(&mut self, request: RequestKey, now_ms: u64) -> Option<Acquittal> {
        self.served.note(request, now_ms);
        self.acquit(request, AcquittedBy::Answer, now_ms)
    }

    /// Forgets, by an operator's word, what ended under a request so far. Gives what other boxes are to be told; none where
    /// nothing is known of it.
    pub fn clear(&mut self, request: RequestKey, now_ms: u64) -> Option<Acquittal> {
        self.acquit(request, AcquittedBy::Operator, now_ms)
    }

    fn acquit(&mut self, request: RequestKey, by: AcquittedBy, now_ms: u64) -> Option<Acquittal> {
        let suspect = self.suspects.get(&request)?;
        suspect.counted().next()?;
        let acquittal = Acquittal {
            request,
            by,
            age_ms: 0,
        };
        self.apply_acquittal(&acquittal, now_ms);
        Some(acquittal)
    }

    /// Takes the word that ends are not put down to a request. Says whether it changed anything.
    pub fn apply_acquittal(&mut self, told: &Acquittal, now_ms: u64) -> bool {
        let at_ms = now_ms.saturating_sub(u64::from(told.age_ms));
        let to_ms = match told.by {
            // Ends for a while after an answer have another cause too.
            AcquittedBy::Answer => at_ms + SERVED_MS,
            AcquittedBy::Operator => at_ms,
        };
        let Some(suspect) = self.suspects.get_mut(&told.request) else {
            return false;
        };
        let is_news = suspect.counted().any(|end| end.at_ms <= to_ms);
        suspect.acquitted_to_ms = suspect.acquitted_to_ms.max(Some(to_ms));
        self.judge(now_ms);
        is_news
    }

    /// Whether a request is not to be sent to any target now.
    pub fn is_withheld(&self, request: RequestKey, now_ms: u64) -> bool {
        self.withheld.contains(&request) && self.remaining_ms(request, now_ms) > 0
    }

    fn remaining_ms(&self, request: RequestKey, now_ms: u64) -> u64 {
        let last_ms = self.suspects.get(&request).map_or(0, Suspect::last_ms);
        (last_ms + WITHHELD_MS).saturating_sub(now_ms)
    }

    /// The requests that are withheld, in order.
    pub fn withheld_requests(&self, now_ms: u64) -> Vec<WithheldRequest> {
        let row = |request: &RequestKey| WithheldRequest {
            request: *request,
            crashes: self.suspects[request].counted().count(),
            remaining_ms: self.remaining_ms(*request, now_ms),
        };
        let rows = self.withheld.iter().map(row);
        let mut rows: Vec<WithheldRequest> = rows.filter(|row| row.remaining_ms > 0).collect();
        rows.sort_unstable_by_key(|row| row.request);
        rows
    }

    /// The ends that count against a request, as other boxes are told them.
    pub fn crashes_of(&self, request: RequestKey, now_ms: u64) -> Vec<TargetEnd> {
        let Some(suspect) = self.suspects.get(&request) else {
            return Vec::new();
        };
        let age_ms = |at_ms: u64| u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX);
        let told = |end: &End| TargetEnd {
            request,
            target: end.target,
            ran_ms: end.ran_ms,
            age_ms: age_ms(end.at_ms),
        };
        suspect.counted().map(told).collect()
    }

    /// The ends under all requests that are withheld, for a box that has just started.
    pub fn crashes_of_withheld(&self, now_ms: u64) -> Vec<TargetEnd> {
        let requests = self.withheld.iter();
        requests
            .flat_map(|request| self.crashes_of(*request, now_ms))
            .collect()
    }

    /// Finds the fewest requests that explain the ends. Of two that stood at the same ends, the one that had run shorter
    /// each time explains them.
    fn judge(&mut self, now_ms: u64) {
        self.suspects.retain(|_, suspect| {
            suspect.ends.retain(|end| now_ms < end.at_ms + KEPT_MS);
            !suspect.ends.is_empty()
        });
        let counted = |suspect: &Suspect| suspect.counted().count();
        let many = self
            .suspects
            .iter()
            .filter(|(_, suspect)| counted(suspect) >= ENDS_MIN);
        let mut candidates: Vec<(&RequestKey, &Suspect)> = many.collect();
        candidates.sort_unstable_by_key(|(request, suspect)| {
            let most_first = std::cmp::Reverse(counted(suspect));
            (most_first, suspect.longest_ran_ms(), **request)
        });
        let mut explained: HashSet<TargetId> = HashSet::new();
        let mut withheld = HashSet::new();
        for (request, suspect) in candidates {
            let targets = suspect.counted().map(|end| end.target);
            let alone: Vec<TargetId> = targets
                .filter(|target| !explained.contains(target))
                .collect();
            if alone.len() >= ENDS_MIN {
                explained.extend(alone);
                withheld.insert(*request);
            }
        }
        self.withheld = withheld;
    }

    /// Gives the suspect with the least against it up, where there are too many for one more.
    fn make_room(&mut self, request: RequestKey) {
        if self.suspects.len() < REQUESTS_MAX || self.suspects.contains_key(&request) {
            return;
        }
        let least = self.suspects.iter().min_by_key(|(request, suspect)| {
            (suspect.counted().count(), suspect.last_ms(), **request)
        });
        if let Some(least) = least.map(|(request, _)| *request) {
            self.suspects.remove(&least);
        }
    }
}

#[cfg(test)]
#[path = "quarantine_tests.rs"]
mod tests;
