use super::*;

#[test]
fn passes_over_a_target_that_fails_twice_and_tries_it_again() {
    let mut target = Suspicion::default();
    target.failed(0);
    assert!(!target.is_passed_over(1));
    target.failed(1);
    assert!(target.is_passed_over(2));
    assert!(!target.is_passed_over(1_000));
}

#[test]
fn waits_longer_for_a_target_that_goes_on_failing() {
    let mut target = Suspicion::default();
    for at_ms in 0..10 {
        target.failed(at_ms);
    }
    assert!(target.is_passed_over(3_000));
    assert!(!target.is_passed_over(5_000));
}

#[test]
fn sees_a_target_that_fails_every_other_request() {
    let mut target = Suspicion::default();
    for at_ms in 0..10 {
        target.succeeded();
        target.failed(at_ms);
    }
    assert!(target.is_passed_over(11));
}

#[test]
fn does_not_mind_a_rare_failure() {
    let mut target = Suspicion::default();
    for at_ms in 0..100 {
        for _ in 0..9 {
            target.succeeded();
        }
        target.failed(at_ms);
    }
    assert!(!target.is_passed_over(100));
}
