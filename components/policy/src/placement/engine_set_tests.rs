use super::*;

const NOW_MS: u64 = 10_000;

fn info(id: u64, place: u64) -> EngineInfo {
    EngineInfo {
        id: TargetId(id),
        capacity_tokens: 1_000 + id,
        data_centre: DataCentreId(place),
        cold_rate_per_s: None,
    }
}

/// Engines 0, 1, 2 and so on, in two data centres in turn.
fn set(count: u64) -> EngineSet {
    let mut set = EngineSet::default();
    for id in 0..count {
        set.set(info(id, id % 2));
    }
    set
}

fn ids(set: &mut EngineSet, near: u64) -> Vec<u64> {
    let weighed = set.weighed(Some(DataCentreId(near)), NOW_MS);
    let id = |slot| set.at_mut(slot).map(|ledger| ledger.info.id.0);
    weighed.into_iter().filter_map(id).collect()
}

#[test]
fn a_small_pool_is_weighed_whole_and_in_its_order() {
    let mut set = set(WEIGHED_MAX as u64);
    let all: Vec<u64> = (0..WEIGHED_MAX as u64).collect();
    assert_eq!(ids(&mut set, 0), all);
}

#[test]
fn in_a_large_pool_the_first_idle_engines_near_the_caller_are_weighed() {
    let mut set = set(1_000);
    let near: Vec<u64> = ids(&mut set, 1)
        .into_iter()
        .filter(|id| id % 2 == 1)
        .collect();
    assert!(near.len() >= NEAR_IDLE);
    assert_eq!(near[..4], [1, 3, 5, 7]);
}

#[test]
fn an_engine_that_runs_something_gives_its_place_to_the_next_idle_one() {
    let mut set = set(1_000);
    let key = StreamKey::default();
    set.cursor = EngineSlot(500);
    set.add_stream(TargetId(1), key, &Forecast::default(), NOW_MS);
    assert!(!ids(&mut set, 1).contains(&1));
    set.cursor = EngineSlot(500);
    set.remove_stream(TargetId(1), key, NOW_MS);
    assert!(ids(&mut set, 1).contains(&1));
}

#[test]
fn every_engine_is_weighed_within_a_round_of_decisions() {
    let mut set = set(1_000);
    let mut seen: BTreeSet<u64> = BTreeSet::new();
    for _ in 0..1_000 / (WEIGHED_MAX - NEAR_IDLE - FAR_IDLE) + 1 {
        seen.extend(ids(&mut set, 0));
    }
    assert_eq!(seen.len(), 1_000);
}

#[test]
fn cold_engines_that_have_what_they_bear_leave_room_for_others() {
    let mut set = set(1_000);
    for id in 0..40 {
        let cold = EngineInfo {
            cold_rate_per_s: Some(1.0),
            ..info(id, 0)
        };
        set.set(cold);
        set.get_mut(TargetId(id)).unwrap().placed(NOW_MS);
    }
    set.cursor = EngineSlot(500);
    let weighed = ids(&mut set, 0);
    assert!(weighed.iter().filter(|id| **id >= 40).count() >= NEAR_IDLE - 4);
}

#[test]
fn what_takes_work_is_counted_as_engines_change_and_go() {
    let mut set = set(3);
    assert_eq!((set.live_count(), set.largest_tokens()), (3, Some(1_002)));
    set.set_state(TargetId(2), EngineState::Leaving);
    assert_eq!((set.live_count(), set.largest_tokens()), (2, Some(1_001)));
    set.set(EngineInfo {
        capacity_tokens: 5_000,
        ..info(0, 1)
    });
    assert_eq!(set.live_tokens(), 6_001);
    set.remove(TargetId(0));
    set.remove(TargetId(2));
    assert_eq!((set.live_count(), set.live_tokens()), (1, 1_001));
    assert_eq!(set.len(), 1);
}
