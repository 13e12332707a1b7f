use super::*;

const LIMIT: RetryLimit = RetryLimit {
    share: 0.2,
    extra: 80.0,
    window_ms: 10_000,
};

const ONE_UNTIL_1000_MS: RetryLoan = RetryLoan {
    amount: 1.0,
    until_ms: 1_000,
};

fn send(window: &mut RetryWindow, boxes: Option<usize>, now_ms: u64) -> bool {
    match window.try_take(boxes, now_ms) {
        Some(taken) => {
            window.record_sent(taken, now_ms);
            true
        }
        None => false,
    }
}

fn sent(window: &mut RetryWindow, boxes: Option<usize>, now_ms: u64) -> usize {
    std::iter::repeat_with(|| send(window, boxes, now_ms))
        .take_while(|sent| *sent)
        .count()
}

#[test]
fn allows_one_box_its_share_of_the_extra_retries() {
    let mut window = RetryWindow::new(LIMIT);
    assert_eq!(sent(&mut window, Some(8), 0), 10);
    assert_eq!(sent(&mut window, Some(8), 9_000), 0);
    assert_eq!(sent(&mut window, Some(8), 11_000), 10);
}

#[test]
fn allows_a_share_of_the_requests_in_the_window() {
    let mut window = RetryWindow::new(LIMIT);
    for at_ms in 0..100 {
        window.record_request(at_ms * 10);
    }
    assert_eq!(sent(&mut window, Some(8), 1_000), 20);
    assert_eq!(sent(&mut window, Some(8), 30_000), 10);
}

#[test]
fn a_box_without_a_share_of_the_extra_retries_earns_them_by_its_requests() {
    let mut window = RetryWindow::new(LIMIT);
    assert_eq!(sent(&mut window, None, 0), 0);
    (0..25).for_each(|_| window.record_request(100));
    assert_eq!(sent(&mut window, None, 200), 2);
}

#[test]
fn a_retry_that_is_not_sent_is_given_back() {
    let mut window = RetryWindow::new(LIMIT);
    let taken = window.try_take(Some(80), 0).unwrap();
    assert_eq!(window.try_take(Some(80), 0), None);
    window.give_back(taken);
    assert!(window.try_take(Some(80), 0).is_some());
}

#[test]
fn a_retry_counts_from_when_it_is_sent() {
    let mut window = RetryWindow::new(LIMIT);
    let taken = window.try_take(Some(80), 0).unwrap();
    window.record_sent(taken, 5_000);
    assert_eq!(window.try_take(Some(80), 11_000), None);
    assert!(window.try_take(Some(80), 16_000).is_some());
}

#[test]
fn retries_that_were_lent_are_missing_at_the_lender_until_the_loan_has_left_the_window() {
    let mut lender = RetryWindow::new(LIMIT);
    let loan = lender.lend(4.0, Some(20), 0);
    assert_eq!(loan.amount, 4.0);
    assert_eq!(lender.lend(1.0, Some(20), 10_500).amount, 0.0);
    let mut borrower = RetryWindow::new(LIMIT);
    borrower.add_loan(loan);
    assert_eq!(sent(&mut borrower, None, 500), 4);
    assert_eq!(lender.lend(1.0, Some(20), 11_600).amount, 1.0);
}

#[test]
fn a_loan_that_expired_is_not_used() {
    let mut borrower = RetryWindow::new(LIMIT);
    borrower.add_loan(ONE_UNTIL_1000_MS);
    assert_eq!(borrower.missing(None, 999), 0.0);
    assert_eq!(borrower.missing(None, 1_000), 1.0);
    assert_eq!(borrower.try_take(None, 1_000), None);
}

#[test]
fn a_retry_with_an_expired_loan_counts_at_its_own_box() {
    let mut borrower = RetryWindow::new(LIMIT);
    borrower.add_loan(ONE_UNTIL_1000_MS);
    let taken = borrower.try_take(None, 0).unwrap();
    borrower.record_sent(taken, 2_000);
    assert_eq!(borrower.counts(2_000).retries, 1.0);
}

#[test]
fn a_box_that_needs_its_retries_lends_half_of_them() {
    let mut lender = RetryWindow::new(LIMIT);
    assert!(send(&mut lender, Some(16), 0));
    assert_eq!(lender.lend(9.0, Some(16), 100).amount, 2.0);
}

#[test]
fn the_largest_number_of_boxes_in_the_window_divides_the_extra_retries() {
    let mut window = RetryWindow::new(LIMIT);
    assert_eq!(sent(&mut window, Some(16), 0), 5);
    assert_eq!(sent(&mut window, Some(8), 9_000), 0);
    assert_eq!(sent(&mut window, Some(8), 10_600), 10);
}

#[test]
fn a_changed_window_begins_without_extra_retries() {
    let mut window = RetryWindow::new(LIMIT);
    assert_eq!(sent(&mut window, Some(8), 0), 10);
    let limit = RetryLimit {
        window_ms: 2_000,
        ..LIMIT
    };
    window.set_limit(limit, 1_000);
    assert_eq!(sent(&mut window, Some(8), 10_000), 0);
    assert_eq!(sent(&mut window, Some(8), 11_000), 10);
}

#[test]
fn boxes_that_have_less_than_one_retry_each_put_them_together() {
    let mut one = RetryWindow::new(LIMIT);
    let mut other = RetryWindow::new(LIMIT);
    let offered = one.offer(Some(160), 0).unwrap();
    assert_eq!(offered.amount, 0.5);
    assert_eq!(one.missing(Some(160), 0), 1.0);
    other.add_loan(offered);
    assert!(send(&mut other, Some(160), 500));
    assert!(!send(&mut other, Some(160), 500));
}
