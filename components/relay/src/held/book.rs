//! Who holds how many bytes, and whether there is room for more. Plain data.

use prelude::AccountId;
use std::collections::HashMap;

/// So much of a bound is free again before those who wait are woken: each piece that is written would wake all of them.
const WAKE_PARTS: u64 = 16;

/// The bounds in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Bounds {
    /// For the box.
    pub box_bytes: u64,
    /// For each client account.
    pub account_bytes: u64,
}

/// What one client account has.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    bytes: u64,
    /// More was wanted than there was room for.
    waits: bool,
}

/// Who is woken after bytes were given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wakes {
    Nobody,
    /// Those who wait for room of one account.
    Account(AccountId),
    All,
}

/// The bytes that a box holds for others.
#[derive(Clone, Debug)]
pub(crate) struct HeldBook {
    bounds: Bounds,
    bytes: u64,
    /// More was wanted than the box had room for.
    waits: bool,
    accounts: HashMap<AccountId, Part>,
}

fn has_room(bytes: u64, more: u64, bound: u64) -> bool {
    bytes.saturating_add(more) <= bound
}

fn wakes(bytes: u64, bound: u64) -> bool {
    has_room(bytes, bound / WAKE_PARTS, bound)
}

impl HeldBook {
    pub(crate) fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            bytes: 0,
            waits: false,
            accounts: HashMap::new(),
        }
    }

    /// Puts bounds into force. What is held over them drains.
    pub(crate) fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(crate) fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// Whether so many bytes could be held if nothing else were.
    pub(crate) fn could_hold(&self, account: Option<AccountId>, bytes: u64) -> bool {
        let bound = match account {
            Some(_) => self.bounds.box_bytes.min(self.bounds.account_bytes),
            None => self.bounds.box_bytes,
        };
        bytes <= bound
    }

    /// Whether there is room for more. An account is none while a request is not known to be anybody's.
    pub(crate) fn has_room(&self, account: Option<AccountId>, more: u64) -> bool {
        has_room(self.bytes, more, self.bounds.box_bytes) && self.account_has_room(account, more)
    }

    fn account_has_room(&self, account: Option<AccountId>, more: u64) -> bool {
        account
            .is_none_or(|account| has_room(self.of(account).bytes, more, self.bounds.account_bytes))
    }

    fn of(&self, account: AccountId) -> Part {
        self.accounts.get(&account).copied().unwrap_or_default()
    }

    /// Notes that more was wanted than there is room for.
    pub(crate) fn wanted(&mut self, account: Option<AccountId>, more: u64) {
        self.waits |= !has_room(self.bytes, more, self.bounds.box_bytes);
        let account_has_room = self.account_has_room(account, more);
        if let Some(account) = account.filter(|_| !account_has_room) {
            self.accounts.entry(account).or_default().waits = true;
        }
    }

    /// Whether more was wanted than the bound of the box or of an account allows.
    pub(crate) fn is_short(&self, account: Option<AccountId>) -> bool {
        self.waits || account.is_some_and(|account| self.of(account).waits)
    }

    /// Counts more, room or not.
    pub(crate) fn take(&mut self, account: Option<AccountId>, bytes: u64) {
        self.bytes += bytes;
        if let Some(account) = account {
            self.accounts.entry(account).or_default().bytes += bytes;
        }
    }

    /// Counts less.
    pub(crate) fn give(&mut self, account: Option<AccountId>, bytes: u64) -> Wakes {
        self.bytes = self.bytes.saturating_sub(bytes);
        let mut woken = Wakes::Nobody;
        if let Some(account) = account
            && let Some(part) = self.accounts.get_mut(&account)
        {
            part.bytes = part.bytes.saturating_sub(bytes);
            if part.waits && wakes(part.bytes, self.bounds.account_bytes) {
                part.waits = false;
                woken = Wakes::Account(account);
            }
            if part.bytes == 0 && !part.waits {
                self.accounts.remove(&account);
            }
        }
        if self.waits && wakes(self.bytes, self.bounds.box_bytes) {
            self.waits = false;
            woken = Wakes::All;
        }
        woken
    }
}

#[cfg(test)]
#[path = "book_tests.rs"]
mod tests;
