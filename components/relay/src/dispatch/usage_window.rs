//! Recent usage of client accounts at this box. A dispatcher that is new to the box receives it, so that shares remain fair.

use peers::AccountUsed;
use prelude::{AccountId, PoolId};
use std::collections::{BTreeMap, VecDeque};

/// Length of the window. Usage before it counts neither for nor against an account.
const WINDOW_MS: u64 = 2_000;
/// Maximum number of ended generations that are kept.
const ENDED_REMEMBERED_MAX: usize = 2_048;
/// Maximum number of accounts that are reported, by descending usage. Each takes 20 bytes.
const ACCOUNTS_REPORTED_MAX: usize = 64;

/// Memory and time that one generation has used, running or ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GenerationUsage {
    pub pool: PoolId,
    pub account: AccountId,
    pub prompt_tokens: u32,
    pub tokens: u32,
    pub began_ms: u64,
    /// The current time if the generation is still running.
    pub ended_ms: u64,
}

impl GenerationUsage {
    fn add_to(&self, used: &mut AccountUsed, now_ms: u64) {
        let from_ms = now_ms.saturating_sub(WINDOW_MS);
        let in_use_ms = self.ended_ms.saturating_sub(self.began_ms.max(from_ms));
        // The answer grows at an even rate from zero, so that half of its tokens are in use on average.
        let mean_tokens = u64::from(self.prompt_tokens) + u64::from(self.tokens) / 2;
        used.held_token_ms += mean_tokens * in_use_ms;
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
    /// Records a generation that ended.
    pub(crate) fn record_end(&mut self, usage: GenerationUsage) {
        let from_ms = usage.ended_ms.saturating_sub(WINDOW_MS);
        while self.ended.front().is_some_and(|old| old.ended_ms < from_ms)
            || self.ended.len() >= ENDED_REMEMBERED_MAX
        {
            self.ended.pop_front();
        }
        self.ended.push_back(usage);
    }

    /// Returns the usage of each account in a pool, including running generations.
    pub(crate) fn usage_in_pool(
        &self,
        pool: PoolId,
        running: impl Iterator<Item = GenerationUsage>,
        now_ms: u64,
    ) -> Vec<AccountUsed> {
        let mut by_account: BTreeMap<AccountId, AccountUsed> = BTreeMap::new();
        let in_window =
            |usage: &GenerationUsage| usage.pool == pool && usage.ended_ms + WINDOW_MS >= now_ms;
        for usage in self.ended.iter().copied().chain(running).filter(in_window) {
            let used = by_account.entry(usage.account).or_insert(AccountUsed {
                account: usage.account,
                ..AccountUsed::default()
            });
            usage.add_to(used, now_ms);
        }
        let mut used: Vec<AccountUsed> = by_account.into_values().collect();
        used.sort_by_key(|usage| std::cmp::Reverse(usage.held_token_ms));
        used.truncate(ACCOUNTS_REPORTED_MAX);
        used
    }
}

#[cfg(test)]
#[path = "usage_window_tests.rs"]
mod tests;
