//! The service-level burn report: how fast each account uses up the share of requests that may be bad,
//! over several windows (multi-window burn rates, "The Site Reliability Workbook", ch. 5), and which
//! owner, target and reason burn most.

use prelude::{AccountId, TargetId};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// Windows of the report, in minutes.
const WINDOWS_MIN: [u64; 3] = [5, 60, 360];
const MINUTE_MS: u64 = 60_000;
/// Rows of the list of what burns most.
const CAUSES_SHOWN: usize = 10;
/// Pairs of target and reason that are counted for one account.
const CAUSES_MAX: usize = 64;

/// Why a request was bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BadReason {
    /// The first token came late.
    FirstToken,
    /// Tokens came with long gaps.
    TokenGap,
    /// It stalled.
    Stall,
    /// It was refused.
    Refused,
    /// The answer is not whole.
    Incomplete,
}

impl BadReason {
    /// The word used in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FirstToken => "first_token",
            Self::TokenGap => "token_gap",
            Self::Stall => "stall",
            Self::Refused => "refused",
            Self::Incomplete => "incomplete",
        }
    }
}

/// What an account's requests must keep.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    /// Name of the account.
    pub account_name: String,
    /// Name of its owner.
    pub owner_name: String,
    /// Share of requests that must be good.
    pub good_share: f64,
    /// Bound on the time to the first token.
    pub first_token_ms: u64,
    /// Bound on the gap between tokens, for 95 gaps in 100.
    pub token_gap_ms: u64,
    /// Bound on the time beyond that gap, summed over an answer.
    pub stall_ms: u64,
}

/// One request that ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// The account.
    pub account: AccountId,
    /// Where it ran; none where it did not.
    pub target: Option<TargetId>,
    /// Time to the first token; none where none came.
    pub first_token_ms: Option<u64>,
    /// Gaps between tokens.
    pub gaps: u64,
    /// Gaps longer than the objective.
    pub long_gaps: u64,
    /// Time beyond the objective's gap.
    pub stall_ms: u64,
    /// Whether it was refused.
    pub refused: bool,
    /// Whether the answer was not whole.
    pub incomplete: bool,
}

impl Sample {
    /// The first reason for which the request was bad, if it was.
    pub fn badness(&self, objective: &Objective) -> Option<BadReason> {
        let late = self
            .first_token_ms
            .is_some_and(|ms| ms > objective.first_token_ms);
        let reasons = [
            (self.refused, BadReason::Refused),
            (self.incomplete, BadReason::Incomplete),
            (self.stall_ms > objective.stall_ms, BadReason::Stall),
            (late, BadReason::FirstToken),
            (self.long_gaps * 20 > self.gaps, BadReason::TokenGap),
        ];
        reasons
            .into_iter()
            .find(|(bad, _)| *bad)
            .map(|(_, reason)| reason)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Minute {
    number: u64,
    total: u64,
    bad: u64,
}

#[derive(Clone, Debug)]
struct AccountRecord {
    objective: Objective,
    minutes: VecDeque<Minute>,
    causes: HashMap<(Option<TargetId>, BadReason), u64>,
}

impl AccountRecord {
    fn minute(&mut self, number: u64) -> &mut Minute {
        let newest = self.minutes.back().map_or(0, |minute| minute.number);
        if self.minutes.is_empty() || newest < number {
            self.minutes.push_back(Minute {
                number,
                ..Minute::default()
            });
        }
        let oldest = number.saturating_sub(WINDOWS_MIN[WINDOWS_MIN.len() - 1]);
        while self
            .minutes
            .front()
            .is_some_and(|minute| minute.number < oldest)
        {
            self.minutes.pop_front();
        }
        let last = self.minutes.len() - 1;
        &mut self.minutes[last]
    }

    fn window(&self, now_minute: u64, length_min: u64) -> (u64, u64) {
        let since = (now_minute + 1).saturating_sub(length_min);
        let inside = self.minutes.iter().filter(|minute| minute.number >= since);
        inside.fold((0, 0), |sum, minute| {
            (sum.0 + minute.total, sum.1 + minute.bad)
        })
    }
}

/// Keeps the samples of one box.
#[derive(Clone, Debug, Default)]
pub struct BurnRecorder {
    accounts: HashMap<AccountId, AccountRecord>,
}

/// Burn over one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Length of the window.
    pub window_min: u64,
    /// Requests in it.
    pub total: u64,
    /// Bad requests in it.
    pub bad: u64,
    /// How many times faster than allowed the share of bad requests is used up.
    pub burn_rate: f64,
}

/// One account's burn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountBurn {
    /// Name of the account.
    pub account: String,
    /// Name of its owner.
    pub owner: String,
    /// Share of requests that must be good.
    pub good_share: f64,
    /// Burn over each window, shortest first.
    pub windows: Vec<WindowBurn>,
}

