//! Settings are replaced whole or not at all, whatever the file says.

use proptest::prelude::*;
use reload::{Change, Live, Offer};
use settings::{FleetFile, LiveSettings};

const TEXT: &str = include_str!("../../../examples/fleet-box.yaml");

fn live() -> Live<FleetFile> {
    Live::read(TEXT).unwrap()
}

#[test]
fn a_change_makes_a_new_generation_and_names_its_fields() {
    let live = live();
    let mut told = live.subscribe();
    let text = TEXT.replace("resend_spare: 56", "resend_spare: 60");
    let expected = Change {
        generation: 2,
        changed: vec!["promises.resend_spare"],
        waiting: Vec::new(),
    };
    assert_eq!(live.offer(&text), Offer::Taken(expected));
    assert!(told.has_changed().unwrap());
    assert_eq!(*told.borrow_and_update(), 2);
    assert_eq!(live.load().promises.resend_spare, 60.0);
}

#[test]
fn a_file_that_says_the_same_changes_nothing() {
    let live = live();
    let told = live.subscribe();
    assert_eq!(
        live.offer(&format!("# another comment\n{TEXT}")),
        Offer::Same
    );
    assert!(!told.has_changed().unwrap());
    assert_eq!(live.load().generation, 1);
}

#[test]
fn what_needs_a_restart_waits_and_is_named() {
    let live = live();
    let text = TEXT.replace("hall-1-box-1", "hall-1-box-9");
    let Offer::Taken(change) = live.offer(&text) else {
        panic!("it was not taken");
    };
    assert_eq!(
        (change.changed.len(), change.waiting),
        (0, vec!["box.name"])
    );
    assert_eq!(live.load().identity.name, "hall-1-box-1");
    assert_eq!(live.offer(&text), Offer::Same);
    let back = live.offer(TEXT);
    assert!(matches!(back, Offer::Taken(change) if change.waiting.is_empty()));
}

#[test]
fn a_bad_file_is_refused_whole_and_a_good_one_after_it_is_taken() {
    let live = live();
    let both = TEXT
        .replace("resend_spare: 56", "resend_spare: 60")
        .replace("resend_share: 0.2", "resend_share: 2");
    assert!(matches!(live.offer(&both), Offer::Refused(mistakes) if mistakes[0].line > 0));
    assert_eq!(live.load().promises.resend_spare, 56.0);
    let good = TEXT.replace("resend_spare: 56", "resend_spare: 60");
    assert!(matches!(live.offer(&good), Offer::Taken(_)));
}

#[test]
fn the_fields_that_the_file_names_are_known() {
    let live = live();
    let loaded = live.load();
    assert!(loaded.given.contains("promises.resend_spare"));
    assert!(!loaded.given.contains("log_level"));
}

/// What one part of a garbled file looks like.
fn garbled() -> impl Strategy<Value = String> {
    let cut = (0..TEXT.len()).prop_map(|at| TEXT[..floor(at)].to_owned());
    let mixed = (0..TEXT.len(), 0..TEXT.len()).prop_map(|(a, b)| {
        let (a, b) = (floor(a), floor(b));
        format!("{}{}", &TEXT[..a], &TEXT[b..])
    });
    let spoilt = (0..TEXT.len(), any::<char>()).prop_map(|(at, sign)| {
        let at = floor(at);
        format!("{}{sign}{}", &TEXT[..at], &TEXT[at..])
    });
    prop_oneof![cut, mixed, spoilt]
}

fn floor(at: usize) -> usize {
    TEXT.floor_char_boundary(at)
}

proptest! {
    /// Whatever the file says: it is in force as it says, or what was in force before is, untouched.
    #[test]
    fn a_garbled_file_is_taken_whole_or_not_at_all(texts in prop::collection::vec(garbled(), 1..6)) {
        let live = live();
        for text in texts {
            let before = (**live.load()).clone();
            let offer = live.offer(&text);
            let after = (**live.load()).clone();
            match (offer, FleetFile::read(&text)) {
                (Offer::Refused(mistakes), Err(_)) => {
                    prop_assert!(!mistakes.is_empty());
                    prop_assert_eq!(after, before);
                }
                (Offer::Same, Ok(told)) => {
                    prop_assert_eq!(told.keeping_fixed(&before.value), after.value.clone());
                    prop_assert_eq!(after, before);
                }
                (Offer::Taken(change), Ok(told)) => {
                    prop_assert_eq!(told.keeping_fixed(&before.value), after.value);
                    prop_assert_eq!(change.generation, before.generation + 1);
                }
                (offer, read) => prop_assert!(false, "{offer:?} of {read:?}"),
            }
        }
    }
}
