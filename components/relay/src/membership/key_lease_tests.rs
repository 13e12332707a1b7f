use super::*;
use crate::membership::members::Members;
use prelude::BoxId;

/// Renewals per minute by a hundred of `boxes` boxes, if each has met none but was told their number.
fn renewals_per_min(boxes: u32) -> f64 {
    let mut members = Members::new(BoxId(0), 100);
    members.record_reported_count(boxes - 1, 0);
    let terms = KeyTerms::for_factor(members.interval_factor());
    100.0 * 60.0 / terms.renew_interval().as_secs_f64()
}

#[test]
fn hundred_boxes_of_a_large_fleet_renew_at_most_twenty_times_a_minute() {
    for boxes in [1_000, 2_000] {
        assert!(renewals_per_min(boxes) <= 20.0, "{boxes}");
    }
    assert!(renewals_per_min(30) <= 300.0);
}

#[test]
fn lease_survives_a_lost_renewal() {
    for interval_factor in 1..=20 {
        let terms = KeyTerms::for_factor(interval_factor);
        let renew_s = terms.renew_interval().as_secs();
        assert!(terms.lease_s() >= 2 * renew_s, "{interval_factor}");
        assert!(terms.lease_s() <= LEASE_MAX_S);
    }
}

#[test]
fn lease_of_a_small_fleet_is_replaced_in_a_large_one() {
    let large_fleet = KeyTerms::for_factor(15);
    assert!(KeyTerms::SHORTEST.is_too_short_for(large_fleet));
    assert!(!KeyTerms::for_factor(8).is_too_short_for(large_fleet));
    assert!(!large_fleet.is_too_short_for(KeyTerms::SHORTEST));
}
