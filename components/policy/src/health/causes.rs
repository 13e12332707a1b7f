//! The likeliest causes of crashes, by greedy set cover: the fewest suspects, each in the narrowest combination that explains
//! its crashes.
//!
//! Requests that crash targets may always share several prompt parts. Which of them is fatal is not known until a request with
//! only some of them is answered, so a cause is the combination of all parts that were present each time: other requests with
//! one of them are still sent, and their answers or crashes narrow the cause down.

use super::evidence::{Crash, Evidence};
use prelude::{RunId, Suspect, TargetId};
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

/// Crashes that a cause must explain, not counting those that a stronger one explains, before its requests are withheld. One
/// or two crashes also hit innocent requests on the same target.
pub(super) const CRASHES_MIN: usize = 3;
/// The same for a suspect that was present at all crashes of a cause: its other crashes show that the cause is too narrow.
const RELATED_CRASHES_MIN: usize = 2;
/// Crashes within this time count as one against a prompt part: many prompts share it, so it is present wherever targets fail
/// together, as with a rack.
pub(super) const SIMULTANEOUS_MS: i64 = 50;
/// Crashes of a suspect that a narrower cause may leave unexplained: a target may crash by chance.
const UNEXPLAINED_MAX: usize = 1;

/// A combination of suspects that explains crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Cause {
    /// One request, or prompt parts. Sorted.
    pub suspects: Vec<Suspect>,
    /// The parts of the request's own prompt; empty beside prompt parts.
    pub implied_parts: Vec<Suspect>,
    /// The crashes that it explains, and their times in ms.
    pub crashes: Vec<(TargetId, i64)>,
}

impl Cause {
    pub fn last_crash_ms(&self) -> i64 {
        self.crashes
            .iter()
            .map(|(_, at_ms)| *at_ms)
            .max()
            .unwrap_or(0)
    }

    /// Time between the first and the last crash.
    pub fn crashed_over_ms(&self) -> u64 {
        let first_ms = self.crashes.iter().map(|(_, at_ms)| *at_ms).min();
        self.last_crash_ms().abs_diff(first_ms.unwrap_or(0))
    }
}

/// The number of crashes that count against a suspect, by their times.
fn independent_crashes(suspect: &Suspect, times_ms: impl Iterator<Item = i64>) -> usize {
    if matches!(suspect, Suspect::Request(_)) {
        return times_ms.count();
    }
    let mut times_ms: Vec<i64> = times_ms.collect();
    times_ms.sort_unstable();
    let mut count = 0;
    let mut counted_to_ms = None;
    for at_ms in times_ms {
        if counted_to_ms.is_none_or(|to_ms| at_ms >= to_ms) {
            count += 1;
            counted_to_ms = Some(at_ms + SIMULTANEOUS_MS);
        }
    }
    count
}

/// A crash and the runs that contain all suspects of a combination.
#[derive(Clone, Debug)]
struct Support {
    target: TargetId,
    at_ms: i64,
    runs: Vec<RunId>,
}

impl From<&Crash> for Support {
    fn from(crash: &Crash) -> Self {
        Self {
            target: crash.target,
            at_ms: crash.at_ms,
            runs: crash.runs.clone(),
        }
    }
}

/// The causes of all crashes. Of two suspects with equally many crashes, the one whose last answer is older comes first, then
/// the one with the shorter runs.
pub(super) fn likely_causes(suspects: &HashMap<Suspect, Evidence>) -> Vec<Cause> {
    let is_candidate = |suspect: &Suspect, evidence: &Evidence| {
        let times_ms = evidence.counted_crashes().map(|crash| crash.at_ms);
        independent_crashes(suspect, times_ms) >= CRASHES_MIN
    };
    let candidates = suspects
        .iter()
        .filter(|(suspect, evidence)| is_candidate(suspect, evidence));
    let mut candidates: Vec<(&Suspect, &Evidence)> = candidates.collect();
    candidates.sort_unstable_by_key(|(suspect, evidence)| {
        let by_crashes = Reverse(evidence.count());
        let cleared_to_ms = evidence.cleared_to_ms;
        (
            by_crashes,
            cleared_to_ms,
            evidence.longest_run_ms(),
            **suspect,
        )
    });
    let mut explained: HashSet<TargetId> = HashSet::new();
    let mut causes: Vec<Cause> = Vec::new();
    for (suspect, evidence) in candidates {
        let unexplained: Vec<Support> = evidence
            .counted_crashes()
            .filter(|crash| !explained.contains(&crash.target))
            .map(Support::from)
            .collect();
        let crashes_min = match causes.iter().any(|cause| covers(evidence, cause)) {
            true => RELATED_CRASHES_MIN,
            false => CRASHES_MIN,
        };
        let times_ms = unexplained.iter().map(|crash| crash.at_ms);
        if independent_crashes(suspect, times_ms) >= crashes_min {
            let cause = narrowest_cause(*suspect, unexplained, suspects);
            explained.extend(cause.crashes.iter().map(|(target, _)| *target));
            causes.push(cause);
        }
    }
    causes
}

/// Whether a suspect was present at all crashes of a cause.
fn covers(evidence: &Evidence, cause: &Cause) -> bool {
    let has_crash = |target: &TargetId| {
        evidence
            .counted_crashes()
            .any(|crash| crash.target == *target)
    };
    cause.crashes.iter().all(|(target, _)| has_crash(target))
}

/// Combines a suspect with all others that were in the same runs at its crashes.
fn narrowest_cause(
    suspect: Suspect,
    crashes: Vec<Support>,
    suspects: &HashMap<Suspect, Evidence>,
) -> Cause {
    let mut combined = vec![suspect];
    let mut support = crashes;
    let support_min = CRASHES_MIN
        .max(support.len().saturating_sub(UNEXPLAINED_MAX))
        .min(support.len());
    let mut others: Vec<(Reverse<usize>, Suspect)> = suspects
        .iter()
        .filter(|(other, evidence)| **other != suspect && evidence.count() >= support_min)
        .map(|(other, evidence)| (Reverse(joint_support(&support, evidence).len()), *other))
        .filter(|(joint, _)| joint.0 >= support_min)
        .collect();
    others.sort_unstable();
    for (_, other) in others {
        let joint = joint_support(&support, &suspects[&other]);
        if joint.len() >= support_min {
            combined.push(other);
            support = joint;
        }
    }
    // A request has all parts of its own prompt.
    let (requests, parts): (Vec<Suspect>, Vec<Suspect>) = combined
        .into_iter()
        .partition(|suspect| matches!(suspect, Suspect::Request(_)));
    let (mut suspects, implied_parts) = match requests.is_empty() {
        true => (parts, Vec::new()),
        false => (requests, parts),
    };
    suspects.sort_unstable();
    Cause {
        suspects,
        implied_parts,
        crashes: support
            .iter()
            .map(|crash| (crash.target, crash.at_ms))
            .collect(),
    }
}

/// The crashes of a combination that also have a run with another suspect.
fn joint_support(support: &[Support], other: &Evidence) -> Vec<Support> {
    let joint = |crash: &Support| {
        let mut others = other.counted_crashes();
        let other = others.find(|other| other.target == crash.target)?;
        let mut joint = crash.clone();
        joint
            .runs
            .retain(|run| other.runs.binary_search(run).is_ok());
        (!joint.runs.is_empty()).then_some(joint)
    };
    support.iter().filter_map(joint).collect()
}
