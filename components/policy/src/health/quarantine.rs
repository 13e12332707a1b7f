//! Quarantine of requests and prompt parts that crash targets ("queries of death"). A crash breaks off all requests that run on
//! the target, and does not show which of them caused it; over several crashes only the cause was present each time. The
//! smallest set of suspects that explains the crashes is withheld, found by greedy set cover (Chvátal 1979), as in group
//! testing.
//!
//! Many requests share a prompt part, and several targets may fail at about the same time for another reason. So requests with
//! a suspected part are held until answers elsewhere can acquit it, and a single one is sent on trial later: the longer the
//! time over which the crashes came, the later.

use super::causes::{Cause, likely_causes};
use super::evidence::{Crash, Evidence, RecentAnswers, cleared_by_answer_ms};
use prelude::{Acquittal, AcquittedBy, PartKey, RequestKey, Suspect, TargetEnd};
use std::collections::HashMap;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// How long a request is withheld after its last crash: the fault is fixed by a new release of the target, and until then
/// each attempt costs all requests on the same target. Prompt parts are withheld no longer.
const WITHHELD_MS: i64 = 600_000;
/// How long a crash counts. Within this time, one more crash withholds a released request again at once.
const CRASH_MEMORY_MS: i64 = 3_600_000;
/// How long requests with suspected prompt parts are held for answers at other targets before they are withheld.
const DECISION_MS: i64 = 500;
/// How long a prompt part is withheld at least.
const PART_WITHHELD_MIN_MS: i64 = 2_000;
/// How long a prompt part is withheld, as a multiple of the time between its first and last crash. Crashes within a short time
/// may have another cause in common, such as the loss of a rack. A trial that crashes its target extends that time.
const PART_WITHHELD_FACTOR: i64 = 10;
/// Time between two trials. A trial has crashed its target or was answered by then.
const TRIAL_INTERVAL_MS: i64 = 5_000;
/// How long a trial may begin. Boxes differ by less than the rest of the interval in when they learned of a crash.
const TRIAL_WINDOW_MS: i64 = 2_500;
/// Clocks read whole milliseconds, so two readings are apart by up to one more or less than the times at which they were made.
const CLOCK_STEP_MS: i64 = 1;
/// Suspects kept. The one with the fewest crashes is evicted first, and among equals the one whose last crash is oldest.
const SUSPECTS_MAX: usize = 1_024;

/// Suspects whose requests are withheld.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WithheldCause {
    /// One request, or prompt parts: a request is withheld if its prompt contains all of them. Sorted.
    pub suspects: Vec<Suspect>,
    /// Targets that it crashed, up to the number that is kept.
    pub crashes: usize,
    /// Time between the first and the last of them, in ms.
    pub crashed_over_ms: u64,
    /// How much longer it is withheld at least, in ms.
    pub remaining_ms: u64,
}

impl fmt::Display for WithheldCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<String> = self.suspects.iter().map(Suspect::to_string).collect();
        f.write_str(&names.join("+"))
    }
}

/// What reported crashes change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordedCrashes {
    /// The reports of which something was unknown.
    pub new_crashes: Vec<TargetEnd>,
    /// The causes whose requests are no longer sent.
    pub new_causes: Vec<WithheldCause>,
}

/// A trial, the same on all boxes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Trial {
    /// The role of the boxes that send the trials of one cause, one after another.
    pub role: u64,
    /// The number of the trial.
    pub number: u64,
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineVerdict {
    /// It may be sent.
    Send,
    /// It is held until answers to other requests have had time to acquit its prompt parts.
    Held {
        /// For how long, in ms.
        remaining_ms: u64,
    },
    /// One box may send one such request to find out whether targets survive it.
    Trial(Trial),
    /// It must not be sent.
    Withheld,
}

/// A cause and since when it is known to this box.
#[derive(Clone, Debug)]
struct KnownCause {
    cause: Cause,
    found_ms: i64,
}

impl KnownCause {
    fn is_request(&self) -> bool {
        matches!(self.cause.suspects[..], [Suspect::Request(_)])
    }

