use super::*;
use crate::demand::{Adopted, Demand};
use crate::fairness::tree::Share;
use crate::kind::PoolSettings;
use crate::pace::observed::{GapsTold, Observed};
use crate::placement::ledger::EngineInfo;
use crate::placement::length::LengthClass;
use prelude::{AccountId, DataCentreId, OwnerId, PartnerId};
use rstest::rstest;

const BAD: TargetId = TargetId(1);
const GOOD: TargetId = TargetId(2);
const OTHER: TargetId = TargetId(3);
const BOX: BoxId = BoxId(1);
const GOAL_MS: u32 = 180;
const CAPACITY_TOKENS: u64 = 30_000;
/// When all that was taught is known.
const NOW_MS: u64 = 18_000;
/// An engine that takes so many times as long pauses beyond the goal when it is disturbed.
const SLOW: f64 = 2.0;
/// Of such an engine nothing is told.
const UNKNOWN: f64 = 0.0;

fn permit(serial: u64) -> PermitId {
    PermitId {
        entry: BOX,
        life: 0,
        serial,
    }
}

fn pool_of(count: u64) -> Pool {
    let mut pool = Pool::new(PoolSettings {
        first_report_ms: 0,
        upkeep: true,
        ..PoolSettings::default()
    });
    let engines: Vec<EngineInfo> = (1..=count)
        .map(|id| EngineInfo {
            id: TargetId(id),
            capacity_tokens: CAPACITY_TOKENS,
            data_centre: DataCentreId(0),
            cold_rate_per_s: None,
        })
        .collect();
    pool.set_engines(&engines);
    pool
}

fn adopt_with(
    pool: &mut Pool,
    serial: u64,
    target: TargetId,
    prompt_tokens: u32,
    goal_ms: Option<u32>,
) {
    let demand = Demand {
        permit: permit(serial),
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
        max_tokens: 1_500,
        rank: 1,
        pause_goal_ms: goal_ms,
        since_ms: 0,
        deadline_ms: 1_000_000,
        leaves_ms: u64::MAX,
        prefix: None,
        told_tokens: None,
        avoid: None,
        near: None,
    };
    let adopted = Adopted {
        demand,
        target,
        generated_tokens: 16,
    };
    pool.adopt(adopted, NOW_MS);
}

fn adopt(pool: &mut Pool, serial: u64, target: TargetId) {
    adopt_with(pool, serial, target, 1_000, Some(GOAL_MS));
}

/// Tells of events of the engines: each takes so many times as long, and one telling in five is disturbed.
fn teach(pool: &mut Pool, speeds: &[f64], from_ms: u64, rounds: u32) {
    for round in 0..rounds {
        let now_ms = from_ms + u64::from(round) * 300;
        for (at, speed) in speeds.iter().enumerate().filter(|at| *at.1 != UNKNOWN) {
            let disturbed = match (round + at as u32).is_multiple_of(5) {
                true => 2.5,
                false => 1.0,
            };
            let observed = Observed {
                target: pool.engines[at].info.id,
                gaps: GapsTold {
                    events: 16,
                    mean_ms: (speed * 50.0 * (1.0 + disturbed) / 2.0) as u16,
                    longest_ms: (speed * 50.0 * disturbed) as u16,
                    slowness_percent: 0,
                },
                streams: 1 + round % 6,
                reading_share: 0.0,
                read_beside: false,
                expected_ms: None,
            };
            let pace = &mut pool.engines[at].pace;
            pool.pace_book.observe(pace, &observed, now_ms);
        }
        let paces = pool.engines.iter().map(|ledger| &ledger.pace);
        pool.pace_book.set_usual(paces, now_ms);
    }
}

/// Three engines, the first of which turned slow, with one stream.
fn pool() -> Pool {
    let mut pool = pool_of(3);
    teach(&mut pool, &[SLOW, 1.0, 1.0], 0, 60);
    adopt(&mut pool, 1, BAD);
    pool
}

/// All wishes of some seconds, none of which is carried out.
fn wishes_until(pool: &mut Pool, for_ms: u64) -> Vec<Wish> {
    let times = (NOW_MS..=NOW_MS + for_ms).step_by(250);
    times.flat_map(|at_ms| pool.wishes(BOX, at_ms)).collect()
}

fn wishes(pool: &mut Pool) -> Vec<Wish> {
    wishes_until(pool, 1_500)
}

#[test]
fn a_stream_leaves_an_engine_that_turned_slow() {
    let wished = wishes(&mut pool());
    let [wish] = wished.as_slice() else {
        panic!("{wished:?}")
    };
    assert_eq!((wish.permit, wish.from), (permit(1), BAD));
    assert_eq!(wish.cause, WishCause::Pace);
    assert!(wish.to != BAD && wish.gain > 0.3);
}

