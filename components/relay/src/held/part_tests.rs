use super::*;
use futures::FutureExt;

const KIB: u64 = 1024;

fn holdings() -> Rc<Holdings> {
    Holdings::new(Bounds {
        box_bytes: 1024 * KIB,
        account_bytes: 512 * KIB,
    })
}

fn of(holdings: &Rc<Holdings>, name: &str) -> Held {
    Held::new(holdings, Some(AccountId::from_name(name)))
}

#[test]
fn a_small_request_passes_beside_a_flood() {
    let holdings = holdings();
    let mut flood = of(&holdings, "a");
    flood.take(2048 * KIB);
    let mut small = of(&holdings, "b");
    assert!(small.wait(8 * KIB).now_or_never().is_some());
    assert!(small.wait(1).now_or_never().is_none());
    assert!(flood.is_wanted() && !small.is_wanted());
}

#[test]
fn who_waits_goes_on_when_another_is_dropped() {
    let holdings = holdings();
    let mut first = of(&holdings, "a");
    assert!(first.wait(500 * KIB).now_or_never().is_some());
    let mut second = of(&holdings, "a");
    let mut waiting = Box::pin(second.wait(100 * KIB));
    assert!(waiting.as_mut().now_or_never().is_none());
    drop(first);
    assert!(waiting.as_mut().now_or_never().is_some());
    drop(waiting);
    drop(second);
    assert_eq!(holdings.fill().0, 0);
}

#[test]
fn who_waits_goes_on_when_the_bounds_are_raised() {
    let holdings = holdings();
    let mut held = of(&holdings, "a");
    let mut waiting = Box::pin(held.wait(600 * KIB));
    assert!(waiting.as_mut().now_or_never().is_none());
    holdings.set_bounds(Bounds {
        box_bytes: 2048 * KIB,
        account_bytes: 1024 * KIB,
    });
    assert!(waiting.as_mut().now_or_never().is_some());
}

#[test]
fn a_body_is_counted_for_its_account_once_that_is_known() {
    let holdings = holdings();
    let mut flood = of(&holdings, "a");
    flood.take(500 * KIB);
    let mut body = Held::new(&holdings, None);
    assert!(body.wait(100 * KIB).now_or_never().is_some());
    assert!(!body.belongs_to(AccountId::from_name("a")));
    assert!(body.belongs_to(AccountId::from_name("b")));
    assert_eq!(holdings.fill().0, 600 * KIB);
}
