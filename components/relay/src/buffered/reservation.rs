//! One request's part of what the box holds. It is given back when it is dropped.

use crate::buffered::ledger::{BufferLedger, BufferLimits, Wakeup};
use prelude::AccountId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use tokio::sync::Notify;

/// What each request may hold beyond all bounds, one read of a channel: ordinary calls pass beside a flood.
const EXEMPT_BYTES: u64 = 8 * 1024;

/// The box's book, with those who wait for room.
pub(crate) struct BufferBudget {
    ledger: RefCell<BufferLedger>,
    /// Those who wait, by whose room they wait for.
    room_notifiers: RefCell<HashMap<Option<AccountId>, Rc<Notify>>>,
}

impl BufferBudget {
    pub(crate) fn new(limits: BufferLimits) -> Rc<Self> {
        Rc::new(Self {
            ledger: RefCell::new(BufferLedger::new(limits)),
            room_notifiers: RefCell::default(),
        })
    }

    pub(crate) fn set_limits(&self, limits: BufferLimits) {
        self.ledger.borrow_mut().set_limits(limits);
        self.wake(Wakeup::All);
    }

    /// Bytes held, and how many may be.
    pub(crate) fn usage(&self) -> (u64, u64) {
        let ledger = self.ledger.borrow();
        (ledger.bytes(), ledger.limits().box_bytes)
    }

    fn wake(&self, wakeup: Wakeup) {
        let mut room_notifiers = self.room_notifiers.borrow_mut();
        match wakeup {
            Wakeup::Nobody => return,
            Wakeup::Account(account) => {
                if let Some(notifier) = room_notifiers.get(&Some(account)) {
                    notifier.notify_waiters();
                }
            }
            Wakeup::All => room_notifiers
                .values()
                .for_each(|notifier| notifier.notify_waiters()),
        }
        room_notifiers.retain(|_, notifier| Rc::strong_count(notifier) > 1);
    }

    fn room_notifier(&self, account: Option<AccountId>) -> Rc<Notify> {
        self.room_notifiers
            .borrow_mut()
            .entry(account)
            .or_default()
            .clone()
    }
}

/// What is held for one request.
pub(crate) struct BufferReservation {
    budget: Rc<BufferBudget>,
    account: Option<AccountId>,
    bytes: u64,
    is_blocked: bool,
}

impl fmt::Debug for BufferReservation {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "BufferReservation({})", self.bytes)
    }
}

impl BufferReservation {
    /// Nothing yet. The account is none while it is not known.
    pub(crate) fn new(budget: &Rc<BufferBudget>, account: Option<AccountId>) -> Self {
        Self {
            budget: budget.clone(),
            account,
            bytes: 0,
            is_blocked: false,
        }
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Whether so many bytes could be held if nothing else were.
    pub(crate) fn could_fit(&self, bytes: u64) -> bool {
        let ledger = self.budget.ledger.borrow();
        bytes <= EXEMPT_BYTES || ledger.could_fit(self.account, bytes)
    }

    /// Whether more may be held. Where not, it is noted that somebody waits.
    pub(crate) fn check_room(&self, additional: u64) -> bool {
        let mut ledger = self.budget.ledger.borrow_mut();
        let has_room =
            self.bytes + additional <= EXEMPT_BYTES || ledger.has_room(self.account, additional);
        if !has_room {
            ledger.record_shortage(self.account, additional);
        }
        has_room
    }

    /// Counts more, which is held already.
    pub(crate) fn add(&mut self, additional: u64) {
        self.bytes += additional;
        self.budget
            .ledger
            .borrow_mut()
            .add(self.account, additional);
    }

    /// Counts less.
    pub(crate) fn release(&mut self, bytes: u64) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        let wakeup = self.budget.ledger.borrow_mut().release(self.account, bytes);
        self.budget.wake(wakeup);
    }

    /// Waits until there may be room again.
    pub(crate) async fn wait_for_room(&self) {
        self.budget.room_notifier(self.account).notified().await;
    }

    /// Waits until more may be held, and counts it.
    pub(crate) async fn reserve(&mut self, additional: u64) {
        while !self.check_room(additional) {
            self.is_blocked = true;
            self.wait_for_room().await;
        }
        self.is_blocked = false;
        self.add(additional);
    }

    /// Whether a wait for more did not come to its end: its source was not read meanwhile.
    pub(crate) fn is_blocked(&self) -> bool {
        self.is_blocked
    }

    /// Counts it for the account that it turned out to belong to. False where that has no room for it.
    pub(crate) fn assign_account(&mut self, account: AccountId) -> bool {
        let bytes = self.bytes;
        self.release(bytes);
        self.account = Some(account);
        let has_room = self.check_room(bytes);
        self.add(bytes);
        has_room
    }

    /// Whether more was wanted than a bound allows that this counts against, by this request or by others.
    pub(crate) fn is_contended(&self) -> bool {
        self.bytes > EXEMPT_BYTES && self.budget.ledger.borrow().is_contended(self.account)
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}

#[cfg(test)]
#[path = "reservation_tests.rs"]
mod tests;
