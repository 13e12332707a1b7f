use crate::ledger::EngineInfo;
use crate::pool::Pool;
use crate::{Adopted, Demand, LengthClass, PoolSettings, Share};
use prelude::{AccountId, BoxId, DataCentreId, OwnerId, PartnerId, PermitId, TargetId};

const FROM: TargetId = TargetId(1);
const NEAR: TargetId = TargetId(2);
const FAR: TargetId = TargetId(3);
const PERMIT: PermitId = PermitId {
    entry: BoxId(1),
    life: 0,
    serial: 1,
};

/// A generation on an engine that leaves, one like it near, and one in another data centre.
fn pool() -> Pool {
    let mut pool = Pool::new(PoolSettings::default());
    let engine = |id, place| EngineInfo {
        id,
        capacity_tokens: 30_000,
        data_centre: DataCentreId(place),
    };
    pool.set_engines(&[engine(FROM, 0), engine(NEAR, 0), engine(FAR, 1)]);
    let demand = Demand {
        permit: PERMIT,
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
        max_tokens: 1_000,
        urgent: false,
        since_ms: 0,
        deadline_ms: 1_000,
        prefix: None,
        told_tokens: None,
        avoid: None,
        near: None,
    };
    let adopted = Adopted {
        demand,
        target: FROM,
        generated_tokens: 100,
    };
    pool.adopt(adopted, 0);
    pool
}

#[test]
fn a_generation_goes_on_at_an_engine_near_the_one_that_it_leaves() {
    assert_eq!(pool().relocate(PERMIT, FROM, &[], &[], 0), Some(NEAR));
}

#[test]
fn two_copies_arrive_at_one_engine_only_where_no_other_has_room() {
    assert_eq!(pool().relocate(PERMIT, FROM, &[], &[NEAR], 0), Some(FAR));
    assert_eq!(
        pool().relocate(PERMIT, FROM, &[FAR], &[NEAR], 0),
        Some(NEAR)
    );
}
