use super::*;

#[test]
fn one_box_with_a_bad_link_spares_no_target() {
    let mut doubt = SharedSuspicion::default();
    for at_ms in 0..50 {
        doubt.record_no_answer(7, at_ms);
    }
    assert!(!doubt.is_deprioritized(50));
}

#[test]
fn two_boxes_spare_a_target_and_an_answer_takes_it_back() {
    let mut doubt = SharedSuspicion::default();
    doubt.record_no_answer(7, 100);
    doubt.record_no_answer(8, 400);
    assert!(doubt.is_deprioritized(401));
    doubt.clear();
    assert!(!doubt.is_deprioritized(402));
}

#[test]
fn a_target_that_is_tried_again_and_fails_is_spared_by_one_word() {
    let mut doubt = SharedSuspicion::default();
    doubt.record_no_answer(7, 100);
    doubt.record_no_answer(8, 400);
    assert!(!doubt.is_deprioritized(1_500));
    doubt.record_no_answer(8, 1_600);
    assert!(doubt.is_deprioritized(2_500));
}

#[test]
fn failures_long_apart_are_chance() {
    let mut doubt = SharedSuspicion::default();
    doubt.record_no_answer(7, 100);
    doubt.record_no_answer(8, 5_000);
    assert!(!doubt.is_deprioritized(5_001));
}

#[test]
fn a_route_that_fails_everywhere_is_no_sign_against_one_target() {
    let mut usual = FailureRate::default();
    let mut here = RouteFailures::default();
    for at in 0..40 {
        usual.record(at % 5 == 0);
        here.record(1, at % 5 == 0);
    }
    assert!(usual.is_common());
    assert!(here.excess(1, usual) < 0.05);
}

#[test]
fn a_target_that_fails_one_route_is_doubted_for_that_route_alone() {
    let mut usual = FailureRate::default();
    let mut here = RouteFailures::default();
    for at in 0..40 {
        usual.record(at % 4 == 0);
        here.record(1, true);
        here.record(2, false);
    }
    assert!(here.excess(1, usual) > 0.5);
    assert!(here.excess(2, FailureRate::default()) < 0.05);
}

#[test]
fn only_the_latest_routes_are_kept() {
    let mut here = RouteFailures::default();
    for route in 0..100 {
        for _ in 0..6 {
            here.record(route, true);
        }
    }
    assert_eq!(here.rates().count(), 8);
}

#[test]
fn three_failures_in_a_row_are_seen_and_one_is_chance() {
    let mut usual = FailureRate::default();
    for at in 0..40 {
        usual.record(at % 7 == 0);
    }
    let mut here = RouteFailures::default();
    here.record(1, true);
    assert!(here.excess(1, usual) < 0.2);
    here.record(1, true);
    here.record(1, true);
    assert!(here.excess(1, usual) > 0.3);
}
