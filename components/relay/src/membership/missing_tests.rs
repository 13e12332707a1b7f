use super::*;

fn at(revision: u64) -> Version {
    Version::new(0, revision)
}

/// Asks of a box that hears a digest each 250 ms for 10 s, while a change comes each 10 ms; it hears of each change by
/// broadcast so much later than others.
fn asks_of_one_that_hears(late_ms: u64) -> usize {
    let mut lacking = MissingChanges::default();
    let heard = |now_ms: u64| at(now_ms.saturating_sub(late_ms) / 10);
    let digests = (0..40).map(|turn| turn * 250);
    digests
        .filter(|now_ms| lacking.is_fetch_due(heard(*now_ms), at(now_ms / 10), *now_ms))
        .count()
}

#[test]
fn a_box_that_hears_of_all_changes_by_broadcast_asks_for_none() {
    assert_eq!(asks_of_one_that_hears(0), 0);
    assert_eq!(asks_of_one_that_hears(40), 0);
    assert_eq!(asks_of_one_that_hears(200), 0);
}

#[test]
fn a_box_that_missed_a_change_asks_for_it_at_a_digest_soon() {
    let mut lacking = MissingChanges::default();
    lacking.is_fetch_due(at(5), at(6), 1_000);
    assert!(lacking.is_fetch_due(at(5), at(6), 1_500));
    // Also where more changed meanwhile.
    let mut lacking = MissingChanges::default();
    lacking.is_fetch_due(at(5), at(6), 1_000);
    lacking.is_fetch_due(at(5), at(8), 1_250);
    assert!(lacking.is_fetch_due(at(5), at(9), 1_500));
}

#[test]
fn one_that_is_behind_another_only_has_nothing_to_ask_of_the_rest() {
    let mut lacking = MissingChanges::default();
    assert!(!lacking.is_fetch_due(at(5), at(6), 1_000));
    assert!(!lacking.is_fetch_due(at(5), at(5), 1_500));
}

/// Boxes of a fleet that ask whoever tells all of them something, where each lacks that.
fn ask_at_once(boxes: usize, lacks: MissingData, knows_list: bool) -> usize {
    let lots = (0..boxes).map(|at| at as f64 / boxes as f64);
    let asks = lots.filter(|lot| lacks.after_broadcast(knows_list, boxes, *lot).any());
    asks.count()
}

#[test]
fn a_box_that_tells_all_is_not_asked_by_all_for_what_each_lacks_at_a_start() {
    let lacks_boxes = MissingData {
        boxes: true,
        ..MissingData::default()
    };
    let lacks_list = MissingData {
        targets: true,
        ..MissingData::default()
    };
    for boxes in [100, 1_000, 2_000] {
        assert_eq!(ask_at_once(boxes, lacks_boxes, true), 0);
        assert_eq!(ask_at_once(boxes, lacks_list, false), 0);
    }
}

#[test]
fn a_change_that_a_box_missed_is_asked_for_as_soon_as_it_is_told_of() {
    let missed = MissingData {
        targets: true,
        table: true,
        boxes: true,
    };
    for at in 0..24 {
        let asked = missed.after_broadcast(true, 24, f64::from(at) / 24.0);
        assert!(asked.targets && asked.table);
        assert!(missed.after_broadcast(false, 24, 0.0).table);
    }
}

#[test]
fn a_change_that_all_missed_is_asked_for_by_some_boxes_who_tell_the_others() {
    let missed = MissingData {
        targets: true,
        ..MissingData::default()
    };
    for boxes in [100, 1_000, 2_000] {
        let asks = ask_at_once(boxes, missed, true);
        assert!((1..=48).contains(&asks), "{asks} of {boxes}");
    }
}
