use super::*;

/// What the key of a box takes in an answer of the store.
const KEY_BYTES: usize = 250;
const LINK_BYTES_PER_S: f64 = 125_000_000.0;

#[test]
fn all_boxes_that_start_at_once_read_each_others_keys_within_the_stores_link() {
    for boxes in [30, 100, 300, 986, 2_000] {
        let bytes = (boxes * boxes * KEY_BYTES) as f64;
        let within_s = looks_within(boxes).as_secs_f64();
        assert!(
            bytes <= within_s * LINK_BYTES_PER_S,
            "{boxes}: {within_s} s"
        );
    }
}

#[test]
fn few_boxes_hardly_wait_for_each_other() {
    assert!(looks_within(100) <= Duration::from_millis(50));
    assert!(looks_within(300) <= Duration::from_millis(400));
}
