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

fn demand(entry: u32, serial: u64, account: u64, came_ms: u64) -> Demand {
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
        arrived_ms: came_ms,
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

/// What a box tells of a flood that held most of its engines for the whole window.
fn flooded() -> Vec<UsedLately> {
    let held_tokens = CAPACITY_TOKENS * ENGINES / 2;
    vec![UsedLately {
        share: share(FLOOD),
        held_token_ms: held_tokens * WINDOW_MS as u64,
        prompt_tokens: 4_000,
    }]
}

fn lent_ms(pool: &Pool, account: u64) -> f64 {
    pool.tree.lent_ms(&share(account))
}

/// Both accounts have a request that waits.
fn both_wait(pool: &mut Pool, now_ms: u64) {
    for (serial, account) in [(901, FLOOD), (902, OTHER)] {
        pool.tree.waits(&demand(9, serial, account, now_ms).share);
    }
}

#[test]
fn a_new_dispatcher_serves_first_who_used_less_by_the_boxes_words() {
    let mut told = pool();
    let mut untold = pool();
    both_wait(&mut told, 100_000);
    both_wait(&mut untold, 100_000);
    told.adopt_use(BoxId(1), &flooded(), 100_000);
    let before = |pool: &Pool| pool.tree.rank(&share(OTHER)) < pool.tree.rank(&share(FLOOD));
    assert!(before(&told));
    assert!(!before(&untold));
}

#[rstest]
#[case::told_twice(0, 1.0)]
#[case::told_again_within_a_second(800, 1.0)]
#[case::after_it_was_with_another_for_long(6_000, 2.0)]
fn a_box_word_is_taken_in_once_for_each_time_that_it_was_away(
    #[case] later_ms: u64,
    #[case] times: f64,
) {
    let mut pool = pool();
    let at_ms = 100_000;
    let used = [UsedLately {
        share: share(FLOOD),
        held_token_ms: 0,
        prompt_tokens: 100,
    }];
    both_wait(&mut pool, at_ms);
    let rate = pool.prefill_rate.tokens_per_ms();
    pool.adopt_use(BoxId(1), &used, at_ms);
    pool.adopt_use(BoxId(1), &used, at_ms + later_ms);
    let charged_ms = pool.tree.rank(&share(FLOOD))[2] - pool.tree.rank(&share(OTHER))[2];
    assert!(
        (charged_ms - times * 100.0 / rate).abs() < 1e-6,
        "{charged_ms}"
    );
}

#[test]
fn what_boxes_tell_adds_up_and_stays_within_the_window() {
    let mut pool = pool();
    both_wait(&mut pool, 100_000);
    pool.tree.pass(100_000);
    for entry in 1..=88 {
        pool.adopt_use(BoxId(entry), &flooded(), 100_000);
    }
    pool.tree.pass(100_010);
    assert!(lent_ms(&pool, FLOOD) <= WINDOW_MS + 1e-6);
    assert!(lent_ms(&pool, OTHER) <= 0.0);
}

/// Callers of two accounts at three boxes; one floods. Each dispatcher is fed as boxes would feed it.
struct Boxes {
    serial: u64,
    /// Permits that run, with their engine and since when.
    running: Vec<(Demand, TargetId, u64)>,
    waiting: Vec<Demand>,
    served: [u32; 2],
    used: [u64; 2],
}

impl Boxes {
    const HOLD_MS: u64 = 600;

    fn new() -> Self {
        Self {
            serial: 0,
            running: Vec::new(),
            waiting: Vec::new(),
            served: [0; 2],
            used: [0; 2],
        }
    }

    fn come(&mut self, pool: &mut Pool, account: u64, now_ms: u64) {
        self.serial += 1;
        let entry = (self.serial % 3) as u32 + 1;
        let demand = demand(entry, self.serial, account, now_ms);
        pool.submit(demand.clone(), now_ms);
        self.waiting.push(demand);
    }

    fn step(&mut self, pool: &mut Pool, now_ms: u64) {
        let over = |(_, _, since_ms): &(Demand, TargetId, u64)| since_ms + Self::HOLD_MS <= now_ms;
        for (demand, _, _) in self.running.extract_if(.., |one| over(one)) {
            pool.release(demand.permit, 50, StreamEnd::Finished);
        }
        for (permit, verdict) in pool.schedule(now_ms) {
            let Some(at) = self.waiting.iter().position(|one| one.permit == permit) else {
                // Whoever asked has asked another: the permit is free again.
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

    /// Tells a dispatcher that is new everything, as boxes do.
    fn tell(&mut self, pool: &mut Pool, now_ms: u64) {
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
            boxes.come(pool, FLOOD, now_ms);
        }
        boxes.come(pool, OTHER, now_ms);
        boxes.step(pool, now_ms);
    }
}

#[test]
fn no_account_loses_its_share_when_the_dispatcher_is_lost_again_and_again() {
    let mut boxes = Boxes::new();
    let mut dispatcher = pool();
    for round in 0..10 {
        let from_ms = 1_000 + round * 1_000;
        flood(&mut boxes, &mut dispatcher, from_ms, from_ms + 1_000);
        dispatcher = pool();
        boxes.tell(&mut dispatcher, from_ms + 1_000);
    }
    let [flooded, other] = boxes.served;
    assert!(flooded.abs_diff(other) * 10 <= other, "{flooded} {other}");
}

#[test]
fn places_in_line_outlive_the_dispatcher() {
    let mut boxes = Boxes::new();
    let mut first = pool();
    for now_ms in (0..400).step_by(20) {
        for _ in 0..10 {
            boxes.come(&mut first, OTHER, now_ms);
        }
        boxes.step(&mut first, now_ms);
    }
    let mut second = pool();
    // Boxes ask in any order.
    boxes.waiting.reverse();
    boxes.tell(&mut second, 400);
    let came_ms: Vec<u64> = boxes.waiting.iter().map(|one| one.arrived_ms).collect();
    assert!(!came_ms.is_empty());
    let oldest_ms = came_ms.iter().min().copied().unwrap();
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
    panic!("nothing was granted");
}

#[test]
fn an_account_has_its_share_back_two_seconds_after_it_joins() {
    let mut boxes = Boxes::new();
    let mut pool = pool();
    for now_ms in (0..10_000).step_by(20) {
        for _ in 0..4 {
            boxes.come(&mut pool, FLOOD, now_ms);
        }
        boxes.step(&mut pool, now_ms);
    }
    flood(&mut boxes, &mut pool, 10_000, 12_000);
    boxes.used = [0; 2];
    flood(&mut boxes, &mut pool, 12_000, 16_000);
    let [flooded, joined] = boxes.used;
    assert!(
        joined as f64 > 0.45 * (flooded + joined) as f64,
        "{flooded} {joined}"
    );
}

#[test]
fn two_dispatchers_for_two_seconds_double_no_share() {
    let mut boxes = Boxes::new();
    let mut first = pool();
    flood(&mut boxes, &mut first, 1_000, 4_000);
    // Boxes go over to another dispatcher, and come back after two seconds.
    let mut second = pool();
    boxes.tell(&mut second, 4_000);
    flood(&mut boxes, &mut second, 4_000, 6_000);
    let held: Vec<PermitId> = boxes.running.iter().map(|one| one.0.permit).collect();
    for entry in 1..=3 {
        let of_box = held.iter().filter(|permit| permit.entry == BoxId(entry));
        first.reconcile_permits(BoxId(entry), &of_box.copied().collect(), 6_000);
    }
    boxes.tell(&mut first, 6_000);
    boxes.served = [0; 2];
    flood(&mut boxes, &mut first, 6_000, 10_000);
    let [flooded, other] = boxes.served;
    assert!(flooded.abs_diff(other) * 10 <= other, "{flooded} {other}");
}

/// Three accounts that used as much, each at two of three boxes.
#[rstest]
#[case::callers_ask_after_the_words(false)]
#[case::callers_ask_before_the_words(true)]
fn an_account_whose_box_tells_later_is_charged_no_more_than_those_told_before(
    #[case] asks_first: bool,
) {
    let mut pool = pool();
    let used = |account| UsedLately {
        share: share(account),
        held_token_ms: 10_000 * WINDOW_MS as u64,
        prompt_tokens: 4_000,
    };
    for entry in 1..=3 {
        let now_ms = 100_000 + 30 * u64::from(entry);
        let accounts = [u64::from(entry), u64::from(entry) % 3 + 1];
        let ask = |pool: &mut Pool| {
            for account in accounts {
                let serial = 10 * u64::from(entry) + account;
                pool.submit(demand(entry, serial, account, now_ms), now_ms);
            }
        };
        if asks_first {
            ask(&mut pool);
        }
        pool.adopt_use(BoxId(entry), &accounts.map(used), now_ms);
        if !asks_first {
            ask(&mut pool);
        }
        pool.tree.pass(now_ms + 15);
    }
    let stands = [1, 2, 3].map(|account| pool.tree.rank(&share(account))[2]);
    // The later a word is, the more of what it tells a dispatcher that heard the box before charged itself.
    let most = stands.into_iter().fold(f64::MIN, f64::max);
    let least = stands.into_iter().fold(f64::MAX, f64::min);
    assert!(least > 0.0 && most - least < 0.05 * most, "{stands:?}");
}

#[test]
fn an_account_that_used_nothing_stands_with_the_least_served_of_those_told() {
    let mut pool = pool();
    pool.adopt_use(BoxId(1), &flooded(), 100_000);
    pool.submit(demand(1, 1, FLOOD, 100_000), 100_000);
    pool.submit(demand(2, 1, OTHER, 100_010), 100_010);
    let stands = [FLOOD, OTHER].map(|account| pool.tree.rank(&share(account))[2]);
    assert!(stands[1] > 0.0 && stands[0] >= stands[1], "{stands:?}");
}

#[test]
fn what_runs_as_a_pool_is_taken_over_is_charged_from_then_on() {
    let mut pool = pool();
    pool.adopt_use(BoxId(1), &[], 100_000);
    let adopted = RunningStream {
        demand: demand(1, 1, FLOOD, 99_000),
        target: TargetId(0),
        generated_tokens: 10,
    };
    pool.adopt(adopted, 100_000);
    pool.submit(demand(2, 1, OTHER, 100_020), 100_020);
    let charged_ms = pool.tree.rank(&share(FLOOD))[2];
    assert!(charged_ms <= 20.0, "{charged_ms}");
}

#[test]
fn who_was_let_wait_is_not_judged_anew_by_a_dispatcher_that_knows_less() {
    let mut pool = pool();
    let in_time = |serial| Demand {
        deadline_ms: 100_500,
        caller_deadline_ms: 102_000,
        ..demand(1, serial, OTHER, 100_000)
    };
    let crowd = (1..=400).map(|serial| pool.submit(in_time(serial), 100_000));
    let refused = crowd.filter(|taken| matches!(taken, SubmitOutcome::Refused(_)));
    assert!(refused.count() > 0, "none is refused");
    let refused_now = pool.submit(in_time(900), 100_001);
    assert!(matches!(refused_now, SubmitOutcome::Refused(_)));
    let again = pool.resubmit(in_time(901), 100_001);
    assert!(matches!(again, SubmitOutcome::Queued { .. }));
    // Its time is over as that of any other.
    let verdicts = pool.schedule(103_000);
    let over = verdicts.iter().find(|(permit, _)| permit.serial == 901);
    assert!(matches!(over, Some((_, Verdict::Refused(_)))));
}
