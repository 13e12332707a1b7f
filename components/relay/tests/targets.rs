//! The state that a box keeps of targets, per incarnation.

use prelude::{DataCentreId, Version};
use relay::{Change, ColdRate, TargetRegistry, TargetState};
use routing::{TargetEntry, TargetLife, TargetPhase};

/// Returns a version in the first era of the store.
fn version(revision: u64) -> Version {
    Version::new(0, revision)
}

fn entry(instance: &str, phase: TargetPhase, revision: u64) -> TargetEntry {
    TargetEntry {
        instance: instance.into(),
        born_ms: None,
        service: "records".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "hall".into(),
        slots: 4,
        phase,
        cold_left_ms: 0,
        version: version(revision),
    }
}

fn incarnation(instance: &str) -> TargetLife {
    TargetLife {
        instance: instance.into(),
        born_ms: None,
    }
}

/// A service without a rate limit for cold targets.
const UNLIMITED_COLD_RATE: ColdRate = ColdRate {
    rate_per_s: None,
    boxes: 1,
};

fn local_data_centre() -> DataCentreId {
    DataCentreId::from_name("hall")
}

#[test]
fn leaving_incarnation_never_accepts_work_again() {
    let mut registry = TargetRegistry::default();
    assert!(matches!(
        registry.apply_entry(entry("a", TargetPhase::Ready, 1), 0),
        Some(Change::Added(_))
    ));
    assert!(matches!(
        registry.apply_entry(entry("a", TargetPhase::Leaving, 2), 0),
        Some(Change::Leaving(_))
    ));
    assert_eq!(
        registry.apply_entry(entry("a", TargetPhase::Ready, 3), 0),
        None
    );
    assert_eq!(
        registry.choose("records", local_data_centre(), &[], UNLIMITED_COLD_RATE, 0),
        None
    );
}

#[test]
fn older_versions_are_ignored() {
    let mut registry = TargetRegistry::default();
    registry.apply_entry(entry("a", TargetPhase::Ready, 5), 0);
    assert_eq!(
        registry.apply_entry(entry("a", TargetPhase::Leaving, 4), 0),
        None
    );
    assert_eq!(registry.unlist("a", version(4)), None);
    assert!(
        registry
            .choose("records", local_data_centre(), &[], UNLIMITED_COLD_RATE, 0)
            .is_some()
    );
}

#[test]
fn entry_missing_after_store_recovery_accepts_work_until_it_expires() {
    let mut registry = TargetRegistry::default();
    registry.apply_entry(entry("a", TargetPhase::Ready, 1), 0);
    registry.apply_entry(entry("b", TargetPhase::Ready, 2), 0);
    assert!(
        registry
            .replace(Vec::new(), version(5), Some(2_000), 0)
            .is_empty()
    );
    assert!(
        registry
            .choose("records", local_data_centre(), &[], UNLIMITED_COLD_RATE, 0)
            .is_some()
    );
    assert!(registry.expired_missing(1_999).is_empty());
    registry.apply_entry(entry("a", TargetPhase::Ready, 6), 1_000);
    assert_eq!(registry.expired_missing(2_000), [("b".into(), version(5))]);
    assert!(matches!(
        registry.unlist("b", version(5)),
        Some(Change::Removed(_))
    ));
    assert!(registry.expired_missing(9_000).is_empty());
}

#[test]
fn leaving_target_is_removed_at_once_if_its_entry_is_missing() {
    let mut registry = TargetRegistry::default();
    registry.apply_entry(entry("a", TargetPhase::Leaving, 1), 0);
    assert_eq!(
        registry
            .replace(Vec::new(), version(5), Some(2_000), 0)
            .len(),
        1
    );
}

#[test]
fn removed_entry_may_return() {
    let mut registry = TargetRegistry::default();
    registry.apply_entry(entry("a", TargetPhase::Ready, 1), 0);
    let slot = registry
        .choose("records", local_data_centre(), &[], UNLIMITED_COLD_RATE, 0)
        .unwrap();
    registry.record_open(slot);
    assert_eq!(
        registry.replace(Vec::new(), version(3), None, 0),
        [Change::Removed(slot)]
    );
    assert_eq!(registry.get(slot).unwrap().state, TargetState::Gone);
    assert_eq!(
        registry.apply_entry(entry("a", TargetPhase::Ready, 4), 0),
        Some(Change::Added(slot))
    );
}

