//! What client accounts used at this box of late, as a dispatcher that is new to the box is told it.

use peers::AccountUsed;
use prelude::{AccountId, PoolId};
use std::collections::{BTreeMap, VecDeque};

/// The window that is told: nobody has an advantage or pays for what was used before it.
const WINDOW_MS: u64 = 2_000;
/// Generations that ended and are remembered.
const ENDED_REMEMBERED_MAX: usize = 2_048;
/// Accounts that are told, those that used most: 20 bytes each.
const ACCOUNTS_REPORTED_MAX: usize = 64;

/// A generation that runs, or that ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GenerationUsage {
    pub pool: PoolId,
    pub account: AccountId,
    pub prompt_tokens: u32,
    pub tokens: u32,
    pub began_ms: u64,
    /// Now, where it still runs.
    pub ended_ms: u64,
}

impl GenerationUsage {
    fn add_to(&self, used: &mut AccountUsed, now_ms: u64) {
        let from_ms = now_ms.saturating_sub(WINDOW_MS);
        let held_ms = self.ended_ms.saturating_sub(self.began_ms.max(from_ms));
        // Its answer grew evenly from nothing: half of it was held on the mean.
        let held_tokens = u64::from(self.prompt_tokens) + u64::from(self.tokens) / 2;
        used.held_token_ms += held_tokens * held_ms;
        if self.began_ms >= from_ms {
            used.prompt_tokens = used.prompt_tokens.saturating_add(self.prompt_tokens);
        }
    }
}

/// Generations that ended within the window.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsageWindow {
    ended: VecDeque<GenerationUsage>,
}

impl UsageWindow {
    /// Notes a generation that ended.
    pub(crate) fn record_end(&mut self, one: GenerationUsage) {
        let from_ms = one.ended_ms.saturating_sub(WINDOW_MS);
        while self.ended.front().is_some_and(|old| old.ended_ms < from_ms)
            || self.ended.len() >= ENDED_REMEMBERED_MAX
        {
            self.ended.pop_front();
        }
        self.ended.push_back(one);
    }

    /// What accounts used in a pool, with what runs there.
    pub(crate) fn of_pool(
        &self,
        pool: PoolId,
        running: impl Iterator<Item = GenerationUsage>,
        now_ms: u64,
    ) -> Vec<AccountUsed> {
        let mut by_account: BTreeMap<AccountId, AccountUsed> = BTreeMap::new();
        let in_window =
            |one: &GenerationUsage| one.pool == pool && one.ended_ms + WINDOW_MS >= now_ms;
        for one in self.ended.iter().copied().chain(running).filter(in_window) {
            let used = by_account.entry(one.account).or_insert(AccountUsed {
                account: one.account,
                ..AccountUsed::default()
            });
            one.add_to(used, now_ms);
        }
        let mut used: Vec<AccountUsed> = by_account.into_values().collect();
        used.sort_by_key(|one| std::cmp::Reverse(one.held_token_ms));
        used.truncate(ACCOUNTS_REPORTED_MAX);
        used
    }
}

#[cfg(test)]
#[path = "usage_window_tests.rs"]
mod tests;
