use super::*;

#[test]
fn failures_of_one_box_alone_do_not_deprioritize_a_target() {
    let mut suspicion = SharedSuspicion::default();
    for at_ms in 0..50 {
        suspicion.record_no_answer(7, at_ms);
    }
    assert!(!suspicion.is_deprioritized(50));
}

#[test]
fn failures_of_two_boxes_deprioritize_a_target_until_an_answer() {
    let mut suspicion = SharedSuspicion::default();
    suspicion.record_no_answer(7, 100);
    suspicion.record_no_answer(8, 400);
    assert!(suspicion.is_deprioritized(401));
    suspicion.clear();
    assert!(!suspicion.is_deprioritized(402));
}

#[test]
fn one_more_failure_deprioritizes_a_target_again_shortly_after() {
    let mut suspicion = SharedSuspicion::default();
    suspicion.record_no_answer(7, 100);
    suspicion.record_no_answer(8, 400);
    assert!(!suspicion.is_deprioritized(1_500));
    suspicion.record_no_answer(8, 1_600);
    assert!(suspicion.is_deprioritized(2_500));
}

#[test]
fn failures_of_two_boxes_that_are_far_apart_in_time_do_not_count_together() {
    let mut suspicion = SharedSuspicion::default();
    suspicion.record_no_answer(7, 100);
    suspicion.record_no_answer(8, 5_000);
    assert!(!suspicion.is_deprioritized(5_001));
}

#[test]
fn a_route_that_fails_at_all_targets_counts_against_none() {
    let mut overall = FailureRate::default();
    let mut target = RouteFailures::default();
    for at in 0..40 {
        overall.record(at % 5 == 0);
        target.record(1, at % 5 == 0);
    }
    assert!(overall.is_common());
    assert!(target.excess(1, overall) < 0.05);
}

#[test]
fn a_target_that_fails_one_route_has_excess_failures_on_that_route_only() {
    let mut overall = FailureRate::default();
    let mut target = RouteFailures::default();
    for at in 0..40 {
        overall.record(at % 4 == 0);
        target.record(1, true);
        target.record(2, false);
    }
    assert!(target.excess(1, overall) > 0.5);
    assert!(target.excess(2, FailureRate::default()) < 0.05);
}

#[test]
fn only_the_most_recently_used_routes_are_tracked() {
    let mut target = RouteFailures::default();
    for route in 0..100 {
        for _ in 0..6 {
            target.record(route, true);
        }
    }
    assert_eq!(target.rates().count(), 8);
}

#[test]
fn three_failures_in_a_row_raise_the_excess_and_one_does_not() {
    let mut overall = FailureRate::default();
    for at in 0..40 {
        overall.record(at % 7 == 0);
    }
    let mut target = RouteFailures::default();
    target.record(1, true);
    assert!(target.excess(1, overall) < 0.2);
    target.record(1, true);
    target.record(1, true);
    assert!(target.excess(1, overall) > 0.3);
}
