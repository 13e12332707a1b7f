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
    let mut book = TargetBook::default();
    book.listed(entry(NAME, 1, false, 1), 0);
    let (former, _) = book.newest(NAME).unwrap();
    book.opened(former);
    book.leaves(former);
    for at_ms in 0..9 {
        book.get_mut(former)
            .unwrap()
            .suspicion
            .record_failure(at_ms);
    }
    let change = book.listed(entry(NAME, 2, false, 2), 10).unwrap();
    let (slot, target) = book.newest(NAME).unwrap();
    assert_eq!(change, Change::Restarted { former, slot });
    assert_eq!((target.belief, target.open), (Belief::Ready, 0));
    assert!(!target.suspicion.is_ejected(10));
    assert_ne!(target.id, book.get(former).unwrap().id);
    // The former life is kept until its request ends.
    assert_eq!(book.get(former).unwrap().belief, Belief::Gone);
    book.closed(former);
    assert!(book.get(former).is_none());
    assert_eq!(book.newest(NAME).unwrap().0, slot);
}

#[test]
fn a_former_life_does_not_come_back_once_all_lives_are_forgotten() {
    let mut book = TargetBook::default();
    book.listed(entry(NAME, 2, false, 5), 0);
    let (slot, _) = book.newest(NAME).unwrap();
    book.unlisted(NAME, at(7));
    book.sweep(slot);
    assert!(book.newest(NAME).is_none());
    assert_eq!(book.listed(entry(NAME, 1, false, 9), 0), None);
    let back = book.listed(entry(NAME, 2, false, 10), 0);
    assert!(matches!(back, Some(Change::Came(_))));
}

#[test]
fn a_life_that_left_and_vanished_stays_away_when_it_is_listed_again() {
    let mut book = TargetBook::default();
    book.listed(entry(NAME, 1, true, 1), 0);
    let (slot, _) = book.newest(NAME).unwrap();
    book.unlisted(NAME, at(2));
    book.sweep(slot);
    let back = book.listed(entry(NAME, 1, false, 3), 0);
    assert!(matches!(back, Some(Change::Leaves(_))));
    assert_eq!(book.leaving(), [life(1)]);
}

#[test]
fn an_entry_that_lapsed_with_the_store_has_its_time_though_a_former_life_writes_late() {
    let mut book = TargetBook::default();
    book.listed(entry(NAME, 2, false, 5), 0);
    book.replace(Vec::new(), at(8), Some(2_000), 0);
    assert_eq!(book.still_missing(2_000).len(), 1);
    assert_eq!(book.listed(entry(NAME, 1, false, 9), 100), None);
    assert_eq!(book.still_missing(2_000).len(), 1);
    book.listed(entry(NAME, 2, false, 10), 200);
    assert!(book.still_missing(9_000).is_empty());
    assert_eq!(book.newest(NAME).unwrap().1.belief, Belief::Ready);
}

#[test]
fn a_former_life_that_wrote_late_does_not_hide_the_next_one() {
    let mut book = TargetBook::default();
    book.listed(entry(NAME, 1, false, 9), 0);
    let (former, _) = book.newest(NAME).unwrap();
    book.listed(entry(NAME, 2, false, 5), 0);
    book.sweep(former);
    let next = book.listed(entry(NAME, 3, false, 7), 0);
    assert!(matches!(next, Some(Change::Restarted { .. })));
}

#[test]
fn words_of_many_names_take_bounded_memory_and_the_latest_are_kept() {
    let mut book = TargetBook::default();
    let named = |at: u64| TargetLife {
        instance: format!("n-{at}").into(),
        born_ms: Some(2),
    };
    for nth in 0..5_000 {
        book.life_unlisted(&named(nth), at(nth));
    }
    let late = TargetEntry {
        instance: "n-4999".into(),
        ..entry(NAME, 1, false, 9_000)
    };
    assert_eq!(book.listed(late, 0), None);
    assert!(book.pasts.len() <= 1_024);
}

#[test]
fn a_target_that_said_itself_that_it_leaves_takes_no_work_whatever_its_entry_says() {
    let mut book = TargetBook::default();
    let nameless = |revision, leaves| TargetEntry {
        born_ms: None,
        ..entry(NAME, 0, leaves, revision)
    };
    book.listed(nameless(1, false), 0);
    let (slot, _) = book.newest(NAME).unwrap();
    book.opened(slot);
    assert_eq!(book.says_it_leaves(slot), Some(Change::Leaves(slot)));
    book.listed(nameless(2, false), 10);
    assert!(!book.takes_work(book.get(slot).unwrap()));
    // Its entry lapses while the store is away, and is written again.
    book.unlisted(NAME, at(3));
    book.listed(nameless(4, false), 20);
    assert!(!book.takes_work(book.get(slot).unwrap()));
    assert_eq!(book.leaving().len(), 1);
}
