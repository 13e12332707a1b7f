use super::*;
use rstest::rstest;
use std::collections::HashMap;

/// `count` boxes, spread evenly over `data_centres` data centres.
fn boxes(count: u32, data_centres: u32) -> Vec<(BoxId, DataCentreId)> {
    let mut boxes: Vec<_> = (0..count)
        .map(|at| (BoxId(at), DataCentreId(u64::from(at % data_centres))))
        .collect();
    boxes.sort_by_key(|(_, data_centre)| *data_centre);
    boxes
}

#[test]
fn few_boxes_are_sent_to_directly() {
    assert_eq!(broadcast_groups(&boxes(0, 1)).len(), 0);
    assert_eq!(broadcast_groups(&boxes(24, 3)).len(), 24);
}

#[rstest]
#[case(25, 1)]
#[case(77, 3)]
#[case(195, 5)]
#[case(361, 5)]
#[case(1_000, 7)]
fn groups_contain_each_of_many_boxes_once(#[case] count: u32, #[case] data_centres: u32) {
    let groups = broadcast_groups(&boxes(count, data_centres));
    let mut recipients = groups.concat();
    recipients.sort();
    assert_eq!(recipients, (0..count).map(BoxId).collect::<Vec<_>>());
    // The messages of the sender, and those of each head, grow with the square root of the number of boxes.
    assert!(
        groups.len().pow(2) <= 9 * count as usize,
        "{} groups",
        groups.len()
    );
    let largest = groups.iter().map(Vec::len).max();
    assert!(largest <= Some(GROUP_SIZE_MIN), "{largest:?} in a group");
}

#[test]
fn groups_do_not_span_data_centres() {
    let boxes = boxes(361, 5);
    let data_centre: HashMap<BoxId, DataCentreId> = boxes.iter().copied().collect();
    for group in broadcast_groups(&boxes) {
        assert!(
            group
                .iter()
                .all(|id| data_centre[id] == data_centre[&group[0]])
        );
    }
}

#[test]
fn the_first_boxes_of_a_data_centre_head_the_groups() {
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
fn broadcast_to_many_boxes_sends_one_message_to_each_data_centre(
    #[case] count: u32,
    #[case] data_centres: u32,
) {
    let recipients = data_centre_groups(&boxes(count, data_centres));
    assert_eq!(recipients.len(), data_centres as usize);
    let mut all = recipients.concat();
    all.sort();
    assert_eq!(all, (0..count).map(BoxId).collect::<Vec<_>>());
}

/// Simulates the forwarding within a data centre: appends the messages of each box to `sent`, and returns the number of hops
/// until all boxes are reached.
fn forward(group: &[u32], hops: u32, sent: &mut Vec<usize>) -> u32 {
    let groups = forward_groups(&group[1..]);
    sent.push(groups.len());
    let deeper = groups.iter().map(|group| forward(group, hops + 1, sent));
    deeper.max().unwrap_or(hops)
}

#[rstest]
#[case(10)]
#[case(39)]
#[case(197)]
#[case(400)]
fn all_boxes_of_a_data_centre_are_reached_within_three_hops(#[case] count: u32) {
    let group: Vec<u32> = (0..count).collect();
    let mut sent = Vec::new();
    let hops = forward(&group, 1, &mut sent);
    assert!(hops <= 3, "{hops} hops");
    assert_eq!(sent.len(), count as usize, "each box receives it once");
    let max_sent = sent.iter().max().unwrap();
    assert!(*max_sent <= 24, "{max_sent} messages of one box");
}
