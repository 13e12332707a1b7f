use crate::placement::ledger::{EngineInfo, EngineState};
use crate::pool::Pool;
use crate::{Adopted, Demand, End, LengthClass, PoolSettings, Share};
use prelude::{AccountId, BoxId, DataCentreId, OwnerId, PartnerId, PermitId, TargetId};

const HERE: TargetId = TargetId(1);
const BESIDE: TargetId = TargetId(2);
const APART: TargetId = TargetId(3);
const NOW_MS: u64 = 1_000;

fn permit(serial: u64) -> PermitId {
    PermitId {
        entry: BoxId(1),
        life: 0,
        serial,
    }
}

fn running(serial: u64, target: TargetId, prompt_tokens: u32, kind: u8) -> Adopted {
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
        class: LengthClass {
            account: AccountId(1),
            kind,
        },
        prompt_tokens,
        max_tokens: 1_000,
        rank: 5,
        pause_goal_ms: None,
        since_ms: 0,
        deadline_ms: 2_000,
        leaves_ms: u64::MAX,
        prefix: None,
        told_tokens: None,
        avoid: None,
        near: None,
    };
    Adopted {
        demand,
        target,
        generated_tokens: 0,
    }
}

/// Two engines of one data centre and one of another; a generation of 3,000 tokens runs on the first.
fn pool() -> Pool {
    let mut pool = Pool::new(PoolSettings::default());
    let engine = |id, place| EngineInfo {
        id,
        capacity_tokens: 30_000,
        data_centre: DataCentreId(place),
        cold_rate_per_s: None,
    };
    pool.set_engines(&[engine(HERE, 0), engine(BESIDE, 0), engine(APART, 1)]);
    pool.adopt(running(1, HERE, 3_000, 0), NOW_MS);
    pool
}

fn held(pool: &Pool, target: TargetId) -> f64 {
    let ledger = pool.engines.iter().find(|l| l.info.id == target).unwrap();
    ledger.own_tokens(&pool.streams, pool.tokens_per_ms, NOW_MS)
}

#[test]
fn a_copy_is_kept_in_another_data_centre_and_counts_in_the_ledger_there() {
    let mut pool = pool();
    assert_eq!(pool.back_up(permit(1), NOW_MS), Some(APART));
    assert_eq!(held(&pool, APART), 3_000.0);
    assert_eq!(held(&pool, BESIDE), 0.0);
}

#[test]
fn a_copy_is_chosen_once() {
    let mut pool = pool();
    pool.back_up(permit(1), NOW_MS);
    assert_eq!(pool.back_up(permit(1), NOW_MS), Some(APART));
    assert_eq!(held(&pool, APART), 3_000.0);
}

#[test]
fn a_data_centre_without_ample_room_keeps_no_copy() {
    let mut pool = pool();
    pool.adopt(running(2, APART, 14_000, 0), NOW_MS);
    assert_eq!(pool.back_up(permit(1), NOW_MS), Some(BESIDE));
}

#[test]
fn nobody_keeps_a_copy_where_no_engine_has_ample_room() {
    let mut pool = pool();
    pool.adopt(running(2, APART, 14_000, 0), NOW_MS);
    pool.adopt(running(3, BESIDE, 14_000, 0), NOW_MS);
    assert_eq!(pool.back_up(permit(1), NOW_MS), None);
}

#[test]
fn answers_that_are_known_to_be_short_have_no_copy() {
    const SHORT: u8 = 7;
    let mut pool = pool();
    for serial in 100..400 {
        pool.adopt(running(serial, BESIDE, 100, SHORT), NOW_MS);
        pool.progress(permit(serial), 4, NOW_MS);
        pool.release(permit(serial), 8, End::Finished);
    }
    pool.adopt(running(2, HERE, 1_000, SHORT), NOW_MS);
    assert_eq!(pool.back_up(permit(2), NOW_MS), None);
}

#[test]
fn a_copy_ends_with_its_generation() {
    let mut pool = pool();
    pool.back_up(permit(1), NOW_MS);
    pool.release(permit(1), 500, End::Finished);
    assert_eq!(held(&pool, APART), 0.0);
}

#[test]
fn a_generation_whose_engine_failed_holds_its_permit_where_its_copy_lies() {
    let mut pool = pool();
    pool.back_up(permit(1), NOW_MS);
    assert_eq!(pool.restore(permit(1), NOW_MS), Some(APART));
    assert_eq!(pool.target_of(permit(1)), Some(APART));
    assert_eq!(held(&pool, HERE), 0.0);
    assert_eq!(held(&pool, APART), 3_000.0);
    assert_eq!(pool.restore(permit(1), NOW_MS), None);
}

#[test]
fn a_copy_is_lost_with_the_engine_that_kept_it() {
    let mut pool = pool();
    pool.back_up(permit(1), NOW_MS);
    pool.set_state(APART, EngineState::Gone);
    assert_eq!(pool.restore(permit(1), NOW_MS), None);
    assert_eq!(pool.target_of(permit(1)), Some(HERE));
}

#[test]
fn a_dispatcher_that_is_new_to_the_role_counts_copies_that_another_chose() {
    let mut pool = pool();
    pool.adopt_copy(permit(1), APART);
    pool.adopt_copy(permit(1), APART);
    assert_eq!(held(&pool, APART), 3_000.0);
    assert_eq!(pool.restore(permit(1), NOW_MS), Some(APART));
}
