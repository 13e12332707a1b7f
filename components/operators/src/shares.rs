//! What operators see of the shares of client accounts, from the box that dispatches a pool.

use serde::{Deserialize, Serialize};

/// The requests of one account and rank, since the box dispatches.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RankShareView {
    /// 0 for the most urgent.
    pub rank: u8,
    /// Requests that were granted.
    pub granted: u64,
    /// Refusals.
    pub refused: u64,
    /// Requests that wait.
    pub waiting: u64,
}

/// One account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AccountShareView {
    /// Its name.
    pub account: String,
    /// The part of the memory in use that it holds.
    pub held_part: f64,
    /// The part that it is entitled to among those that wait or run.
    pub entitled_part: f64,
    /// What it used beyond the least served that waits, as time of its fair share; below zero where it is owed.
    pub lent_ms: i64,
    /// The share of the pool's memory that it may hold; none where it has no cap.
    pub cap_share: Option<f64>,
    /// By rank, the most urgent first.
    pub ranks: Vec<RankShareView>,
}

impl AccountShareView {
    /// Grants as a share of grants and refusals; none where it had neither.
    pub fn granted_share(&self) -> Option<f64> {
        let granted: u64 = self.ranks.iter().map(|rank| rank.granted).sum();
        let refused: u64 = self.ranks.iter().map(|rank| rank.refused).sum();
        let all = granted + refused;
        (all > 0).then(|| granted as f64 / all as f64)
    }
}

/// A pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolSharesView {
    /// Its service.
    pub service: String,
    /// Grants as a share of grants and refusals, of the tenth of the accounts that has the least of it.
    pub worst_tenth_granted: Option<f64>,
    /// Its accounts, those that hold most first.
    pub accounts: Vec<AccountShareView>,
}

impl PoolSharesView {
    /// A pool with its accounts.
    pub fn new(service: &str, accounts: Vec<AccountShareView>) -> Self {
        let shares = accounts.iter().filter_map(AccountShareView::granted_share);
        let mut shares: Vec<f64> = shares.collect();
        shares.sort_by(f64::total_cmp);
        let worst = &shares[..shares.len().div_ceil(10)];
        let sum: f64 = worst.iter().sum();
        Self {
            service: service.into(),
            worst_tenth_granted: (!worst.is_empty()).then(|| sum / worst.len() as f64),
            accounts,
        }
    }
}

#[cfg(test)]
#[path = "shares_tests.rs"]
mod tests;
