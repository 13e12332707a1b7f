//! One request's part of what the box holds. It is given back when it is dropped.

use crate::held::book::{Bounds, HeldBook, Wakes};
use prelude::AccountId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use tokio::sync::Notify;

/// What each request may hold beyond all bounds, one read of a channel: ordinary calls pass beside a flood.
const FREE_BYTES: u64 = 8 * 1024;

/// The box's book, with those who wait for room.
pub(crate) struct Holdings {
    book: RefCell<HeldBook>,
    /// Those who wait, by whose room they wait for.
    freed: RefCell<HashMap<Option<AccountId>, Rc<Notify>>>,
}

impl Holdings {
    pub(crate) fn new(bounds: Bounds) -> Rc<Self> {
        Rc::new(Self {
            book: RefCell::new(HeldBook::new(bounds)),
            freed: RefCell::default(),
        })
    }

    pub(crate) fn set_bounds(&self, bounds: Bounds) {
        self.book.borrow_mut().set_bounds(bounds);
        self.wake(Wakes::All);
    }

    /// Bytes held, and how many may be.
    pub(crate) fn fill(&self) -> (u64, u64) {
        let book = self.book.borrow();
        (book.bytes(), book.bounds().box_bytes)
    }

    fn wake(&self, woken: Wakes) {
        let mut freed = self.freed.borrow_mut();
        match woken {
            Wakes::Nobody => return,
            Wakes::Account(account) => {
                if let Some(waiting) = freed.get(&Some(account)) {
                    waiting.notify_waiters();
                }
            }
            Wakes::All => freed.values().for_each(|waiting| waiting.notify_waiters()),
        }
        freed.retain(|_, waiting| Rc::strong_count(waiting) > 1);
    }

    fn waiting(&self, account: Option<AccountId>) -> Rc<Notify> {
        self.freed.borrow_mut().entry(account).or_default().clone()
    }
}

/// What is held for one request.
pub(crate) struct Held {
    holdings: Rc<Holdings>,
    account: Option<AccountId>,
    bytes: u64,
    waits: bool,
}

impl fmt::Debug for Held {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "Held({})", self.bytes)
    }
}

impl Held {
    /// Nothing yet. The account is none while it is not known.
    pub(crate) fn new(holdings: &Rc<Holdings>, account: Option<AccountId>) -> Self {
        Self {
            holdings: holdings.clone(),
            account,
            bytes: 0,
            waits: false,
        }
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Whether so many bytes could be held if nothing else were.
    pub(crate) fn could_hold(&self, bytes: u64) -> bool {
        let book = self.holdings.book.borrow();
        bytes <= FREE_BYTES || book.could_hold(self.account, bytes)
    }

    /// Whether more may be held. Where not, it is noted that somebody waits.
    pub(crate) fn may_take(&self, more: u64) -> bool {
        let mut book = self.holdings.book.borrow_mut();
        let may = self.bytes + more <= FREE_BYTES || book.has_room(self.account, more);
        if !may {
            book.wanted(self.account, more);
        }
        may
    }

    /// Counts more, which is held already.
    pub(crate) fn take(&mut self, more: u64) {
        self.bytes += more;
        self.holdings.book.borrow_mut().take(self.account, more);
    }

    /// Counts less.
    pub(crate) fn give(&mut self, bytes: u64) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        let woken = self.holdings.book.borrow_mut().give(self.account, bytes);
        self.holdings.wake(woken);
    }

    /// Waits until there may be room again.
    pub(crate) async fn freed(&self) {
        self.holdings.waiting(self.account).notified().await;
    }

    /// Waits until more may be held, and counts it.
    pub(crate) async fn wait(&mut self, more: u64) {
        while !self.may_take(more) {
            self.waits = true;
            self.freed().await;
        }
        self.waits = false;
        self.take(more);
    }

    /// Whether a wait for more did not come to its end: its source was not read meanwhile.
    pub(crate) fn is_waiting(&self) -> bool {
        self.waits
    }

    /// Counts it for the account that it turned out to belong to. False where that has no room for it.
    pub(crate) fn belongs_to(&mut self, account: AccountId) -> bool {
        let bytes = self.bytes;
        self.give(bytes);
        self.account = Some(account);
        let may = self.may_take(bytes);
        self.take(bytes);
        may
    }

    /// Whether more was wanted than a bound allows that this counts against, by this request or by others.
    pub(crate) fn is_wanted(&self) -> bool {
        self.bytes > FREE_BYTES && self.holdings.book.borrow().is_short(self.account)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.give(self.bytes);
    }
}

#[cfg(test)]
#[path = "part_tests.rs"]
mod tests;