#[test]
fn nothing_leaves_engines_that_are_like_the_others() {
    let mut pool = pool_of(3);
    teach(&mut pool, &[1.0, 1.0, 1.0], 0, 60);
    adopt(&mut pool, 1, BAD);
    assert_eq!(wishes(&mut pool), []);
}

#[test]
fn nothing_is_wished_where_it_is_off() {
    let mut pool = pool();
    let settings = PoolSettings {
        upkeep: false,
        ..pool.settings.clone()
    };
    pool.set_settings(settings);
    assert_eq!(wishes(&mut pool), []);
}

#[test]
fn nothing_is_wished_while_nothing_is_known_of_paces() {
    let mut pool = pool_of(3);
    adopt(&mut pool, 1, BAD);
    assert_eq!(wishes(&mut pool), []);
}

#[test]
fn a_stream_that_paused_too_long_already_stays() {
    let mut pool = pool();
    let gaps = GapsTold {
        events: 2,
        mean_ms: 100,
        longest_ms: 300,
        slowness_percent: 0,
    };
    pool.gaps_seen(permit(1), gaps, NOW_MS);
    assert_eq!(wishes(&mut pool), []);
}

#[test]
fn a_stream_that_ends_soon_stays() {
    let mut pool = pool();
    pool.progress(permit(1), 1_480, NOW_MS);
    assert_eq!(wishes(&mut pool), []);
}

#[test]
fn a_stream_stays_where_moves_pause_longer_than_its_goal() {
    let mut pool = pool();
    for serial in 0..32 {
        let stopped_ms = 400;
        pool.turn_ended(
            permit(100 + serial),
            OTHER,
            TurnEnd::Moved { stopped_ms },
            NOW_MS,
        );
    }
    assert_eq!(wishes(&mut pool), []);
}

#[test]
fn a_stream_goes_only_where_ample_memory_is_free() {
    let mut pool = pool();
    adopt_with(&mut pool, 2, GOOD, 16_000, None);
    adopt_with(&mut pool, 3, OTHER, 16_000, None);
    assert_eq!(wishes(&mut pool), []);
}

#[test]
fn a_flock_leaves_a_slow_engine_one_by_one() {
    let mut pool = pool();
    for serial in 2..8 {
        adopt(&mut pool, serial, BAD);
    }
    assert_eq!(wishes(&mut pool).len(), 1);
}

#[test]
fn many_slow_engines_of_one_pool_are_left_a_few_at_a_time() {
    let mut pool = pool_of(16);
    let mut speeds = [1.0; 16];
    speeds[..6].fill(SLOW);
    teach(&mut pool, &speeds, 0, 60);
    for serial in 0..12 {
        adopt(&mut pool, serial, TargetId(1 + serial % 6));
    }
    assert_eq!(wishes_until(&mut pool, 2_000).len(), 2);
}

#[test]
fn a_stream_is_wished_to_move_once() {
    let mut pool = pool();
    let [wish] = wishes(&mut pool)[..] else {
        panic!("no wish")
    };
    pool.turn_ended(wish.permit, wish.from, TurnEnd::Stays, NOW_MS + 1_600);
    assert_eq!(pool.target_of(wish.permit), Some(BAD));
    assert_eq!(wishes_until(&mut pool, 30_000), []);
}

#[test]
fn streams_do_not_swing_back_to_an_engine_that_swings() {
    let mut pool = pool_of(5);
    teach(&mut pool, &[SLOW, 1.0, 1.0, 1.0, 1.0], 0, 60);
    adopt(&mut pool, 1, BAD);
    // The last two are there to say what is usual: they have no room.
    adopt_with(&mut pool, 4, TargetId(4), 16_000, None);
    adopt_with(&mut pool, 5, TargetId(5), 16_000, None);
    let [wish] = wishes(&mut pool)[..] else {
        panic!("no wish")
    };
    move_as_wished(&mut pool, &wish);
    // Now those that were fast are slow, and the first is not.
    teach(&mut pool, &[1.0, SLOW, SLOW, 1.0, 1.0], NOW_MS + 1_500, 20);
    adopt(&mut pool, 2, wish.to);
    let mut within = |from_ms, to_ms| {
        let times = (NOW_MS + from_ms..NOW_MS + to_ms).step_by(250);
        let wished = times.flat_map(|ms| pool.wishes(BOX, ms));
        wished.collect::<Vec<Wish>>()
    };
    assert_eq!(within(7_500, 11_000), []);
    // One that is bad for so long is left after all.
    assert_eq!(within(11_000, 14_000).len(), 1);
}

