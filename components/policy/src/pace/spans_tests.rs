use super::*;

#[test]
fn tells_the_share_of_the_last_time_in_which_an_engine_read() {
    let mut spans = PrefillSpans::default();
    spans.set_prefilling(true, 1_000);
    spans.set_prefilling(true, 1_050);
    spans.set_prefilling(false, 1_100);
    assert_eq!(spans.share(200, 1_200), 0.5);
    assert_eq!(spans.share(100, 1_200), 0.0);
    spans.set_prefilling(true, 1_200);
    assert_eq!(spans.share(400, 1_400), 0.75);
}

#[test]
fn forgets_what_is_long_past() {
    let mut spans = PrefillSpans::default();
    for at in 0..100 {
        spans.set_prefilling(at % 2 == 0, at * 1_000);
    }
    assert!(spans.over.len() <= 3);
}
