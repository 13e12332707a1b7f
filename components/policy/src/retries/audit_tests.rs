use super::*;

const LIMIT: RetryLimit = RetryLimit {
    share: 0.2,
    extra: 2.0,
    window_ms: 10_000,
};

#[test]
fn counts_retries_in_windows_at_any_phase() {
    let retries = [9_000, 9_001, 11_000];
    let excess = worst_retry_excess(&LIMIT, &[], &retries).unwrap();
    assert_eq!((excess.retries, excess.allowed), (3, 2.0));
    assert_eq!(
        worst_retry_excess(&LIMIT, &[], &[0, 1, 10_000, 10_001]),
        None
    );
}

#[test]
fn counts_requests_up_to_one_window_before_but_no_earlier() {
    let requests = [0, 1, 2, 3, 4];
    assert_eq!(
        worst_retry_excess(&LIMIT, &requests, &[9_000, 9_001, 9_002]),
        None
    );
    let late = [20_500, 20_501, 20_502];
    assert!(worst_retry_excess(&LIMIT, &requests, &late).is_some());
}
