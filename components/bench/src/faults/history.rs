//! What happened in a run, and the sum of many runs.

use crate::stats::Times;
use serde::Serialize;
use standins::{ServiceRun, StartRecord};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use trial::{CallOutcome, ChatResult};

/// A chat, as its caller saw it.
#[derive(Clone, Debug)]
pub struct ChatRecord {
    /// Its unique word.
    pub marker: String,
    /// Tokens that its answer has.
    pub output_tokens: u64,
    /// What came.
    pub result: ChatResult,
}

/// One request of a call, as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Its key.
    pub key: String,
    /// Its body.
    pub body: String,
    /// The box that was asked.
    pub at: SocketAddr,
    /// What came.
    pub outcome: CallOutcome,
}

/// An operator's change that was accepted.
#[derive(Clone, Debug)]
pub struct AcceptedChange {
    /// The revision.
    pub revision: u64,
    /// How long until every box that ran had it; none where that did not come about in the run.
    pub everywhere_ms: Option<u64>,
}

/// Revisions of one box's life, in the order in which they were seen.
#[derive(Clone, Debug, Default)]
pub struct SeenRevisions {
    /// The box and its life.
    pub name: String,
    /// Each revision that was seen.
    pub revisions: Vec<u64>,
}

/// A change of the settings as one operation on a register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegisterStep {
    /// Operator.
    pub process: usize,
    /// Expected revision.
    pub expected: u64,
    /// The revision at which it was accepted; none where it was not.
    pub accepted: Option<u64>,
    /// The revision that a read returned, for a read.
    pub read: Option<u64>,
    /// Order of the call among all calls and returns.
    pub called: usize,
    /// Order of the return.
    pub returned: usize,
}

/// An engine that left.
#[derive(Clone, Debug)]
pub struct Left {
    /// When, in Unix milliseconds.
    pub at_ms: u64,
    /// What it began to run, in all its time.
    pub starts: Vec<StartRecord>,
}

/// A box that was stopped by plan.
#[derive(Clone, Debug)]
pub struct Stopped {
    /// Its address for callers.
    pub callers: SocketAddr,
    /// Whether it ended by itself.
    pub ended: bool,
}

/// Everything that is known of a run.
#[derive(Clone, Debug, Default)]
pub struct RunHistory {
    /// Its seed.
    pub seed: u64,
    /// Faults by kind.
    pub faults: BTreeMap<String, u64>,
    /// Chats.
    pub chats: Vec<ChatRecord>,
    /// Calls.
    pub calls: Vec<CallRecord>,
    /// What workers ran.
    pub runs: Vec<ServiceRun>,
    /// What engines began, all lives together.
    pub starts: Vec<StartRecord>,
    /// Accepted changes.
    pub changes: Vec<AcceptedChange>,
    /// The branch's revision at the end.
    pub last_revision: u64,
    /// Revisions by box.
    pub seen: Vec<SeenRevisions>,
    /// Revisions at the end, of each box that runs.
    pub final_revisions: Vec<u64>,
    /// Operations on the settings, as on a register.
    pub register: Vec<RegisterStep>,
    /// Whether an operator did not learn what became of a change.
    pub register_in_doubt: bool,
    /// Engines that left.
    pub left: Vec<Left>,
    /// Boxes that were stopped.
    pub stopped: Vec<Stopped>,
    /// Boxes that were killed or paused, by their address for callers.
    pub broken_boxes: Vec<SocketAddr>,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub promise: &'static str,
    /// How.
    pub what: String,
}

/// Names of the promises.
pub mod promise {
    /// Every token once, in order, from one generation.
    pub const TOKENS: &str = "tokens_once_in_order";
    /// Each caller the whole answer to its own request.
    pub const WHOLE: &str = "whole_answer_to_own_request";
    /// "Not run" is true.
    pub const NOT_RUN: &str = "not_run_is_true";
    /// At most once.
    pub const ONCE: &str = "at_most_once";
    /// An answer that is replayed is the first.
    pub const SAME_ANSWER: &str = "same_answer_for_a_key";
    /// A leaving target gets no new work.
    pub const LEAVING: &str = "leaving_gets_no_new_work";
    /// A planned stop cuts off nothing.
    pub const STOP: &str = "planned_stop_cuts_nothing";
    /// Accepted settings are in force everywhere.
    pub const EVERYWHERE: &str = "settings_in_force_everywhere";
    /// Accepted settings never revert.
    pub const NEVER_REVERT: &str = "settings_never_revert";
    /// Changes are linearizable.
    pub const LINEARIZABLE: &str = "settings_linearizable";

