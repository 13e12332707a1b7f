//! The promises, each checked by what callers and targets saw.

use crate::announced::{limits_are_kept, pauses_are_kept, words_on_leaving_hold};
use crate::budget::budget;
use crate::fatal_part::fatal_part_is_withheld;
use crate::history::{Arrival, Broken, Call, Disturbed, History, Key, Kind, Outcome, Trouble};
use fleet::caller::{Response, expected_events};
use std::collections::HashMap;
use std::ops::Range;

/// A leaving target gets no new work after this time.
const LEAVING_MS: u64 = 2_000;
/// Declarations are in force within this time.
const IN_FORCE_MS: u64 = 2_000;
/// A box is bound by times only after it was undisturbed for this long.
const IN_TOUCH_MS: u64 = 3_000;
/// Statuses that say that a request was not run.
pub(crate) const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Of one promise, so many cases are told.
const TOLD_MAX: usize = 4;

/// What was broken in one run.
pub(crate) fn check(history: &History) -> Vec<Broken> {
    let arrivals = by_id(history);
    let checks: [(&'static str, Vec<String>); 15] = [
        ("its own whole answer", whole_answers(history, &arrivals)),
        ("each event once, in order", ordered_events(history)),
        ("one generation", one_generation(&arrivals)),
        ("at most once", at_most_once(&arrivals)),
        ("not run is true", not_run_is_true(history, &arrivals)),
        ("no work to a leaving target", no_late_work(history)),
        (
            "no work to an unreadable entry",
            no_work_to_garbled(history),
        ),
        (
            "no work to an evacuated data centre",
            no_work_to_evacuated(history),
        ),
        ("a planned stop cuts nothing", stops_cut_nothing(history)),
        ("declarations in force", in_force(history)),
        ("budget of second sends", budget(history)),
        ("rate limits", limits_are_kept(history)),
        (
            "no work to a target that says it leaves",
            words_on_leaving_hold(history),
        ),
        ("pauses that targets ask for", pauses_are_kept(history)),
        (
            "a part that crashes engines is withheld",
            fatal_part_is_withheld(history),
        ),
    ];
    let mut broken: Vec<Broken> = Vec::new();
    for (promise, cases) in checks {
        let told = cases.into_iter().take(TOLD_MAX);
        broken.extend(told.map(|what| Broken { promise, what }));
    }
    broken.extend(seen_at_the_end(history));
    broken
}

/// What is seen of the boxes as a whole, at the end of a run.
fn seen_at_the_end(history: &History) -> impl Iterator<Item = Broken> {
    let seen = [
        (
            history.refused_unreadable,
            "no work to an unreadable entry",
            "calls were served though no target had an entry that can be read",
        ),
        (
            history.served_by_next_lives,
            "the next life takes work",
            "no calls were served after all targets had started again under their names",
        ),
        (
            history.served_again,
            "serves again",
            "no calls were served within the time after the loss of all boxes",
        ),
    ];
    let broken = seen.into_iter().filter(|(holds, _, _)| !holds);
    broken.map(|(_, promise, what)| Broken {
        promise,
        what: what.into(),
    })
}

type ById<'a> = HashMap<&'a str, Vec<&'a Arrival>>;

pub(crate) fn by_id(history: &History) -> ById<'_> {
    let mut found: ById = HashMap::new();
    for arrival in &history.arrivals {
        found.entry(&arrival.id).or_default().push(arrival);
    }
    found
}

pub(crate) fn runs(arrivals: &ById<'_>, id: &str) -> usize {
    let of_id = arrivals.get(id);
    of_id.map_or(0, |all| all.iter().filter(|arrival| arrival.ran).count())
}

pub(crate) fn got(call: &Call) -> Option<&Response> {
    match &call.outcome {
        Outcome::Answered(got) => Some(got),
        Outcome::NoChannel | Outcome::Cut => None,
    }
}

/// A success is the whole answer of a target that ran this very call.
fn whole_answers(history: &History, arrivals: &ById<'_>) -> Vec<String> {
    let mut broken = Vec::new();
    if history.unreadable > 0 {
        broken.push(format!(
            "{} callers met an answer that cannot be read",
            history.unreadable
        ));
    }
    for call in history
        .calls
        .iter()
        .filter(|call| call.kind != Kind::Stream)
    {
        let Some(got) = got(call).filter(|got| got.status == 200) else {
            continue;
        };
        let ran = arrivals.get(call.id.as_str()).into_iter().flatten();
        let mut own = ran
            .filter(|arrival| arrival.ran)
            .map(|arrival| format!("answer to {} by {}", call.id, arrival.target));
        // An answer that is cut off is seen as such by its length.
        if got.is_complete && !own.any(|text| text == got.text()) {
            broken.push(format!("call {} was answered `{}`", call.id, got.text()));
        }
    }
    broken
}

