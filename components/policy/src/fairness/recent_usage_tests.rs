use super::*;
use crate::demand::{Demand, RunningStream};
use crate::placement::ledger::{EngineInfo, EngineReport};
use crate::placement::length::{LengthClass, StreamEnd};
use crate::settings::PoolSettings;
use crate::{SubmitOutcome, Verdict};
use prelude::{AccountId, Avoided, DataCentreId, OwnerId, PartnerId, PermitId, TargetId};
use rstest::rstest;

const CAPACITY_TOKENS: u64 = 20_000;
const ENGINES: u64 = 4;
const FLOOD: u64 = 1;
const OTHER: u64 = 2;

fn share(account: u64) -> Share {
    Share {
        partner: PartnerId::default(),
        owner: OwnerId::default(),
        account: AccountId(account),
        partner_weight: 1.0,
        owner_weight: 1.0,
        account_weight: 1.0,
    }
}

fn demand(entry: u32, serial: u64, account: u64, arrived_ms: u64) -> Demand {
    Demand {
        permit: PermitId {
            entry: BoxId(entry),
            life: 0,
            serial,
        },
        share: share(account),
        class: LengthClass {
            account: AccountId::default(),
            kind: 0,
        },
        prompt_tokens: 2_000,
        max_tokens: 500,
        rank: 0,
        pause_goal_ms: None,
        arrived_ms,
        deadline_ms: u64::MAX,
        caller_deadline_ms: u64::MAX,
        prefix: None,
        oracle_tokens: None,
        avoid: Avoided::default(),
        preferred_data_centre: None,
    }
}

fn pool() -> Pool {
    let mut pool = Pool::new(PoolSettings {
        first_report_ms: 0,
        ..PoolSettings::default()
    });
    let info = |id| EngineInfo {
        id: TargetId(id),
        capacity_tokens: CAPACITY_TOKENS,
        data_centre: DataCentreId(0),
        cold_rate_per_s: None,
    };
    pool.set_engines(&(0..ENGINES).map(info).collect::<Vec<_>>());
    for id in 0..ENGINES {
        pool.apply_report(TargetId(id), EngineReport::default(), 0);
    }
    pool
}

/// Returns a box's report of a flood that used half of the memory for the whole window.
fn flood_usage() -> Vec<RecentUsage> {
    let tokens_in_use = CAPACITY_TOKENS * ENGINES / 2;
    vec![RecentUsage {
        share: share(FLOOD),
        held_token_ms: tokens_in_use * FAIRNESS_WINDOW_MS as u64,
        prompt_tokens: 4_000,
    }]
}

fn excess_ms(pool: &Pool, account: u64) -> f64 {
    pool.tree.excess_ms(&share(account))
}

/// Adds a waiting request to both accounts.
fn add_waiting_to_both(pool: &mut Pool, now_ms: u64) {
    for (serial, account) in [(901, FLOOD), (902, OTHER)] {
        pool.tree
            .add_waiting(&demand(9, serial, account, now_ms).share);
    }
}

#[test]
fn a_new_dispatcher_serves_first_the_account_with_less_reported_usage() {
    let mut with_report = pool();
    let mut without_report = pool();
    add_waiting_to_both(&mut with_report, 100_000);
    add_waiting_to_both(&mut without_report, 100_000);
    with_report.adopt_usage(BoxId(1), &flood_usage(), 100_000);
    let before = |pool: &Pool| {
        pool.tree.service_ms_by_level(&share(OTHER)) < pool.tree.service_ms_by_level(&share(FLOOD))
    };
    assert!(before(&with_report));
    assert!(!before(&without_report));
}

#[rstest]
#[case::reported_twice(0, 1.0)]
#[case::reported_again_within_a_second(800, 1.0)]
#[case::after_a_long_absence(6_000, 2.0)]
fn charges_a_report_once_per_absence_of_the_box(#[case] gap_ms: u64, #[case] charges: f64) {
    let mut pool = pool();
    let at_ms = 100_000;
    let used = [RecentUsage {
        share: share(FLOOD),
        held_token_ms: 0,
        prompt_tokens: 100,
    }];
    add_waiting_to_both(&mut pool, at_ms);
    let rate = pool.prefill_rate.tokens_per_ms();
    pool.adopt_usage(BoxId(1), &used, at_ms);
    pool.adopt_usage(BoxId(1), &used, at_ms + gap_ms);
    let charged_ms = pool.tree.service_ms_by_level(&share(FLOOD))[2]
        - pool.tree.service_ms_by_level(&share(OTHER))[2];
    assert!(
        (charged_ms - charges * 100.0 / rate).abs() < 1e-6,
        "{charged_ms}"
    );
}

