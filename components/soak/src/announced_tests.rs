use super::*;
use crate::history::{Disturbed, Key, Kind, Outcome, Trouble};

/// Requests to a target that names a limit of two a second, one each `each_ms`, by two boxes in turn.
fn history(each_ms: u64) -> History {
    let mut history = History::default();
    for serial in 0..10_000 / each_ms {
        let (id, at_ms) = (serial.to_string(), serial * each_ms);
        history.calls.push(Call {
            id: id.clone(),
            kind: Kind::Repeatable,
            key: Key::Kept,
            at: (serial % 2) as usize,
            sent_ms: at_ms,
            ended_ms: at_ms + 10,
            outcome: Outcome::Cut,
        });
        history.arrivals.push(Arrival {
            id,
            target: "t".into(),
            life: 1,
            kind: Kind::Repeatable,
            at_ms,
            ran: true,
            pause_ms: None,
            from_box: Some((serial % 2) as usize),
        });
    }
    history.limits.push(AnnouncedLimit {
        target: "t".into(),
        life: 1,
        limit_per_s: 2.0,
        from_ms: 0,
        until_ms: 10_000,
    });
    history
}

#[test]
fn finds_a_sum_over_the_limit_though_each_box_keeps_it() {
    assert!(limits_are_kept(&history(250)).is_empty());
    let broken = limits_are_kept(&history(200));
    assert_eq!(broken.len(), 1);
    assert!(
        broken[0].starts_with("20 requests at t within 4000 ms"),
        "{broken:?}"
    );
}

#[test]
fn counts_no_box_to_which_something_was_done_since_it_passed_an_answer_on() {
    let mut history = history(200);
    history.disturbed.push(Disturbed {
        trouble: Trouble::Broken,
        at: Some(1),
        from_ms: 0,
        to_ms: 10_000,
    });
    assert!(limits_are_kept(&history).is_empty());
}

#[test]
fn another_life_of_the_target_is_not_bound() {
    let mut history = history(100);
    history.limits[0].life = 2;
    assert!(limits_are_kept(&history).is_empty());
}

/// One box's calls to a target, one each 500 ms, all answered.
fn calls_to_one(answers: impl Fn(u64) -> Option<u64>) -> History {
    let mut history = History::default();
    for serial in 0..12 {
        let (id, at_ms) = (serial.to_string(), serial * 500);
        history.calls.push(Call {
            id: id.clone(),
            kind: Kind::Repeatable,
            key: Key::Kept,
            at: 0,
            sent_ms: at_ms,
            ended_ms: at_ms + 10,
            outcome: Outcome::Answered(fleet::caller::Response {
                status: 200,
                head: String::new(),
                body: format!("answer to {id} by t").into_bytes(),
                is_complete: true,
            }),
        });
        history.arrivals.push(Arrival {
            id,
            target: "t".into(),
            life: 1,
            kind: Kind::Repeatable,
            at_ms,
            ran: true,
            pause_ms: answers(at_ms),
            from_box: Some(0),
        });
    }
    history
}

#[test]
fn finds_calls_that_reach_a_target_long_after_its_answers_said_that_it_leaves() {
    let mut history = calls_to_one(|_| None);
    assert!(words_on_leaving_hold(&history).is_empty());
    history.say_they_leave.push(SaysItLeaves {
        target: "t".into(),
        life: 1,
        from_ms: 1_000,
    });
    // The first answer that says so ends at 1,010 ms.
    let late = words_on_leaving_hold(&history);
    assert_eq!(late.len(), 5, "{late:?}");
    history.disturbed.push(Disturbed {
        trouble: Trouble::Ended,
        at: Some(0),
        from_ms: 0,
        to_ms: 6_000,
    });
    assert!(words_on_leaving_hold(&history).is_empty());
}

#[test]
fn finds_calls_that_reach_a_target_within_the_pause_that_it_asked_for() {
    let once = |at_ms| (at_ms == 1_000).then_some(3_000);
    let mut history = calls_to_one(once);
    assert_eq!(pauses_are_kept(&history).len(), 1);
    // Two within the pause are allowed.
    history
        .arrivals
        .retain(|arrival| arrival.at_ms <= 2_000 || arrival.at_ms >= 4_000);
    assert!(pauses_are_kept(&history).is_empty());
}

/// A target speaks to the box that sends it the request, also where that box relays it for another one.
#[test]
fn counts_a_relayed_request_against_the_box_that_sent_it() {
    let once = |at_ms| (at_ms == 1_000).then_some(3_000);
    let mut history = calls_to_one(once);
    for arrival in &mut history.arrivals {
        if arrival.at_ms <= 1_000 {
            arrival.from_box = Some(1);
        }
    }
    assert!(pauses_are_kept(&history).is_empty());
    for arrival in &mut history.arrivals {
        arrival.from_box = Some(1);
    }
    assert_eq!(pauses_are_kept(&history).len(), 1);
}
