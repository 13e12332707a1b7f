//! Shares of client accounts at the dispatcher: usage reported by boxes, reasons of refusals, and views for operators.

use crate::dispatch::dispatcher::{Dispatcher, granted};
use crate::dispatch::permits::PermitDemand;
use crate::state::{Relay, pool_of};
use operators::{AccountShareView, PoolSharesView, RankShareView};
use peers::{AccountUsed, AcquireRequest, PermitReply};
use policy::{AccountUsage, Demand, RankCounts, RecentUsage, Share, Verdict};
use prelude::{AccountId, PoolId, Refusal, Standing};
use std::collections::HashMap;

/// Maximum number of accounts with metrics of their own, until the process ends. The others are summed.
const LABELS_MAX: usize = 10;
/// The label of the sum over all other accounts.
const OTHERS: &str = "other";

impl Dispatcher {
    /// Returns a refusal with the counts of requests that were ahead in the queue.
    pub(crate) fn refusal_reply(&self, refusal: Refusal, demand: &Demand) -> PermitReply {
        PermitReply::RefusedBehind(refusal, self.pool.standing(demand))
    }
}

impl Relay {
    pub(crate) fn verdict_reply(
        &self,
        verdict: Verdict,
        demand: &Demand,
        pool: PoolId,
    ) -> PermitReply {
        match verdict {
            Verdict::Granted { target } => granted(target),
            Verdict::Refused(refusal) => self.with_dispatcher(pool, |dispatcher, _| {
                dispatcher.refusal_reply(refusal, demand)
            }),
        }
    }

    /// Returns the share to which requests of an account are charged. A platform's fleet only has accounts: partner and owner
    /// are the same for all.
    pub(crate) fn share_of(&self, account: AccountId) -> Share {
        Share {
            account,
            partner_weight: 1.0,
            owner_weight: 1.0,
            account_weight: self.settings().accounts.weight_of(account),
            ..Share::default()
        }
    }

    pub(crate) fn recent_usage(&self, used: &[AccountUsed]) -> Vec<RecentUsage> {
        let of_account = |usage: &AccountUsed| RecentUsage {
            share: self.share_of(usage.account),
            held_token_ms: usage.held_token_ms,
            prompt_tokens: usage.prompt_tokens,
        };
        used.iter().map(of_account).collect()
    }

    /// Logs a refusal with the request ID and the counts of requests that were ahead in the queue.
    pub(crate) fn log_refusal(
        &self,
        demand: &PermitDemand<'_>,
        request: &AcquireRequest,
        refusal: Refusal,
        standing: Standing,
    ) {
        slog::info!(self.log, "permit refused"; "id" => demand.id, "rank" => demand.rank,
            "account" => self.name_of_account(demand.account), "reason" => refusal.reason.as_str(),
            "retry_after_ms" => refusal.retry_after_ms, "waited_ms" => request.waited_ms,
            "wait_left_ms" => request.wait_left_ms, "waiting" => standing.waiting,
            "before_more_urgent" => standing.more_urgent, "before_own" => standing.own,
            "before_others" => standing.others, "floods" => standing.floods,
            "held_permille" => standing.held_permille,
            "entitled_permille" => standing.entitled_permille, "lent_ms" => standing.lent_ms);
        metrics::counter!("shuntpier_permits_refused", "rank" => demand.rank.to_string(),
            "floods" => if standing.floods { "yes" } else { "no" })
        .increment(1);
    }

    /// Returns the account's name in the declarations, or its ID if it is no longer declared.
    fn name_of_account(&self, id: AccountId) -> String {
        let declared = self.declared();
        let accounts = declared
            .as_ref()
            .map(|declared| declared.table.accounts.iter());
        let named = accounts.and_then(|mut accounts| {
            accounts.find(|account| AccountId::from_name(&account.name) == id)
        });
        named.map_or_else(|| id.to_string(), |account| account.name.to_string())
    }

    /// Returns the pools that are dispatched here, with their accounts.
    pub(crate) fn share_views(&self) -> Vec<PoolSharesView> {
        let Some(declared) = self.declared() else {
            return Vec::new();
        };
        let dispatchers = self.dispatchers.borrow();
        let mut views = Vec::new();
        for service in &declared.table.services {
            let Some(dispatcher) = dispatchers.get(&pool_of(&service.name)) else {
                continue;
            };
            let accounts = dispatcher.pool.accounts();
            let accounts = accounts.iter().map(|usage| self.account_view(usage));
            views.push(PoolSharesView::new(&service.name, accounts.collect()));
        }
        views
    }

    fn account_view(&self, usage: &AccountUsage) -> AccountShareView {
        let of_rank = |(rank, used): (&u8, &RankCounts)| RankShareView {
            rank: *rank,
            granted: used.granted,
            refused: used.refused,
            waiting: used.waiting,
        };
        AccountShareView {
            account: self.name_of_account(usage.account),
            held_part: usage.held_part,
            entitled_part: usage.entitled_part,
            lent_ms: usage.excess_ms as i64,
            cap_share: usage.cap_share,
            ranks: usage.ranks.iter().map(of_rank).collect(),
        }
    }

    /// Sets the gauges of the accounts that have a label, and of the sum of the others.
    pub(crate) fn export_share_gauges(&self) {
        let mut sums: HashMap<String, (f64, u64)> = HashMap::new();
        for account in self
            .share_views()
            .into_iter()
            .flat_map(|pool| pool.accounts)
        {
            let waiting: u64 = account.ranks.iter().map(|rank| rank.waiting).sum();
            let label = self.label_of(account.account);
            let sum = sums.entry(label).or_default();
            *sum = (sum.0 + account.held_part, sum.1 + waiting);
        }
        for (label, (held_part, waiting)) in sums {
            metrics::gauge!("shuntpier_account_held_part", "account" => label.clone())
                .set(held_part);
            metrics::gauge!("shuntpier_account_waiting", "account" => label).set(waiting as f64);
        }
    }

    /// Returns the label of an account's metrics. The first [`LABELS_MAX`] accounts get their own, those with the most memory
    /// in use first.
    fn label_of(&self, account: String) -> String {
        let mut labels = self.account_labels.borrow_mut();
        if labels.contains(&account) {
            return account;
        }
        if labels.len() >= LABELS_MAX {
            return OTHERS.into();
        }
        labels.insert(account.clone());
        account
    }
}
