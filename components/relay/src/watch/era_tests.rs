use super::*;
use crate::watch::targets::Change;
use proptest::prelude::*;
use routing::TargetPhase;

const UNTIL_MS: u64 = 6_000;

/// An entry of a target whose incarnations each have a name of their own.
fn entry(instance: &str, leaves: bool, version: Version) -> TargetEntry {
    TargetEntry {
        instance: instance.into(),
        born_ms: None,
        service: "model".into(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "east".into(),
        slots: 24,
        phase: match leaves {
            true => TargetPhase::Leaving,
            false => TargetPhase::Ready,
        },
        cold_left_ms: 0,
        version,
    }
}

fn in_first_era(revision: u64) -> Version {
    Version::new(1, revision)
}

fn in_second_era(revision: u64) -> Version {
    Version::new(2, revision)
}

fn takes_work(registry: &TargetRegistry, instance: &str) -> bool {
    let newest = registry.newest(instance);
    newest.is_some_and(|(_, target)| registry.takes_work(target))
}

/// A registry in which `a` is ready and was last written late in the first era, just after the era rose.
fn registry_after_era_rise() -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    registry.replace(
        vec![entry("a", false, in_first_era(900))],
        in_first_era(900),
        None,
        0,
    );
    registry.record_era_rise(UNTIL_MS);
    registry
}

#[test]
fn entries_of_the_next_era_apply_whatever_their_revision() {
    let mut registry = registry_after_era_rise();
    let change = registry.apply_entry(entry("a", true, in_second_era(10)), 100);
    assert!(matches!(change, Some(Change::Leaving(_))));
    assert!(
        registry
            .apply_entry(entry("b", false, in_second_era(11)), 100)
            .is_some()
    );
    assert!(takes_work(&registry, "b"));
}

#[test]
fn late_updates_of_the_previous_era_are_ignored() {
    let mut registry = registry_after_era_rise();
    registry.apply_entry(entry("a", true, in_second_era(10)), 100);
    assert_eq!(
        registry.apply_entry(entry("a", false, in_first_era(950)), 200),
        None
    );
    assert_eq!(registry.unlist("a", in_first_era(960)), None);
    assert!(!takes_work(&registry, "a"));
}

#[test]
fn a_leaving_target_stays_leaving_when_a_stale_list_has_it_ready_and_peers_are_notified() {
    let mut registry = TargetRegistry::default();
    registry.replace(
        vec![entry("a", true, in_first_era(900))],
        in_first_era(900),
        None,
        0,
    );
    assert!(
        registry.leaving().is_empty(),
        "all boxes read it in the store"
    );
    registry.record_era_rise(UNTIL_MS);
    registry.replace(
        vec![entry("a", false, in_second_era(800))],
        in_second_era(850),
        None,
        100,
    );
    assert!(!takes_work(&registry, "a"));
    assert_eq!(registry.leaving().len(), 1);
}

#[test]
fn a_target_missing_from_a_stale_list_is_kept_until_the_store_settles() {
    let mut registry = registry_after_era_rise();
    registry.replace(Vec::new(), in_second_era(800), None, 100);
    assert!(takes_work(&registry, "a"));
    assert!(registry.expired_missing(UNTIL_MS - 1).is_empty());
    assert_eq!(registry.expired_missing(UNTIL_MS).len(), 1);
    registry.apply_entry(entry("a", false, in_second_era(801)), 200);
    assert!(registry.expired_missing(UNTIL_MS).is_empty());
}

#[test]
fn a_removed_target_returns_by_a_list_only_after_the_store_has_settled() {
    for is_swept in [false, true] {
        let mut registry = TargetRegistry::default();
        registry.replace(
            vec![entry("a", false, in_first_era(900))],
            in_first_era(900),
            None,
            0,
        );
        let (slot, _) = registry.newest("a").unwrap();
        if !is_swept {
            registry.record_open(slot);
        }
        registry.unlist("a", in_first_era(901));
        registry.remove_if_idle(slot);
        registry.record_era_rise(UNTIL_MS);
        registry.replace(
            vec![entry("a", false, in_second_era(800))],
            in_second_era(850),
            None,
            100,
        );
        assert!(!takes_work(&registry, "a"));
        registry.replace(
            vec![entry("a", false, in_second_era(800))],
            in_second_era(870),
            None,
            UNTIL_MS,
        );
        assert!(takes_work(&registry, "a"), "its entry would have lapsed");
    }
}

#[test]
fn other_boxes_compare_their_lists_once_the_store_has_settled() {
    let mut registry = registry_after_era_rise();
    registry.replace(
        vec![entry("a", false, in_second_era(800))],
        in_second_era(850),
        None,
        100,
    );
    registry.record_list_read(in_second_era(850), 100);
    assert_eq!(registry.changed_at, in_first_era(900));
    registry.record_list_read(in_second_era(870), UNTIL_MS);
    assert_eq!(registry.changed_at, in_second_era(870));
    registry.record_list_read(in_second_era(880), UNTIL_MS + 1);
    assert_eq!(registry.changed_at, in_second_era(870));
}

proptest! {
    /// Events, lists and patches of two eras arrive in any order: a target that was seen to leave gets no work, and
    /// after the last list, read once the store has settled, the registry equals that list.
    #[test]
    fn updates_of_two_eras_in_any_order_converge_to_the_list_of_the_store(
        updates in prop::collection::vec((1..=2_u32, 0..40_u64, 0..3_usize, any::<bool>(), 0..3_u8), 0..40),
        last in prop::collection::btree_set(0..3_usize, 0..3),
    ) {
        let names = ["a", "b", "c"];
        let mut registry = TargetRegistry::default();
        let mut left = std::collections::HashSet::new();
        let mut era = 1;
        for (update_era, revision, name, leaves, kind) in updates {
            if update_era > era {
                era = update_era;
                registry.record_era_rise(UNTIL_MS);
            }
            let (name, version) = (names[name], Version::new(update_era, revision));
            let known = registry.newest(name).is_none_or(|(_, target)| target.entry.version <= version);
            match kind {
                0 => {
                    registry.apply_entry(entry(name, leaves, version), 10);
                    let is_present = registry.newest(name).is_some();
                    if leaves && known && is_present {
                        left.insert(name);
                    }
                }
                1 => {
                    if registry.unlist(name, version).is_some() {
                        left.remove(name);
                    }
                }
                _ => {
                    registry.replace(vec![entry(name, false, version)], version, None, 10);
                }
            }
            // An incarnation that was removed while leaving may return if its entries carry no birth time.
            left.retain(|name| registry.newest(name).is_some_and(|(_, t)| t.state != TargetState::Gone));
            for name in &left {
                prop_assert!(!takes_work(&registry, name), "{} leaves", name);
            }
        }
        let version = Version::new(3, 1);
        registry.record_era_rise(20);
        let listed = last.iter().map(|at| entry(names[*at], false, version)).collect();
        registry.replace(listed, version, None, 20);
        for (at, name) in names.iter().enumerate() {
            let is_listed = registry.newest(name).is_some_and(|(_, t)| t.state != TargetState::Gone);
            prop_assert_eq!(is_listed, last.contains(&at), "{}", name);
        }
    }
}