#[test]
fn removed_incarnation_is_kept_while_it_has_open_requests() {
    let mut registry = TargetRegistry::default();
    registry.apply_entry(entry("a", TargetPhase::Ready, 1), 0);
    let slot = registry
        .choose("records", local_data_centre(), &[], UNLIMITED_COLD_RATE, 0)
        .unwrap();
    registry.record_open(slot);
    registry.unlist("a", version(2));
    registry.remove_if_idle(slot);
    assert!(registry.get(slot).is_some());
    registry.record_close(slot);
    assert!(registry.get(slot).is_none());
}

#[test]
fn peer_report_that_an_incarnation_leaves_is_applied() {
    let mut registry = TargetRegistry::default();
    registry.apply_entry(entry("a", TargetPhase::Ready, 1), 0);
    registry.apply_entry(entry("b", TargetPhase::Ready, 1), 0);
    assert_eq!(
        registry
            .apply_leaving(&[incarnation("a"), incarnation("unknown")])
            .len(),
        1
    );
    assert_eq!(registry.leaving(), [incarnation("a")]);
    let slot = registry
        .choose("records", local_data_centre(), &[], UNLIMITED_COLD_RATE, 0)
        .unwrap();
    assert_eq!(&*registry.get(slot).unwrap().entry.instance, "b");
}

#[test]
fn less_loaded_target_is_preferred_and_failing_target_is_avoided() {
    let mut registry = TargetRegistry::default();
    registry.apply_entry(entry("a", TargetPhase::Ready, 1), 0);
    registry.apply_entry(entry("b", TargetPhase::Ready, 1), 0);
    let first = registry
        .choose("records", local_data_centre(), &[], UNLIMITED_COLD_RATE, 0)
        .unwrap();
    registry.record_open(first);
    let second = registry
        .choose("records", local_data_centre(), &[], UNLIMITED_COLD_RATE, 0)
        .unwrap();
    assert_ne!(first, second);
    for at_ms in 0..3 {
        registry
            .get_mut(second)
            .unwrap()
            .outlier
            .record_failure(at_ms);
    }
    assert_eq!(
        registry.choose("records", local_data_centre(), &[], UNLIMITED_COLD_RATE, 10),
        Some(first)
    );
    assert_eq!(
        registry.choose(
            "records",
            local_data_centre(),
            &[first],
            UNLIMITED_COLD_RATE,
            10
        ),
        Some(second)
    );
}

#[test]
fn target_that_turns_cold_gets_requests_at_its_cold_rate() {
    let cold = ColdRate {
        rate_per_s: Some(10.0),
        boxes: 1,
    };
    let mut registry = TargetRegistry::default();
    registry.apply_entry(entry("a", TargetPhase::Ready, 1), 0);
    let slot = registry
        .choose("records", local_data_centre(), &[], cold, 0)
        .unwrap();
    let turned = TargetEntry {
        cold_left_ms: 4_000,
        ..entry("a", TargetPhase::Ready, 2)
    };
    assert_eq!(
        registry.apply_entry(turned, 0),
        Some(Change::TurnedCold(slot))
    );
    let mut sent = 0;
    for now_ms in (0..2_000).step_by(5) {
        if let Some(slot) = registry.choose("records", local_data_centre(), &[], cold, now_ms) {
            registry.record_chosen(slot, cold, now_ms);
            sent += 1;
        }
    }
    assert!((10..=20).contains(&sent), "{sent} in two seconds");
    assert!(
        registry
            .choose("records", local_data_centre(), &[], cold, 4_001)
            .is_some()
    );
    assert!(
        registry
            .choose("records", local_data_centre(), &[], cold, 4_001)
            .is_some()
    );
}

#[test]
fn evacuated_target_is_never_chosen() {
    let mut registry = TargetRegistry::default();
    registry.apply_entry(entry("a", TargetPhase::Ready, 1), 0);
    registry.evacuate([local_data_centre()].into());
    assert_eq!(
        registry.choose("records", local_data_centre(), &[], UNLIMITED_COLD_RATE, 0),
        None
    );
    registry.evacuate([].into());
    assert!(
        registry
            .choose("records", local_data_centre(), &[], UNLIMITED_COLD_RATE, 0)
            .is_some()
    );
}