    /// Until when its requests are withheld.
    fn withheld_to_ms(&self) -> i64 {
        let over_ms = self.cause.crashed_over_ms() as i64;
        let withheld_ms = match self.is_request() {
            true => WITHHELD_MS,
            false => (PART_WITHHELD_FACTOR * over_ms).clamp(PART_WITHHELD_MIN_MS, WITHHELD_MS),
        };
        self.cause.last_crash_ms() + withheld_ms
    }

    fn verdict(&self, now_ms: i64) -> QuarantineVerdict {
        let withheld_to_ms = self.withheld_to_ms();
        let held_to_ms = self.found_ms + DECISION_MS;
        match self.is_request() {
            true if now_ms < withheld_to_ms => QuarantineVerdict::Withheld,
            true => QuarantineVerdict::Send,
            false if now_ms < held_to_ms => QuarantineVerdict::Held {
                remaining_ms: (held_to_ms - now_ms) as u64,
            },
            false if now_ms < withheld_to_ms => QuarantineVerdict::Withheld,
            false => self.trial(now_ms - withheld_to_ms),
        }
    }

    /// The verdict at a time after its requests were withheld.
    fn trial(&self, elapsed_ms: i64) -> QuarantineVerdict {
        if elapsed_ms % TRIAL_INTERVAL_MS >= TRIAL_WINDOW_MS {
            return QuarantineVerdict::Withheld;
        }
        QuarantineVerdict::Trial(Trial {
            role: self.trial_role(),
            number: (elapsed_ms / TRIAL_INTERVAL_MS) as u64,
        })
    }

    fn trial_role(&self) -> u64 {
        let names: Vec<String> = self.cause.suspects.iter().map(Suspect::to_string).collect();
        xxh3_64(names.join("+").as_bytes())
    }

    fn concerns(&self, request: RequestKey, parts: &[PartKey]) -> bool {
        self.cause.suspects.iter().all(|suspect| match suspect {
            Suspect::Request(suspected) => *suspected == request,
            Suspect::Part(part) => parts.contains(part),
        })
    }
}

/// Suspects and the causes among them, by the crashes that all boxes report. It reads no clock: all times are on the clock of
/// its own box.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Suspect, Evidence>,
    causes: Vec<KnownCause>,
    recent_answers: RecentAnswers,
}

impl Quarantine {
    /// Records crashes of targets, observed by this box or reported by another.
    pub fn record_crashes(&mut self, reported: &[TargetEnd], now_ms: u64) -> RecordedCrashes {
        let before = self.withheld_causes(now_ms);
        let mut new_crashes = Vec::new();
        for crash in reported {
            if self.record(crash, now_ms) {
                new_crashes.push(crash.clone());
            }
        }
        self.update_causes(now_ms);
        let mut new_causes = self.withheld_causes(now_ms);
        new_causes.retain(|cause| before.iter().all(|known| known.suspects != cause.suspects));
        RecordedCrashes {
            new_crashes,
            new_causes,
        }
    }

    fn record(&mut self, reported: &TargetEnd, now_ms: u64) -> bool {
        let at_ms = time_at(now_ms, reported.age_ms);
        if i64::from(reported.age_ms) >= CRASH_MEMORY_MS {
            return false;
        }
        self.evict_weakest(reported.suspect);
        let cleared_to_ms = self.recent_answers.clears_to_ms(reported.suspect);
        let evidence = self.suspects.entry(reported.suspect).or_default();
        evidence.cleared_to_ms = evidence.cleared_to_ms.max(cleared_to_ms);
        evidence.insert(Crash {
            target: reported.target,
            runs: reported.runs.clone(),
            ran_ms: reported.ran_ms,
            at_ms,
        })
    }

    /// Records that targets answer requests with a suspect. Returns the acquittal to send to other boxes, if they may suspect
    /// it.
    pub fn record_answer(&mut self, suspect: Suspect, now_ms: u64) -> Option<Acquittal> {
        self.recent_answers.insert(suspect, time_at(now_ms, 0));
        self.acquit(suspect, AcquittedBy::Answer, now_ms)
    }

