use crate::placement::ledger::EngineInfo;
use crate::pool::Pool;
use crate::{Adopted, Demand, LengthClass, PoolSettings, Relocation, Share};
use prelude::{AccountId, Avoided, BoxId, DataCentreId, OwnerId, PartnerId, PermitId, TargetId};

const FROM: TargetId = TargetId(1);
const NEAR: TargetId = TargetId(2);
const FAR: TargetId = TargetId(3);
const PERMIT: PermitId = PermitId {
    entry: BoxId(1),
    life: 0,
    serial: 1,
};

/// A generation on an engine, and what its prompt holds there.
fn running(serial: u64, target: TargetId, prompt_tokens: u32) -> Adopted {
    let demand = Demand {
        permit: PermitId { serial, ..PERMIT },
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
        max_tokens: 1_000,
        rank: 5,
        pause_goal_ms: None,
        since_ms: 0,
        deadline_ms: 1_000,
        leaves_ms: u64::MAX,
        prefix: None,
        told_tokens: None,
        avoid: Avoided::default(),
        near: None,
    };
    Adopted {
        demand,
        target,
        generated_tokens: 100,
    }
}

/// A generation on an engine that leaves, one like it near, and one in another data centre.
fn pool() -> Pool {
    let mut pool = Pool::new(PoolSettings::default());
    let engine = |id, place| EngineInfo {
        id,
        capacity_tokens: 30_000,
        data_centre: DataCentreId(place),
        cold_rate_per_s: None,
    };
    pool.set_engines(&[engine(FROM, 0), engine(NEAR, 0), engine(FAR, 1)]);
    pool.adopt(running(PERMIT.serial, FROM, 3_000), 0);
    pool
}

/// Where the generation goes on.
fn relocated(avoid: &[TargetId], arriving: &[TargetId]) -> Option<TargetId> {
    relocated_in(&mut pool(), avoid, arriving, false)
}

fn relocated_in(
    pool: &mut Pool,
    avoid: &[TargetId],
    arriving: &[TargetId],
    may_stay: bool,
) -> Option<TargetId> {
    let relocation = Relocation {
        permit: PERMIT,
        from: FROM,
        avoid,
        arriving,
        may_stay,
    };
    pool.relocate(&relocation, 0)
}

#[test]
fn a_generation_goes_on_at_an_engine_near_the_one_that_it_leaves() {
    assert_eq!(relocated(&[], &[]), Some(NEAR));
}

#[test]
fn two_copies_arrive_at_one_engine_only_where_no_other_has_room() {
    assert_eq!(relocated(&[], &[NEAR]), Some(FAR));
    assert_eq!(relocated(&[FAR], &[NEAR]), Some(NEAR));
}

#[test]
fn a_generation_that_may_stay_goes_only_where_there_is_ample_room() {
    assert_eq!(relocated_in(&mut pool(), &[], &[], true), Some(NEAR));
    let mut crowded = pool();
    for (serial, target) in [(2, NEAR), (3, FAR)] {
        crowded.adopt(running(serial, target, 14_000), 0);
    }
    assert_eq!(relocated_in(&mut crowded, &[], &[], true), None);
    assert_eq!(relocated_in(&mut crowded, &[], &[], false), Some(NEAR));
}