/// What comes of a stream is the beginning of it, event by event, and all of it where it looks whole.
fn ordered_events(history: &History) -> Vec<String> {
    let mut broken = Vec::new();
    for call in history
        .calls
        .iter()
        .filter(|call| call.kind == Kind::Stream)
    {
        let Some(got) = got(call).filter(|got| got.status == 200) else {
            continue;
        };
        let all = expected_events(&call.id, history.events);
        let text = got.text();
        if got.is_complete && text != all {
            broken.push(format!("stream {} looks whole and is not", call.id));
        } else if !all.starts_with(&text) {
            broken.push(format!(
                "stream {} has an event missing or repeated",
                call.id
            ));
        }
    }
    broken
}

fn one_generation(arrivals: &ById<'_>) -> Vec<String> {
    ran_twice(arrivals, Kind::Stream)
}

fn at_most_once(arrivals: &ById<'_>) -> Vec<String> {
    ran_twice(arrivals, Kind::Once)
}

fn ran_twice(arrivals: &ById<'_>, kind: Kind) -> Vec<String> {
    let of_kind = arrivals
        .iter()
        .filter(|(_, all)| all.iter().any(|arrival| arrival.kind == kind));
    of_kind
        .filter(|(id, _)| runs(arrivals, id) > 1)
        .map(|(id, _)| format!("{id} ran {} times", runs(arrivals, id)))
        .collect()
}

fn not_run_is_true(history: &History, arrivals: &ById<'_>) -> Vec<String> {
    let refused = history
        .calls
        .iter()
        .filter(|call| got(call).is_some_and(|got| NOT_RUN.contains(&got.status)));
    refused
        .filter(|call| runs(arrivals, &call.id) > 0)
        .map(|call| format!("{} was said not to have run, and ran", call.id))
        .collect()
}

/// Whether something was done to a box, or to all, in the time in which it must be in touch to be bound.
fn was_disturbed(history: &History, call: &Call, to_ms: u64) -> bool {
    let from_ms = call.sent_ms.saturating_sub(IN_TOUCH_MS);
    any_disturbed(history, call.at, from_ms, to_ms, |_| true)
}

pub(crate) fn any_disturbed(
    history: &History,
    at: usize,
    from_ms: u64,
    to_ms: u64,
    counts: impl Fn(Trouble) -> bool,
) -> bool {
    let strikes = |disturbed: &&Disturbed| {
        disturbed.at.is_none_or(|other| other == at)
            && disturbed.from_ms <= to_ms
            && disturbed.to_ms >= from_ms
            && counts(disturbed.trouble)
    };
    history
        .disturbed
        .iter()
        .any(|disturbed| strikes(&disturbed))
}

/// Whether a trouble ends or stops a box.
pub(crate) fn is_broken_or_ended(trouble: Trouble) -> bool {
    matches!(trouble, Trouble::Broken | Trouble::Ended)
}

fn no_late_work(history: &History) -> Vec<String> {
    let mut broken = Vec::new();
    for leaving in &history.leaving {
        let is_there = |arrival: &Arrival| {
            let is_of_life = (&arrival.target, arrival.life) == (&leaving.target, leaving.life);
            is_of_life && arrival.ran
        };
        let bound_ms = leaving.told_ms + LEAVING_MS + history.slack_ms;
        let late = late_work(history, is_there, bound_ms..u64::MAX);
        broken.extend(late.map(|arrival| {
            let late_ms = arrival.at_ms - leaving.told_ms;
            let (id, target) = (&arrival.id, &leaving.target);
            format!("{id} ran at {target} after {late_ms} ms")
        }));
    }
    broken
}

/// A target whose entry cannot be read gets nothing new until it can be again.
fn no_work_to_garbled(history: &History) -> Vec<String> {
    let mut broken = Vec::new();
    for garbled in &history.garbled {
        let is_there = |arrival: &Arrival| arrival.target == garbled.target && arrival.ran;
        let bound_ms = garbled.from_ms + LEAVING_MS + history.slack_ms;
        let late = late_work(history, is_there, bound_ms..garbled.until_ms);
        broken.extend(late.map(|arrival| {
            let late_ms = arrival.at_ms - garbled.from_ms;
            let (id, target) = (&arrival.id, &garbled.target);
            format!("{id} ran at {target} {late_ms} ms after its entry could not be read")
        }));
    }
    broken
}

