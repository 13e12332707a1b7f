use super::*;

/// A version of the first era.
pub(crate) fn at(revision: u64) -> Version {
    Version::new(0, revision)
}

pub(super) const NAME: &str = "a";
pub(super) fn incarnation(born: u64) -> TargetLife {
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
fn a_restarted_target_takes_work_with_a_clean_state() {
    let mut registry = TargetRegistry::default();
    registry.apply_entry(entry(NAME, 1, false, 1), 0);
    let (previous, _) = registry.newest(NAME).unwrap();
    registry.record_open(previous);
    registry.mark_leaving(previous);
    for at_ms in 0..9 {
        registry
            .get_mut(previous)
            .unwrap()
            .outlier
            .record_failure(at_ms);
    }
    let change = registry.apply_entry(entry(NAME, 2, false, 2), 10).unwrap();
    let (slot, target) = registry.newest(NAME).unwrap();
    assert_eq!(change, Change::Restarted { previous, slot });
    assert_eq!((target.state, target.open), (TargetState::Ready, 0));
    assert!(!target.outlier.is_ejected(10));
    assert_ne!(target.id, registry.get(previous).unwrap().id);
    // The previous incarnation is kept until its request ends.
    assert_eq!(registry.get(previous).unwrap().state, TargetState::Gone);
    registry.record_close(previous);
    assert!(registry.get(previous).is_none());
    assert_eq!(registry.newest(NAME).unwrap().0, slot);
}

#[test]
fn a_previous_incarnation_does_not_return_after_the_newest_was_removed() {
    let mut registry = TargetRegistry::default();
    registry.apply_entry(entry(NAME, 2, false, 5), 0);
    let (slot, _) = registry.newest(NAME).unwrap();
    registry.unlist(NAME, at(7));
    registry.remove_if_idle(slot);
    assert!(registry.newest(NAME).is_none());
    assert_eq!(registry.apply_entry(entry(NAME, 1, false, 9), 0), None);
    let back = registry.apply_entry(entry(NAME, 2, false, 10), 0);
    assert!(matches!(back, Some(Change::Added(_))));
}

#[test]
fn an_incarnation_that_left_and_was_removed_is_leaving_when_listed_again() {
    let mut registry = TargetRegistry::default();
    registry.apply_entry(entry(NAME, 1, true, 1), 0);
    let (slot, _) = registry.newest(NAME).unwrap();
    registry.unlist(NAME, at(2));
    registry.remove_if_idle(slot);
    let back = registry.apply_entry(entry(NAME, 1, false, 3), 0);
    assert!(matches!(back, Some(Change::Leaving(_))));
    assert_eq!(registry.leaving(), [incarnation(1)]);
}

#[test]
fn a_late_write_of_a_previous_incarnation_keeps_the_grace_period_of_a_lapsed_entry() {
    let mut registry = TargetRegistry::default();
    registry.apply_entry(entry(NAME, 2, false, 5), 0);
    registry.replace(Vec::new(), at(8), Some(2_000), 0);
    assert_eq!(registry.expired_missing(2_000).len(), 1);
    assert_eq!(registry.apply_entry(entry(NAME, 1, false, 9), 100), None);
    assert_eq!(registry.expired_missing(2_000).len(), 1);
    registry.apply_entry(entry(NAME, 2, false, 10), 200);
    assert!(registry.expired_missing(9_000).is_empty());
    assert_eq!(registry.newest(NAME).unwrap().1.state, TargetState::Ready);
}

#[test]
fn a_late_write_of_a_previous_incarnation_does_not_hide_the_next_one() {
    let mut registry = TargetRegistry::default();
    registry.apply_entry(entry(NAME, 1, false, 9), 0);
    let (previous, _) = registry.newest(NAME).unwrap();
    registry.apply_entry(entry(NAME, 2, false, 5), 0);
    registry.remove_if_idle(previous);
    let next = registry.apply_entry(entry(NAME, 3, false, 7), 0);
    assert!(matches!(next, Some(Change::Restarted { .. })));
}

#[test]
fn tombstones_take_bounded_memory_and_the_latest_are_kept() {
    let mut registry = TargetRegistry::default();
    let incarnation_of = |at: u64| TargetLife {
        instance: format!("n-{at}").into(),
        born_ms: Some(2),
    };
    for nth in 0..5_000 {
        registry.unlist_incarnation(&incarnation_of(nth), at(nth));
    }
    let late = TargetEntry {
        instance: "n-4999".into(),
        ..entry(NAME, 1, false, 9_000)
    };
    assert_eq!(registry.apply_entry(late, 0), None);
    assert!(registry.tombstones.len() <= 1_024);
}

#[test]
fn a_target_that_announced_leaving_takes_no_work_whatever_its_entry_says() {
    let mut registry = TargetRegistry::default();
    let entry_without_birth = |revision, leaves| TargetEntry {
        born_ms: None,
        ..entry(NAME, 0, leaves, revision)
    };
    registry.apply_entry(entry_without_birth(1, false), 0);
    let (slot, _) = registry.newest(NAME).unwrap();
    registry.record_open(slot);
    assert_eq!(
        registry.record_leaving_announcement(slot),
        Some(Change::Leaving(slot))
    );
    registry.apply_entry(entry_without_birth(2, false), 10);
    assert!(!registry.takes_work(registry.get(slot).unwrap()));
    // Its entry lapses while the store is unreachable, and is written again.
    registry.unlist(NAME, at(3));
    registry.apply_entry(entry_without_birth(4, false), 20);
    assert!(!registry.takes_work(registry.get(slot).unwrap()));
    assert_eq!(registry.leaving().len(), 1);
}

#[test]
fn a_list_with_an_older_page_claims_no_change_after_that_page() {
    let mut registry = TargetRegistry::default();
    let entries = vec![entry("a", 1, true, 9), entry("b", 1, false, 3)];
    registry.replace(entries, at(5), None, 0);
    assert_eq!((registry.changed_at, registry.current_to), (at(5), at(5)));
    // What is known from elsewhere stays known.
    let mut registry = TargetRegistry::default();
    registry.replace(vec![entry("a", 1, false, 8)], at(8), None, 0);
    registry.replace(vec![entry("a", 1, true, 9)], at(5), None, 0);
    assert_eq!((registry.changed_at, registry.current_to), (at(8), at(8)));
}
