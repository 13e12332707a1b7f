//! A checker for each promise.

use super::history::{RunHistory, Violation, promise};
use super::register;
use std::collections::{BTreeMap, HashMap, HashSet};
use trial::{CallOutcome, ChatEnd};

/// Time after its leaving in which an engine may still get new work.
const LEAVING_MS: u64 = 2_000;

/// Every broken promise of a run.
pub fn check(history: &RunHistory) -> Vec<Violation> {
    let mut found = Vec::new();
    check_chats(history, &mut found);
    check_calls(history, &mut found);
    check_leaving(history, &mut found);
    check_stops(history, &mut found);
    check_settings(history, &mut found);
    if !history.register_in_doubt && !register::is_linearizable(&history.register) {
        found.push(violation(
            promise::LINEARIZABLE,
            "no order explains the operators' changes",
        ));
    }
    found
}

fn violation(promise: &'static str, what: impl Into<String>) -> Violation {
    Violation {
        promise,
        what: what.into(),
    }
}

fn check_chats(history: &RunHistory, found: &mut Vec<Violation>) {
    let started: HashSet<&str> = history
        .starts
        .iter()
        .map(|start| start.marker.as_str())
        .collect();
    for chat in &history.chats {
        let marker = &chat.marker;
        match &chat.result.end {
            ChatEnd::Wrong(why) => {
                found.push(violation(promise::TOKENS, format!("{marker}: {why}")));
            }
            ChatEnd::Whole if chat.result.chunks != chat.output_tokens => {
                let (got, of) = (chat.result.chunks, chat.output_tokens);
                found.push(violation(
                    promise::WHOLE,
                    format!("{marker}: {got} of {of} tokens"),
                ));
            }
            ChatEnd::Refused(error) if started.contains(marker.as_str()) => {
                let what = format!(
                    "{marker} was refused ({}) and an engine began it",
                    error.code
                );
                found.push(violation(promise::NOT_RUN, what));
            }
            ChatEnd::Whole | ChatEnd::Refused(_) | ChatEnd::Failed(_) | ChatEnd::Lost(_) => {}
        }
    }
}

fn check_calls(history: &RunHistory, found: &mut Vec<Violation>) {
    let mut runs: HashMap<&str, Vec<&str>> = HashMap::new();
    for run in &history.runs {
        let key = run.key.as_deref().unwrap_or("");
        runs.entry(key).or_default().push(&run.body);
    }
    let mut asked: BTreeMap<&str, Vec<(&str, &CallOutcome)>> = BTreeMap::new();
    for call in &history.calls {
        asked
            .entry(&call.key)
            .or_default()
            .push((&call.body, &call.outcome));
    }
    for (key, requests) in asked {
        let runs_of_key = runs.get(key).map_or(0, Vec::len);
        if runs_of_key > 1 {
            found.push(violation(
                promise::ONCE,
                format!("{key} ran {runs_of_key} times"),
            ));
        }
        let not_run = requests
            .iter()
            .all(|(_, o)| matches!(o, CallOutcome::NotRun(_)));
        if not_run && runs_of_key > 0 {
            found.push(violation(
                promise::NOT_RUN,
                format!("{key} was not run, and ran"),
            ));
        }
        check_answers(key, &requests, runs_of_key, found);
    }
}

/// Whoever was told that a key's call is done got the same answer, to its own body.
fn check_answers(
    key: &str,
    requests: &[(&str, &CallOutcome)],
    runs: usize,
    found: &mut Vec<Violation>,
) {
    let mut first: Option<&str> = None;
    for (body, outcome) in requests {
        let CallOutcome::Done(answer) = outcome else {
            continue;
        };
        if runs == 0 {
            found.push(violation(
                promise::WHOLE,
                format!("{key} is done and never ran"),
            ));
        }
        if !answer.contains(body) {
            found.push(violation(
                promise::WHOLE,
                format!("{key}: {answer} is not to {body}"),
            ));
        }
        if first.is_some_and(|first| first != answer) {
            found.push(violation(
                promise::SAME_ANSWER,
                format!("{key} has two answers"),
            ));
        }
        first = Some(answer);
    }
}

fn check_leaving(history: &RunHistory, found: &mut Vec<Violation>) {
    for left in &history.left {
        let late = left
            .starts
            .iter()
            .filter(|start| start.at_ms > left.at_ms + LEAVING_MS);
        let late = late.count();
        if late > 0 {
            let what = format!("{late} requests began {LEAVING_MS} ms after an engine left");
            found.push(violation(promise::LEAVING, what));
        }
    }
}

fn check_stops(history: &RunHistory, found: &mut Vec<Violation>) {
    for stopped in &history.stopped {
        let at = stopped.callers;
        if history.broken_boxes.contains(&at) {
            continue;
        }
        let chats = history.chats.iter().flat_map(|chat| &chat.result.cut_at);
        let cut = chats.filter(|box_at| **box_at == at).count();
        let calls = history.calls.iter().filter(|call| call.at == at);
        let cut_calls = calls
            .filter(|call| call.outcome == CallOutcome::NoAnswer)
            .count();
        if cut + cut_calls > 0 {
            let what = format!("{cut} streams and {cut_calls} calls were cut at {at}");
            found.push(violation(promise::STOP, what));
        }
        if !stopped.ended {
            found.push(violation(
                promise::STOP,
                format!("{at} did not end by itself"),
            ));
        }
    }
}

fn check_settings(history: &RunHistory, found: &mut Vec<Violation>) {
    for seen in &history.seen {
        if let Some(pair) = seen.revisions.windows(2).find(|pair| pair[1] < pair[0]) {
            let what = format!("{} went from {} to {}", seen.name, pair[0], pair[1]);
            found.push(violation(promise::NEVER_REVERT, what));
        }
    }
    for revision in &history.final_revisions {
        if *revision != history.last_revision {
            let what = format!(
                "a box ends at {revision}, accepted is {}",
                history.last_revision
            );
            found.push(violation(promise::EVERYWHERE, what));
        }
    }
    for change in &history.changes {
        if change.revision > history.last_revision {
            let what = format!("{} was accepted and is lost", change.revision);
            found.push(violation(promise::NEVER_REVERT, what));
        }
    }
}

#[cfg(test)]
#[path = "checks_tests.rs"]
mod tests;
