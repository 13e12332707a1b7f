use super::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use std::collections::HashMap;

/// How often the box that is asked most is asked, where so many boxes start at once.
fn asked_most(boxes: u32) -> usize {
    let all: Vec<BoxId> = (0..boxes).map(BoxId).collect();
    let mut random = StdRng::seed_from_u64(1);
    let mut times: HashMap<BoxId, usize> = HashMap::new();
    for _ in &all {
        // That a box is among its own others changes nothing here.
        for id in asked_of(&all, &mut random) {
            *times.entry(id).or_default() += 1;
        }
    }
    times.values().copied().max().unwrap_or_default()
}

#[rstest]
#[case(100)]
#[case(1_000)]
#[case(10_000)]
fn of_boxes_that_start_at_once_none_is_asked_by_more_than_a_few(#[case] boxes: u32) {
    assert!(asked_most(boxes) <= 5 * ASKED_MAX);
}

#[test]
fn a_box_asks_different_boxes_and_all_where_there_are_few() {
    let others: Vec<BoxId> = (0..50).map(BoxId).collect();
    let mut random = StdRng::seed_from_u64(1);
    let asked: BTreeSet<BoxId> = asked_of(&others, &mut random).into_iter().collect();
    assert_eq!(asked.len(), ASKED_MAX);
    assert_eq!(asked_of(&others[..2], &mut random).len(), 2);
}
