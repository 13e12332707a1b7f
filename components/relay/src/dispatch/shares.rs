//! Shares of client accounts at the dispatcher: what boxes tell, why a request was refused, and what operators see.

use crate::dispatch::dispatcher::{Dispatcher, granted};
use crate::dispatch::permits::PermitDemand;
use crate::state::{Relay, pool_of};
use operators::{AccountShareView, PoolSharesView, RankShareView};
use peers::{AccountUsed, AcquireRequest, PermitReply};
use policy::{AccountUsage, Demand, RankCounts, RecentUsage, Share, Verdict};
use prelude::{AccountId, PoolId, Refusal, Standing};
use std::collections::HashMap;

/// Accounts that have metrics of their own, for the life of the process; the others are summed.
const LABELS_MAX: usize = 10;
/// The label of the others.
const OTHERS: &str = "other";

impl Dispatcher {
    /// A refusal, with who stood before the request.
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

    /// Who is charged for the requests of an account. A platform's fleet has accounts alone: partner and owner are the same
    /// for all.
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
        let of_account = |one: &AccountUsed| RecentUsage {
            share: self.share_of(one.account),
            held_token_ms: one.held_token_ms,
            prompt_tokens: one.prompt_tokens,
        };
        used.iter().map(of_account).collect()
    }

    /// Logs who stood before a request that was refused, beside its name.
    pub(crate) fn log_refusal(
        &self,
        want: &PermitDemand<'_>,
        request: &AcquireRequest,
        refusal: Refusal,
        standing: Standing,
    ) {
        slog::info!(self.log, "permit refused"; "id" => want.id, "rank" => want.rank,
            "account" => self.name_of_account(want.account), "reason" => refusal.reason.as_str(),
            "retry_after_ms" => refusal.retry_after_ms, "waited_ms" => request.waited_ms,
            "wait_left_ms" => request.wait_left_ms, "waiting" => standing.waiting,
            "before_more_urgent" => standing.more_urgent, "before_own" => standing.own,
            "before_others" => standing.others, "floods" => standing.floods,
            "held_permille" => standing.held_permille,
            "entitled_permille" => standing.entitled_permille, "lent_ms" => standing.lent_ms);
        metrics::counter!("shuntpier_permits_refused", "rank" => want.rank.to_string(),
            "floods" => if standing.floods { "yes" } else { "no" })
        .increment(1);
    }

    /// An account's name in the declarations; its key where they name it no more.
    fn name_of_account(&self, id: AccountId) -> String {
        let held = self.declared();
        let accounts = held.as_ref().map(|held| held.table.accounts.iter());
        let named = accounts.and_then(|mut accounts| {
            accounts.find(|account| AccountId::from_name(&account.name) == id)
        });
        named.map_or_else(|| id.to_string(), |account| account.name.to_string())
    }

    /// The pools that are dispatched here, with their accounts.
    pub(crate) fn share_views(&self) -> Vec<PoolSharesView> {
        let Some(held) = self.declared() else {
            return Vec::new();
        };
        let dispatchers = self.dispatchers.borrow();
        let mut views = Vec::new();
        for service in &held.table.services {
            let Some(dispatcher) = dispatchers.get(&pool_of(&service.name)) else {
                continue;
            };
            let accounts = dispatcher.pool.accounts();
            let accounts = accounts.iter().map(|one| self.account_view(one));
            views.push(PoolSharesView::new(&service.name, accounts.collect()));
        }
        views
    }

    fn account_view(&self, one: &AccountUsage) -> AccountShareView {
        let of_rank = |(rank, used): (&u8, &RankCounts)| RankShareView {
            rank: *rank,
            granted: used.granted,
            refused: used.refused,
            waiting: used.waiting,
        };
        AccountShareView {
            account: self.name_of_account(one.account),
            held_part: one.held_part,
            entitled_part: one.entitled_part,
            lent_ms: one.excess_ms as i64,
            cap_share: one.cap_share,
            ranks: one.ranks.iter().map(of_rank).collect(),
        }
    }

    /// Sets the gauges of the largest accounts.
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

    /// The label of an account's metrics. Those that held most when they were first seen have one of their own.
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
