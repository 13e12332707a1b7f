use super::*;

fn account(granted: u64, refused: u64) -> AccountShareView {
    let rank = RankShareView {
        granted,
        refused,
        ..RankShareView::default()
    };
    AccountShareView {
        ranks: vec![rank],
        ..AccountShareView::default()
    }
}

#[test]
fn the_worst_tenth_is_of_accounts_that_asked() {
    let mut accounts: Vec<AccountShareView> = (0..10).map(|_| account(10, 0)).collect();
    accounts.push(account(1, 3));
    accounts.push(account(0, 0));
    let pool = PoolSharesView::new("model", accounts);
    // Two of eleven.
    assert_eq!(pool.worst_tenth_granted, Some((0.25 + 1.0) / 2.0));
    assert_eq!(
        PoolSharesView::new("model", Vec::new()).worst_tenth_granted,
        None
    );
}
