use super::*;
use crate::watch::targets::Change;
use proptest::prelude::*;
use routing::TargetPhase;

const UNTIL_MS: u64 = 6_000;

/// An entry of a target whose lives each have a name of their own.
fn entry(instance: &str, leaves: bool, version: Version) -> TargetEntry {
    TargetEntry {
        instance: instance.into(),
        born_ms: None,
        service: "model".into(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "east".into(),
        slots: 24,
        phase: match leaves {
            true => TargetPhase::Leaving,
            false => TargetPhase::Ready,
        },
        cold_left_ms: 0,
        version,
    }
}

fn first(revision: u64) -> Version {
    Version::new(1, revision)
}

fn second(revision: u64) -> Version {
    Version::new(2, revision)
}

fn takes_work(book: &TargetRegistry, instance: &str) -> bool {
    let newest = book.newest(instance);
    newest.is_some_and(|(_, target)| book.takes_work(target))
}

/// A book in which `a` is ready and was last written late in the first era, as the era rises.
fn risen() -> TargetRegistry {
    let mut book = TargetRegistry::default();
    book.replace(vec![entry("a", false, first(900))], first(900), None, 0);
    book.record_era_rise(UNTIL_MS);
    book
}

#[test]
fn what_is_written_in_the_next_era_counts_whatever_its_revision() {
    let mut book = risen();
    let change = book.apply_entry(entry("a", true, second(10)), 100);
    assert!(matches!(change, Some(Change::Leaving(_))));
    assert!(
        book.apply_entry(entry("b", false, second(11)), 100)
            .is_some()
    );
    assert!(takes_work(&book, "b"));
}

#[test]
fn a_late_word_of_the_former_era_changes_nothing() {
    let mut book = risen();
    book.apply_entry(entry("a", true, second(10)), 100);
    assert_eq!(book.apply_entry(entry("a", false, first(950)), 200), None);
    assert_eq!(book.unlist("a", first(960)), None);
    assert!(!takes_work(&book, "a"));
}

#[test]
fn a_target_that_leaves_stays_so_though_the_copy_says_that_it_is_ready_and_peers_are_told() {
    let mut book = TargetRegistry::default();
    book.replace(vec![entry("a", true, first(900))], first(900), None, 0);
    assert!(book.leaving().is_empty(), "the store says it to all");
    book.record_era_rise(UNTIL_MS);
    book.replace(vec![entry("a", false, second(800))], second(850), None, 100);
    assert!(!takes_work(&book, "a"));
    assert_eq!(book.leaving().len(), 1);
}

#[test]
fn a_target_that_the_copy_lacks_has_until_the_store_settles_to_be_written_again() {
    let mut book = risen();
    book.replace(Vec::new(), second(800), None, 100);
    assert!(takes_work(&book, "a"));
    assert!(book.expired_missing(UNTIL_MS - 1).is_empty());
    assert_eq!(book.expired_missing(UNTIL_MS).len(), 1);
    book.apply_entry(entry("a", false, second(801)), 200);
    assert!(book.expired_missing(UNTIL_MS).is_empty());
}

#[test]
fn a_target_that_went_comes_back_by_a_list_only_after_the_store_has_settled() {
    for is_swept in [false, true] {
        let mut book = TargetRegistry::default();
        book.replace(vec![entry("a", false, first(900))], first(900), None, 0);
        let (slot, _) = book.newest("a").unwrap();
        if !is_swept {
            book.record_open(slot);
        }
        book.unlist("a", first(901));
        book.remove_if_idle(slot);
        book.record_era_rise(UNTIL_MS);
        book.replace(vec![entry("a", false, second(800))], second(850), None, 100);
        assert!(!takes_work(&book, "a"));
        book.replace(
            vec![entry("a", false, second(800))],
            second(870),
            None,
            UNTIL_MS,
        );
        assert!(takes_work(&book, "a"), "its entry would have lapsed");
    }
}

#[test]
fn others_are_to_compare_their_lists_once_the_store_has_settled() {
    let mut book = risen();
    book.replace(vec![entry("a", false, second(800))], second(850), None, 100);
    book.record_list_read(second(850), 100);
    assert_eq!(book.changed_at, first(900));
    book.record_list_read(second(870), UNTIL_MS);
    assert_eq!(book.changed_at, second(870));
    book.record_list_read(second(880), UNTIL_MS + 1);
    assert_eq!(book.changed_at, second(870));
}

proptest! {
    /// Whatever the order in which events, lists and peers' patches of two eras are heard: what was seen to leave gets nothing,
    /// and after the last list is read when the store has settled, the book is that list.
    #[test]
    fn two_eras_in_any_order_end_with_what_the_store_holds(
        words in prop::collection::vec((1..=2_u32, 0..40_u64, 0..3_usize, any::<bool>(), 0..3_u8), 0..40),
        last in prop::collection::btree_set(0..3_usize, 0..3),
    ) {
        let names = ["a", "b", "c"];
        let mut book = TargetRegistry::default();
        let mut left = std::collections::HashSet::new();
        let mut era = 1;
        for (told_era, revision, name, leaves, kind) in words {
            if told_era > era {
                era = told_era;
                book.record_era_rise(UNTIL_MS);
            }
            let (name, version) = (names[name], Version::new(told_era, revision));
            let known = book.newest(name).is_none_or(|(_, target)| target.entry.version <= version);
            match kind {
                0 => {
                    book.apply_entry(entry(name, leaves, version), 10);
                    let is_in = book.newest(name).is_some();
                    if leaves && known && is_in {
                        left.insert(name);
                    }
                }
                1 => {
                    if book.unlist(name, version).is_some() {
                        left.remove(name);
                    }
                }
                _ => {
                    book.replace(vec![entry(name, false, version)], version, None, 10);
                }
            }
            // One that vanished while it left may come back, where lives name no births.
            left.retain(|name| book.newest(name).is_some_and(|(_, t)| t.state != TargetState::Gone));
            for name in &left {
                prop_assert!(!takes_work(&book, name), "{} leaves", name);
            }
        }
        let version = Version::new(3, 1);
        book.record_era_rise(20);
        let listed = last.iter().map(|at| entry(names[*at], false, version)).collect();
        book.replace(listed, version, None, 20);
        for (at, name) in names.iter().enumerate() {
            let is_listed = book.newest(name).is_some_and(|(_, t)| t.state != TargetState::Gone);
            prop_assert_eq!(is_listed, last.contains(&at), "{}", name);
        }
    }
}
