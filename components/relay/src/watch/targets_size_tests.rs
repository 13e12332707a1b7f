use super::*;
use crate::watch::listing::tests::{at, entry};
use rstest::rstest;

const NOW_MS: u64 = 10_000;
/// Engines in a list of 10,000; the others are plain targets.
const ENGINES: u64 = 9_000;

/// A list of so many targets, nine of ten of the service `model`.
fn book(targets: u64) -> TargetRegistry {
    let mut book = TargetRegistry::default();
    for serial in 0..targets {
        let mut entry = entry(&format!("t{serial}"), 1, false, serial + 1);
        if serial % 10 == 9 {
            entry.service = "records".into();
        }
        book.apply_entry(entry, NOW_MS);
    }
    book
}

fn slots(book: &TargetRegistry, most: usize) -> Vec<TargetSlot> {
    book.all().map(|(slot, _)| slot).take(most).collect()
}

/// Targets looked at by an act.
fn looks(book: &mut TargetRegistry, act: impl FnOnce(&mut TargetRegistry)) -> u64 {
    let before = book.checks();
    act(book);
    book.checks() - before
}

#[rstest]
#[case::targets_100(100)]
#[case::targets_1_000(1_000)]
#[case::targets_10_000(10_000)]
fn upkeep_looks_at_no_target_where_nothing_changed(#[case] targets: u64) {
    let mut book = book(targets);
    let looked = looks(&mut book, |book| {
        assert!(book.leaving().is_empty());
        assert!(book.expired_missing(NOW_MS).is_empty());
        assert!(book.due_probes(NOW_MS).is_empty());
        assert!(book.in_use().is_empty());
    });
    assert_eq!(looked, 0);
}

#[test]
fn upkeep_finds_those_of_10_000_that_it_is_for() {
    let mut book = book(10_000);
    let slots = slots(&book, 4);
    book.mark_leaving(slots[0]);
    let missing = Missing {
        until_ms: NOW_MS,
        version: at(20_000),
    };
    book.mark_missing("t1", missing);
    book.record_generation_failure(slots[2], EngineFault::Broke, NOW_MS);
    book.record_open(slots[3]);
    let looked = looks(&mut book, |book| {
        assert_eq!(book.leaving().len(), 1);
        assert_eq!(book.expired_missing(NOW_MS).len(), 1);
        assert_eq!(book.due_probes(NOW_MS), [slots[2]]);
        assert_eq!(book.in_use(), [slots[3]]);
    });
    assert!(looked <= 8, "{looked}");
    book.record_close(slots[3]);
    assert!(book.in_use().is_empty());
}

#[test]
fn the_targets_of_a_service_are_found_without_a_look_at_others() {
    let mut book = book(10_000);
    let looked = looks(&mut book, |book| {
        assert_eq!(
            book.of_service("records").count(),
            10_000 - ENGINES as usize
        );
    });
    assert_eq!(looked, 10_000 - ENGINES);
}

#[test]
fn a_target_that_has_gone_or_serves_another_service_is_found_there_no_more() {
    let mut book = book(10);
    book.unlist("t0", at(100));
    let gone = slots(&book, 1)[0];
    book.remove_if_idle(gone);
    let mut other = entry("t1", 1, false, 200);
    other.service = "records".into();
    book.apply_entry(other, NOW_MS);
    assert_eq!(book.of_service("model").count(), 7);
    assert_eq!(book.of_service("records").count(), 2);
}

#[test]
fn a_late_word_revives_no_target_while_thousands_of_others_go() {
    let mut book = book(10_000);
    for serial in 0..4_500 {
        let slot = book.slot_of(entry(&format!("t{serial}"), 1, false, 0).life().id());
        book.unlist(&format!("t{serial}"), at(20_000 + serial));
        book.remove_if_idle(slot.unwrap());
    }
    let late = entry("t0", 1, false, 15_000);
    assert_eq!(book.apply_entry(late, NOW_MS), None);
    assert_eq!(book.all().count(), 5_500);
}

#[test]
fn what_holds_for_a_time_is_told_until_it_is_over_and_once_more() {
    let mut book = book(10_000);
    let failed = slots(&book, 1)[0];
    let id = book.get(failed).unwrap().id;
    assert!(book.take_transient(NOW_MS).is_empty());
    book.record_generation_failure(failed, EngineFault::Broke, NOW_MS);
    let looked = looks(&mut book, |book| {
        assert_eq!(book.take_transient(NOW_MS), [id]);
        assert_eq!(book.take_transient(NOW_MS + 60_000), [id]);
        assert!(book.take_transient(NOW_MS + 60_000).is_empty());
    });
    assert!(looked <= 8, "{looked}");
}
