use crate::admission::test_demands::demand;
use crate::demand::{Demand, SubmitOutcome, Verdict};
use crate::placement::ledger::{EngineInfo, EngineReport};
use crate::placement::length::StreamEnd;
use crate::pool::Pool;
use crate::settings::PoolSettings;
use prelude::{DataCentreId, RefusalReason, TargetId};

const ENGINES: [TargetId; 2] = [TargetId(1), TargetId(2)];

fn pool(rates_per_s: [Option<f64>; 2]) -> Pool {
    let mut pool = Pool::new(PoolSettings {
        first_report_ms: 0,
        ..PoolSettings::default()
    });
    pool.set_engines(&ENGINES.map(|id| EngineInfo {
        id,
        capacity_tokens: 1_000_000,
        data_centre: DataCentreId(0),
        cold_rate_per_s: None,
    }));
    for (id, rate_per_s) in ENGINES.into_iter().zip(rates_per_s) {
        pool.apply_report(id, EngineReport::default(), 0);
        pool.set_rate_limit(id, rate_per_s, 0);
    }
    pool
}

/// Returns the placements of ten seconds, with a request every 50 ms that waits up to its deadline
/// and runs for 100 ms.
fn placed(pool: &mut Pool) -> Vec<(u64, TargetId)> {
    let mut placed = Vec::new();
    let mut running = Vec::new();
    for now_ms in (0..10_000).step_by(10) {
        if now_ms % 50 == 0 {
            pool.submit(short(now_ms, now_ms + 1_000), now_ms);
        }
        for (permit, verdict) in pool.schedule(now_ms) {
            if let Verdict::Granted { target } = verdict {
                placed.push((now_ms, target));
                running.push((now_ms + 100, permit));
            }
        }
        for (_, permit) in running.extract_if(.., |(ends_ms, _)| *ends_ms <= now_ms) {
            pool.record_progress(permit, 10, now_ms);
            pool.release(permit, 10, StreamEnd::Finished);
        }
    }
    placed
}

fn short(serial: u64, deadline_ms: u64) -> Demand {
    Demand {
        prompt_tokens: 10,
        deadline_ms,
        ..demand(serial, 1, 1)
    }
}

#[test]
fn respects_the_rate_limit_of_an_engine_and_uses_the_other() {
    let placed = placed(&mut pool([Some(2.0), None]));
    let at = |engine| placed.iter().filter(|(_, id)| *id == engine).count();
    assert!(at(ENGINES[0]) <= 20, "{}", at(ENGINES[0]));
    assert!(at(ENGINES[1]) >= 150, "{}", at(ENGINES[1]));
}

#[test]
fn uses_all_rate_limits_fully_and_refuses_the_rest_on_arrival() {
    let mut pool = pool([Some(2.0), Some(3.0)]);
    let placed = placed(&mut pool);
    assert!((40..=50).contains(&placed.len()), "{}", placed.len());
    let SubmitOutcome::Refused(refusal) = pool.submit(short(20_000, 10_100), 10_000) else {
        panic!("the request was not refused");
    };
    assert_eq!(refusal.reason, RefusalReason::Crowded);
    assert!(refusal.retry_after_ms.is_some_and(|ms| ms > 0));
}

#[test]
fn an_engine_accepts_requests_when_its_rate_limit_ends() {
    let mut pool = pool([Some(0.25), Some(0.25)]);
    assert!(matches!(
        pool.submit(demand(1, 1, 1), 0),
        SubmitOutcome::Queued { .. }
    ));
    assert!(pool.schedule(100).is_empty());
    pool.set_rate_limit(ENGINES[1], None, 200);
    assert_eq!(pool.schedule(200).len(), 1);
}
