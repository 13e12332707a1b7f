use super::*;
use crate::demand::{RunningStream, SubmitOutcome, Verdict};
use crate::fairness::tree::Share;
use crate::pace::observation::{EventGaps, PaceObservation};
use crate::placement::ledger::EngineInfo;
use crate::placement::length::LengthClass;
use crate::settings::PoolSettings;
use prelude::{AccountId, Avoided, BoxId, DataCentreId, OwnerId, PartnerId, PermitId};

const SLOW: TargetId = TargetId(1);
const FAST: TargetId = TargetId(2);
const GOAL_MS: u32 = 180;
/// Tokens of an answer that takes several seconds.
const LONG: u32 = 1_500;
/// Tokens of an answer of two events.
const SHORT: u32 = 8;

fn demand(serial: u64, max_tokens: u32, pause_goal_ms: Option<u32>) -> Demand {
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
        prompt_tokens: 3_000,
        max_tokens,
        rank: 1,
        pause_goal_ms,
        arrived_ms: 0,
        deadline_ms: 1_000_000,
        caller_deadline_ms: u64::MAX,
        prefix: None,
        oracle_tokens: None,
        avoid: Avoided::default(),
        preferred_data_centre: None,
    }
}

/// A pool of a slow and a fast engine. The slow one has more memory, so that it is always chosen by memory alone.
fn pool(settings: PoolSettings) -> Pool {
    let mut pool = Pool::new(PoolSettings {
        first_report_ms: 0,
        ..settings
    });
    let engine = |(id, capacity_tokens)| EngineInfo {
        id,
        capacity_tokens,
        data_centre: DataCentreId(0),
        cold_rate_per_s: None,
    };
    pool.set_engines(&[(SLOW, 90_000), (FAST, 60_000)].map(engine));
    pool
}

/// Trains the pace model with events of both engines: the slow one takes `slow_pace` times as long as the fast one, and one
/// report in five is disturbed.
fn train(pool: &mut Pool, slow_pace: f64) {
    for round in 0..60_u32 {
        let now_ms = u64::from(round) * 300;
        for (index, (target, own_pace)) in [(SLOW, slow_pace), (FAST, 1.0)].into_iter().enumerate()
        {
            let prefill_share = f64::from(round % 3) / 2.0;
            let mean_ms = own_pace * (30.0 + 32.0 * prefill_share);
            let longest_ms = own_pace * (30.0 + 32.0 * prefill_share.ceil());
            let slowdown = if (round + index as u32).is_multiple_of(5) {
                2.5
            } else {
                1.0
            };
            let observation = PaceObservation {
                target,
                gaps: EventGaps {
                    events: 16,
                    mean_ms: (mean_ms * (1.0 + slowdown) / 2.0) as u16,
                    longest_ms: (longest_ms * slowdown) as u16,
                    slowness_percent: 0,
                },
                streams: 1 + round % 6,
                prefill_share,
                overlaps_prefill: prefill_share > 0.0,
                expected_ms: None,
            };
            let pace = &mut pool.engines.get_mut(target).unwrap().pace;
            pool.pace_model.observe(pace, &observation, now_ms);
        }
        let paces = pool.engines.iter().map(|ledger| &ledger.pace);
        pool.pace_model.update_baseline(paces, now_ms);
    }
}

const NOW_MS: u64 = 18_000;

/// Lets both engines prefill for half of the window before now.
fn set_prefilling(pool: &mut Pool) {
    for ledger in pool.engines.iter_mut() {
        ledger.prefill_spans.set_prefilling(true, NOW_MS - 1_000);
        ledger.prefill_spans.set_prefilling(false, NOW_MS);
    }
}

fn place(pool: &mut Pool, demand: Demand) -> TargetId {
    assert!(matches!(
        pool.submit(demand, NOW_MS),
        SubmitOutcome::Queued { .. }
    ));
    match pool.schedule(NOW_MS).as_slice() {
        [(_, Verdict::Granted { target })] => *target,
        other => panic!("{other:?}"),
    }
}

fn without_pauses() -> PoolSettings {
    PoolSettings {
        long_pause_ms: 0,
        ..PoolSettings::default()
    }
}

