use super::*;
use crate::membership::members::Members;
use prelude::BoxId;

/// Calls a minute by which a hundred of so many boxes renew their keys, where one has met none and was told of all.
fn calls_per_min(boxes: u32) -> f64 {
    let mut members = Members::new(BoxId(0), 100);
    members.record_reported_count(boxes - 1, 0);
    let terms = KeyTerms::for_factor(members.interval_factor());
    100.0 * 60.0 / terms.renew_each().as_secs_f64()
}

#[test]
fn a_thousand_boxes_renew_twenty_times_a_minute_for_each_hundred() {
    for boxes in [1_000, 2_000] {
        assert!(calls_per_min(boxes) <= 20.0, "{boxes}");
    }
    assert!(calls_per_min(30) <= 300.0);
}

#[test]
fn a_lease_outlasts_a_renewal_that_is_lost() {
    for interval_factor in 1..=20 {
        let terms = KeyTerms::for_factor(interval_factor);
        let renew_s = terms.renew_each().as_secs();
        assert!(terms.lease_s() >= 2 * renew_s, "{interval_factor}");
        assert!(terms.lease_s() <= LEASE_MAX_S);
    }
}

#[test]
fn a_lease_taken_among_few_is_taken_anew_among_many() {
    let many = KeyTerms::for_factor(15);
    assert!(KeyTerms::SHORTEST.is_short_of(many));
    assert!(!KeyTerms::for_factor(8).is_short_of(many));
    assert!(!many.is_short_of(KeyTerms::SHORTEST));
}