    /// All of them.
    pub const ALL: [&str; 10] = [
        TOKENS,
        WHOLE,
        NOT_RUN,
        ONCE,
        SAME_ANSWER,
        LEAVING,
        STOP,
        EVERYWHERE,
        NEVER_REVERT,
        LINEARIZABLE,
    ];
}

/// The sum of all runs.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    runs: u64,
    requests: u64,
    faults: BTreeMap<String, u64>,
    violations: BTreeMap<&'static str, u64>,
    calls: u64,
    unknown: u64,
    not_run: u64,
    quiet_calls: u64,
    quiet_unknown: u64,
    chats: u64,
    incomplete: u64,
    refused: u64,
    recovery: BTreeMap<&'static str, Times>,
}

#[derive(Serialize)]
struct Figures {
    runs: u64,
    requests: u64,
    faults: BTreeMap<String, u64>,
    violations: BTreeMap<&'static str, u64>,
    unknown_share: f64,
    unknown_share_all_runs: f64,
    not_run_share: f64,
    incomplete_share: f64,
    refused_share: f64,
    recovery_p99_ms: BTreeMap<&'static str, f64>,
}

/// Faults that cost a call its answer for good.
const LOSES_OUTCOMES: [&str; 4] = ["box_killed", "box_paused", "replies_lost", "worker_stalled"];

impl Summary {
    /// Adds a run.
    pub fn add(&mut self, history: &RunHistory, violations: &[Violation]) {
        self.runs += 1;
        self.requests += (history.chats.len() + history.calls.len()) as u64;
        for (kind, count) in &history.faults {
            *self.faults.entry(kind.clone()).or_default() += count;
        }
        for name in promise::ALL {
            self.violations.entry(name).or_default();
        }
        for violation in violations {
            *self.violations.entry(violation.promise).or_default() += 1;
        }
        self.add_calls(history);
        self.add_chats(history);
        for everywhere_ms in history
            .changes
            .iter()
            .filter_map(|change| change.everywhere_ms)
        {
            self.recovery
                .entry("settings_everywhere")
                .or_default()
                .add_us(everywhere_ms * 1000);
        }
        for left in &history.left {
            let last_ms = left
                .starts
                .iter()
                .map(|start| start.at_ms)
                .max()
                .unwrap_or(0);
            let late_us = last_ms.saturating_sub(left.at_ms) * 1000;
            self.recovery
                .entry("leaving_last_new_work")
                .or_default()
                .add_us(late_us);
        }
    }

    fn add_calls(&mut self, history: &RunHistory) {
        let quiet = LOSES_OUTCOMES
            .iter()
            .all(|kind| !history.faults.contains_key(*kind));
        for call in &history.calls {
            let unknown = u64::from(matches!(call.outcome, CallOutcome::Unknown(_)));
            self.calls += 1;
            self.unknown += unknown;
            self.not_run += u64::from(matches!(call.outcome, CallOutcome::NotRun(_)));
            self.quiet_calls += u64::from(quiet);
            self.quiet_unknown += if quiet { unknown } else { 0 };
        }
    }

    fn add_chats(&mut self, history: &RunHistory) {
        use trial::ChatEnd;
        for chat in &history.chats {
            self.chats += 1;
            match &chat.result.end {
                ChatEnd::Failed(_) | ChatEnd::Lost(_) => self.incomplete += 1,
                ChatEnd::Refused(_) => self.refused += 1,
                ChatEnd::Whole | ChatEnd::Wrong(_) => {}
            }
            if chat.result.resumes > 0 && chat.result.is_whole() {
                let time_us = chat.result.resume_time.as_micros() as u64;
                self.recovery
                    .entry("stream_through_another_box")
                    .or_default()
                    .add_us(time_us);
            }
        }
    }

    /// Whether no promise was broken.
    pub fn is_clean(&self) -> bool {
        self.violations.values().all(|count| *count == 0)
    }

    /// Prints the figures.
    pub fn print(&self, json: bool) {
        let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
        let p99 = |(name, times): (&&'static str, &Times)| (*name, times.ms(99.0));
        let figures = Figures {
            runs: self.runs,
            requests: self.requests,
            faults: self.faults.clone(),
            violations: self.violations.clone(),
            unknown_share: share(self.quiet_unknown, self.quiet_calls),
            unknown_share_all_runs: share(self.unknown, self.calls),
            not_run_share: share(self.not_run, self.calls),
            incomplete_share: share(self.incomplete, self.chats),
            refused_share: share(self.refused, self.chats),
            recovery_p99_ms: self.recovery.iter().map(p99).collect(),
        };
        let value = serde_json::to_value(&figures).unwrap_or_default();
        if json {
            println!("{value}");
        } else {
            crate::stats::print_lines(&value);
        }
    }
}