#[test]
fn places_a_long_answer_where_its_pauses_stay_within_the_goal() {
    let mut with_pauses = pool(PoolSettings::default());
    let mut memory_only = pool(without_pauses());
    for pool in [&mut with_pauses, &mut memory_only] {
        train(pool, 2.0);
        set_prefilling(pool);
    }
    assert_eq!(
        place(&mut memory_only, demand(1, LONG, Some(GOAL_MS))),
        SLOW
    );
    assert_eq!(
        place(&mut with_pauses, demand(1, LONG, Some(GOAL_MS))),
        FAST
    );
}

#[test]
fn a_short_answer_is_less_at_risk_than_a_long_one() {
    let mut pool = pool(PoolSettings::default());
    train(&mut pool, 2.0);
    set_prefilling(&mut pool);
    let estimator = pool.pause_estimator(NOW_MS);
    let risk = |tokens| {
        let profile = PauseProfile {
            goal_ms: Some(f64::from(GOAL_MS)),
            remaining_tokens: tokens,
            prompt_tokens: 3_000.0,
        };
        estimator.expected_long_pauses(pool.engines.get(SLOW).unwrap(), &profile)
    };
    assert!(
        risk(8.0) < 0.4 * risk(800.0),
        "{} {}",
        risk(8.0),
        risk(800.0)
    );
}

#[test]
fn avoids_a_prefill_beside_a_stream_that_is_close_to_its_pause_goal() {
    let mut with_pauses = pool(PoolSettings::default());
    let mut memory_only = pool(without_pauses());
    for pool in [&mut with_pauses, &mut memory_only] {
        train(pool, 2.0);
        let adopted = RunningStream {
            demand: demand(1, LONG, Some(GOAL_MS)),
            target: SLOW,
            generated_tokens: 40,
        };
        pool.adopt(adopted, NOW_MS);
    }
    assert_eq!(place(&mut memory_only, demand(2, SHORT, None)), SLOW);
    assert_eq!(place(&mut with_pauses, demand(2, SHORT, None)), FAST);
}

#[test]
fn a_stream_that_already_missed_its_pause_goal_is_not_protected() {
    let mut pool = pool(PoolSettings::default());
    train(&mut pool, 2.0);
    let adopted = RunningStream {
        demand: demand(1, LONG, Some(GOAL_MS)),
        target: SLOW,
        generated_tokens: 40,
    };
    pool.adopt(adopted, NOW_MS);
    let gaps = EventGaps {
        events: 1,
        mean_ms: 300,
        longest_ms: 300,
        slowness_percent: 0,
    };
    pool.record_event_gaps(demand(1, LONG, None).permit, gaps, NOW_MS);
    assert_eq!(place(&mut pool, demand(2, SHORT, None)), SLOW);
}

#[test]
fn pauses_do_not_affect_placement_if_engines_are_equal_or_without_a_pause_goal() {
    let mut equal = pool(PoolSettings::default());
    train(&mut equal, 1.0);
    set_prefilling(&mut equal);
    assert_eq!(place(&mut equal, demand(1, LONG, Some(GOAL_MS))), SLOW);
    let mut uneven = pool(PoolSettings::default());
    train(&mut uneven, 2.0);
    set_prefilling(&mut uneven);
    assert_eq!(place(&mut uneven, demand(1, LONG, None)), SLOW);
}

#[test]
fn a_new_dispatcher_places_by_memory_until_it_has_observed_events() {
    let mut new_dispatcher = pool(PoolSettings::default());
    let adopted = RunningStream {
        demand: demand(1, LONG, Some(GOAL_MS)),
        target: SLOW,
        generated_tokens: 40,
    };
    new_dispatcher.adopt(adopted, NOW_MS);
    assert_eq!(
        place(&mut new_dispatcher, demand(2, LONG, Some(GOAL_MS))),
        SLOW
    );
    train(&mut new_dispatcher, 2.0);
    assert_eq!(
        place(&mut new_dispatcher, demand(3, LONG, Some(GOAL_MS))),
        FAST
    );
}