/// An evacuated data centre gets nothing new, by boxes in touch, and nothing that is moved there.
fn no_work_to_evacuated(history: &History) -> Vec<String> {
    let mut broken = Vec::new();
    for evacuated in &history.evacuated {
        let place = evacuated.data_centre;
        let is_there = |arrival: &Arrival| history.places.get(&arrival.target) == Some(&place);
        let bound_ms = evacuated.from_ms + LEAVING_MS + history.slack_ms;
        let late = late_work(history, is_there, bound_ms..evacuated.until_ms);
        broken.extend(late.map(|arrival| {
            let late_ms = arrival.at_ms - evacuated.from_ms;
            format!(
                "{} came to {place} {late_ms} ms after its evacuation",
                arrival.id
            )
        }));
    }
    broken
}

/// Work that came to targets within a time, of calls that were sent in it by boxes in touch.
fn late_work<'a>(
    history: &'a History,
    is_there: impl Fn(&Arrival) -> bool + 'a,
    within_ms: Range<u64>,
) -> impl Iterator<Item = &'a Arrival> {
    let sent_by: HashMap<&str, &Call> = history
        .calls
        .iter()
        .map(|call| (call.id.as_str(), call))
        .collect();
    let is_late = move |arrival: &&Arrival| {
        let call = sent_by.get(arrival.id.as_str());
        let was_bound = |call: &&Call| {
            within_ms.contains(&call.sent_ms) && !was_disturbed(history, call, arrival.at_ms)
        };
        is_there(arrival) && within_ms.contains(&arrival.at_ms) && call.is_some_and(was_bound)
    };
    history.arrivals.iter().filter(is_late)
}

/// What was under way at a box when it was asked to stop is answered whole.
fn stops_cut_nothing(history: &History) -> Vec<String> {
    let mut broken = Vec::new();
    for (at, stop_ms) in &history.stops {
        let under_way = history
            .calls
            .iter()
            .filter(|call| call.at == *at && call.sent_ms < *stop_ms && call.ended_ms >= *stop_ms);
        for call in under_way {
            let is_broken = |trouble| trouble == Trouble::Broken;
            let struck = any_disturbed(history, *at, call.sent_ms, call.ended_ms, is_broken);
            let excused = struck || (call.kind == Kind::Stream && crashed(history, call));
            if !excused && is_cut(call) {
                broken.push(format!("{} was cut by the stop of box {at}", call.id));
            }
        }
    }
    broken
}

fn crashed(history: &History, call: &Call) -> bool {
    let meets = |(from_ms, to_ms): &(u64, u64)| *from_ms <= call.ended_ms && *to_ms >= call.sent_ms;
    history.crashes.iter().any(meets)
}

fn is_cut(call: &Call) -> bool {
    match &call.outcome {
        Outcome::NoChannel => false,
        Outcome::Cut => true,
        Outcome::Answered(got) => !got.is_complete,
    }
}

/// The key that comes and goes is taken and refused as it was last declared, after the bound, by boxes that were
/// in touch.
fn in_force(history: &History) -> Vec<String> {
    let mut broken = Vec::new();
    let toggled = history.calls.iter().filter(|call| call.key == Key::Toggled);
    for call in toggled {
        let Some(got) = got(call) else {
            continue;
        };
        let before = |change: &&crate::history::KeyChange| change.told_ms <= call.ended_ms;
        let Some(last) = history.key_changes.iter().rfind(before) else {
            continue;
        };
        let bound_ms = last.told_ms + IN_FORCE_MS + history.slack_ms;
        if call.sent_ms < bound_ms || was_disturbed(history, call, call.ended_ms) {
            continue;
        }
        let wrong = match last.holds {
            true => got.status == 401,
            false => got.status == 200,
        };
        if wrong {
            let after_ms = call.sent_ms - last.told_ms;
            broken.push(format!(
                "box {} answered {} {after_ms} ms after the key was {}",
                call.at,
                got.status,
                if last.holds {
                    "given back"
                } else {
                    "taken away"
                }
            ));
        }
    }
    broken
}

#[cfg(test)]
#[path = "checks_tests.rs"]
mod tests;
