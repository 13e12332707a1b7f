use super::*;

const WINDOW_MS: u64 = 10_000;
const LEASE_MS: u64 = 60_000;

#[test]
fn a_new_incarnation_waits_for_one_window() {
    let claim = SlackClaim::registered(5_000, LEASE_MS, false);
    assert!(!claim.is_counted(WINDOW_MS, 14_999));
    assert!(claim.is_counted(WINDOW_MS, 15_000));
}

#[test]
fn the_first_box_of_a_fleet_does_not_wait() {
    let claim = SlackClaim::registered(5_000, LEASE_MS, true);
    assert!(claim.is_counted(WINDOW_MS, 5_000));
}

#[test]
fn a_box_without_a_key_has_no_share() {
    assert!(!SlackClaim::default().is_counted(WINDOW_MS, 90_000));
}

#[test]
fn a_share_ends_one_window_before_the_key_may_expire() {
    let mut claim = SlackClaim::registered(0, LEASE_MS, false);
    assert!(claim.is_counted(WINDOW_MS, 50_000));
    assert!(!claim.is_counted(WINDOW_MS, 50_001));
    claim.record_renewed(50_500, LEASE_MS);
    assert!(claim.is_counted(WINDOW_MS, 50_600));
}
