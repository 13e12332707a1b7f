use crate::placement::ledger::EngineInfo;
use crate::pool::Pool;
use crate::{Demand, LengthClass, PoolSettings, Relocation, RunningStream, Share};
use prelude::{AccountId, Avoided, BoxId, DataCentreId, OwnerId, PartnerId, PermitId, TargetId};

const FROM: TargetId = TargetId(1);
const NEAR: TargetId = TargetId(2);
const FAR: TargetId = TargetId(3);
const PERMIT: PermitId = PermitId {
    entry: BoxId(1),
    life: 0,
    serial: 1,
};

/// A running generation with a prompt of the given length.
fn running_stream(serial: u64, target: TargetId, prompt_tokens: u32) -> RunningStream {
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
        arrived_ms: 0,
        deadline_ms: 1_000,
        caller_deadline_ms: u64::MAX,
        prefix: None,
        oracle_tokens: None,
        avoid: Avoided::default(),
        preferred_data_centre: None,
    };
    RunningStream {
        demand,
        target,
        generated_tokens: 100,
    }
}

/// One engine to leave with a running generation, one in the same data centre and one in another.
fn pool() -> Pool {
    let mut pool = Pool::new(PoolSettings::default());
    let engine = |id, data_centre| EngineInfo {
        id,
        capacity_tokens: 30_000,
        data_centre: DataCentreId(data_centre),
        cold_rate_per_s: None,
    };
    pool.set_engines(&[engine(FROM, 0), engine(NEAR, 0), engine(FAR, 1)]);
    pool.adopt(running_stream(PERMIT.serial, FROM, 3_000), 0);
    pool
}

/// The engine chosen for the generation.
fn relocate(avoid: &[TargetId], inbound: &[TargetId]) -> Option<TargetId> {
    relocate_in(&mut pool(), avoid, inbound, false)
}

fn relocate_in(
    pool: &mut Pool,
    avoid: &[TargetId],
    inbound: &[TargetId],
    is_optional: bool,
) -> Option<TargetId> {
    let relocation = Relocation {
        permit: PERMIT,
        from: FROM,
        avoid,
        inbound,
        is_optional,
    };
    pool.relocate(&relocation, 0)
}

#[test]
fn a_generation_moves_within_its_data_centre() {
    assert_eq!(relocate(&[], &[]), Some(NEAR));
}

#[test]
fn an_engine_receives_two_copies_only_if_no_other_has_room() {
    assert_eq!(relocate(&[], &[NEAR]), Some(FAR));
    assert_eq!(relocate(&[FAR], &[NEAR]), Some(NEAR));
}

#[test]
fn an_optional_move_needs_ample_free_memory() {
    assert_eq!(relocate_in(&mut pool(), &[], &[], true), Some(NEAR));
    let mut crowded = pool();
    for (serial, target) in [(2, NEAR), (3, FAR)] {
        crowded.adopt(running_stream(serial, target, 14_000), 0);
    }
    assert_eq!(relocate_in(&mut crowded, &[], &[], true), None);
    assert_eq!(relocate_in(&mut crowded, &[], &[], false), Some(NEAR));
}