    /// The acquittal of a suspect that was answered recently, for a box that reports crashes.
    pub fn recent_acquittal(&self, suspect: Suspect, now_ms: u64) -> Option<Acquittal> {
        let answered_ms = *self.recent_answers.answered_ms.get(&suspect)?;
        Some(Acquittal {
            suspect,
            by: AcquittedBy::Answer,
            // At the most, as an answer from before a crash must not clear it.
            age_ms: age_ms(answered_ms - CLOCK_STEP_MS, now_ms),
        })
    }

    /// Discards all crashes so far of a suspect and of those that were present at the same crashes, on behalf of an operator.
    /// Returns the acquittals to send to other boxes; none if it is not suspected.
    pub fn clear(&mut self, suspect: Suspect, now_ms: u64) -> Vec<Acquittal> {
        let causes = self.causes.iter();
        let causes = causes.filter(|known| known.cause.suspects.contains(&suspect));
        let mut cleared: Vec<Suspect> = causes
            .flat_map(|known| {
                known
                    .cause
                    .suspects
                    .iter()
                    .chain(&known.cause.implied_parts)
            })
            .copied()
            .chain([suspect])
            .collect();
        cleared.sort_unstable();
        cleared.dedup();
        cleared
            .into_iter()
            .filter_map(|suspect| self.acquit(suspect, AcquittedBy::Operator, now_ms))
            .collect()
    }

    fn acquit(&mut self, suspect: Suspect, by: AcquittedBy, now_ms: u64) -> Option<Acquittal> {
        let evidence = self.suspects.get(&suspect)?;
        evidence.counted_crashes().next()?;
        let acquittal = Acquittal {
            suspect,
            by,
            age_ms: 0,
        };
        self.apply_acquittal(&acquittal, now_ms);
        Some(acquittal)
    }

    /// Applies an acquittal: earlier crashes no longer count against its suspect. Returns whether any crash was discarded.
    pub fn apply_acquittal(&mut self, acquittal: &Acquittal, now_ms: u64) -> bool {
        let at_ms = time_at(now_ms, acquittal.age_ms);
        let to_ms = match acquittal.by {
            AcquittedBy::Answer => cleared_by_answer_ms(acquittal.suspect, at_ms),
            AcquittedBy::Operator => at_ms + CLOCK_STEP_MS,
        };
        let Some(evidence) = self.suspects.get_mut(&acquittal.suspect) else {
            return false;
        };
        let is_new = evidence.counted_crashes().any(|crash| crash.at_ms < to_ms);
        evidence.clear_to(to_ms);
        self.update_causes(now_ms);
        is_new
    }

    /// Whether a request with these prompt parts may be sent to a target.
    pub fn verdict(
        &self,
        request: RequestKey,
        parts: &[PartKey],
        now_ms: u64,
    ) -> QuarantineVerdict {
        let concerned = self.causes.iter();
        let concerned = concerned.filter(|known| known.concerns(request, parts));
        let strictness = |verdict: &QuarantineVerdict| match verdict {
            QuarantineVerdict::Send => 0,
            QuarantineVerdict::Held { .. } => 1,
            QuarantineVerdict::Trial(_) => 2,
            QuarantineVerdict::Withheld => 3,
        };
        concerned
            .map(|known| known.verdict(time_at(now_ms, 0)))
            .max_by_key(strictness)
            .unwrap_or(QuarantineVerdict::Send)
    }

    /// Whether a request must not be sent to any target, whatever its prompt.
    pub fn is_withheld(&self, request: RequestKey, now_ms: u64) -> bool {
        self.verdict(request, &[], now_ms) == QuarantineVerdict::Withheld
    }

    /// Whether requests with a suspect are held or withheld.
    pub fn is_implicated(&self, suspect: Suspect, now_ms: u64) -> bool {
        self.causes.iter().any(|known| {
            known.cause.suspects.contains(&suspect)
                && known.verdict(time_at(now_ms, 0)) != QuarantineVerdict::Send
        })
    }

