use super::*;
use crate::box_permits::BOX_TIMEOUT_MS;
use crate::demand::RunningStream;
use crate::fairness::tree::Share;
use crate::placement::ledger::{EngineInfo, EngineReport, EngineState};
use crate::placement::length::LengthClass;
use prelude::{
    AccountId, Avoided, DataCentreId, OwnerId, PartnerId, RefusalReason, TargetIncarnation,
};

const ENGINE: TargetId = TargetId(1);
const OTHER_ENGINE: TargetId = TargetId(2);

fn pool(engines: &[(TargetId, u64)]) -> Pool {
    let mut pool = Pool::new(PoolSettings::default());
    let infos: Vec<EngineInfo> = engines
        .iter()
        .map(|(id, capacity_tokens)| EngineInfo {
            id: *id,
            capacity_tokens: *capacity_tokens,
            data_centre: DataCentreId(0),
            cold_rate_per_s: None,
        })
        .collect();
    pool.set_engines(&infos);
    for (id, _) in engines {
        pool.apply_report(*id, EngineReport::default(), 0);
    }
    pool
}

fn permit(serial: u64) -> PermitId {
    PermitId {
        entry: BoxId(1),
        life: 0,
        serial,
    }
}

fn demand(serial: u64, owner: u64, prompt_tokens: u32) -> Demand {
    Demand {
        permit: permit(serial),
        share: Share {
            partner: PartnerId(1),
            owner: OwnerId(owner),
            account: AccountId(owner),
            partner_weight: 1.0,
            owner_weight: 1.0,
            account_weight: 1.0,
        },
        class: LengthClass {
            account: AccountId(owner),
            kind: 0,
        },
        prompt_tokens,
        max_tokens: 1000,
        rank: 5,
        pause_goal_ms: None,
        arrived_ms: 0,
        deadline_ms: 1000,
        caller_deadline_ms: u64::MAX,
        prefix: None,
        oracle_tokens: None,
        avoid: Avoided::default(),
        preferred_data_centre: None,
    }
}

fn granted(verdicts: &[(PermitId, Verdict)]) -> Vec<(u64, TargetId)> {
    let grant = |(permit, verdict): &(PermitId, Verdict)| match verdict {
        Verdict::Granted { target } => Some((permit.serial, *target)),
        Verdict::Refused(_) => None,
    };
    verdicts.iter().filter_map(grant).collect()
}

#[test]
fn spreads_requests_over_engines_by_free_memory() {
    let mut pool = pool(&[(ENGINE, 10_000), (OTHER_ENGINE, 10_000)]);
    pool.submit(demand(1, 1, 1000), 0);
    pool.submit(demand(2, 1, 1000), 0);
    let grants = granted(&pool.schedule(0));
    assert_ne!(grants[0].1, grants[1].1);
}

#[test]
fn queues_a_request_that_does_not_fit_in_memory() {
    let mut pool = pool(&[(ENGINE, 2000)]);
    for serial in 1..=3 {
        pool.submit(demand(serial, 1, 1000), 0);
    }
    assert_eq!(granted(&pool.schedule(0)).len(), 1);
    pool.release(permit(1), 10, StreamEnd::Finished);
    assert_eq!(granted(&pool.schedule(1)).len(), 1);
}