fn move_as_wished(pool: &mut Pool, wish: &Wish) {
    let relocation = crate::Relocation {
        permit: wish.permit,
        from: wish.from,
        avoid: &[],
        arriving: &[],
        may_stay: true,
        only: pool.wished_to(wish.permit),
    };
    let at_ms = NOW_MS + 1_500;
    assert_eq!(pool.relocate(&relocation, at_ms), Some(wish.to));
    pool.turn_ended(
        wish.permit,
        wish.from,
        TurnEnd::Moved { stopped_ms: 30 },
        at_ms,
    );
}

#[test]
fn a_permit_whose_generation_did_not_move_goes_back() {
    let mut pool = pool();
    let [wish] = wishes(&mut pool)[..] else {
        panic!("no wish")
    };
    move_as_wished(&mut pool, &wish);
    assert_eq!(pool.target_of(wish.permit), Some(wish.to));
    pool.turn_ended(wish.permit, wish.from, TurnEnd::Stays, NOW_MS + 1_600);
    assert_eq!(pool.target_of(wish.permit), Some(BAD));
    let streams = |id| {
        let ledger = pool.engines.iter().find(|ledger| ledger.info.id == id);
        ledger.map(|ledger| ledger.streams.len())
    };
    assert_eq!((streams(BAD), streams(wish.to)), (Some(1), Some(0)));
}

#[rstest]
#[case::known_by_its_word_alone(UNKNOWN, 0)]
#[case::known_by_its_events(SLOW, 0)]
#[case::as_fast_as_the_others(1.0, 1)]
fn an_engine_that_claims_to_be_twice_as_fast_does_not_attract(
    #[case] speed: f64,
    #[case] attracts: usize,
) {
    let mut pool = pool_of(4);
    teach(&mut pool, &[SLOW, speed, 1.0, 1.0], 0, 60);
    for at in 0..40 {
        pool.engines[1].pace.speed.said(0.5, at * 400);
    }
    adopt_with(&mut pool, 2, TargetId(3), 16_000, None);
    adopt_with(&mut pool, 3, TargetId(4), 16_000, None);
    adopt(&mut pool, 1, BAD);
    assert_eq!(wishes(&mut pool).len(), attracts);
}

#[test]
fn streams_of_an_engine_that_leaves_go_first() {
    let mut pool = pool();
    adopt(&mut pool, 2, OTHER);
    pool.set_state(OTHER, EngineState::Leaving);
    assert_eq!(wishes(&mut pool), []);
    pool.release(permit(2), 100, crate::End::Finished);
    assert_eq!(wishes_until(&mut pool, 3_000).len(), 1);
}

#[test]
fn a_stream_leaves_an_engine_that_will_be_out_of_memory() {
    let mut pool = pool_of(3);
    teach(&mut pool, &[1.0, 1.0, 1.0], 0, 60);
    for serial in 1..=8 {
        adopt_with(&mut pool, serial, BAD, 3_500, Some(GOAL_MS));
    }
    adopt_with(&mut pool, 9, BAD, 2_500, Some(GOAL_MS));
    let wished = wishes(&mut pool);
    let [wish] = wished.as_slice() else {
        panic!("{wished:?}")
    };
    assert_eq!((wish.from, wish.cause), (BAD, WishCause::Memory));
}

#[test]
fn nothing_leaves_an_engine_that_is_full_but_will_last() {
    let mut pool = pool_of(3);
    teach(&mut pool, &[1.0, 1.0, 1.0], 0, 60);
    for serial in 1..=6 {
        adopt_with(&mut pool, serial, BAD, 3_500, Some(GOAL_MS));
    }
    assert_eq!(wishes(&mut pool), []);
}

#[test]
fn a_box_is_told_of_its_own_generations_only() {
    let mut pool = pool();
    for at_ms in (NOW_MS..=NOW_MS + 1_500).step_by(250) {
        assert_eq!(pool.wishes(BoxId(2), at_ms), []);
    }
    assert_eq!(pool.wishes(BOX, NOW_MS + 1_500).len(), 1);
}

#[test]
fn a_wish_that_was_not_told_in_time_is_not_told() {
    let mut pool = pool();
    for at_ms in (NOW_MS..=NOW_MS + 5_000).step_by(250) {
        assert_eq!(pool.wishes(BoxId(2), at_ms), []);
    }
    assert_eq!(pool.wishes(BOX, NOW_MS + 5_000), []);
}
