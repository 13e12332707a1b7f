//! Counts the buffered bytes of the box and of each client account against their limits. Does no I/O and wakes nobody itself.

use prelude::AccountId;
use std::collections::HashMap;

/// Waiters are woken once 1/16 of the limit is free. Otherwise each piece written to a peer would wake all of them.
const WAKE_DIVISOR: u64 = 16;

/// The limits in force, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BufferLimits {
    /// Limit of the whole box.
    pub box_bytes: u64,
    /// Limit of each client account.
    pub account_bytes: u64,
}

/// Buffered bytes of one client account.
#[derive(Clone, Copy, Debug, Default)]
struct AccountUsage {
    bytes: u64,
    /// A reservation did not fit the account's limit; cleared when its waiters are woken.
    has_waiters: bool,
}

/// Which waiters to wake after bytes were released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wakeup {
    Nobody,
    /// The waiters of one account.
    Account(AccountId),
    All,
}

/// The buffered bytes of the box.
#[derive(Clone, Debug)]
pub(crate) struct BufferLedger {
    limits: BufferLimits,
    bytes: u64,
    /// A reservation did not fit the limit of the box; cleared when all waiters are woken.
    has_waiters: bool,
    accounts: HashMap<AccountId, AccountUsage>,
}

fn has_room(bytes: u64, additional: u64, limit: u64) -> bool {
    bytes.saturating_add(additional) <= limit
}

fn has_wake_room(bytes: u64, limit: u64) -> bool {
    has_room(bytes, limit / WAKE_DIVISOR, limit)
}

impl BufferLedger {
    pub(crate) fn new(limits: BufferLimits) -> Self {
        Self {
            limits,
            bytes: 0,
            has_waiters: false,
            accounts: HashMap::new(),
        }
    }

    /// Replaces the limits. Bytes above a lowered limit stay counted until they are released.
    pub(crate) fn set_limits(&mut self, limits: BufferLimits) {
        self.limits = limits;
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(crate) fn limits(&self) -> BufferLimits {
        self.limits
    }

    /// Whether `bytes` would fit if nothing else were buffered.
    pub(crate) fn could_fit(&self, account: Option<AccountId>, bytes: u64) -> bool {
        let limit = match account {
            Some(_) => self.limits.box_bytes.min(self.limits.account_bytes),
            None => self.limits.box_bytes,
        };
        bytes <= limit
    }

    /// Whether `additional` bytes fit now. `account` is none until the account of the request is known.
    pub(crate) fn has_room(&self, account: Option<AccountId>, additional: u64) -> bool {
        has_room(self.bytes, additional, self.limits.box_bytes)
            && self.account_has_room(account, additional)
    }

    fn account_has_room(&self, account: Option<AccountId>, additional: u64) -> bool {
        account
            .is_none_or(|id| has_room(self.usage(id).bytes, additional, self.limits.account_bytes))
    }

    fn usage(&self, account: AccountId) -> AccountUsage {
        self.accounts.get(&account).copied().unwrap_or_default()
    }

    /// Records which limits leave no room for `additional` bytes, so that a release wakes the waiters.
    pub(crate) fn record_shortage(&mut self, account: Option<AccountId>, additional: u64) {
        self.has_waiters |= !has_room(self.bytes, additional, self.limits.box_bytes);
        let account_has_room = self.account_has_room(account, additional);
        if let Some(account) = account.filter(|_| !account_has_room) {
            self.accounts.entry(account).or_default().has_waiters = true;
        }
    }

    /// Whether somebody waits for room under the limit of the box or of `account`.
    pub(crate) fn is_contended(&self, account: Option<AccountId>) -> bool {
        self.has_waiters || account.is_some_and(|account| self.usage(account).has_waiters)
    }

    /// Adds bytes, also beyond a limit.
    pub(crate) fn add(&mut self, account: Option<AccountId>, bytes: u64) {
        self.bytes += bytes;
        if let Some(account) = account {
            self.accounts.entry(account).or_default().bytes += bytes;
        }
    }

    /// Subtracts bytes; returns whom to wake.
    pub(crate) fn release(&mut self, account: Option<AccountId>, bytes: u64) -> Wakeup {
        self.bytes = self.bytes.saturating_sub(bytes);
        let mut wakeup = Wakeup::Nobody;
        if let Some(account) = account
            && let Some(usage) = self.accounts.get_mut(&account)
        {
            usage.bytes = usage.bytes.saturating_sub(bytes);
            if usage.has_waiters && has_wake_room(usage.bytes, self.limits.account_bytes) {
                usage.has_waiters = false;
                wakeup = Wakeup::Account(account);
            }
            if usage.bytes == 0 && !usage.has_waiters {
                self.accounts.remove(&account);
            }
        }
        if self.has_waiters && has_wake_room(self.bytes, self.limits.box_bytes) {
            self.has_waiters = false;
            wakeup = Wakeup::All;
        }
        wakeup
    }
}

#[cfg(test)]
#[path = "ledger_tests.rs"]
mod tests;
