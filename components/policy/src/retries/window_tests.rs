use super::*;

const LIMIT: RetryLimit = RetryLimit {
    share: 0.2,
    extra: 80.0,
    window_ms: 10_000,
};

fn taken(window: &mut RetryWindow, boxes: usize, now_ms: u64) -> usize {
    std::iter::repeat_with(|| window.try_take(boxes, now_ms))
        .take_while(|taken| *taken)
        .count()
}

#[test]
fn allows_one_box_its_share_of_the_extra_retries() {
    let mut window = RetryWindow::new(LIMIT);
    assert_eq!(taken(&mut window, 8, 0), 8);
    assert_eq!(taken(&mut window, 8, 9_000), 0);
    assert_eq!(taken(&mut window, 8, 11_000), 8);
}

#[test]
fn allows_a_share_of_the_requests_in_the_window() {
    let mut window = RetryWindow::new(LIMIT);
    for at_ms in 0..100 {
        window.record_request(at_ms * 10);
    }
    assert_eq!(taken(&mut window, 8, 1_000), 24);
    assert_eq!(taken(&mut window, 8, 30_000), 8);
}
