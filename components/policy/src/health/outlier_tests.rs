use super::*;

#[test]
fn passes_over_a_target_that_fails_twice_and_tries_it_again() {
    let mut target = OutlierEjection::default();
    target.record_failure(0);
    assert!(!target.is_ejected(1));
    target.record_failure(1);
    assert!(target.is_ejected(2));
    assert!(!target.is_ejected(1_000));
}

#[test]
fn waits_longer_for_a_target_that_goes_on_failing() {
    let mut target = OutlierEjection::default();
    for at_ms in 0..10 {
        target.record_failure(at_ms);
    }
    assert!(target.is_ejected(3_000));
    assert!(!target.is_ejected(5_000));
}

#[test]
fn sees_a_target_that_fails_every_other_request() {
    let mut target = OutlierEjection::default();
    for at_ms in 0..10 {
        target.record_success();
        target.record_failure(at_ms);
    }
    assert!(target.is_ejected(11));
}

#[test]
fn does_not_mind_a_rare_failure() {
    let mut target = OutlierEjection::default();
    for at_ms in 0..100 {
        for _ in 0..9 {
            target.record_success();
        }
        target.record_failure(at_ms);
    }
    assert!(!target.is_ejected(100));
}
