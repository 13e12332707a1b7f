use super::*;

const NOW_MS: u64 = 10_000;

fn info(id: u64, data_centre: u64) -> EngineInfo {
    EngineInfo {
        id: TargetId(id),
        capacity_tokens: 1_000 + id,
        data_centre: DataCentreId(data_centre),
        cold_rate_per_s: None,
    }
}

/// Engines 0, 1, 2 and so on, alternating between two data centres.
fn set(count: u64) -> EngineSet {
    let mut set = EngineSet::default();
    for id in 0..count {
        set.upsert(info(id, id % 2));
    }
    set
}

fn ids(set: &mut EngineSet, near: u64) -> Vec<u64> {
    let candidates = set.candidates(Some(DataCentreId(near)), NOW_MS);
    let id = |slot| set.slot_mut(slot).map(|ledger| ledger.info.id.0);
    candidates.into_iter().filter_map(id).collect()
}

#[test]
fn a_small_pool_yields_all_engines_in_insertion_order() {
    let mut set = set(CANDIDATES_MAX as u64);
    let all: Vec<u64> = (0..CANDIDATES_MAX as u64).collect();
    assert_eq!(ids(&mut set, 0), all);
}

#[test]
fn a_large_pool_yields_the_first_idle_engines_near_the_caller() {
    let mut set = set(1_000);
    let near: Vec<u64> = ids(&mut set, 1)
        .into_iter()
        .filter(|id| id % 2 == 1)
        .collect();
    assert!(near.len() >= NEAR_IDLE_MAX);
    assert_eq!(near[..4], [1, 3, 5, 7]);
}

#[test]
fn a_busy_engine_is_replaced_by_the_next_idle_one() {
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
fn every_engine_becomes_a_candidate_within_one_rotation() {
    let mut set = set(1_000);
    let mut seen: BTreeSet<u64> = BTreeSet::new();
    for _ in 0..1_000 / (CANDIDATES_MAX - NEAR_IDLE_MAX - FAR_IDLE_MAX) + 1 {
        seen.extend(ids(&mut set, 0));
    }
    assert_eq!(seen.len(), 1_000);
}

#[test]
fn cold_engines_at_their_rate_limit_do_not_displace_other_idle_ones() {
    let mut set = set(1_000);
    for id in 0..40 {
        let cold = EngineInfo {
            cold_rate_per_s: Some(1.0),
            ..info(id, 0)
        };
        set.upsert(cold);
        set.get_mut(TargetId(id)).unwrap().record_placement(NOW_MS);
    }
    set.cursor = EngineSlot(500);
    let candidates = ids(&mut set, 0);
    assert!(candidates.iter().filter(|id| **id >= 40).count() >= NEAR_IDLE_MAX - 4);
}

#[test]
fn live_capacity_follows_engine_updates_and_removals() {
    let mut set = set(3);
    assert_eq!(
        (set.live_count(), set.largest_live_tokens()),
        (3, Some(1_002))
    );
    set.set_state(TargetId(2), EngineState::Leaving);
    assert_eq!(
        (set.live_count(), set.largest_live_tokens()),
        (2, Some(1_001))
    );
    set.upsert(EngineInfo {
        capacity_tokens: 5_000,
        ..info(0, 1)
    });
    assert_eq!(set.live_tokens(), 6_001);
    set.remove(TargetId(0));
    set.remove(TargetId(2));
    assert_eq!((set.live_count(), set.live_tokens()), (1, 1_001));
    assert_eq!(set.len(), 1);
}