#[test]
fn reports_add_up_within_the_window() {
    let mut pool = pool();
    add_waiting_to_both(&mut pool, 100_000);
    pool.tree.advance(100_000);
    for entry in 1..=88 {
        pool.adopt_usage(BoxId(entry), &flood_usage(), 100_000);
    }
    pool.tree.advance(100_010);
    assert!(excess_ms(&pool, FLOOD) <= FAIRNESS_WINDOW_MS + 1e-6);
    assert!(excess_ms(&pool, OTHER) <= 0.0);
}

/// Simulates three boxes with callers of two accounts, one of which floods, that feed a dispatcher
/// as boxes do.
struct Boxes {
    serial: u64,
    /// Running requests, with their engine and start.
    running: Vec<(Demand, TargetId, u64)>,
    waiting: Vec<Demand>,
    served: [u32; 2],
    used: [u64; 2],
}

impl Boxes {
    const RUN_MS: u64 = 600;

    fn new() -> Self {
        Self {
            serial: 0,
            running: Vec::new(),
            waiting: Vec::new(),
            served: [0; 2],
            used: [0; 2],
        }
    }

    fn arrive(&mut self, pool: &mut Pool, account: u64, now_ms: u64) {
        self.serial += 1;
        let entry = (self.serial % 3) as u32 + 1;
        let demand = demand(entry, self.serial, account, now_ms);
        pool.submit(demand.clone(), now_ms);
        self.waiting.push(demand);
    }

    fn step(&mut self, pool: &mut Pool, now_ms: u64) {
        let has_ended =
            |(_, _, since_ms): &(Demand, TargetId, u64)| since_ms + Self::RUN_MS <= now_ms;
        for (demand, _, _) in self.running.extract_if(.., |one| has_ended(one)) {
            pool.release(demand.permit, 50, StreamEnd::Finished);
        }
        for (permit, verdict) in pool.schedule(now_ms) {
            let Some(at) = self.waiting.iter().position(|one| one.permit == permit) else {
                // The box has sent the request to another dispatcher, so the permit is unused.
                pool.release(permit, 0, StreamEnd::Censored);
                continue;
            };
            let demand = self.waiting.remove(at);
            if let Verdict::Granted { target } = verdict {
                self.served[(demand.share.account.0 - 1) as usize] += 1;
                self.running.push((demand, target, now_ms));
            }
        }
        for (demand, _, _) in &self.running {
            pool.record_progress(demand.permit, 1, now_ms);
            self.used[(demand.share.account.0 - 1) as usize] += 2_000 * 20;
        }
    }

    /// Reports all running and waiting requests to a new dispatcher, as boxes do.
    fn report_all(&mut self, pool: &mut Pool, now_ms: u64) {
        for (demand, target, _) in &self.running {
            let adopted = RunningStream {
                demand: demand.clone(),
                target: *target,
                generated_tokens: 1,
            };
            pool.adopt(adopted, now_ms);
        }
        for demand in &self.waiting {
            pool.submit(demand.clone(), now_ms);
        }
    }
}

fn flood(boxes: &mut Boxes, pool: &mut Pool, from_ms: u64, to_ms: u64) {
    for now_ms in (from_ms..to_ms).step_by(20) {
        for _ in 0..4 {
            boxes.arrive(pool, FLOOD, now_ms);
        }
        boxes.arrive(pool, OTHER, now_ms);
        boxes.step(pool, now_ms);
    }
}

#[test]
fn shares_survive_repeated_dispatcher_failures() {
    let mut boxes = Boxes::new();
    let mut dispatcher = pool();
    for round in 0..10 {
        let from_ms = 1_000 + round * 1_000;
        flood(&mut boxes, &mut dispatcher, from_ms, from_ms + 1_000);
        dispatcher = pool();
        boxes.report_all(&mut dispatcher, from_ms + 1_000);
    }
    let [flooding, other] = boxes.served;
    assert!(flooding.abs_diff(other) * 10 <= other, "{flooding} {other}");
}