#[test]
fn reserves_one_engine_for_a_large_request_while_small_ones_use_the_others() {
    let mut pool = pool(&[(ENGINE, 2000), (OTHER_ENGINE, 2000)]);
    let patient = |serial, prompt| Demand {
        deadline_ms: u64::MAX,
        ..demand(serial, serial, prompt)
    };
    pool.submit(patient(1, 600), 0);
    pool.submit(patient(2, 600), 0);
    assert_eq!(granted(&pool.schedule(0)).len(), 2);
    pool.submit(patient(3, 1700), 0);
    let late_ms = PoolSettings::default().reserve_after_ms + 1;
    pool.submit(patient(4, 100), late_ms);
    pool.submit(patient(5, 100), late_ms);
    let small = granted(&pool.schedule(late_ms));
    assert_eq!(small.len(), 2);
    assert_eq!(small[0].1, small[1].1);
    let reserved = if small[0].1 == ENGINE {
        OTHER_ENGINE
    } else {
        ENGINE
    };
    let on_reserved: Vec<PermitId> = [1, 2]
        .map(permit)
        .into_iter()
        .filter(|id| pool.streams[pool.by_permit[id]].target == reserved)
        .collect();
    assert_eq!(on_reserved.len(), 1);
    pool.release(on_reserved[0], 10, StreamEnd::Finished);
    assert_eq!(granted(&pool.schedule(late_ms + 1)), [(3, reserved)]);
}

#[test]
fn grants_nothing_before_the_first_report_of_an_engine() {
    let mut pool = Pool::new(PoolSettings::default());
    let info = EngineInfo {
        id: ENGINE,
        capacity_tokens: 1000,
        data_centre: DataCentreId(0),
        cold_rate_per_s: None,
    };
    pool.set_engines(&[info]);
    pool.submit(demand(1, 1, 100), 0);
    assert!(granted(&pool.schedule(0)).is_empty());
    let full = EngineReport {
        memory_share: 0.95,
        ..EngineReport::default()
    };
    pool.apply_report(ENGINE, full, 10);
    assert!(granted(&pool.schedule(10)).is_empty());
    pool.apply_report(ENGINE, EngineReport::default(), 20);
    for at_ms in 20..60 {
        pool.apply_report(ENGINE, EngineReport::default(), at_ms);
    }
    assert_eq!(granted(&pool.schedule(60)).len(), 1);
}

