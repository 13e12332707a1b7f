use super::*;

fn boxes(count: u32) -> Vec<BoxId> {
    (0..count).map(BoxId).collect()
}

#[test]
fn tells_a_few_boxes_one_by_one() {
    assert_eq!(groups(&boxes(0)).len(), 0);
    assert_eq!(groups(&boxes(24)).len(), 24);
}

#[test]
fn tells_many_boxes_by_groups_that_hold_each_of_them_once() {
    for count in [25, 77, 299] {
        let groups = groups(&boxes(count));
        assert!(groups.len() <= GROUPS);
        assert_eq!(groups.concat(), boxes(count));
    }
}
