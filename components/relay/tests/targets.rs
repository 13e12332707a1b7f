//! What a box believes of targets, one life at a time.

use prelude::{DataCentreId, Version};
use relay::{Change, ColdRate, TargetRegistry, TargetState};
use routing::{TargetEntry, TargetLife, TargetPhase};

/// A version of the first era.
fn at(revision: u64) -> Version {
    Version::new(0, revision)
}

fn entry(instance: &str, phase: TargetPhase, revision: u64) -> TargetEntry {
    TargetEntry {
        instance: instance.into(),
        born_ms: None,
        service: "records".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "hall".into(),
        slots: 4,
        phase,
        cold_left_ms: 0,
        version: at(revision),
    }
}

fn life(instance: &str) -> TargetLife {
    TargetLife {
        instance: instance.into(),
        born_ms: None,
    }
}

/// A service whose cold targets bear as many requests as come.
const WARM: ColdRate = ColdRate {
    rate_per_s: None,
    boxes: 1,
};

fn near() -> DataCentreId {
    DataCentreId::from_name("hall")
}

#[test]
fn a_life_that_leaves_never_takes_work_again() {
    let mut book = TargetRegistry::default();
    assert!(matches!(
        book.apply_entry(entry("a", TargetPhase::Ready, 1), 0),
        Some(Change::Added(_))
    ));
    assert!(matches!(
        book.apply_entry(entry("a", TargetPhase::Leaving, 2), 0),
        Some(Change::Leaving(_))
    ));
    assert_eq!(book.apply_entry(entry("a", TargetPhase::Ready, 3), 0), None);
    assert_eq!(book.choose("records", near(), &[], WARM, 0), None);
}

#[test]
fn an_older_word_changes_nothing() {
    let mut book = TargetRegistry::default();
    book.apply_entry(entry("a", TargetPhase::Ready, 5), 0);
    assert_eq!(
        book.apply_entry(entry("a", TargetPhase::Leaving, 4), 0),
        None
    );
    assert_eq!(book.unlist("a", at(4)), None);
    assert!(book.choose("records", near(), &[], WARM, 0).is_some());
}

#[test]
fn an_entry_that_is_missing_as_the_store_comes_back_takes_work_until_its_time_is_over() {
    let mut book = TargetRegistry::default();
    book.apply_entry(entry("a", TargetPhase::Ready, 1), 0);
    book.apply_entry(entry("b", TargetPhase::Ready, 2), 0);
    assert!(book.replace(Vec::new(), at(5), Some(2_000), 0).is_empty());
    assert!(book.choose("records", near(), &[], WARM, 0).is_some());
    assert!(book.expired_missing(1_999).is_empty());
    book.apply_entry(entry("a", TargetPhase::Ready, 6), 1_000);
    assert_eq!(book.expired_missing(2_000), [("b".into(), at(5))]);
    assert!(matches!(book.unlist("b", at(5)), Some(Change::Removed(_))));
    assert!(book.expired_missing(9_000).is_empty());
}

#[test]
fn a_target_that_leaves_is_gone_at_once_where_its_entry_is_missing() {
    let mut book = TargetRegistry::default();
    book.apply_entry(entry("a", TargetPhase::Leaving, 1), 0);
    assert_eq!(book.replace(Vec::new(), at(5), Some(2_000), 0).len(), 1);
}

#[test]
fn an_entry_that_vanished_may_come_back() {
    let mut book = TargetRegistry::default();
    book.apply_entry(entry("a", TargetPhase::Ready, 1), 0);
    let slot = book.choose("records", near(), &[], WARM, 0).unwrap();
    book.record_open(slot);
    assert_eq!(
        book.replace(Vec::new(), at(3), None, 0),
        [Change::Removed(slot)]
    );
    assert_eq!(book.get(slot).unwrap().state, TargetState::Gone);
    assert_eq!(
        book.apply_entry(entry("a", TargetPhase::Ready, 4), 0),
        Some(Change::Added(slot))
    );
}

#[test]
fn a_life_that_is_gone_is_kept_while_it_serves_something() {
    let mut book = TargetRegistry::default();
    book.apply_entry(entry("a", TargetPhase::Ready, 1), 0);
    let slot = book.choose("records", near(), &[], WARM, 0).unwrap();
    book.record_open(slot);
    book.unlist("a", at(2));
    book.remove_if_idle(slot);
    assert!(book.get(slot).is_some());
    book.record_close(slot);
    assert!(book.get(slot).is_none());
}

#[test]
fn a_peers_word_that_a_life_leaves_is_believed() {
    let mut book = TargetRegistry::default();
    book.apply_entry(entry("a", TargetPhase::Ready, 1), 0);
    book.apply_entry(entry("b", TargetPhase::Ready, 1), 0);
    assert_eq!(book.apply_leaving(&[life("a"), life("unknown")]).len(), 1);
    assert_eq!(book.leaving(), [life("a")]);
    let slot = book.choose("records", near(), &[], WARM, 0).unwrap();
    assert_eq!(&*book.get(slot).unwrap().entry.instance, "b");
}

#[test]
fn the_emptier_target_is_chosen_and_a_failing_one_is_passed_over() {
    let mut book = TargetRegistry::default();
    book.apply_entry(entry("a", TargetPhase::Ready, 1), 0);
    book.apply_entry(entry("b", TargetPhase::Ready, 1), 0);
    let first = book.choose("records", near(), &[], WARM, 0).unwrap();
    book.record_open(first);
    let second = book.choose("records", near(), &[], WARM, 0).unwrap();
    assert_ne!(first, second);
    for at_ms in 0..3 {
        book.get_mut(second).unwrap().outlier.record_failure(at_ms);
    }
    assert_eq!(book.choose("records", near(), &[], WARM, 10), Some(first));
    assert_eq!(
        book.choose("records", near(), &[first], WARM, 10),
        Some(second)
    );
}

#[test]
fn a_target_that_turns_cold_gets_what_it_bears() {
    let cold = ColdRate {
        rate_per_s: Some(10.0),
        boxes: 1,
    };
    let mut book = TargetRegistry::default();
    book.apply_entry(entry("a", TargetPhase::Ready, 1), 0);
    let slot = book.choose("records", near(), &[], cold, 0).unwrap();
    let turned = TargetEntry {
        cold_left_ms: 4_000,
        ..entry("a", TargetPhase::Ready, 2)
    };
    assert_eq!(book.apply_entry(turned, 0), Some(Change::TurnedCold(slot)));
    let mut sent = 0;
    for now_ms in (0..2_000).step_by(5) {
        if let Some(slot) = book.choose("records", near(), &[], cold, now_ms) {
            book.record_chosen(slot, cold, now_ms);
            sent += 1;
        }
    }
    assert!((10..=20).contains(&sent), "{sent} in two seconds");
    assert!(book.choose("records", near(), &[], cold, 4_001).is_some());
    assert!(book.choose("records", near(), &[], cold, 4_001).is_some());
}

#[test]
fn an_evacuated_target_is_never_chosen() {
    let mut book = TargetRegistry::default();
    book.apply_entry(entry("a", TargetPhase::Ready, 1), 0);
    book.evacuate([near()].into());
    assert_eq!(book.choose("records", near(), &[], WARM, 0), None);
    book.evacuate([].into());
    assert!(book.choose("records", near(), &[], WARM, 0).is_some());
}
