use super::*;

const POOL: PoolId = PoolId {
    model: prelude::ModelId(1),
    region: prelude::RegionId(0),
    shard: 0,
};

fn one(account: u64, began_ms: u64, ended_ms: u64) -> GenerationUsage {
    GenerationUsage {
        pool: POOL,
        account: AccountId(account),
        prompt_tokens: 1_000,
        tokens: 200,
        began_ms,
        ended_ms,
    }
}

#[test]
fn what_was_held_before_the_window_does_not_count() {
    let mut lately = UsageWindow::default();
    lately.record_end(one(1, 0, 9_000));
    lately.record_end(one(2, 5_000, 8_500));
    let running = [one(1, 9_900, 10_000)];
    let used = lately.of_pool(POOL, running.into_iter(), 10_000);
    let held: Vec<_> = used
        .iter()
        .map(|u| (u.account.0, u.held_token_ms))
        .collect();
    assert_eq!(held, [(1, 1_100 * 1_100), (2, 1_100 * 500)]);
    assert_eq!(used[0].prompt_tokens, 1_000);
    assert!(lately.of_pool(POOL, [].into_iter(), 20_000).is_empty());
}

#[test]
fn what_is_remembered_and_told_is_bounded() {
    let mut lately = UsageWindow::default();
    for at in 0..100_000 {
        lately.record_end(one(at, 0, 1_000));
    }
    assert_eq!(lately.ended.len(), ENDED_REMEMBERED_MAX);
    assert_eq!(
        lately.of_pool(POOL, [].into_iter(), 1_000).len(),
        ACCOUNTS_REPORTED_MAX
    );
}
