use super::*;

const ENGINE: TargetId = TargetId(1);

#[test]
fn forgets_what_was_removed() {
    let mut index = PrefixIndex::default();
    index.event(ENGINE, 1, 9, true, 0);
    assert_eq!(index.worth(ENGINE, 9, 0), 1.0);
    index.event(ENGINE, 2, 9, false, 0);
    assert_eq!(index.worth(ENGINE, 9, 0), 0.0);
}

#[test]
fn trusts_hints_less_after_a_gap() {
    let mut index = PrefixIndex::default();
    index.event(ENGINE, 1, 9, true, 0);
    index.event(ENGINE, 5, 8, true, 0);
    assert_eq!(index.worth(ENGINE, 9, 0), WORTH_AFTER_GAP);
}

#[test]
fn stays_within_its_bound() {
    let mut index = PrefixIndex::default();
    for prefix in 0..3 * ENTRIES_MAX as u64 {
        index.note(ENGINE, prefix, prefix);
    }
    assert!(index.hints.len() <= ENTRIES_MAX);
}