#[test]
fn queue_order_survives_a_dispatcher_failure() {
    let mut boxes = Boxes::new();
    let mut first = pool();
    for now_ms in (0..400).step_by(20) {
        for _ in 0..10 {
            boxes.arrive(&mut first, OTHER, now_ms);
        }
        boxes.step(&mut first, now_ms);
    }
    let mut second = pool();
    // Boxes send their requests in any order.
    boxes.waiting.reverse();
    boxes.report_all(&mut second, 400);
    let arrived_ms: Vec<u64> = boxes.waiting.iter().map(|one| one.arrived_ms).collect();
    assert!(!arrived_ms.is_empty());
    let oldest_ms = arrived_ms.iter().min().copied().unwrap();
    for now_ms in (400..2_000).step_by(20) {
        boxes.step(&mut second, now_ms);
        let granted = boxes
            .running
            .iter()
            .find(|(_, _, since_ms)| *since_ms >= 400);
        if let Some((demand, _, _)) = granted {
            assert_eq!(demand.arrived_ms, oldest_ms);
            return;
        }
    }
    panic!("no request was granted");
}

#[test]
fn an_account_reaches_its_share_within_two_seconds_of_joining() {
    let mut boxes = Boxes::new();
    let mut pool = pool();
    for now_ms in (0..10_000).step_by(20) {
        for _ in 0..4 {
            boxes.arrive(&mut pool, FLOOD, now_ms);
        }
        boxes.step(&mut pool, now_ms);
    }
    flood(&mut boxes, &mut pool, 10_000, 12_000);
    boxes.used = [0; 2];
    flood(&mut boxes, &mut pool, 12_000, 16_000);
    let [flooding, joined] = boxes.used;
    assert!(
        joined as f64 > 0.45 * (flooding + joined) as f64,
        "{flooding} {joined}"
    );
}

#[test]
fn an_account_gains_no_share_from_two_dispatchers() {
    let mut boxes = Boxes::new();
    let mut first = pool();
    flood(&mut boxes, &mut first, 1_000, 4_000);
    // The boxes change to another dispatcher, and return after two seconds.
    let mut second = pool();
    boxes.report_all(&mut second, 4_000);
    flood(&mut boxes, &mut second, 4_000, 6_000);
    let permits: Vec<PermitId> = boxes.running.iter().map(|one| one.0.permit).collect();
    for entry in 1..=3 {
        let of_box = permits.iter().filter(|permit| permit.entry == BoxId(entry));
        first.reconcile_permits(BoxId(entry), &of_box.copied().collect(), 6_000);
    }
    boxes.report_all(&mut first, 6_000);
    boxes.served = [0; 2];
    flood(&mut boxes, &mut first, 6_000, 10_000);
    let [flooding, other] = boxes.served;
    assert!(flooding.abs_diff(other) * 10 <= other, "{flooding} {other}");
}

/// Three accounts with equal usage send requests, each at two of three boxes.
#[rstest]
#[case::requests_after_the_report(false)]
#[case::requests_before_the_report(true)]
fn a_late_report_charges_no_more_than_an_early_one(#[case] requests_first: bool) {
    let mut pool = pool();
    let used = |account| RecentUsage {
        share: share(account),
        held_token_ms: 10_000 * FAIRNESS_WINDOW_MS as u64,
        prompt_tokens: 4_000,
    };
    for entry in 1..=3 {
        let now_ms = 100_000 + 30 * u64::from(entry);
        let accounts = [u64::from(entry), u64::from(entry) % 3 + 1];
        let send_requests = |pool: &mut Pool| {
            for account in accounts {
                let serial = 10 * u64::from(entry) + account;
                pool.submit(demand(entry, serial, account, now_ms), now_ms);
            }
        };
        if requests_first {
            send_requests(&mut pool);
        }
        pool.adopt_usage(BoxId(entry), &accounts.map(used), now_ms);
        if !requests_first {
            send_requests(&mut pool);
        }
        pool.tree.advance(now_ms + 15);
    }
    let service_ms = [1, 2, 3].map(|account| pool.tree.service_ms_by_level(&share(account))[2]);
    // The later a report, the more of it a dispatcher that observed the box before has charged
    // itself.
    let max_ms = service_ms.into_iter().fold(f64::MIN, f64::max);
    let min_ms = service_ms.into_iter().fold(f64::MAX, f64::min);
    assert!(
        min_ms > 0.0 && max_ms - min_ms < 0.05 * max_ms,
        "{service_ms:?}"
    );
}