/// A cause of burn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cause {
    /// Name of the account.
    pub account: String,
    /// Name of its owner.
    pub owner: String,
    /// Where the requests ran; none where they did not.
    pub target: Option<String>,
    /// Why they were bad.
    pub reason: BadReason,
    /// How many.
    pub bad: u64,
}

/// The report of one box, or of several together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Accounts, the fastest burning first.
    pub accounts: Vec<AccountBurn>,
    /// What burns most.
    pub causes: Vec<Cause>,
}

impl BurnRecorder {
    /// Takes a request in.
    pub fn record(&mut self, sample: &Sample, objective: &Objective, now_unix_ms: u64) {
        let record = self
            .accounts
            .entry(sample.account)
            .or_insert_with(|| AccountRecord {
                objective: objective.clone(),
                minutes: VecDeque::new(),
                causes: HashMap::new(),
            });
        if record.objective != *objective {
            record.objective = objective.clone();
        }
        let badness = sample.badness(objective);
        let minute = record.minute(now_unix_ms / MINUTE_MS);
        minute.total += 1;
        let Some(reason) = badness else { return };
        minute.bad += 1;
        let cause = (sample.target, reason);
        if record.causes.len() < CAUSES_MAX || record.causes.contains_key(&cause) {
            *record.causes.entry(cause).or_default() += 1;
        }
    }

    /// The report at a time, with targets named by `target_name`.
    pub fn report(&self, now_unix_ms: u64, target_name: impl Fn(TargetId) -> String) -> BurnReport {
        let now_minute = now_unix_ms / MINUTE_MS;
        let mut report = BurnReport::default();
        for record in self.accounts.values() {
            let objective = &record.objective;
            let windows = WINDOWS_MIN.map(|length_min| {
                let (total, bad) = record.window(now_minute, length_min);
                window_burn(length_min, total, bad, objective.good_share)
            });
            report.accounts.push(AccountBurn {
                account: objective.account_name.clone(),
                owner: objective.owner_name.clone(),
                good_share: objective.good_share,
                windows: windows.to_vec(),
            });
            let causes = record.causes.iter().map(|((target, reason), bad)| Cause {
                account: objective.account_name.clone(),
                owner: objective.owner_name.clone(),
                target: target.map(&target_name),
                reason: *reason,
                bad: *bad,
            });
            report.causes.extend(causes);
        }
        order(&mut report);
        report
    }
}

fn window_burn(window_min: u64, total: u64, bad: u64, good_share: f64) -> WindowBurn {
    let allowed = (1.0 - good_share).max(f64::EPSILON);
    let share = bad as f64 / total.max(1) as f64;
    WindowBurn {
        window_min,
        total,
        bad,
        burn_rate: share / allowed,
    }
}

fn order(report: &mut BurnReport) {
    let fastest = |burn: &AccountBurn| burn.windows.first().map_or(0.0, |w| w.burn_rate);
    report.accounts.sort_by(|a, b| {
        fastest(b)
            .total_cmp(&fastest(a))
            .then_with(|| a.account.cmp(&b.account))
    });
    report
        .causes
        .sort_by(|a, b| b.bad.cmp(&a.bad).then_with(|| a.account.cmp(&b.account)));
    report.causes.truncate(CAUSES_SHOWN);
}

/// Joins the reports of several boxes.
pub fn merge(reports: impl IntoIterator<Item = BurnReport>) -> BurnReport {
    let mut accounts: HashMap<String, AccountBurn> = HashMap::new();
    let mut causes: HashMap<(String, Option<String>, BadReason), Cause> = HashMap::new();
    for report in reports {
        for burn in report.accounts {
            match accounts.get_mut(&burn.account) {
                None => {
                    accounts.insert(burn.account.clone(), burn);
                }
                Some(known) => add_windows(known, &burn),
            }
        }
        for cause in report.causes {
            let key = (cause.account.clone(), cause.target.clone(), cause.reason);
            let known = causes.entry(key).or_insert_with(|| Cause {
                bad: 0,
                ..cause.clone()
            });
            known.bad += cause.bad;
        }
    }
    let mut merged = BurnReport {
        accounts: accounts.into_values().collect(),
        causes: causes.into_values().collect(),
    };
    order(&mut merged);
    merged
}

fn add_windows(known: &mut AccountBurn, more: &AccountBurn) {
    for (sum, part) in known.windows.iter_mut().zip(&more.windows) {
        let (total, bad) = (sum.total + part.total, sum.bad + part.bad);
        *sum = window_burn(sum.window_min, total, bad, known.good_share);
    }
}

#[cfg(test)]
#[path = "burn_tests.rs"]
mod tests;
