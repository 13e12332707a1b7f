use super::*;
use crate::admission::test_demands;
use crate::placement::ledger::{EngineInfo, EngineState};
use crate::placement::relocate::Relocation;
use prelude::DataCentreId;
use rstest::rstest;

/// A request arrives at this interval and ends after [`DURATION_MS`], so about 300 run at a time.
const ARRIVAL_INTERVAL_MS: u64 = 10;
const DURATION_MS: u64 = 3_000;
const DATA_CENTRES: u64 = 5;

fn info(id: u64) -> EngineInfo {
    EngineInfo {
        id: TargetId(id),
        capacity_tokens: 33_620,
        data_centre: DataCentreId(id % DATA_CENTRES),
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
    let now_ms = serial * ARRIVAL_INTERVAL_MS;
    Demand {
        preferred_data_centre: Some(DataCentreId(serial % DATA_CENTRES)),
        arrived_ms: now_ms,
        deadline_ms: now_ms + 1_500,
        caller_deadline_ms: now_ms + 6_000,
        ..test_demands::demand(serial, serial % 24, 0)
    }
}

/// One request arrives and is granted, one finishes its prefill, and an old one ends.
fn step(pool: &mut Pool, serial: u64) {
    let now_ms = serial * ARRIVAL_INTERVAL_MS;
    assert_eq!(
        pool.submit(demand(serial), now_ms),
        SubmitOutcome::Queued { position: 0 }
    );
    assert_eq!(pool.schedule(now_ms).len(), 1);
    if let Some(prefilled) = serial.checked_sub(20) {
        pool.record_progress(demand(prefilled).permit, 1, now_ms);
    }
    if let Some(ended) = serial.checked_sub(DURATION_MS / ARRIVAL_INTERVAL_MS) {
        pool.release(demand(ended).permit, 300, StreamEnd::Finished);
    }
}

/// Average number of engines checked per request, with `engines` engines and about 300 streams.
fn checks_per_request(engines: u64) -> u64 {
    let mut pool = pool(engines);
    (0..600).for_each(|serial| step(&mut pool, serial));
    let before = pool.engines_checked();
    (600..1_200).for_each(|serial| step(&mut pool, serial));
    (pool.engines_checked() - before) / 600
}

#[rstest]
#[case::engines_1_000(1_000)]
#[case::engines_10_000(10_000)]
fn a_decision_checks_at_most_twice_as_many_engines_as_in_a_pool_of_100(#[case] engines: u64) {
    let (small, large) = (checks_per_request(100), checks_per_request(engines));
    assert!(large <= 2 * small, "{large} of {engines}, {small} of 100");
}

#[rstest]
#[case::engines_1_000(1_000)]
#[case::engines_10_000(10_000)]
fn updating_the_engine_list_checks_each_engine_a_few_times(#[case] engines: u64) {
    let mut pool = pool(engines);
    let before = pool.engines_checked();
    pool.set_engines(&(0..engines).map(info).collect::<Vec<_>>());
    let checks = pool.engines_checked() - before;
    assert!(checks <= 4 * engines, "{checks}");
}

#[test]
fn changing_one_engine_checks_no_others() {
    let mut pool = pool(10_000);
    let before = pool.engines_checked();
    pool.set_state(TargetId(9_000), EngineState::Leaving);
    pool.set_state(TargetId(9_000), EngineState::Live);
    let checks = pool.engines_checked() - before;
    assert!(checks <= 8, "{checks}");
}

#[test]
fn relocating_a_generation_checks_a_bounded_number_of_engines() {
    let mut pool = pool(10_000);
    step(&mut pool, 0);
    let from = pool.target_of(demand(0).permit).unwrap();
    let before = pool.engines_checked();
    let relocation = Relocation {
        permit: demand(0).permit,
        from,
        avoid: &[],
        inbound: &[],
        is_optional: false,
    };
    let to = pool.relocate(&relocation, 50).unwrap();
    assert_ne!(to, from);
    let checks = pool.engines_checked() - before;
    assert!(checks <= 200, "{checks}");
}
