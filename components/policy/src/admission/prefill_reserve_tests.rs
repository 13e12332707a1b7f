use crate::admission::forecast::MemoryNeed;
use crate::admission::test_demands::demand;
use crate::placement::ledger::EngineInfo;
use crate::{Demand, Pool, PoolSettings, Verdict};
use prelude::{DataCentreId, PermitId, TargetId};
use rstest::rstest;

/// Returns a pool of four engines that prefill 5 tokens per millisecond, the initial estimate.
fn pool(protection: bool) -> Pool {
    let mut pool = Pool::new(PoolSettings {
        first_report_ms: 0,
        protection,
        ..PoolSettings::default()
    });
    let engine = |id| EngineInfo {
        id: TargetId(id),
        capacity_tokens: 100_000,
        data_centre: DataCentreId(0),
        cold_rate_per_s: None,
    };
    pool.set_engines(&[1, 2, 3, 4].map(engine));
    pool
}

fn request(serial: u64, rank: u8, prompt_tokens: u32, now_ms: u64) -> Demand {
    Demand {
        prompt_tokens,
        arrived_ms: now_ms,
        deadline_ms: now_ms + 20_000,
        caller_deadline_ms: now_ms + 40_000,
        ..demand(serial, 1, rank)
    }
}

/// Serves `count` urgent requests evenly within the first second.
fn serve_urgent_requests(pool: &mut Pool, count: u64) {
    for serial in 0..count {
        let at_ms = serial * 1_000 / count;
        let urgent = request(serial, 0, 1, at_ms);
        let permit = urgent.permit;
        pool.submit(urgent, at_ms);
        pool.schedule(at_ms);
        pool.release(permit, 2, crate::StreamEnd::Finished);
    }
}

fn granted(verdicts: &[(PermitId, Verdict)]) -> usize {
    let is_grant = |(_, verdict): &&(PermitId, Verdict)| matches!(verdict, Verdict::Granted { .. });
    verdicts.iter().filter(is_grant).count()
}

/// Four less urgent prompts, with a prefill of 1 s each, arrive after urgent requests at
/// `urgent_count` per second.
#[rstest]
#[case::reserved(true, 20, 0)]
#[case::protection_is_off(false, 20, 4)]
#[case::no_urgent_arrivals(true, 0, 4)]
fn reserves_engines_for_prefill_only_while_urgent_requests_arrive(
    #[case] protection: bool,
    #[case] urgent_count: u64,
    #[case] expected: usize,
) {
    let mut pool = pool(protection);
    serve_urgent_requests(&mut pool, urgent_count);
    for serial in 0..4 {
        pool.submit(request(100 + serial, 2, 5_000, 1_000), 1_000);
    }
    assert_eq!(granted(&pool.schedule(1_000)), expected);
}

#[test]
fn releases_the_reserve_seconds_after_the_last_urgent_request() {
    let mut pool = pool(true);
    serve_urgent_requests(&mut pool, 20);
    pool.submit(request(100, 2, 5_000, 1_000), 1_000);
    assert_eq!(granted(&pool.schedule(1_000)), 0);
    assert_eq!(granted(&pool.schedule(4_000)), 1);
}

/// An urgent request is too long for the free memory; a short, less urgent one would fit.
#[rstest]
#[case::can_wait(20_000, 0)]
#[case::would_miss_its_goal(1_080, 1)]
fn less_urgent_requests_leave_free_memory_to_a_waiting_urgent_one(
    #[case] deadline_ms: u64,
    #[case] expected: usize,
) {
    let mut pool = pool(true);
    for serial in 0..4 {
        pool.submit(request(serial, 5, 60_000, 0), 0);
    }
    assert_eq!(granted(&pool.schedule(0)), 4);
    for serial in 0..4 {
        pool.record_progress(request(serial, 5, 60_000, 0).permit, 1, 1_000);
    }
    let urgent = request(10, 0, 60_000, 1_000);
    let short = Demand {
        deadline_ms,
        ..request(11, 2, 100, 1_000)
    };
    let (urgent_need, short_need) = (MemoryNeed::default(), MemoryNeed::default());
    pool.queue.push(urgent, 9_000, urgent_need);
    pool.queue
        .push(short.clone(), short.deadline_ms - 20, short_need);
    assert_eq!(granted(&pool.schedule(1_000)), expected);
}

#[test]
fn urgent_requests_are_not_delayed_for_each_other() {
    let mut pool = pool(true);
    serve_urgent_requests(&mut pool, 40);
    pool.submit(request(100, 0, 5_000, 1_000), 1_000);
    assert_eq!(granted(&pool.schedule(1_000)), 1);
}

/// An account that requested nearly all tokens sends four requests, after `other_count` requests of
/// four other accounts.
#[rstest]
#[case::others_arrive_often(20, 0)]
#[case::others_arrive_rarely(1, 4)]
fn a_flooding_account_leaves_engines_free_for_other_accounts(
    #[case] other_count: u64,
    #[case] expected: usize,
) {
    let mut pool = pool(false);
    for account in 2..6 {
        pool.tree.record_arrival(&demand(0, account, 0).share, 1);
    }
    serve_urgent_requests(&mut pool, other_count);
    for serial in 0..4 {
        let flooding = Demand {
            share: demand(0, 9, 0).share,
            ..request(100 + serial, 0, 5_000, 1_000)
        };
        pool.submit(flooding, 1_000);
    }
    assert!(pool.tree.is_flooding(&demand(0, 9, 0).share));
    assert_eq!(granted(&pool.schedule(1_000)), expected);
    assert_eq!(granted(&pool.schedule(6_000)), 4 - expected);
}
