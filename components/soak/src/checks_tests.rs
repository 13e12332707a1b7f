use super::*;
use crate::history::{Evacuated, Garbled, KeyChange, Leaving};

fn answered(status: u16, body: &str, is_complete: bool) -> Outcome {
    Outcome::Answered(Response {
        status,
        head: String::new(),
        body: body.as_bytes().to_vec(),
        is_complete,
    })
}

fn call(id: &str, kind: Kind, sent_ms: u64, outcome: Outcome) -> Call {
    Call {
        id: id.into(),
        kind,
        key: Key::Kept,
        at: 0,
        sent_ms,
        ended_ms: sent_ms + 50,
        outcome,
    }
}

fn arrival(id: &str, kind: Kind, at_ms: u64) -> Arrival {
    Arrival {
        id: id.into(),
        target: "t".into(),
        life: 1,
        kind,
        at_ms,
        ran: true,
        pause_ms: None,
        from_box: Some(0),
    }
}

fn history(calls: Vec<Call>, arrivals: Vec<Arrival>) -> History {
    History {
        calls,
        arrivals,
        events: 3,
        served_again: true,
        refused_unreadable: true,
        served_by_next_lives: true,
        ..History::default()
    }
}

fn promises(history: &History) -> Vec<&'static str> {
    check(history).iter().map(|broken| broken.promise).collect()
}

#[test]
fn finds_nothing_where_all_is_kept() {
    let calls = vec![
        call("1", Kind::Once, 0, answered(200, "answer to 1 by t", true)),
        call(
            "2",
            Kind::Stream,
            0,
            answered(200, &expected_events("2", 3), true),
        ),
        call(
            "3",
            Kind::Stream,
            0,
            answered(200, &expected_events("3", 2), false),
        ),
        call("4", Kind::Repeatable, 0, answered(503, "", true)),
    ];
    let arrivals = vec![
        arrival("1", Kind::Once, 1),
        arrival("2", Kind::Stream, 1),
        arrival("3", Kind::Stream, 1),
    ];
    assert!(promises(&history(calls, arrivals)).is_empty());
}

#[test]
fn finds_an_answer_to_somebody_else() {
    let calls = vec![call(
        "1",
        Kind::Once,
        0,
        answered(200, "answer to 2 by t", true),
    )];
    let found = promises(&history(calls, vec![arrival("1", Kind::Once, 1)]));
    assert_eq!(found, ["its own whole answer"]);
}

#[test]
fn finds_a_stream_that_looks_whole_and_one_with_a_gap() {
    let gap = expected_events("2", 3).replace("id: 2\ndata: 2 2\n\n", "");
    let calls = vec![
        call(
            "1",
            Kind::Stream,
            0,
            answered(200, &expected_events("1", 2), true),
        ),
        call("2", Kind::Stream, 0, answered(200, &gap, false)),
    ];
    let found = promises(&history(calls, Vec::new()));
    assert_eq!(
        found,
        ["each event once, in order", "each event once, in order"]
    );
}

#[test]
fn finds_what_ran_twice() {
    let twice = |id, kind| vec![arrival(id, kind, 1), arrival(id, kind, 2)];
    let arrivals = [
        twice("1", Kind::Once),
        twice("2", Kind::Stream),
        twice("3", Kind::Repeatable),
    ];
    let found = promises(&history(Vec::new(), arrivals.concat()));
    assert_eq!(found, ["one generation", "at most once"]);
}

#[test]
fn finds_a_refusal_of_what_ran() {
    let calls = vec![call("1", Kind::Once, 0, answered(503, "", true))];
    let found = promises(&history(calls, vec![arrival("1", Kind::Once, 1)]));
    assert_eq!(found, ["not run is true"]);
}

#[test]
fn finds_late_work_unless_its_box_was_out_of_touch() {
    let calls = vec![call(
        "1",
        Kind::Once,
        2_600,
        answered(200, "answer to 1 by t", true),
    )];
    let mut late = history(calls, vec![arrival("1", Kind::Once, 2_610)]);
    late.leaving = vec![Leaving {
        target: "t".into(),
        life: 1,
        told_ms: 500,
    }];
    assert_eq!(promises(&late), ["no work to a leaving target"]);
    // The next life under its name may have it.
    late.arrivals[0].life = 2;
    assert!(promises(&late).is_empty());
    late.arrivals[0].life = 1;
    late.disturbed = vec![Disturbed {
        trouble: Trouble::Store,
        at: Some(0),
        from_ms: 600,
        to_ms: 700,
    }];
    assert!(promises(&late).is_empty());
}

