use super::*;

/// A version of the first era.
pub(crate) fn at(revision: u64) -> Version {
    Version::new(0, revision)
}

pub(super) const NAME: &str = "a";
pub(super) fn life(born: u64) -> TargetLife {
    TargetLife {
        instance: NAME.into(),
        born_ms: Some(born),
    }
}

pub(crate) fn entry(instance: &str, born: u64, leaves: bool, revision: u64) -> TargetEntry {
    TargetEntry {
        instance: instance.into(),
        born_ms: Some(born),
        service: "model".into(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "east".into(),
        slots: 24,
        phase: match leaves {
            true => TargetPhase::Leaving,
            false => TargetPhase::Ready,
        },
        cold_left_ms: 0,
        version: at(revision),
    }
}

#[test]
fn a_target_that_starts_again_under_its_name_takes_work_and_knows_nothing() {
    let mut book = TargetRegistry::default();
    book.apply_entry(entry(NAME, 1, false, 1), 0);
    let (previous, _) = book.newest(NAME).unwrap();
    book.record_open(previous);
    book.mark_leaving(previous);
    for at_ms in 0..9 {
        book.get_mut(previous)
            .unwrap()
            .outlier
            .record_failure(at_ms);
    }
    let change = book.apply_entry(entry(NAME, 2, false, 2), 10).unwrap();
    let (slot, target) = book.newest(NAME).unwrap();
    assert_eq!(change, Change::Restarted { previous, slot });
    assert_eq!((target.state, target.open), (TargetState::Ready, 0));
    assert!(!target.outlier.is_ejected(10));
    assert_ne!(target.id, book.get(previous).unwrap().id);
    // The previous life is kept until its request ends.
    assert_eq!(book.get(previous).unwrap().state, TargetState::Gone);
    book.record_close(previous);
    assert!(book.get(previous).is_none());
    assert_eq!(book.newest(NAME).unwrap().0, slot);
}

#[test]
fn a_former_life_does_not_come_back_once_all_lives_are_forgotten() {
    let mut book = TargetRegistry::default();
    book.apply_entry(entry(NAME, 2, false, 5), 0);
    let (slot, _) = book.newest(NAME).unwrap();
    book.unlist(NAME, at(7));
    book.remove_if_idle(slot);
    assert!(book.newest(NAME).is_none());
    assert_eq!(book.apply_entry(entry(NAME, 1, false, 9), 0), None);
    let back = book.apply_entry(entry(NAME, 2, false, 10), 0);
    assert!(matches!(back, Some(Change::Added(_))));
}

#[test]
fn a_life_that_left_and_vanished_stays_away_when_it_is_listed_again() {
    let mut book = TargetRegistry::default();
    book.apply_entry(entry(NAME, 1, true, 1), 0);
    let (slot, _) = book.newest(NAME).unwrap();
    book.unlist(NAME, at(2));
    book.remove_if_idle(slot);
    let back = book.apply_entry(entry(NAME, 1, false, 3), 0);
    assert!(matches!(back, Some(Change::Leaving(_))));
    assert_eq!(book.leaving(), [life(1)]);
}

#[test]
fn an_entry_that_lapsed_with_the_store_has_its_time_though_a_former_life_writes_late() {
    let mut book = TargetRegistry::default();
    book.apply_entry(entry(NAME, 2, false, 5), 0);
    book.replace(Vec::new(), at(8), Some(2_000), 0);
    assert_eq!(book.expired_missing(2_000).len(), 1);
    assert_eq!(book.apply_entry(entry(NAME, 1, false, 9), 100), None);
    assert_eq!(book.expired_missing(2_000).len(), 1);
    book.apply_entry(entry(NAME, 2, false, 10), 200);
    assert!(book.expired_missing(9_000).is_empty());
    assert_eq!(book.newest(NAME).unwrap().1.state, TargetState::Ready);
}

#[test]
fn a_former_life_that_wrote_late_does_not_hide_the_next_one() {
    let mut book = TargetRegistry::default();
    book.apply_entry(entry(NAME, 1, false, 9), 0);
    let (previous, _) = book.newest(NAME).unwrap();
    book.apply_entry(entry(NAME, 2, false, 5), 0);
    book.remove_if_idle(previous);
    let next = book.apply_entry(entry(NAME, 3, false, 7), 0);
    assert!(matches!(next, Some(Change::Restarted { .. })));
}

#[test]
fn words_of_many_names_take_bounded_memory_and_the_latest_are_kept() {
    let mut book = TargetRegistry::default();
    let named = |at: u64| TargetLife {
        instance: format!("n-{at}").into(),
        born_ms: Some(2),
    };
    for nth in 0..5_000 {
        book.unlist_incarnation(&named(nth), at(nth));
    }
    let late = TargetEntry {
        instance: "n-4999".into(),
        ..entry(NAME, 1, false, 9_000)
    };
    assert_eq!(book.apply_entry(late, 0), None);
    assert!(book.tombstones.len() <= 1_024);
}

#[test]
fn a_target_that_said_itself_that_it_leaves_takes_no_work_whatever_its_entry_says() {
    let mut book = TargetRegistry::default();
    let nameless = |revision, leaves| TargetEntry {
        born_ms: None,
        ..entry(NAME, 0, leaves, revision)
    };
    book.apply_entry(nameless(1, false), 0);
    let (slot, _) = book.newest(NAME).unwrap();
    book.record_open(slot);
    assert_eq!(
        book.record_leaving_announcement(slot),
        Some(Change::Leaving(slot))
    );
    book.apply_entry(nameless(2, false), 10);
    assert!(!book.takes_work(book.get(slot).unwrap()));
    // Its entry lapses while the store is away, and is written again.
    book.unlist(NAME, at(3));
    book.apply_entry(nameless(4, false), 20);
    assert!(!book.takes_work(book.get(slot).unwrap()));
    assert_eq!(book.leaving().len(), 1);
}