#[test]
fn refuses_a_queued_request_when_its_deadline_passes() {
    let mut pool = pool(&[(ENGINE, 1500)]);
    // The forecast expects this stream to end soon, but it does not.
    let short = Demand {
        max_tokens: 10,
        ..demand(1, 1, 1000)
    };
    pool.submit(short, 0);
    pool.schedule(0);
    assert!(matches!(
        pool.submit(demand(2, 1, 1000), 0),
        SubmitOutcome::Queued { .. }
    ));
    let verdicts = pool.schedule(1000);
    let Verdict::Refused(refusal) = verdicts[0].1 else {
        panic!("{verdicts:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::DeadlinePassed);
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn refuses_immediately_when_the_expected_wait_exceeds_the_deadline() {
    let mut pool = pool(&[(ENGINE, 1500)]);
    let mut refused = 0;
    for serial in 0..100 {
        let now_ms = serial * 100;
        let mut next = demand(serial, 1, 1000);
        next.arrived_ms = now_ms;
        next.deadline_ms = now_ms + 1000;
        refused += usize::from(matches!(
            pool.submit(next, now_ms),
            SubmitOutcome::Refused(_)
        ));
        pool.schedule(now_ms);
        if serial % 5 == 4 {
            let permits: Vec<PermitId> = pool.by_permit.keys().copied().collect();
            permits
                .into_iter()
                .for_each(|permit| pool.release(permit, 5, StreamEnd::Finished));
        }
    }
    assert!(refused > 20, "{refused}");
}

#[test]
fn refuses_a_prompt_that_fits_no_engine() {
    let mut pool = pool(&[(ENGINE, 1500)]);
    let SubmitOutcome::Refused(refusal) = pool.submit(demand(1, 1, 2000), 0) else {
        panic!();
    };
    assert_eq!(refusal.reason, RefusalReason::TooLarge);
}

#[test]
fn gives_no_new_work_to_a_leaving_engine() {
    let mut pool = pool(&[(ENGINE, 10_000)]);
    pool.set_state(ENGINE, EngineState::Leaving);
    assert!(matches!(
        pool.submit(demand(1, 1, 10), 0),
        SubmitOutcome::Refused(_)
    ));
}

#[test]
fn leaves_memory_for_load_from_elsewhere() {
    let mut pool = pool(&[(ENGINE, 10_000)]);
    let report = EngineReport {
        memory_share: 0.95,
        ..EngineReport::default()
    };
    for at_ms in 0..50 {
        pool.schedule(at_ms * 100);
        pool.apply_report(ENGINE, report, at_ms * 100);
    }
    let mut late = demand(1, 1, 1000);
    late.deadline_ms = 99_000;
    pool.submit(late, 5000);
    assert!(granted(&pool.schedule(5000)).is_empty());
}

#[test]
fn widens_the_margin_on_preemptions() {
    let mut pool = pool(&[(ENGINE, 10_000)]);
    let report = |preemptions| EngineReport {
        preemptions,
        incarnation: TargetIncarnation(1),
        ..EngineReport::default()
    };
    pool.apply_report(ENGINE, report(0), 0);
    let before = pool.margin;
    pool.apply_report(ENGINE, report(3), 1);
    assert!(pool.margin > before);
}

#[test]
fn progress_of_an_unknown_permit_is_rejected_until_the_stream_is_adopted() {
    let mut pool = pool(&[(ENGINE, 10_000)]);
    assert!(!pool.record_progress(permit(1), 5, 0));
    let adopted = RunningStream {
        demand: demand(1, 1, 100),
        target: ENGINE,
        generated_tokens: 5,
    };
    pool.adopt(adopted, 0);
    assert!(pool.record_progress(permit(1), 6, 0));
    assert_eq!(pool.view(0).engines[0].streams, 1);
}

#[test]
fn releases_the_permits_of_a_silent_box() {
    let mut pool = pool(&[(ENGINE, 10_000)]);
    pool.submit(demand(1, 1, 100), 0);
    pool.schedule(0);
    pool.expire_silent_boxes(BOX_TIMEOUT_MS + 1);
    assert_eq!(pool.view(0).engines[0].streams, 0);
}

#[test]
fn serves_owners_equally_when_one_submits_twice_as_many_requests() {
    let mut pool = pool(&[(ENGINE, 2500)]);
    let mut serial = 0;
    let mut served: HashMap<OwnerId, u32> = HashMap::new();
    for round in 0..200 {
        for (owner, count) in [(1, 8), (2, 4)] {
            for _ in 0..count {
                serial += 1;
                let mut next = demand(serial, owner, 500);
                next.deadline_ms = u64::MAX;
                next.arrived_ms = round;
                pool.submit(next, round);
            }
        }
        for (permit, _) in granted(&pool.schedule(round))
            .into_iter()
            .map(|(s, t)| (permit(s), t))
        {
            let owner = pool.streams[pool.by_permit[&permit]].share.owner;
            *served.entry(owner).or_default() += 1;
            pool.release(permit, 100, StreamEnd::Finished);
        }
    }
    let (heavy, light) = (served[&OwnerId(1)], served[&OwnerId(2)]);
    assert!(heavy.abs_diff(light) <= 2, "{heavy} {light}");
}

#[test]
fn a_permit_in_flight_to_its_box_keeps_its_memory() {
    let mut pool = pool(&[(ENGINE, 2_500)]);
    pool.submit(demand(1, 1, 1_000), 0);
    pool.submit(demand(2, 1, 1_000), 0);
    assert_eq!(granted(&pool.schedule(0)).len(), 2);
    // The box lists its open streams while the second permit is still in flight to it.
    let reported = HashSet::from([permit(1)]);
    pool.reconcile_permits(permit(1).entry, &reported, 10);
    assert_eq!(pool.streams_of(permit(1).entry), 2);
    pool.reconcile_permits(permit(1).entry, &reported, 1_000);
    assert_eq!(pool.streams_of(permit(1).entry), 1);
}
