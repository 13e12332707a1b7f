use super::*;
use prelude::{Avoided, BoxId};
use rstest::rstest;

fn pool(kind: PolicyKind, limit: u32) -> LocalPool {
    let mut pool = LocalPool::new(kind, limit, 1);
    let live = [1, 2, 3].map(|id| (TargetId(id), EngineState::Live));
    pool.set_targets(&live);
    pool
}

fn submit(pool: &mut LocalPool, count: u64) -> usize {
    for serial in 0..count {
        let permit = PermitId {
            entry: BoxId(1),
            life: 0,
            serial,
        };
        pool.submit(permit, 1000, Avoided::default());
    }
    pool.schedule(0).len()
}

#[rstest]
#[case(PolicyKind::RoundRobin)]
#[case(PolicyKind::LeastLoad)]
#[case(PolicyKind::TwoChoices)]
fn respects_the_concurrency_limit(#[case] kind: PolicyKind) {
    let mut pool = pool(kind, 2);
    assert_eq!(submit(&mut pool, 10), 6);
    pool.closed(TargetId(1));
    pool.apply_report(TargetId(1), 1, 0);
    assert_eq!(pool.schedule(1).len(), 1);
}

#[test]
fn refuses_when_no_engine_is_live() {
    let mut pool = pool(PolicyKind::TwoChoices, 0);
    pool.set_targets(&[(TargetId(1), EngineState::Leaving)]);
    submit(&mut pool, 1);
    assert_eq!(pool.waiting(), 0);
}

#[test]
fn round_robin_spreads_streams_evenly() {
    let mut pool = pool(PolicyKind::RoundRobin, 0);
    submit(&mut pool, 9);
    assert!(pool.targets().iter().all(|target| target.open_streams == 3));
}
