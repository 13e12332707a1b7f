use super::*;
use crate::watch::listing::tests::{at, entry};
use crate::watch::targets::{TargetRegistry, TargetSlot, TargetState};
use policy::RateObservation;
use routing::{TargetEntry, TargetLife};
use rstest::rstest;

fn slot_of(registry: &TargetRegistry) -> TargetSlot {
    registry.newest("a").unwrap().0
}

/// A registry with one idle target.
fn registry_with_target(entry: TargetEntry) -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    registry.replace(vec![entry], at(1), None, 0);
    registry
}

/// Removes the target for a reason that an entry may have, and sweeps it.
fn remove(registry: &mut TargetRegistry, is_unreadable: bool) {
    let slot = slot_of(registry);
    match is_unreadable {
        true => {
            let life = TargetLife {
                instance: "a".into(),
                born_ms: Some(1),
            };
            registry.unlist_incarnation(&life, at(2));
        }
        false => {
            registry.unlist("a", at(2));
        }
    }
    registry.remove_if_idle(slot);
    assert!(registry.get(slot).is_none());
}

/// Guards against requests to a target within the pause that it asked for.
#[rstest]
#[case::after_an_unreadable_entry(true)]
#[case::after_a_lapsed_entry(false)]
fn a_target_that_is_listed_again_keeps_its_pause(#[case] is_unreadable: bool) {
    let mut registry = registry_with_target(entry("a", 1, false, 1));
    let slot = slot_of(&registry);
    registry.record_retry_after(slot, 6_000, 100);
    remove(&mut registry, is_unreadable);
    registry.apply_entry(entry("a", 1, false, 3), 3_000);
    let (_, target) = registry.newest("a").unwrap();
    assert!(registry.takes_work(target));
    assert!(target.is_full(5_900));
    assert_eq!(registry.backing_off("model", 5_900).len(), 1);
}

#[test]
fn a_target_that_is_listed_again_keeps_its_rate_limit() {
    let mut registry = registry_with_target(entry("a", 1, false, 1));
    let slot = slot_of(&registry);
    let observation = RateObservation {
        limit_per_s: Some(4.0),
        earliest_ms: 100,
        latest_ms: 100,
    };
    let target = registry.get_mut(slot).unwrap();
    target.rate_limit.announced.observe(observation, 100);
    remove(&mut registry, true);
    registry.apply_entry(entry("a", 1, false, 3), 3_000);
    let (_, target) = registry.newest("a").unwrap();
    assert_eq!(target.rate_limit.announced.rate_per_s(3_000), Some(4.0));
    assert_eq!(registry.rate_limited_count(), 1);
}

#[test]
fn a_target_without_a_birth_time_that_announced_its_leaving_gets_no_work_when_listed_again() {
    let without_birth = |revision| TargetEntry {
        born_ms: None,
        ..entry("a", 0, false, revision)
    };
    let mut registry = registry_with_target(without_birth(1));
    let slot = slot_of(&registry);
    registry.record_leaving_announcement(slot);
    remove(&mut registry, false);
    registry.apply_entry(without_birth(3), 3_000);
    let (_, target) = registry.newest("a").unwrap();
    assert_eq!(target.state, TargetState::Leaving);
}

#[test]
fn a_restarted_target_has_none_of_the_state_of_the_previous_incarnation() {
    let mut registry = registry_with_target(entry("a", 1, false, 1));
    let slot = slot_of(&registry);
    registry.record_retry_after(slot, 6_000, 100);
    remove(&mut registry, false);
    registry.apply_entry(entry("a", 2, false, 3), 3_000);
    let (_, target) = registry.newest("a").unwrap();
    assert!(!target.is_full(3_000));
}

#[test]
fn only_the_latest_removed_incarnations_are_kept() {
    let mut registry = TargetRegistry::default();
    for born in 1..=RETAINED_MAX as u64 + 5 {
        registry.apply_entry(entry("a", born, false, born), 0);
        let slot = slot_of(&registry);
        registry.record_retry_after(slot, 6_000, 100);
        registry.unlist("a", at(born));
        registry.remove_if_idle(slot);
    }
    assert_eq!(registry.retained.by_id.len(), RETAINED_MAX);
    assert_eq!(registry.retained.order.len(), RETAINED_MAX);
}
