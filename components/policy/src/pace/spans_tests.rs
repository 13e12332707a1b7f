use super::*;

#[test]
fn returns_the_share_of_a_window_in_which_an_engine_was_prefilling() {
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
fn drops_old_spans() {
    let mut spans = PrefillSpans::default();
    for index in 0..100 {
        spans.set_prefilling(index % 2 == 0, index * 1_000);
    }
    assert!(spans.finished.len() <= 3);
}