    /// The causes whose requests are not sent, sorted by suspects.
    pub fn withheld_causes(&self, now_ms: u64) -> Vec<WithheldCause> {
        let now_ms = time_at(now_ms, 0);
        let row = |known: &KnownCause| WithheldCause {
            suspects: known.cause.suspects.clone(),
            crashes: known.cause.crashes.len(),
            crashed_over_ms: known.cause.crashed_over_ms(),
            remaining_ms: (known.withheld_to_ms() - now_ms).max(0) as u64,
        };
        let withheld = |known: &&KnownCause| known.verdict(now_ms) != QuarantineVerdict::Send;
        let mut rows: Vec<WithheldCause> = self.causes.iter().filter(withheld).map(row).collect();
        rows.sort_unstable_by(|a, b| a.suspects.cmp(&b.suspects));
        rows
    }

    /// The crashes that count against a suspect, in the form that is sent to other boxes.
    pub fn crashes_of(&self, suspect: Suspect, now_ms: u64) -> Vec<TargetEnd> {
        let Some(evidence) = self.suspects.get(&suspect) else {
            return Vec::new();
        };
        let reported = |crash: &Crash| TargetEnd {
            suspect,
            target: crash.target,
            runs: crash.runs.clone(),
            ran_ms: crash.ran_ms,
            // At the least: boxes report crashes to and fro, and errors to the other side would add up.
            age_ms: age_ms(crash.at_ms + CLOCK_STEP_MS, now_ms),
        };
        evidence.counted_crashes().map(reported).collect()
    }

    /// The crashes of all withheld causes, for a box that has just started.
    pub fn crashes_of_withheld(&self, now_ms: u64) -> Vec<TargetEnd> {
        let withheld = self.withheld_causes(now_ms);
        let suspects = withheld.iter().flat_map(|cause| &cause.suspects);
        suspects
            .flat_map(|suspect| self.crashes_of(*suspect, now_ms))
            .collect()
    }

    /// Recomputes the causes. One that stays the same keeps the time since when it is known.
    fn update_causes(&mut self, now_ms: u64) {
        let now_ms = time_at(now_ms, 0);
        self.suspects.retain(|_, evidence| {
            evidence
                .crashes
                .retain(|crash| now_ms < crash.at_ms + CRASH_MEMORY_MS);
            !evidence.crashes.is_empty()
        });
        let before = std::mem::take(&mut self.causes);
        let found_ms = |cause: &Cause| {
            let mut known = before.iter();
            let known = known.find(|known| known.cause.suspects == cause.suspects);
            known.map_or(now_ms, |known| known.found_ms)
        };
        self.causes = likely_causes(&self.suspects)
            .into_iter()
            .map(|cause| KnownCause {
                found_ms: found_ms(&cause),
                cause,
            })
            .collect();
    }

    /// Evicts the weakest suspect if there is no room for one more.
    fn evict_weakest(&mut self, suspect: Suspect) {
        if self.suspects.len() < SUSPECTS_MAX || self.suspects.contains_key(&suspect) {
            return;
        }
        let weakest = self.suspects.iter().min_by_key(|(suspect, evidence)| {
            (evidence.count(), evidence.last_crash_ms(), **suspect)
        });
        if let Some(weakest) = weakest.map(|(suspect, _)| *suspect) {
            self.suspects.remove(&weakest);
        }
    }
}

/// The time of something that is `age_ms` old.
fn time_at(now_ms: u64, age_ms: u32) -> i64 {
    now_ms as i64 - i64::from(age_ms)
}

fn age_ms(at_ms: i64, now_ms: u64) -> u32 {
    u32::try_from(time_at(now_ms, 0) - at_ms).unwrap_or(0)
}

#[cfg(test)]
#[path = "quarantine_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "quarantine_parts_tests.rs"]
mod parts_tests;

#[cfg(test)]
#[path = "quarantine_load_tests.rs"]
mod load_tests;
