//! Grants, waiting requests and refusals by account and rank, for operators.

use crate::demand::Demand;
use crate::fairness::tree::Share;
use crate::pool::Pool;
use prelude::{AccountId, Standing};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Maximum number of pairs of account and rank counted separately; requests of further ones count
/// under account 0.
const MAX_ROWS: usize = 1_024;

/// Outcomes of the requests of one account and rank since the dispatcher started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankCounts {
    /// Granted requests.
    pub granted: u64,
    /// Refused requests.
    pub refused: u64,
    /// Requests that wait now.
    pub waiting: u64,
}

/// Outcomes by account and rank.
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
        if self.rows.len() >= MAX_ROWS && !self.rows.contains_key(&key) {
            key = (AccountId::default(), demand.rank);
        }
        self.rows.entry(key).or_default()
    }
}

/// Usage of one account at a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountUsage {
    /// The account.
    pub account: AccountId,
    /// Outcomes of its requests by rank.
    pub ranks: BTreeMap<u8, RankCounts>,
    /// Fraction of the memory in use.
    pub held_part: f64,
    /// Fraction of the pool that it is entitled to among accounts with waiting or running requests.
    pub entitled_part: f64,
    /// Service received beyond the least served waiting account, in milliseconds of its fair share;
    /// negative if it received less.
    pub excess_ms: f64,
    /// Maximum share of the pool's memory; `None` without a cap.
    pub cap_share: Option<f64>,
}

impl Pool {
    /// Returns the number of requests served before a refused one, and the usage of its account.
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

    /// Returns the accounts that had requests, by descending memory in use.
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
        let usage_of = |(account, ranks): (AccountId, BTreeMap<u8, RankCounts>)| {
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
        let mut accounts: Vec<AccountUsage> = ranks.into_iter().map(usage_of).collect();
        accounts.sort_by(|one, other| {
            let by_part = other.held_part.total_cmp(&one.held_part);
            by_part.then(one.account.cmp(&other.account))
        });
        accounts
    }
}
