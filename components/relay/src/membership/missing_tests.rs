use super::*;

fn at(revision: u64) -> Version {
    Version::new(0, revision)
}

/// Fetches of a box that receives a digest every 250 ms for 10 s, while a change is made every 10 ms; the box receives each
/// change by broadcast `delay_ms` later than others.
fn fetches_with_broadcast_delay(delay_ms: u64) -> usize {
    let mut missing_changes = MissingChanges::default();
    let received = |now_ms: u64| at(now_ms.saturating_sub(delay_ms) / 10);
    let digests = (0..40).map(|turn| turn * 250);
    digests
        .filter(|now_ms| missing_changes.is_fetch_due(received(*now_ms), at(now_ms / 10), *now_ms))
        .count()
}

#[test]
fn box_that_receives_all_broadcasts_fetches_nothing() {
    assert_eq!(fetches_with_broadcast_delay(0), 0);
    assert_eq!(fetches_with_broadcast_delay(40), 0);
    assert_eq!(fetches_with_broadcast_delay(200), 0);
}

#[test]
fn missed_change_is_fetched_at_a_digest_after_the_broadcast_delay() {
    let mut missing_changes = MissingChanges::default();
    missing_changes.is_fetch_due(at(5), at(6), 1_000);
    assert!(missing_changes.is_fetch_due(at(5), at(6), 1_500));
    // Also if further changes were made in between.
    let mut missing_changes = MissingChanges::default();
    missing_changes.is_fetch_due(at(5), at(6), 1_000);
    missing_changes.is_fetch_due(at(5), at(8), 1_250);
    assert!(missing_changes.is_fetch_due(at(5), at(9), 1_500));
}

#[test]
fn nothing_is_fetched_from_a_box_that_is_not_ahead() {
    let mut missing_changes = MissingChanges::default();
    assert!(!missing_changes.is_fetch_due(at(5), at(6), 1_000));
    assert!(!missing_changes.is_fetch_due(at(5), at(5), 1_500));
}

/// How many of `boxes` boxes fetch at once from the sender of a broadcast, if each has the same data missing.
fn immediate_fetches(boxes: usize, missing: MissingData, knows_list: bool) -> usize {
    let randoms = (0..boxes).map(|at| at as f64 / boxes as f64);
    let fetches =
        randoms.filter(|random| missing.after_broadcast(knows_list, boxes, *random).any());
    fetches.count()
}

#[test]
fn broadcast_at_a_fleet_start_triggers_no_fetches_of_lists_or_boxes() {
    let missing_boxes = MissingData {
        boxes: true,
        ..MissingData::default()
    };
    let missing_list = MissingData {
        targets: true,
        ..MissingData::default()
    };
    for boxes in [100, 1_000, 2_000] {
        assert_eq!(immediate_fetches(boxes, missing_boxes, true), 0);
        assert_eq!(immediate_fetches(boxes, missing_list, false), 0);
    }
}

#[test]
fn small_fleet_fetches_a_missed_change_at_once() {
    let missed = MissingData {
        targets: true,
        table: true,
        boxes: true,
    };
    for at in 0..24 {
        let fetch = missed.after_broadcast(true, 24, f64::from(at) / 24.0);
        assert!(fetch.targets && fetch.table);
        assert!(missed.after_broadcast(false, 24, 0.0).table);
    }
}

#[test]
fn change_missed_by_all_is_fetched_by_a_sample_of_boxes() {
    let missed = MissingData {
        targets: true,
        ..MissingData::default()
    };
    for boxes in [100, 1_000, 2_000] {
        let fetches = immediate_fetches(boxes, missed, true);
        assert!((1..=48).contains(&fetches), "{fetches} of {boxes}");
    }
}
