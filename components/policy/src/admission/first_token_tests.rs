use crate::fairness::tree::Share;
use crate::placement::ledger::EngineInfo;
use crate::placement::length::LengthClass;
use crate::pool::Pool;
use crate::{Demand, PoolSettings, SubmitOutcome, Verdict};
use prelude::{
    AccountId, Avoided, BoxId, DataCentreId, OwnerId, PartnerId, PermitId, RefusalReason, TargetId,
};

/// Returns a pool of one engine that prefills 5 tokens per millisecond, the initial estimate.
fn pool() -> Pool {
    let mut pool = Pool::new(PoolSettings {
        first_report_ms: 0,
        prefill_ahead_ms: 100,
        memory_ahead: true,
        ..PoolSettings::default()
    });
    pool.set_engines(&[EngineInfo {
        id: TargetId(1),
        capacity_tokens: 100_000,
        data_centre: DataCentreId(0),
        cold_rate_per_s: None,
    }]);
    pool
}

fn demand(serial: u64, prompt_tokens: u32, deadline_ms: u64) -> Demand {
    Demand {
        permit: PermitId {
            entry: BoxId(1),
            life: 0,
            serial,
        },
        share: Share {
            partner: PartnerId(1),
            owner: OwnerId(1),
            account: AccountId(1),
            partner_weight: 1.0,
            owner_weight: 1.0,
            account_weight: 1.0,
        },
        class: LengthClass::default(),
        prompt_tokens,
        max_tokens: 100,
        rank: 5,
        pause_goal_ms: None,
        arrived_ms: 0,
        deadline_ms,
        caller_deadline_ms: 10_000,
        prefix: None,
        oracle_tokens: None,
        avoid: Avoided::default(),
        preferred_data_centre: None,
    }
}

#[test]
fn refuses_on_arrival_a_prompt_that_cannot_be_prefilled_in_time() {
    let mut pool = pool();
    for serial in 0..3 {
        pool.submit(demand(serial, 5_000, 3_000), 0);
        pool.schedule(0);
    }
    // The fourth prefill would end after 4 s.
    let SubmitOutcome::Refused(refusal) = pool.submit(demand(4, 5_000, 3_000), 0) else {
        panic!("the request was not refused");
    };
    assert_eq!(refusal.reason, RefusalReason::Crowded);
    // The retry is served within half its goal.
    let retry_after_ms = refusal.retry_after_ms.unwrap();
    assert!(
        (2_400..=2_600).contains(&retry_after_ms),
        "{retry_after_ms}"
    );
    assert!(matches!(
        pool.submit(demand(5, 5_000, 4_500), 0),
        SubmitOutcome::Queued { .. }
    ));
}

#[test]
fn does_not_refuse_a_long_prompt_with_no_request_ahead() {
    let mut pool = pool();
    assert!(matches!(
        pool.submit(demand(1, 50_000, 1_000), 0),
        SubmitOutcome::Queued { .. }
    ));
    assert!(matches!(pool.schedule(0)[0].1, Verdict::Granted { .. }));
}

#[test]
fn urgent_requests_do_not_wait_for_less_urgent_ones() {
    let mut pool = pool();
    for serial in 0..4 {
        pool.submit(demand(serial, 5_000, 9_000), 0);
        pool.schedule(0);
    }
    let urgent = Demand {
        rank: 0,
        pause_goal_ms: None,
        ..demand(9, 5_000, 2_500)
    };
    assert!(matches!(
        pool.submit(urgent, 0),
        SubmitOutcome::Queued { .. }
    ));
}

#[test]
fn serves_the_caller_with_the_least_time_left_first() {
    let mut pool = pool();
    pool.submit(demand(1, 5_000, 9_000), 0);
    pool.schedule(0);
    for (serial, caller_deadline_ms) in [(2, 10_000), (3, 6_000), (4, 12_000)] {
        let next = Demand {
            caller_deadline_ms,
            ..demand(serial, 5_000, 9_000)
        };
        pool.submit(next, 0);
    }
    let waiting: Vec<u64> = pool
        .queue
        .in_order(&pool.tree)
        .iter()
        .map(|(d, _)| d.permit.serial)
        .collect();
    assert_eq!(waiting, [3, 2, 4]);
}

#[test]
fn refuses_an_admitted_request_only_when_its_prefill_cannot_finish_in_time() {
    let mut pool = pool();
    pool.submit(demand(1, 5_000, 9_000), 0);
    pool.schedule(0);
    pool.submit(demand(2, 2_500, 2_000), 0);
    // The first is overdue: from 1.5 s on the second cannot be prefilled before 2 s.
    let refused = |pool: &mut Pool, at_ms| {
        let verdicts = pool.schedule(at_ms);
        verdicts
            .iter()
            .any(|(_, verdict)| matches!(verdict, Verdict::Refused(_)))
    };
    assert!(!refused(&mut pool, 800));
    assert!(refused(&mut pool, 1_520));
}

#[test]
fn serves_the_earlier_deadline_first_within_a_rank() {
    let mut pool = pool();
    for serial in 0..3 {
        pool.submit(demand(serial, 5_000, 9_000), 0);
        pool.schedule(0);
    }
    // The others are due after 9 s, so it is prefilled second, within 2 s.
    let soon = demand(9, 5_000, 3_000);
    assert!(matches!(pool.submit(soon, 0), SubmitOutcome::Queued { .. }));
    assert_eq!(pool.queue.in_order(&pool.tree)[0].0.permit.serial, 9);
}

#[test]
fn staggers_the_retry_times_of_refused_callers() {
    let mut pool = pool();
    for serial in 0..3 {
        pool.submit(demand(serial, 5_000, 3_000), 0);
        pool.schedule(0);
    }
    let retry_after_ms = |serial| match pool.submit(demand(serial, 5_000, 3_000), 0) {
        SubmitOutcome::Refused(refusal) => refusal.retry_after_ms.unwrap(),
        SubmitOutcome::Queued { .. } => panic!("the request was not refused"),
    };
    // Each prefill takes a second.
    let times: Vec<u64> = [10, 11, 12].map(retry_after_ms).to_vec();
    assert!(
        times.is_sorted_by(|one, next| one + 900 <= *next),
        "{times:?}"
    );
}

#[test]
fn extreme_token_counts_block_no_other_request() {
    let mut pool = pool();
    assert!(matches!(
        pool.submit(demand(1, u32::MAX, 1_000), 0),
        SubmitOutcome::Refused(_)
    ));
    for (serial, max_tokens) in [(2, 0), (3, u32::MAX)] {
        let next = Demand {
            max_tokens,
            ..demand(serial, 0, 1_000)
        };
        assert!(matches!(pool.submit(next, 0), SubmitOutcome::Queued { .. }));
        assert!(matches!(pool.schedule(0)[0].1, Verdict::Granted { .. }));
    }
}
