//! The buffered bytes of one request, released on drop, and the budget of the box that they count against.

use crate::buffered::ledger::{BufferLedger, BufferLimits, Wakeup};
use prelude::AccountId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use tokio::sync::Notify;

/// Bytes that each request may buffer regardless of the limits (one read of a channel), so that ordinary calls are served
/// while a flood uses up the budget.
const EXEMPT_BYTES: u64 = 8 * 1024;

/// The buffer ledger of the box, and the waiters for room in it.
pub(crate) struct BufferBudget {
    ledger: RefCell<BufferLedger>,
    /// Notified when room is freed, by account; none for requests whose account is not known yet.
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

    /// Bytes buffered on the box, and its limit in bytes.
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

/// The bytes that are buffered for one request.
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
    /// An empty reservation. `account` is none until the account of the request is known.
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

    /// Whether `bytes` would fit if nothing else were buffered.
    pub(crate) fn could_fit(&self, bytes: u64) -> bool {
        let ledger = self.budget.ledger.borrow();
        bytes <= EXEMPT_BYTES || ledger.could_fit(self.account, bytes)
    }

    /// Whether `additional` bytes fit now. If not, records a waiter, so that a release wakes it.
    pub(crate) fn check_room(&self, additional: u64) -> bool {
        let mut ledger = self.budget.ledger.borrow_mut();
        let has_room =
            self.bytes + additional <= EXEMPT_BYTES || ledger.has_room(self.account, additional);
        if !has_room {
            ledger.record_shortage(self.account, additional);
        }
        has_room
    }

    /// Counts `additional` bytes that are buffered already, without a check of the limits.
    pub(crate) fn add(&mut self, additional: u64) {
        self.bytes += additional;
        self.budget
            .ledger
            .borrow_mut()
            .add(self.account, additional);
    }

    /// Releases up to `bytes`, and wakes the waiters that may fit now.
    pub(crate) fn release(&mut self, bytes: u64) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        let wakeup = self.budget.ledger.borrow_mut().release(self.account, bytes);
        self.budget.wake(wakeup);
    }

    /// Waits until room was freed. There may be too little of it: check again afterwards.
    pub(crate) async fn wait_for_room(&self) {
        self.budget.room_notifier(self.account).notified().await;
    }

    /// Waits until `additional` bytes fit, and counts them.
    pub(crate) async fn reserve(&mut self, additional: u64) {
        while !self.check_room(additional) {
            self.is_blocked = true;
            self.wait_for_room().await;
        }
        self.is_blocked = false;
        self.add(additional);
    }

    /// Whether a call of `reserve` was dropped while it waited. The source was not read during that wait, so a timeout
    /// is not the fault of the source.
    pub(crate) fn is_blocked(&self) -> bool {
        self.is_blocked
    }

    /// Moves the bytes to the account of the request once it is known. Returns false if the account has no room for them;
    /// they are counted all the same.
    pub(crate) fn assign_account(&mut self, account: AccountId) -> bool {
        let bytes = self.bytes;
        self.release(bytes);
        self.account = Some(account);
        let has_room = self.check_room(bytes);
        self.add(bytes);
        has_room
    }

    /// Whether this or another request waits for room under a limit that these bytes count against. Never within
    /// [`EXEMPT_BYTES`].
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
