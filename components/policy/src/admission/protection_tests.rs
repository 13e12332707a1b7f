use crate::admission::outlook::Need;
use crate::admission::test_demands::demand;
use crate::placement::ledger::EngineInfo;
use crate::{Demand, Pool, PoolSettings, Verdict};
use prelude::{DataCentreId, PermitId, TargetId};
use rstest::rstest;

/// Four engines that read 5 tokens a millisecond, by what a pool takes for known at first.
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

/// Urgent requests of the last second, which were read meanwhile.
fn urgent_came(pool: &mut Pool, count: u64) {
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

/// Less urgent prompts that take a second each to read, beside twenty urgent requests a second.
#[rstest]
#[case::kept(true, 20, 0)]
#[case::not_kept(false, 20, 4)]
#[case::nothing_urgent_comes(true, 0, 4)]
fn engines_are_left_free_to_read_only_where_urgent_work_comes(
    #[case] protection: bool,
    #[case] urgent: u64,
    #[case] expected: usize,
) {
    let mut pool = pool(protection);
    urgent_came(&mut pool, urgent);
    for serial in 0..4 {
        pool.submit(request(100 + serial, 2, 5_000, 1_000), 1_000);
    }
    assert_eq!(granted(&pool.schedule(1_000)), expected);
}

#[test]
fn nothing_is_kept_a_few_seconds_after_the_last_urgent_request() {
    let mut pool = pool(true);
    urgent_came(&mut pool, 20);
    pool.submit(request(100, 2, 5_000, 1_000), 1_000);
    assert_eq!(granted(&pool.schedule(1_000)), 0);
    assert_eq!(granted(&pool.schedule(4_000)), 1);
}

/// An urgent request that is too long for the room there is, and a short one that would fit and is less urgent.
#[rstest]
#[case::it_can_wait(20_000, 0)]
#[case::it_would_miss_its_goal(1_080, 1)]
fn what_is_less_urgent_takes_no_hole_that_the_urgent_wait_for(
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
    let (urgent_need, short_need) = (Need::default(), Need::default());
    pool.queue.push(urgent, 9_000, urgent_need);
    pool.queue
        .push(short.clone(), short.deadline_ms - 20, short_need);
    assert_eq!(granted(&pool.schedule(1_000)), expected);
}

#[test]
fn urgent_requests_are_not_held_back_for_each_other() {
    let mut pool = pool(true);
    urgent_came(&mut pool, 40);
    pool.submit(request(100, 0, 5_000, 1_000), 1_000);
    assert_eq!(granted(&pool.schedule(1_000)), 1);
}

/// Four requests of an account that asked for nearly all that came, beside so many requests of four others.
#[rstest]
#[case::kept_for_the_others(20, 0)]
#[case::the_others_come_rarely(1, 4)]
fn an_account_that_floods_leaves_engines_free_to_read_for_the_others(
    #[case] others: u64,
    #[case] expected: usize,
) {
    let mut pool = pool(false);
    for account in 2..6 {
        pool.tree.asks(&demand(0, account, 0).share, 1);
    }
    urgent_came(&mut pool, others);
    for serial in 0..4 {
        let flooding = Demand {
            share: demand(0, 9, 0).share,
            ..request(100 + serial, 0, 5_000, 1_000)
        };
        pool.submit(flooding, 1_000);
    }
    assert!(pool.tree.floods(&demand(0, 9, 0).share));
    assert_eq!(granted(&pool.schedule(1_000)), expected);
    assert_eq!(granted(&pool.schedule(6_000)), 4 - expected);
}
