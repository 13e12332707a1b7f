use super::*;

const POOL: PoolId = PoolId {
    model: prelude::ModelId(1),
    region: prelude::RegionId(0),
    shard: 0,
};

fn usage(account: u64, began_ms: u64, ended_ms: u64) -> GenerationUsage {
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
fn usage_before_the_window_does_not_count() {
    let mut window = UsageWindow::default();
    window.record_end(usage(1, 0, 9_000));
    window.record_end(usage(2, 5_000, 8_500));
    let running = [usage(1, 9_900, 10_000)];
    let used = window.usage_in_pool(POOL, running.into_iter(), 10_000);
    let token_ms: Vec<_> = used
        .iter()
        .map(|u| (u.account.0, u.held_token_ms))
        .collect();
    assert_eq!(token_ms, [(1, 1_100 * 1_100), (2, 1_100 * 500)]);
    assert_eq!(used[0].prompt_tokens, 1_000);
    assert!(
        window
            .usage_in_pool(POOL, [].into_iter(), 20_000)
            .is_empty()
    );
}

#[test]
fn remembered_generations_and_reported_accounts_are_bounded() {
    let mut window = UsageWindow::default();
    for account in 0..100_000 {
        window.record_end(usage(account, 0, 1_000));
    }
    assert_eq!(window.ended.len(), ENDED_REMEMBERED_MAX);
    assert_eq!(
        window.usage_in_pool(POOL, [].into_iter(), 1_000).len(),
        ACCOUNTS_REPORTED_MAX
    );
}
