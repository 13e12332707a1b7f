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
