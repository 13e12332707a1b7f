use super::*;
use rstest::rstest;
use std::collections::HashMap;

/// So many boxes, evenly over some data centres.
fn boxes(count: u32, places: u32) -> Vec<(BoxId, DataCentreId)> {
    let mut boxes: Vec<_> = (0..count)
        .map(|at| (BoxId(at), DataCentreId(u64::from(at % places))))
        .collect();
    boxes.sort_by_key(|(_, place)| *place);
    boxes
}

#[test]
fn tells_a_few_boxes_one_by_one() {
    assert_eq!(broadcast_groups(&boxes(0, 1)).len(), 0);
    assert_eq!(broadcast_groups(&boxes(24, 3)).len(), 24);
}

#[rstest]
#[case(25, 1)]
#[case(77, 3)]
#[case(195, 5)]
#[case(361, 5)]
#[case(1_000, 7)]
fn tells_many_boxes_by_groups_that_hold_each_of_them_once(#[case] count: u32, #[case] places: u32) {
    let groups = broadcast_groups(&boxes(count, places));
    let mut told = groups.concat();
    told.sort();
    assert_eq!(told, (0..count).map(BoxId).collect::<Vec<_>>());
    // What the first box sends, and what each head does, grows with the root of their number.
    assert!(
        groups.len().pow(2) <= 9 * count as usize,
        "{} groups",
        groups.len()
    );
    let largest = groups.iter().map(Vec::len).max();
    assert!(largest <= Some(GROUP_BOXES_MIN), "{largest:?} in a group");
}

#[test]
fn what_is_passed_on_stays_in_its_data_centre() {
    let boxes = boxes(361, 5);
    let place: HashMap<BoxId, DataCentreId> = boxes.iter().copied().collect();
    for group in broadcast_groups(&boxes) {
        assert!(group.iter().all(|id| place[id] == place[&group[0]]));
    }
}

#[test]
fn the_first_boxes_of_a_data_centre_pass_on() {
    let boxes = boxes(60, 1);
    let heads: Vec<BoxId> = broadcast_groups(&boxes)
        .iter()
        .map(|group| group[0])
        .collect();
    assert_eq!(
        heads,
        (0..heads.len() as u32).map(BoxId).collect::<Vec<_>>()
    );
}

#[rstest]
#[case(195, 5)]
#[case(361, 5)]
#[case(986, 5)]
#[case(2_000, 7)]
fn news_for_many_boxes_cost_one_message_to_each_data_centre(
    #[case] count: u32,
    #[case] places: u32,
) {
    let told = data_centre_groups(&boxes(count, places));
    assert_eq!(told.len(), places as usize);
    let mut all = told.concat();
    all.sort();
    assert_eq!(all, (0..count).map(BoxId).collect::<Vec<_>>());
}

/// Messages that each box sends, and how many hands news go through, until all boxes of a data centre have them.
fn passed_on(group: &[u32], hands: u32, sent: &mut Vec<usize>) -> u32 {
    let parts = parts(&group[1..]);
    sent.push(parts.len());
    let deeper = parts.iter().map(|part| passed_on(part, hands + 1, sent));
    deeper.max().unwrap_or(hands)
}

#[rstest]
#[case(10)]
#[case(39)]
#[case(197)]
#[case(400)]
fn the_boxes_of_a_data_centre_pass_on_within_three_hands(#[case] count: u32) {
    let group: Vec<u32> = (0..count).collect();
    let mut sent = Vec::new();
    let hands = passed_on(&group, 1, &mut sent);
    assert!(hands <= 3, "{hands} hands");
    assert_eq!(sent.len(), count as usize, "each box is told once");
    let most = sent.iter().max().unwrap();
    assert!(*most <= 24, "{most} messages of one box");
}
