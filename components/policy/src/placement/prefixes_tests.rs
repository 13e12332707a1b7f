use super::*;

const ENGINE: TargetId = TargetId(1);

#[test]
fn a_removed_prefix_has_no_confidence() {
    let mut index = PrefixIndex::default();
    index.apply_event(ENGINE, 1, 9, true, 0);
    assert_eq!(index.confidence(ENGINE, 9, 0), 1.0);
    index.apply_event(ENGINE, 2, 9, false, 0);
    assert_eq!(index.confidence(ENGINE, 9, 0), 0.0);
}

#[test]
fn an_event_gap_reduces_confidence() {
    let mut index = PrefixIndex::default();
    index.apply_event(ENGINE, 1, 9, true, 0);
    index.apply_event(ENGINE, 5, 8, true, 0);
    assert_eq!(index.confidence(ENGINE, 9, 0), CONFIDENCE_AFTER_GAP);
}

#[test]
fn stays_within_its_size_limit() {
    let mut index = PrefixIndex::default();
    for prefix in 0..3 * ENTRIES_MAX as u64 {
        index.record_prompt(ENGINE, prefix, prefix);
    }
    assert!(index.hints.len() <= ENTRIES_MAX);
}
