use super::*;
use proptest::prelude::*;

const LIMITS: BufferLimits = BufferLimits {
    box_bytes: 1_600,
    account_bytes: 800,
};

fn account(name: &str) -> Option<AccountId> {
    Some(AccountId::from_name(name))
}

#[test]
fn one_account_at_its_limit_leaves_room_for_others() {
    let mut ledger = BufferLedger::new(LIMITS);
    ledger.add(account("a"), 800);
    assert!(!ledger.has_room(account("a"), 1));
    assert!(ledger.has_room(account("b"), 800));
    assert!(ledger.has_room(None, 800));
    ledger.add(account("b"), 800);
    assert!(!ledger.has_room(account("c"), 1));
}

#[test]
fn waiters_of_an_account_wake_once_a_sixteenth_of_its_limit_is_free() {
    let mut ledger = BufferLedger::new(LIMITS);
    ledger.add(account("a"), 800);
    ledger.record_shortage(account("a"), 10);
    assert!(ledger.is_contended(account("a")) && !ledger.is_contended(account("b")));
    assert_eq!(ledger.release(account("a"), 49), Wakeup::Nobody);
    let wakeup = Wakeup::Account(AccountId::from_name("a"));
    assert_eq!(ledger.release(account("a"), 1), wakeup);
    assert_eq!(ledger.release(account("a"), 100), Wakeup::Nobody);
    assert!(!ledger.is_contended(account("a")));
}

#[test]
fn room_in_the_box_wakes_the_waiters_of_all_accounts() {
    let mut ledger = BufferLedger::new(LIMITS);
    ledger.add(account("a"), 800);
    ledger.add(account("b"), 800);
    ledger.record_shortage(account("c"), 10);
    assert!(ledger.is_contended(account("a")) && ledger.is_contended(None));
    assert_eq!(ledger.release(account("a"), 100), Wakeup::All);
}

#[test]
fn an_account_without_bytes_or_waiters_is_removed() {
    let mut ledger = BufferLedger::new(LIMITS);
    ledger.add(account("a"), 800);
    ledger.record_shortage(account("a"), 10);
    ledger.release(account("a"), 800);
    assert_eq!((ledger.accounts.len(), ledger.bytes()), (0, 0));
}

#[test]
fn a_size_above_a_limit_never_fits() {
    let ledger = BufferLedger::new(LIMITS);
    assert!(ledger.could_fit(account("a"), 800) && !ledger.could_fit(account("a"), 801));
    assert!(ledger.could_fit(None, 1_600));
}

proptest! {
    #[test]
    fn reservations_that_check_for_room_never_exceed_a_limit(requests in prop::collection::vec((0u8..3, 1u64..400), 1..80)) {
        let mut ledger = BufferLedger::new(LIMITS);
        let mut reserved = Vec::new();
        for (owner, bytes) in requests {
            let owner = account(["a", "b", "c"][usize::from(owner)]);
            match ledger.has_room(owner, bytes) {
                true => {
                    ledger.add(owner, bytes);
                    reserved.push((owner, bytes));
                }
                false => {
                    ledger.record_shortage(owner, bytes);
                    if let Some((owner, bytes)) = reserved.pop() {
                        ledger.release(owner, bytes);
                    }
                }
            }
            prop_assert!(ledger.bytes() <= LIMITS.box_bytes);
            prop_assert!(ledger.accounts.values().all(|usage| usage.bytes <= LIMITS.account_bytes));
        }
        for (owner, bytes) in reserved {
            ledger.release(owner, bytes);
        }
        prop_assert_eq!(ledger.bytes(), 0);
    }
}
