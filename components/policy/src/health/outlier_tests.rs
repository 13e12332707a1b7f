use super::*;

#[test]
fn ejects_a_target_after_two_consecutive_failures_for_a_while() {
    let mut ejection = OutlierEjection::default();
    ejection.record_failure(0);
    assert!(!ejection.is_ejected(1));
    ejection.record_failure(1);
    assert!(ejection.is_ejected(2));
    assert!(!ejection.is_ejected(1_000));
}

#[test]
fn ejection_grows_with_consecutive_failures_up_to_the_maximum() {
    let mut ejection = OutlierEjection::default();
    for at_ms in 0..10 {
        ejection.record_failure(at_ms);
    }
    assert!(ejection.is_ejected(3_000));
    assert!(!ejection.is_ejected(5_000));
}

#[test]
fn ejects_a_target_that_fails_every_other_request() {
    let mut ejection = OutlierEjection::default();
    for at_ms in 0..10 {
        ejection.record_success();
        ejection.record_failure(at_ms);
    }
    assert!(ejection.is_ejected(11));
}

#[test]
fn keeps_a_target_that_fails_one_request_in_ten() {
    let mut ejection = OutlierEjection::default();
    for at_ms in 0..100 {
        for _ in 0..9 {
            ejection.record_success();
        }
        ejection.record_failure(at_ms);
    }
    assert!(!ejection.is_ejected(100));
}