#[test]
fn a_new_account_starts_level_with_the_least_served_reported_one() {
    let mut pool = pool();
    pool.adopt_usage(BoxId(1), &flood_usage(), 100_000);
    pool.submit(demand(1, 1, FLOOD, 100_000), 100_000);
    pool.submit(demand(2, 1, OTHER, 100_010), 100_010);
    let service_ms =
        [FLOOD, OTHER].map(|account| pool.tree.service_ms_by_level(&share(account))[2]);
    assert!(
        service_ms[1] > 0.0 && service_ms[0] >= service_ms[1],
        "{service_ms:?}"
    );
}

#[test]
fn charges_adopted_streams_from_the_adoption_on() {
    let mut pool = pool();
    pool.adopt_usage(BoxId(1), &[], 100_000);
    let adopted = RunningStream {
        demand: demand(1, 1, FLOOD, 99_000),
        target: TargetId(0),
        generated_tokens: 10,
    };
    pool.adopt(adopted, 100_000);
    pool.submit(demand(2, 1, OTHER, 100_020), 100_020);
    let charged_ms = pool.tree.service_ms_by_level(&share(FLOOD))[2];
    assert!(charged_ms <= 20.0, "{charged_ms}");
}

#[test]
fn a_new_dispatcher_does_not_refuse_requests_that_already_waited() {
    let mut pool = pool();
    let in_time = |serial| Demand {
        deadline_ms: 100_500,
        caller_deadline_ms: 102_000,
        ..demand(1, serial, OTHER, 100_000)
    };
    let crowd = (1..=400).map(|serial| pool.submit(in_time(serial), 100_000));
    let refused = crowd.filter(|submitted| matches!(submitted, SubmitOutcome::Refused(_)));
    assert!(refused.count() > 0, "no request was refused");
    let refused_now = pool.submit(in_time(900), 100_001);
    assert!(matches!(refused_now, SubmitOutcome::Refused(_)));
    let again = pool.resubmit(in_time(901), 100_001);
    assert!(matches!(again, SubmitOutcome::Queued { .. }));
    // It expires like any other.
    let verdicts = pool.schedule(103_000);
    let expired = verdicts.iter().find(|(permit, _)| permit.serial == 901);
    assert!(matches!(expired, Some((_, Verdict::Refused(_)))));
}

/// Guards against a takeover that refuses the whole queue of the previous dispatcher: one slow first
/// token on a box that had dispatched for a moment made its forecast of the queue exceed every goal.
#[test]
fn a_new_dispatcher_does_not_refuse_waiting_requests_by_its_forecast() {
    let mut pool = pool();
    let in_time = |serial| Demand {
        deadline_ms: 100_500,
        caller_deadline_ms: 102_000,
        ..demand(1, serial, OTHER, 100_000)
    };
    for serial in 1..=400 {
        pool.resubmit(in_time(serial), 100_000);
    }
    let verdicts = [100_000, 100_040].map(|at_ms| pool.schedule(at_ms));
    let mut refused = verdicts.iter().flatten();
    assert!(!refused.any(|(_, verdict)| matches!(verdict, Verdict::Refused(_))));
    assert!(pool.queue.len() > 0, "no request waits");
}

/// Guards against refusals that rest on one or two measurements: a box that had dispatched for 3 s
/// forecast 0.29 tokens/ms from one first token, and 0.6 s per grant from two grants.
#[test]
fn a_dispatcher_refuses_by_forecast_only_after_its_rates_are_measured() {
    let mut pool = pool();
    let in_time = |serial, at_ms| Demand {
        deadline_ms: at_ms + 500,
        caller_deadline_ms: at_ms + 2_000,
        ..demand(1, serial, OTHER, at_ms)
    };
    let refused_count = |pool: &mut Pool, first, at_ms| {
        let submitted =
            (first..first + 400).map(|serial| pool.submit(in_time(serial, at_ms), at_ms));
        let refused = submitted.filter(|outcome| matches!(outcome, SubmitOutcome::Refused(_)));
        refused.count()
    };
    pool.begin_takeover(100_000);
    assert_eq!(refused_count(&mut pool, 1, 100_000), 0);
    assert!(
        pool.schedule(100_040)
            .iter()
            .all(|(_, verdict)| matches!(verdict, Verdict::Granted { .. }))
    );
    assert!(refused_count(&mut pool, 1_001, 110_000) > 0);
}
