use super::*;
use proptest::prelude::*;

const BOUNDS: Bounds = Bounds {
    box_bytes: 1_600,
    account_bytes: 800,
};

fn account(name: &str) -> Option<AccountId> {
    Some(AccountId::from_name(name))
}

#[test]
fn one_account_leaves_room_for_others() {
    let mut book = HeldBook::new(BOUNDS);
    book.take(account("a"), 800);
    assert!(!book.has_room(account("a"), 1));
    assert!(book.has_room(account("b"), 800));
    assert!(book.has_room(None, 800));
    book.take(account("b"), 800);
    assert!(!book.has_room(account("c"), 1));
}

#[test]
fn those_who_wait_are_woken_once_a_part_of_the_bound_is_free() {
    let mut book = HeldBook::new(BOUNDS);
    book.take(account("a"), 800);
    book.wanted(account("a"), 10);
    assert!(book.is_short(account("a")) && !book.is_short(account("b")));
    assert_eq!(book.give(account("a"), 49), Wakes::Nobody);
    let woken = Wakes::Account(AccountId::from_name("a"));
    assert_eq!(book.give(account("a"), 1), woken);
    assert_eq!(book.give(account("a"), 100), Wakes::Nobody);
    assert!(!book.is_short(account("a")));
}

#[test]
fn all_who_wait_are_woken_by_room_in_the_box() {
    let mut book = HeldBook::new(BOUNDS);
    book.take(account("a"), 800);
    book.take(account("b"), 800);
    book.wanted(account("c"), 10);
    assert!(book.is_short(account("a")) && book.is_short(None));
    assert_eq!(book.give(account("a"), 100), Wakes::All);
}

#[test]
fn an_account_that_holds_nothing_and_waits_for_nothing_is_forgotten() {
    let mut book = HeldBook::new(BOUNDS);
    book.take(account("a"), 800);
    book.wanted(account("a"), 10);
    book.give(account("a"), 800);
    assert_eq!((book.accounts.len(), book.bytes()), (0, 0));
}

#[test]
fn what_is_larger_than_a_bound_is_never_waited_for() {
    let book = HeldBook::new(BOUNDS);
    assert!(book.could_hold(account("a"), 800) && !book.could_hold(account("a"), 801));
    assert!(book.could_hold(None, 1_600));
}

proptest! {
    #[test]
    fn what_asks_first_never_passes_a_bound(asks in prop::collection::vec((0u8..3, 1u64..400), 1..80)) {
        let mut book = HeldBook::new(BOUNDS);
        let mut held = Vec::new();
        for (who, bytes) in asks {
            let who = account(["a", "b", "c"][usize::from(who)]);
            match book.has_room(who, bytes) {
                true => {
                    book.take(who, bytes);
                    held.push((who, bytes));
                }
                false => {
                    book.wanted(who, bytes);
                    if let Some((who, bytes)) = held.pop() {
                        book.give(who, bytes);
                    }
                }
            }
            prop_assert!(book.bytes() <= BOUNDS.box_bytes);
            prop_assert!(book.accounts.values().all(|part| part.bytes <= BOUNDS.account_bytes));
        }
        for (who, bytes) in held {
            book.give(who, bytes);
        }
        prop_assert_eq!(book.bytes(), 0);
    }
}
