//! Each checker catches a violation that is planted, and lets a clean history pass.

use super::*;
use crate::faults::history::{
    AcceptedChange, CallRecord, ChatRecord, Left, RegisterStep, SeenRevisions, Stopped,
};
use callers::ErrorDetail;
use prelude::RunState;
use standins::{ServiceRun, StartRecord};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use trial::ChatResult;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn chat(end: ChatEnd, chunks: u64) -> ChatRecord {
    ChatRecord {
        marker: "m".into(),
        output_tokens: 5,
        result: ChatResult {
            end,
            chunks,
            began: Instant::now(),
            first: None,
            gaps_us: Vec::new(),
            resumes: 0,
            resume_time: Duration::ZERO,
            cut_at: Vec::new(),
        },
    }
}

fn refusal() -> ErrorDetail {
    ErrorDetail::new("refused", "crowded", "", RunState::NotRun)
}

fn call(outcome: CallOutcome) -> CallRecord {
    CallRecord {
        key: "k".into(),
        body: "b".into(),
        at: address(1),
        outcome,
    }
}

fn run(body: &str) -> ServiceRun {
    ServiceRun {
        key: Some("k".into()),
        body: body.into(),
        path: "/run".into(),
        at_ms: 0,
    }
}

fn start(at_ms: u64) -> StartRecord {
    StartRecord {
        generation: "g".into(),
        marker: "m".into(),
        at_ms,
    }
}

fn done(answer: &str) -> CallOutcome {
    CallOutcome::Done(answer.into())
}

/// The promises that a history breaks.
fn broken(change: impl FnOnce(&mut RunHistory)) -> Vec<&'static str> {
    let mut history = RunHistory::default();
    change(&mut history);
    check(&history)
        .into_iter()
        .map(|violation| violation.promise)
        .collect()
}

#[test]
fn passes_a_clean_history() {
    let found = broken(|history| {
        history.chats.push(chat(ChatEnd::Whole, 5));
        history.starts.push(start(0));
        history.calls.extend([call(done("1 b")), call(done("1 b"))]);
        history.runs.push(run("b"));
        history.left.push(Left {
            at_ms: 0,
            starts: vec![start(LEAVING_MS)],
        });
        history.seen.push(SeenRevisions {
            name: "box".into(),
            revisions: vec![1, 1, 2],
        });
        history.last_revision = 2;
        history.final_revisions = vec![2];
    });
    assert!(found.is_empty(), "{found:?}");
}

#[test]
fn catches_a_token_out_of_order() {
    let found = broken(|history| history.chats.push(chat(ChatEnd::Wrong("x".into()), 2)));
    assert_eq!(found, [promise::TOKENS]);
}

#[test]
fn catches_an_answer_that_is_short() {
    let found = broken(|history| history.chats.push(chat(ChatEnd::Whole, 4)));
    assert_eq!(found, [promise::WHOLE]);
}

#[test]
fn catches_a_refused_chat_that_was_begun() {
    let found = broken(|history| {
        history.chats.push(chat(ChatEnd::Refused(refusal()), 0));
        history.starts.push(start(0));
    });
    assert_eq!(found, [promise::NOT_RUN]);
}

#[test]
fn catches_a_call_that_ran_twice() {
    let found = broken(|history| {
        history.calls.push(call(done("b")));
        history.runs.extend([run("b"), run("b")]);
    });
    assert_eq!(found, [promise::ONCE]);
}

#[test]
fn catches_a_call_that_was_not_run_and_ran() {
    let found = broken(|history| {
        history.calls.push(call(CallOutcome::NotRun(refusal())));
        history.runs.push(run("b"));
    });
    assert_eq!(found, [promise::NOT_RUN]);
}

#[test]
fn catches_an_answer_to_another_call() {
    let found = broken(|history| {
        history.calls.push(call(done("other")));
        history.runs.push(run("b"));
    });
    assert_eq!(found, [promise::WHOLE]);
}

#[test]
fn catches_two_answers_for_a_key() {
    let found = broken(|history| {
        history.calls.extend([call(done("1 b")), call(done("2 b"))]);
        history.runs.push(run("b"));
    });
    assert_eq!(found, [promise::SAME_ANSWER]);
}

#[test]
fn catches_new_work_at_an_engine_that_left() {
    let found = broken(|history| {
        history.left.push(Left {
            at_ms: 0,
            starts: vec![start(LEAVING_MS + 1)],
        });
    });
    assert_eq!(found, [promise::LEAVING]);
}

#[test]
fn catches_a_stream_that_a_planned_stop_cut() {
    let stop = |history: &mut RunHistory| {
        let mut cut = chat(ChatEnd::Whole, 5);
        cut.result.cut_at.push(address(9));
        history.chats.push(cut);
        history.stopped.push(Stopped {
            callers: address(9),
            ended: true,
        });
    };
    assert_eq!(broken(stop), [promise::STOP]);
    let killed_too = broken(|history| {
        stop(history);
        history.broken_boxes.push(address(9));
    });
    assert!(killed_too.is_empty());
}

#[test]
fn catches_settings_that_revert() {
    let found = broken(|history| {
        history.seen.push(SeenRevisions {
            name: "box".into(),
            revisions: vec![3, 2],
        });
    });
    assert_eq!(found, [promise::NEVER_REVERT]);
}

#[test]
fn catches_a_box_without_the_last_settings() {
    let found = broken(|history| {
        history.last_revision = 3;
        history.final_revisions = vec![3, 2];
    });
    assert_eq!(found, [promise::EVERYWHERE]);
}

#[test]
fn catches_an_accepted_change_that_is_lost() {
    let found = broken(|history| {
        history.changes.push(AcceptedChange {
            revision: 7,
            everywhere_ms: None,
        });
        history.last_revision = 3;
    });
    assert_eq!(found, [promise::NEVER_REVERT]);
}

fn step(process: usize, order: (usize, usize)) -> RegisterStep {
    RegisterStep {
        process,
        expected: 1,
        accepted: None,
        read: None,
        called: order.0,
        returned: order.1,
    }
}

#[test]
fn catches_two_changes_accepted_from_one_revision() {
    let read = RegisterStep {
        read: Some(1),
        ..step(0, (0, 1))
    };
    let swap = |process, order, new| RegisterStep {
        accepted: Some(new),
        ..step(process, order)
    };
    let both = vec![read.clone(), swap(0, (2, 4), 2), swap(1, (3, 5), 3)];
    assert_eq!(
        broken(|history| history.register = both),
        [promise::LINEARIZABLE]
    );
    let one = vec![read, swap(0, (2, 4), 2), step(1, (3, 5))];
    assert!(broken(|history| history.register = one).is_empty());
}
