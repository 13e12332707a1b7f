use super::*;
use proptest::prelude::*;
use routing::TargetPhase;

fn entry(at: usize, phase: TargetPhase) -> TargetEntry {
    TargetEntry {
        instance: format!("i-{at:08x}").into(),
        born_ms: None,
        service: ["model", "records"][at % 2].into(),
        address: ([10, 0, 0, at as u8], 80).into(),
        data_centre: ["east", "west", "north"][at % 3].into(),
        slots: 24,
        phase,
        cold_left_ms: 0,
        version: Version::new(0, at as u64 + 1),
    }
}

fn registry(listed: &[(usize, bool)], revision: u64) -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    let phase = |leaves| match leaves {
        true => TargetPhase::Leaving,
        false => TargetPhase::Ready,
    };
    let entries = listed.iter().map(|(at, leaves)| entry(*at, phase(*leaves)));
    registry.replace(entries.collect(), Version::new(0, revision), None, 0);
    registry
}

fn names(registry: &TargetRegistry) -> Vec<Box<str>> {
    let mut names: Vec<Box<str>> = registry
        .entries(0)
        .into_iter()
        .map(|e| e.instance)
        .collect();
    names.sort();
    names
}

#[test]
fn a_box_that_knows_nothing_gets_the_whole_list() {
    let all: Vec<(usize, bool)> = (0..200).map(|at| (at, false)).collect();
    let known = registry(&all, 500);
    let mut new = TargetRegistry::default();
    let patch = known.patch_for(&new.summary(), 0).unwrap();
    assert_eq!(patch.listed.len(), 200);
    new.apply_patch(patch, Version::new(0, 500), 0);
    assert_eq!(names(&new), names(&known));
}

#[test]
fn equal_lists_need_no_patch() {
    let all: Vec<(usize, bool)> = (0..50).map(|at| (at, at % 7 == 0)).collect();
    assert_eq!(
        registry(&all, 60).patch_for(&registry(&all, 70).summary(), 0),
        None
    );
}

#[test]
fn one_change_in_three_thousand_targets_sends_few_of_them() {
    let all: Vec<(usize, bool)> = (0..3_000).map(|at| (at, false)).collect();
    let known = registry(&all, 9_000);
    let patch = known
        .patch_for(&registry(&all[1..], 8_000).summary(), 0)
        .unwrap();
    assert!(patch.listed.len() < 60, "{} targets", patch.listed.len());
    assert_eq!(patch.buckets.len(), 1);
}

proptest! {
    /// Whatever two boxes know, applying the other's patch yields the other's list.
    #[test]
    fn applying_a_patch_yields_the_other_boxes_list(
        mine in prop::collection::btree_set(0..400_usize, 0..80),
        theirs in prop::collection::btree_set(0..400_usize, 0..80),
    ) {
        let listed = |set: &std::collections::BTreeSet<usize>| {
            set.iter().map(|at| (*at, false)).collect::<Vec<_>>()
        };
        let (mut mine, theirs) = (registry(&listed(&mine), 1_000), registry(&listed(&theirs), 2_000));
        if let Some(patch) = theirs.patch_for(&mine.summary(), 0) {
            mine.apply_patch(patch, Version::new(0, 2_000), 0);
        }
        prop_assert_eq!(names(&mine), names(&theirs));
    }
}

/// The watching box reads its list again and broadcasts the changes; the other box applies them.
fn reread_and_broadcast(
    watcher: &mut TargetRegistry,
    other: &mut TargetRegistry,
    now: &[(usize, bool)],
) {
    let entries = now.iter().map(|(at, leaves)| match leaves {
        true => entry(*at, TargetPhase::Leaving),
        false => entry(*at, TargetPhase::Ready),
    });
    let after = watcher.changed_at;
    let changes = watcher.replace(entries.collect(), Version::new(0, 5_000), None, 0);
    let update = watcher.changes_since(&changes, after, 0);
    other.apply_changes(update, watcher.changed_at, watcher.current_to, 0);
}

#[test]
fn broadcast_changes_of_a_list_read_again_make_the_lists_equal() {
    let before: Vec<(usize, bool)> = (0..200).map(|at| (at, false)).collect();
    let (mut watcher, mut other) = (registry(&before, 500), registry(&before, 400));
    let now: Vec<(usize, bool)> = (3..210).map(|at| (at, at < 6)).collect();
    reread_and_broadcast(&mut watcher, &mut other, &now);
    assert_eq!(names(&other), names(&watcher));
    assert_eq!(other.root(), watcher.root());
    assert_eq!(other.changed_at, watcher.changed_at);
    assert_eq!(other.current_to, watcher.current_to);
}

#[test]
fn a_box_with_a_target_unknown_to_the_watching_box_does_not_count_its_list_as_current() {
    let before: Vec<(usize, bool)> = (0..200).map(|at| (at, false)).collect();
    let mut watcher = registry(&before, 500);
    let mut other = registry(&before, 500);
    other.apply_entry(entry(900, TargetPhase::Ready), 0);
    let now: Vec<(usize, bool)> = (0..201).map(|at| (at, false)).collect();
    reread_and_broadcast(&mut watcher, &mut other, &now);
    assert!(other.current_to < watcher.current_to && other.changed_at < watcher.changed_at);
    // The other box then requests a patch, which contains the difference.
    let patch = watcher.patch_for(&other.summary(), 0).unwrap();
    other.apply_patch(patch, watcher.current_to, 0);
    assert_eq!(names(&other), names(&watcher));
}
