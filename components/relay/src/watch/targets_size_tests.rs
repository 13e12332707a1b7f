use super::*;
use crate::watch::listing::tests::{at, entry};
use rstest::rstest;

const NOW_MS: u64 = 10_000;
/// Engines in a list of 10,000; the others are plain targets.
const ENGINES: u64 = 9_000;

/// A registry of `targets` targets, nine in ten of the service `model`.
fn registry(targets: u64) -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    for serial in 0..targets {
        let mut entry = entry(&format!("t{serial}"), 1, false, serial + 1);
        if serial % 10 == 9 {
            entry.service = "records".into();
        }
        registry.apply_entry(entry, NOW_MS);
    }
    registry
}

fn slots(registry: &TargetRegistry, max: usize) -> Vec<TargetSlot> {
    registry.all().map(|(slot, _)| slot).take(max).collect()
}

/// Number of target checks made by an operation.
fn count_checks(registry: &mut TargetRegistry, operation: impl FnOnce(&mut TargetRegistry)) -> u64 {
    let before = registry.checks();
    operation(registry);
    registry.checks() - before
}

#[rstest]
#[case::targets_100(100)]
#[case::targets_1_000(1_000)]
#[case::targets_10_000(10_000)]
fn maintenance_checks_no_target_when_nothing_changed(#[case] targets: u64) {
    let mut registry = registry(targets);
    let check_count = count_checks(&mut registry, |registry| {
        assert!(registry.leaving().is_empty());
        assert!(registry.expired_missing(NOW_MS).is_empty());
        assert!(registry.due_probes(NOW_MS).is_empty());
        assert!(registry.in_use().is_empty());
    });
    assert_eq!(check_count, 0);
}

#[test]
fn maintenance_checks_only_affected_targets_of_10_000() {
    let mut registry = registry(10_000);
    let slots = slots(&registry, 4);
    registry.mark_leaving(slots[0]);
    let missing = Missing {
        until_ms: NOW_MS,
        version: at(20_000),
    };
    registry.mark_missing("t1", missing);
    registry.record_generation_failure(slots[2], EngineFault::Broke, NOW_MS);
    registry.record_open(slots[3]);
    let check_count = count_checks(&mut registry, |registry| {
        assert_eq!(registry.leaving().len(), 1);
        assert_eq!(registry.expired_missing(NOW_MS).len(), 1);
        assert_eq!(registry.due_probes(NOW_MS), [slots[2]]);
        assert_eq!(registry.in_use(), [slots[3]]);
    });
    assert!(check_count <= 8, "{check_count}");
    registry.record_close(slots[3]);
    assert!(registry.in_use().is_empty());
}

#[test]
fn targets_of_a_service_are_found_without_checking_others() {
    let mut registry = registry(10_000);
    let check_count = count_checks(&mut registry, |registry| {
        assert_eq!(
            registry.of_service("records").count(),
            10_000 - ENGINES as usize
        );
    });
    assert_eq!(check_count, 10_000 - ENGINES);
}

#[test]
fn removed_and_moved_targets_leave_the_index_of_their_service() {
    let mut registry = registry(10);
    registry.unlist("t0", at(100));
    let gone = slots(&registry, 1)[0];
    registry.remove_if_idle(gone);
    let mut other = entry("t1", 1, false, 200);
    other.service = "records".into();
    registry.apply_entry(other, NOW_MS);
    assert_eq!(registry.of_service("model").count(), 7);
    assert_eq!(registry.of_service("records").count(), 2);
}

#[test]
fn a_late_entry_revives_no_target_while_thousands_are_removed() {
    let mut registry = registry(10_000);
    for serial in 0..4_500 {
        let slot = registry.slot_of(entry(&format!("t{serial}"), 1, false, 0).life().id());
        registry.unlist(&format!("t{serial}"), at(20_000 + serial));
        registry.remove_if_idle(slot.unwrap());
    }
    let late = entry("t0", 1, false, 15_000);
    assert_eq!(registry.apply_entry(late, NOW_MS), None);
    assert_eq!(registry.all().count(), 5_500);
}

#[test]
fn transient_state_is_reported_until_it_ends_and_once_more() {
    let mut registry = registry(10_000);
    let failed = slots(&registry, 1)[0];
    let id = registry.get(failed).unwrap().id;
    assert!(registry.take_transient(NOW_MS).is_empty());
    registry.record_generation_failure(failed, EngineFault::Broke, NOW_MS);
    let check_count = count_checks(&mut registry, |registry| {
        assert_eq!(registry.take_transient(NOW_MS), [id]);
        assert_eq!(registry.take_transient(NOW_MS + 60_000), [id]);
        assert!(registry.take_transient(NOW_MS + 60_000).is_empty());
    });
    assert!(check_count <= 8, "{check_count}");
}
