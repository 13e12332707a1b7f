//! Who is served, who waits and who is refused, by account and rank, as operators see it.

use crate::demand::Demand;
use crate::fairness::tree::Share;
use crate::pool::Pool;
use prelude::{AccountId, Standing};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Accounts and ranks that are counted apart; what comes beyond is counted under the account 0.
const ROWS_MAX: usize = 1_024;

/// What became of the requests of one account and rank, since the dispatcher began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankCounts {
    /// Requests that were granted.
    pub granted: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that wait now.
    pub waiting: u64,
}

/// Counts by account and rank.
#[derive(Clone, Debug, Default)]
pub(crate) struct Usage {
    rows: HashMap<(AccountId, u8), RankCounts>,
}

impl Usage {
    pub fn record_grant(&mut self, demand: &Demand) {
        self.row(demand).granted += 1;
    }

    pub fn record_refusal(&mut self, demand: &Demand) {
        self.row(demand).refused += 1;
    }

    fn row(&mut self, demand: &Demand) -> &mut RankCounts {
        let mut key = (demand.share.account, demand.rank);
        if self.rows.len() >= ROWS_MAX && !self.rows.contains_key(&key) {
            key = (AccountId::default(), demand.rank);
        }
        self.rows.entry(key).or_default()
    }
}

/// One account as a dispatcher sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountUsage {
    /// The account.
    pub account: AccountId,
    /// What became of its requests, by rank.
    pub ranks: BTreeMap<u8, RankCounts>,
    /// The part of the memory in use that it holds.
    pub held_part: f64,
    /// The part that it is entitled to among those that wait or run.
    pub entitled_part: f64,
    /// What it used beyond the least served that waits, as time of its fair share; below zero where it is owed.
    pub excess_ms: f64,
    /// The share of the pool's memory that it may hold; none where it has no cap.
    pub cap_share: Option<f64>,
}

impl Pool {
    /// Who stands before a request that is refused, and how its account stands.
    pub fn standing(&self, demand: &Demand) -> Standing {
        let mut standing = Standing {
            waiting: self.queue.len() as u32,
            held_permille: (self.tree.held_part(&demand.share) * 1_000.0) as u16,
            entitled_permille: (self.tree.entitled_part(&demand.share) * 1_000.0) as u16,
            lent_ms: self.tree.excess_ms(&demand.share) as i32,
            floods: self.tree.is_flooding(&demand.share),
            ..Standing::default()
        };
        let start_by_ms = self.start_by_ms(demand);
        let ahead = self.queue.requests_ahead(demand, start_by_ms, &self.tree);
        for other in ahead {
            let count = match (other.rank < demand.rank, other.share.account) {
                (true, _) => &mut standing.more_urgent,
                (false, account) if account == demand.share.account => &mut standing.own,
                (false, _) => &mut standing.others,
            };
            *count += 1;
        }
        standing
    }

    /// The accounts that it served or refused, or that wait, those that hold most first.
    pub fn accounts(&self) -> Vec<AccountUsage> {
        let mut ranks: HashMap<AccountId, BTreeMap<u8, RankCounts>> = HashMap::new();
        for ((account, rank), row) in &self.usage.rows {
            ranks.entry(*account).or_default().insert(*rank, *row);
        }
        for (demand, _) in self.queue.in_order(&self.tree) {
            let of_account = ranks.entry(demand.share.account).or_default();
            of_account.entry(demand.rank).or_default().waiting += 1;
        }
        let shares: HashMap<AccountId, Share> = self
            .tree
            .shares()
            .map(|share| (share.account, share))
            .collect();
        let of = |(account, ranks): (AccountId, BTreeMap<u8, RankCounts>)| {
            let share = shares.get(&account);
            AccountUsage {
                account,
                ranks,
                held_part: share.map_or(0.0, |share| self.tree.held_part(share)),
                entitled_part: share.map_or(0.0, |share| self.tree.entitled_part(share)),
                excess_ms: share.map_or(0.0, |share| self.tree.excess_ms(share)),
                cap_share: self.tree.cap_of(account),
            }
        };
        let mut accounts: Vec<AccountUsage> = ranks.into_iter().map(of).collect();
        accounts.sort_by(|one, other| {
            let by_part = other.held_part.total_cmp(&one.held_part);
            by_part.then(one.account.cmp(&other.account))
        });
        accounts
    }
}
