use super::*;

fn target(id: u64) -> TargetId {
    TargetId(id)
}

/// Fails connections to five targets of ten, 10 ms apart.
fn fail_five(path: &mut Reachability, from_ms: u64) {
    for at in 0..5 {
        assert_eq!(path.record_failure(target(at), 10, from_ms + at * 10), None);
    }
}

/// Fails connections until the service is lost, 200 ms after the first failure.
fn lose(path: &mut Reachability, from_ms: u64) -> Option<ReachabilityChange> {
    fail_five(path, from_ms);
    path.record_failure(target(0), 10, from_ms + 200)
}

#[test]
fn a_service_is_lost_when_five_targets_fail_and_a_later_failure_confirms_it() {
    let mut path = Reachability::default();
    assert_eq!(
        lose(&mut path, 1_000),
        Some(ReachabilityChange::Lost {
            failed_targets: 5,
            evidence_age_ms: 200
        })
    );
    assert!(path.is_lost());
}

#[test]
fn repeated_failures_of_one_target_do_not_lose_a_service() {
    let mut path = Reachability::default();
    for at_ms in (0..5_000).step_by(10) {
        assert_eq!(path.record_failure(target(1), 10, at_ms), None);
    }
    assert!(path.is_suspected(5_000));
}

#[test]
fn a_success_between_failures_discards_them() {
    let mut path = Reachability::default();
    fail_five(&mut path, 0);
    path.record_success(100);
    assert_eq!(path.record_failure(target(3), 10, 200), None);
}

#[test]
fn concurrent_failures_of_five_targets_await_the_successes_of_others() {
    let mut path = Reachability::default();
    fail_five(&mut path, 0);
    assert_eq!(path.record_failure(target(5), 10, 100), None);
    path.record_success(110);
    assert_eq!(path.record_failure(target(0), 10, 300), None);
}

#[test]
fn failures_that_are_not_confirmed_expire() {
    let mut path = Reachability::default();
    fail_five(&mut path, 0);
    assert!(!path.is_suspected(2_100));
    assert_eq!(path.record_failure(target(3), 10, 2_100), None);
}

#[test]
fn a_service_with_two_targets_is_lost_when_both_fail() {
    let mut path = Reachability::default();
    assert_eq!(path.record_failure(target(1), 2, 0), None);
    assert_eq!(path.record_failure(target(2), 2, 10), None);
    assert!(path.record_failure(target(1), 2, 200).is_some());
}

#[test]
fn a_lost_service_is_used_again_after_connections_succeed_for_the_recovery_period() {
    let mut path = Reachability::default();
    lose(&mut path, 0);
    assert_eq!(path.record_success(1_000), None);
    assert_eq!(
        path.record_success(1_000 + RECOVERY_MS),
        Some(ReachabilityChange::Restored {
            lost_ms: 1_000 + RECOVERY_MS - 200
        })
    );
}

#[test]
fn a_failure_restarts_the_recovery_period() {
    let mut path = Reachability::default();
    lose(&mut path, 0);
    path.record_success(1_000);
    path.record_failure(target(1), 10, 1_100);
    assert_eq!(path.record_success(1_300), None);
}

#[test]
fn a_path_that_flaps_recovers_more_slowly_up_to_a_bound() {
    let mut path = Reachability::default();
    let mut now_ms = 0;
    let mut recoveries = Vec::new();
    for _ in 0..6 {
        lose(&mut path, now_ms);
        let healed_ms = now_ms + 500;
        let restored_ms = (healed_ms..)
            .step_by(50)
            .find(|at_ms| path.record_success(*at_ms).is_some());
        recoveries.push(restored_ms.unwrap() - healed_ms);
        now_ms = restored_ms.unwrap() + 500;
    }
    assert_eq!(recoveries, [250, 500, 1_000, 2_000, 2_000, 2_000]);
}

#[test]
fn an_answer_on_an_open_connection_does_not_restore_a_lost_service() {
    let mut path = Reachability::default();
    lose(&mut path, 0);
    path.record_answer(1_000);
    assert!(path.is_lost());
    assert!(path.has_contact_since(999));
    assert!(!path.has_contact_since(1_000));
}
