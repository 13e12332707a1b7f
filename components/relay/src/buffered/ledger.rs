//! Who holds how many bytes, and whether there is room for more. Plain data.

use prelude::AccountId;
use std::collections::HashMap;

/// So much of a bound is free again before those who wait are woken: each piece that is written would wake all of them.
const WAKE_DIVISOR: u64 = 16;

/// The bounds in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BufferLimits {
    /// For the box.
    pub box_bytes: u64,
    /// For each client account.
    pub account_bytes: u64,
}

/// What one client account has.
#[derive(Clone, Copy, Debug, Default)]
struct AccountUsage {
    bytes: u64,
    /// More was wanted than there was room for.
    has_waiters: bool,
}

/// Who is woken after bytes were given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wakeup {
    Nobody,
    /// Those who wait for room of one account.
    Account(AccountId),
    All,
}

/// The bytes that a box holds for others.
#[derive(Clone, Debug)]
pub(crate) struct BufferLedger {
    limits: BufferLimits,
    bytes: u64,
    /// More was wanted than the box had room for.
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

    /// Puts bounds into force. What is held over them drains.
    pub(crate) fn set_limits(&mut self, limits: BufferLimits) {
        self.limits = limits;
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(crate) fn limits(&self) -> BufferLimits {
        self.limits
    }

    /// Whether so many bytes could be held if nothing else were.
    pub(crate) fn could_fit(&self, account: Option<AccountId>, bytes: u64) -> bool {
        let limit = match account {
            Some(_) => self.limits.box_bytes.min(self.limits.account_bytes),
            None => self.limits.box_bytes,
        };
        bytes <= limit
    }

    /// Whether there is room for more. An account is none while a request is not known to be anybody's.
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

    /// Notes that more was wanted than there is room for.
    pub(crate) fn record_shortage(&mut self, account: Option<AccountId>, additional: u64) {
        self.has_waiters |= !has_room(self.bytes, additional, self.limits.box_bytes);
        let account_has_room = self.account_has_room(account, additional);
        if let Some(account) = account.filter(|_| !account_has_room) {
            self.accounts.entry(account).or_default().has_waiters = true;
        }
    }

    /// Whether more was wanted than the bound of the box or of an account allows.
    pub(crate) fn is_contended(&self, account: Option<AccountId>) -> bool {
        self.has_waiters || account.is_some_and(|account| self.usage(account).has_waiters)
    }

    /// Counts more, room or not.
    pub(crate) fn add(&mut self, account: Option<AccountId>, bytes: u64) {
        self.bytes += bytes;
        if let Some(account) = account {
            self.accounts.entry(account).or_default().bytes += bytes;
        }
    }

    /// Counts less.
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
