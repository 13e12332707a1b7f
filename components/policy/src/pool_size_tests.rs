use super::*;
use crate::admission::test_demands;
use crate::placement::ledger::{EngineInfo, EngineState};
use crate::placement::relocate::Relocation;
use prelude::DataCentreId;
use rstest::rstest;

/// A request comes each so many milliseconds, and ends after [`LASTS_MS`]: some 300 run at a time.
const COMES_EACH_MS: u64 = 10;
const LASTS_MS: u64 = 3_000;
const PLACES: u64 = 5;

fn info(id: u64) -> EngineInfo {
    EngineInfo {
        id: TargetId(id),
        capacity_tokens: 33_620,
        data_centre: DataCentreId(id % PLACES),
        cold_rate_per_s: None,
    }
}

fn pool(engines: u64) -> Pool {
    let mut pool = Pool::new(PoolSettings {
        first_report_ms: 0,
        near_tokens: 1_500,
        ..PoolSettings::default()
    });
    pool.set_engines(&(0..engines).map(info).collect::<Vec<_>>());
    pool
}

fn demand(serial: u64) -> Demand {
    let now_ms = serial * COMES_EACH_MS;
    Demand {
        near: Some(DataCentreId(serial % PLACES)),
        since_ms: now_ms,
        deadline_ms: now_ms + 1_500,
        leaves_ms: now_ms + 6_000,
        ..test_demands::demand(serial, serial % 24, 0)
    }
}

/// A request comes and is granted, one reads its prompt to the end, and an old one ends.
fn step(pool: &mut Pool, serial: u64) {
    let now_ms = serial * COMES_EACH_MS;
    assert_eq!(
        pool.submit(demand(serial), now_ms),
        Submitted::Waits { place: 0 }
    );
    assert_eq!(pool.run(now_ms).len(), 1);
    if let Some(read) = serial.checked_sub(20) {
        pool.progress(demand(read).permit, 1, now_ms);
    }
    if let Some(ended) = serial.checked_sub(LASTS_MS / COMES_EACH_MS) {
        pool.release(demand(ended).permit, 300, End::Finished);
    }
}

/// Engines looked at for one request, in a pool of so many with some 300 streams.
fn looks_a_request(engines: u64) -> u64 {
    let mut pool = pool(engines);
    (0..600).for_each(|serial| step(&mut pool, serial));
    let before = pool.engines_looked_at();
    (600..1_200).for_each(|serial| step(&mut pool, serial));
    (pool.engines_looked_at() - before) / 600
}

#[rstest]
#[case::engines_1_000(1_000)]
#[case::engines_10_000(10_000)]
fn a_decision_looks_at_no_more_engines_than_in_a_pool_of_100(#[case] engines: u64) {
    let (few, many) = (looks_a_request(100), looks_a_request(engines));
    assert!(many <= 2 * few, "{many} of {engines}, {few} of 100");
}

#[rstest]
#[case::engines_1_000(1_000)]
#[case::engines_10_000(10_000)]
fn a_list_of_engines_is_taken_in_with_one_look_at_each(#[case] engines: u64) {
    let mut pool = pool(engines);
    let before = pool.engines_looked_at();
    pool.set_engines(&(0..engines).map(info).collect::<Vec<_>>());
    let looks = pool.engines_looked_at() - before;
    assert!(looks <= 4 * engines, "{looks}");
}

#[test]
fn news_of_one_engine_looks_at_that_engine() {
    let mut pool = pool(10_000);
    let before = pool.engines_looked_at();
    pool.set_state(TargetId(9_000), EngineState::Leaving);
    pool.set_state(TargetId(9_000), EngineState::Live);
    let looks = pool.engines_looked_at() - before;
    assert!(looks <= 8, "{looks}");
}

#[test]
fn a_move_of_a_generation_looks_at_no_more_engines_than_a_decision() {
    let mut pool = pool(10_000);
    step(&mut pool, 0);
    let from = pool.target_of(demand(0).permit).unwrap();
    let before = pool.engines_looked_at();
    let relocation = Relocation {
        permit: demand(0).permit,
        from,
        avoid: &[],
        arriving: &[],
        may_stay: false,
    };
    let to = pool.relocate(&relocation, 50).unwrap();
    assert_ne!(to, from);
    let looks = pool.engines_looked_at() - before;
    assert!(looks <= 200, "{looks}");
}
