use super::*;
use crate::demand::{RunningStream, SubmitOutcome, Verdict};
use crate::fairness::tree::Share;
use crate::pace::observed::{GapsTold, Observed};
use crate::placement::ledger::EngineInfo;
use crate::placement::length::LengthClass;
use crate::settings::PoolSettings;
use prelude::{AccountId, Avoided, BoxId, DataCentreId, OwnerId, PartnerId, PermitId};

const SLOW: TargetId = TargetId(1);
const FAST: TargetId = TargetId(2);
const GOAL_MS: u32 = 180;
/// Tokens of an answer that lasts for some seconds.
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

/// A slow engine with more memory than the fast one beside it, so that memory alone always chooses the slow one.
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

/// Tells of events of both engines: the slow one takes so many times as long, and one telling in five is disturbed.
fn teach(pool: &mut Pool, slow: f64) {
    for round in 0..60_u32 {
        let now_ms = u64::from(round) * 300;
        for (at, (target, speed)) in [(SLOW, slow), (FAST, 1.0)].into_iter().enumerate() {
            let reading_share = f64::from(round % 3) / 2.0;
            let mean_ms = speed * (30.0 + 32.0 * reading_share);
            let longest_ms = speed * (30.0 + 32.0 * reading_share.ceil());
            let disturbed = if (round + at as u32).is_multiple_of(5) {
                2.5
            } else {
                1.0
            };
            let observed = Observed {
                target,
                gaps: GapsTold {
                    events: 16,
                    mean_ms: (mean_ms * (1.0 + disturbed) / 2.0) as u16,
                    longest_ms: (longest_ms * disturbed) as u16,
                    slowness_percent: 0,
                },
                streams: 1 + round % 6,
                reading_share,
                read_beside: reading_share > 0.0,
                expected_ms: None,
            };
            let pace = &mut pool.engines.get_mut(target).unwrap().pace;
            pool.pace_book.observe(pace, &observed, now_ms);
        }
        let paces = pool.engines.iter().map(|ledger| &ledger.pace);
        pool.pace_book.set_usual(paces, now_ms);
    }
}

const NOW_MS: u64 = 18_000;

/// Has both engines read half of the time.
fn reading(pool: &mut Pool) {
    for ledger in pool.engines.iter_mut() {
        ledger.prefill_spans.reads(true, NOW_MS - 1_000);
        ledger.prefill_spans.reads(false, NOW_MS);
    }
}

fn placed(pool: &mut Pool, demand: Demand) -> TargetId {
    assert!(matches!(
        pool.submit(demand, NOW_MS),
        SubmitOutcome::Queued { .. }
    ));
    match pool.schedule(NOW_MS).as_slice() {
        [(_, Verdict::Granted { target })] => *target,
        other => panic!("{other:?}"),
    }
}

fn memory_alone() -> PoolSettings {
    PoolSettings {
        long_pause_ms: 0,
        ..PoolSettings::default()
    }
}

#[test]
fn sends_a_long_answer_to_the_engine_where_it_does_not_pause_for_too_long() {
    let mut now = pool(PoolSettings::default());
    let mut before = pool(memory_alone());
    for pool in [&mut now, &mut before] {
        teach(pool, 2.0);
        reading(pool);
    }
    assert_eq!(placed(&mut before, demand(1, LONG, Some(GOAL_MS))), SLOW);
    assert_eq!(placed(&mut now, demand(1, LONG, Some(GOAL_MS))), FAST);
}

#[test]
fn takes_a_short_answer_for_less_in_danger_than_a_long_one() {
    let mut pool = pool(PoolSettings::default());
    teach(&mut pool, 2.0);
    reading(&mut pool);
    let view = pool.pause_view(NOW_MS);
    let chance = |tokens| {
        let pausing = Pausing {
            goal_ms: Some(f64::from(GOAL_MS)),
            rest_tokens: tokens,
            prompt_tokens: 3_000.0,
        };
        view.long_pauses(pool.engines.get(SLOW).unwrap(), &pausing)
    };
    assert!(
        chance(8.0) < 0.4 * chance(800.0),
        "{} {}",
        chance(8.0),
        chance(800.0)
    );
}

#[test]
fn reads_no_prompt_beside_a_stream_that_is_at_its_limit() {
    let mut now = pool(PoolSettings::default());
    let mut before = pool(memory_alone());
    for pool in [&mut now, &mut before] {
        teach(pool, 2.0);
        let adopted = RunningStream {
            demand: demand(1, LONG, Some(GOAL_MS)),
            target: SLOW,
            generated_tokens: 40,
        };
        pool.adopt(adopted, NOW_MS);
    }
    assert_eq!(placed(&mut before, demand(2, SHORT, None)), SLOW);
    assert_eq!(placed(&mut now, demand(2, SHORT, None)), FAST);
}

#[test]
fn spares_no_stream_that_is_late_already() {
    let mut pool = pool(PoolSettings::default());
    teach(&mut pool, 2.0);
    let adopted = RunningStream {
        demand: demand(1, LONG, Some(GOAL_MS)),
        target: SLOW,
        generated_tokens: 40,
    };
    pool.adopt(adopted, NOW_MS);
    let gaps = GapsTold {
        events: 1,
        mean_ms: 300,
        longest_ms: 300,
        slowness_percent: 0,
    };
    pool.gaps_seen(demand(1, LONG, None).permit, gaps, NOW_MS);
    assert_eq!(placed(&mut pool, demand(2, SHORT, None)), SLOW);
}

#[test]
fn decides_as_before_where_engines_are_alike_or_no_pause_is_too_long() {
    let mut alike = pool(PoolSettings::default());
    teach(&mut alike, 1.0);
    reading(&mut alike);
    assert_eq!(placed(&mut alike, demand(1, LONG, Some(GOAL_MS))), SLOW);
    let mut uneven = pool(PoolSettings::default());
    teach(&mut uneven, 2.0);
    reading(&mut uneven);
    assert_eq!(placed(&mut uneven, demand(1, LONG, None)), SLOW);
}

#[test]
fn decides_by_memory_until_a_new_dispatcher_has_seen_events() {
    let mut taken_over = pool(PoolSettings::default());
    let adopted = RunningStream {
        demand: demand(1, LONG, Some(GOAL_MS)),
        target: SLOW,
        generated_tokens: 40,
    };
    taken_over.adopt(adopted, NOW_MS);
    assert_eq!(
        placed(&mut taken_over, demand(2, LONG, Some(GOAL_MS))),
        SLOW
    );
    teach(&mut taken_over, 2.0);
    assert_eq!(
        placed(&mut taken_over, demand(3, LONG, Some(GOAL_MS))),
        FAST
    );
}
