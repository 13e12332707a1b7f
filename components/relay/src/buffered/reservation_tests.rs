use super::*;
use futures::FutureExt;

const KIB: u64 = 1024;

fn budget() -> Rc<BufferBudget> {
    BufferBudget::new(BufferLimits {
        box_bytes: 1024 * KIB,
        account_bytes: 512 * KIB,
    })
}

fn reservation_of(budget: &Rc<BufferBudget>, name: &str) -> BufferReservation {
    BufferReservation::new(budget, Some(AccountId::from_name(name)))
}

#[test]
fn a_small_request_is_admitted_while_another_account_exceeds_the_box_limit() {
    let budget = budget();
    let mut flood = reservation_of(&budget, "a");
    flood.add(2048 * KIB);
    let mut small = reservation_of(&budget, "b");
    assert!(small.reserve(8 * KIB).now_or_never().is_some());
    assert!(small.reserve(1).now_or_never().is_none());
    assert!(flood.is_contended() && !small.is_contended());
}

#[test]
fn a_waiting_reservation_resumes_when_another_is_dropped() {
    let budget = budget();
    let mut first = reservation_of(&budget, "a");
    assert!(first.reserve(500 * KIB).now_or_never().is_some());
    let mut second = reservation_of(&budget, "a");
    let mut waiting = Box::pin(second.reserve(100 * KIB));
    assert!(waiting.as_mut().now_or_never().is_none());
    drop(first);
    assert!(waiting.as_mut().now_or_never().is_some());
    drop(waiting);
    drop(second);
    assert_eq!(budget.usage().0, 0);
}

#[test]
fn a_waiting_reservation_resumes_when_the_limits_are_raised() {
    let budget = budget();
    let mut reservation = reservation_of(&budget, "a");
    let mut waiting = Box::pin(reservation.reserve(600 * KIB));
    assert!(waiting.as_mut().now_or_never().is_none());
    budget.set_limits(BufferLimits {
        box_bytes: 2048 * KIB,
        account_bytes: 1024 * KIB,
    });
    assert!(waiting.as_mut().now_or_never().is_some());
}

#[test]
fn a_body_counts_against_its_account_once_the_account_is_known() {
    let budget = budget();
    let mut flood = reservation_of(&budget, "a");
    flood.add(500 * KIB);
    let mut body = BufferReservation::new(&budget, None);
    assert!(body.reserve(100 * KIB).now_or_never().is_some());
    assert!(!body.assign_account(AccountId::from_name("a")));
    assert!(body.assign_account(AccountId::from_name("b")));
    assert_eq!(budget.usage().0, 600 * KIB);
}