#[test]
fn finds_work_at_a_target_whose_entry_cannot_be_read_until_it_can() {
    let calls = [2_600, 9_100].map(|sent_ms| {
        let answer = answered(200, &format!("answer to {sent_ms} by t"), true);
        call(&sent_ms.to_string(), Kind::Once, sent_ms, answer)
    });
    let arrivals = [2_600, 9_100].map(|at_ms| arrival(&at_ms.to_string(), Kind::Once, at_ms + 9));
    let mut late = history(calls.into(), arrivals.into());
    late.garbled = vec![Garbled {
        target: "t".into(),
        from_ms: 500,
        until_ms: 9_000,
    }];
    assert_eq!(promises(&late), ["no work to an unreadable entry"]);
    late.garbled[0].target = "another".into();
    assert!(promises(&late).is_empty());
}

#[test]
fn finds_that_unreadable_entries_are_used_and_that_next_lives_are_not() {
    let mut end = history(Vec::new(), Vec::new());
    end.refused_unreadable = false;
    assert_eq!(promises(&end), ["no work to an unreadable entry"]);
    end.refused_unreadable = true;
    end.served_by_next_lives = false;
    assert_eq!(promises(&end), ["the next life takes work"]);
}

#[test]
fn finds_work_in_an_evacuated_data_centre_until_it_is_taken_back() {
    let calls = [2_600, 9_100].map(|sent_ms| {
        let answer = answered(200, &format!("answer to {sent_ms} by t"), true);
        call(&sent_ms.to_string(), Kind::Once, sent_ms, answer)
    });
    let arrivals = [2_600, 9_100].map(|at_ms| arrival(&at_ms.to_string(), Kind::Once, at_ms + 9));
    let mut late = history(calls.into(), arrivals.into());
    late.places.insert("t".into(), "annex");
    late.evacuated = vec![Evacuated {
        data_centre: "annex",
        from_ms: 500,
        until_ms: 9_000,
    }];
    let promise = "no work to an evacuated data centre";
    assert_eq!(promises(&late), [promise]);
    late.places.insert("t".into(), "hall");
    assert!(promises(&late).is_empty());
}

#[test]
fn finds_what_a_planned_stop_cut() {
    let mut cut = history(vec![call("1", Kind::Once, 90, Outcome::Cut)], Vec::new());
    cut.stops = vec![(0, 100)];
    assert_eq!(promises(&cut), ["a planned stop cuts nothing"]);
    cut.stops = vec![(1, 100)];
    assert!(promises(&cut).is_empty());
}

#[test]
fn finds_a_key_that_is_taken_after_the_bound_and_one_that_is_refused() {
    let with = |status, holds| {
        let mut asked = call(
            "1",
            Kind::Repeatable,
            3_000,
            answered(status, "answer to 1 by t", true),
        );
        asked.key = Key::Toggled;
        let mut history = history(vec![asked], vec![arrival("1", Kind::Repeatable, 1)]);
        history.key_changes = vec![KeyChange {
            holds,
            told_ms: 900,
        }];
        history
    };
    assert_eq!(promises(&with(200, false)), ["declarations in force"]);
    assert_eq!(promises(&with(401, true)), ["declarations in force"]);
    assert!(promises(&with(401, false)).is_empty());
    assert!(promises(&with(200, true)).is_empty());
}

#[test]
fn finds_more_second_sends_than_the_budget_allows() {
    let ids: Vec<String> = (0..60).map(|at| at.to_string()).collect();
    let twice = |id: &String| {
        vec![
            arrival(id, Kind::Repeatable, 1),
            arrival(id, Kind::Repeatable, 2),
        ]
    };
    let arrivals: Vec<Arrival> = ids.iter().flat_map(twice).collect();
    assert_eq!(
        promises(&history(Vec::new(), arrivals)),
        ["budget of second sends"]
    );
}

#[test]
fn finds_that_nothing_is_served_after_the_loss_of_all() {
    let mut lost = history(Vec::new(), Vec::new());
    lost.served_again = false;
    assert_eq!(promises(&lost), ["serves again"]);
}
