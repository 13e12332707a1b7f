//! A box's view of evacuations never goes back.

use prelude::Version;
use proptest::prelude::*;
use routing::{EvacuationOrder, Evacuations};

/// A version of the first era.
fn at(revision: u64) -> Version {
    Version::new(0, revision)
}

fn set(names: &[&str]) -> std::collections::BTreeSet<Box<str>> {
    names.iter().map(|name| (*name).into()).collect()
}

#[test]
fn an_order_holds_until_it_is_taken_back() {
    let mut known = Evacuations::default();
    assert!(known.ordered("east", true, at(5)));
    assert!(!known.ordered("east", true, at(6)));
    assert!(known.ordered("east", false, at(9)));
    assert_eq!(known.data_centres, set(&[]));
}

#[test]
fn an_older_word_changes_nothing() {
    let mut known = Evacuations::default();
    known.ordered("east", true, at(5));
    assert!(!known.ordered("east", false, at(4)));
    assert!(!known.read(set(&[]), at(4)));
    let older = Evacuations {
        version: at(4),
        data_centres: set(&["west"]),
        is_joined: false,
    };
    assert!(!known.adopt(&older));
    assert_eq!(known.data_centres, set(&["east"]));
}

#[test]
fn a_whole_list_says_what_was_taken_back_unseen() {
    let mut known = Evacuations::default();
    known.ordered("east", true, at(5));
    assert!(known.read(set(&["west"]), at(20)));
    assert!(
        !known.ordered("east", true, at(12)),
        "it was taken back before the list was read"
    );
}

proptest! {
    /// Boxes see parts of one history, in order, and tell each other in any order: whoever has heard of the last
    /// change has the true set.
    #[test]
    fn boxes_that_tell_each_other_end_with_the_true_set(
        orders in prop::collection::vec((0..3_u8, any::<bool>()), 1..12),
        seen in prop::collection::vec((0..4_usize, 0..12_usize), 0..40),
        told in prop::collection::vec((0..4_usize, 0..4_usize), 0..40),
    ) {
        let names = ["east", "north", "west"];
        let mut truth = Evacuations::default();
        let mut history = Vec::new();
        for (at, (name, holds)) in orders.iter().enumerate() {
            truth.ordered(names[usize::from(*name)], *holds, Version::new(0, at as u64 + 1));
            history.push(truth.clone());
        }
        let mut boxes = vec![Evacuations::default(); 4];
        for (at, upto) in seen {
            let read = &history[upto % history.len()];
            boxes[at].read(read.data_centres.clone(), read.version);
        }
        for (from, to) in told {
            let word = boxes[from].clone();
            boxes[to].adopt(&word);
        }
        boxes[0].read(truth.data_centres.clone(), truth.version);
        for to in 1..4 {
            let word = boxes[0].clone();
            boxes[to].adopt(&word);
            prop_assert_eq!(&boxes[to].data_centres, &truth.data_centres);
        }
    }
}

/// Orders of a store in its second life.
fn again(revision: u64) -> Version {
    Version::new(1, revision)
}

#[test]
fn what_a_store_says_that_came_back_from_a_copy_is_newer_whatever_its_revision() {
    let mut known = Evacuations::default();
    known.ordered("east", true, at(900));
    assert!(known.ordered("east", false, again(5)));
    assert!(
        !known.ordered("east", true, at(901)),
        "an answer that came late"
    );
    assert!(!known.adopt(&Evacuations {
        version: at(950),
        data_centres: set(&["west"]),
        is_joined: false,
    }));
    assert_eq!(known.data_centres, set(&[]));
}

#[test]
fn a_copy_takes_no_order_away_and_its_own_stand_until_it_settles() {
    let mut known = Evacuations::default();
    known.ordered("east", true, at(900));
    assert!(known.join(&Evacuations::of_copy(set(&["west"]), again(700))));
    assert_eq!(known.data_centres, set(&["east", "west"]));
    assert!(known.ordered("west", false, again(701)));
    assert!(
        known.read(set(&[]), again(705)),
        "nobody wrote the first one again"
    );
    assert_eq!(known.data_centres, set(&[]));
}

#[test]
fn an_older_word_of_the_same_era_brings_nothing_back_while_the_store_settles() {
    let mut known = Evacuations::default();
    known.ordered("east", true, again(5));
    let older = known.clone();
    known.ordered("east", false, again(6));
    assert!(!known.join(&older));
    assert_eq!(known.data_centres, set(&[]));
}

fn listed(orders: &[(&str, u64)]) -> std::collections::BTreeMap<Box<str>, Version> {
    let orders = orders.iter();
    orders
        .map(|(name, revision)| ((*name).into(), again(*revision)))
        .collect()
}

/// Guards against orders that are dropped because a list contains them and no watch returned them.
#[test]
fn an_order_in_a_later_list_takes_effect_while_the_store_settles() {
    let mut known = Evacuations::default();
    known.ordered("east", true, at(900));
    known.join_list(listed(&[]), again(700));
    assert!(known.join_list(listed(&[("west", 705)]), again(710)));
    assert_eq!(known.data_centres, set(&["east", "west"]));
    let mut peer = Evacuations::default();
    peer.join_list(listed(&[]), again(700));
    assert!(peer.join(&known), "the peer applies it too");
    assert_eq!(peer.data_centres, set(&["east", "west"]));
}

/// Guards against an order that only one box received before the store was restored, and that is missing in the copy.
#[test]
fn boxes_that_have_read_the_same_copy_learn_missing_orders_from_each_other() {
    let mut known = Evacuations::default();
    known.ordered("east", true, at(900));
    known.join_list(listed(&[]), again(700));
    let mut peer = Evacuations::default();
    peer.join_list(listed(&[]), again(700));
    assert!(peer.join(&known));
    assert_eq!(peer.data_centres, set(&["east"]));
    assert!(!known.join(&peer));
}

#[test]
fn a_delayed_list_brings_no_withdrawn_order_back_while_the_store_settles() {
    let mut known = Evacuations::default();
    known.join_list(listed(&[("west", 705)]), again(710));
    assert!(known.ordered("west", false, again(720)));
    assert!(!known.join_list(listed(&[("west", 705)]), again(715)));
    assert_eq!(known.data_centres, set(&[]));
}

#[test]
fn all_orders_of_one_version_are_taken_in() {
    let order = |data_centre, holds| EvacuationOrder {
        data_centre,
        holds,
        version: at(7),
    };
    for moved in [
        [order("east", false), order("west", true)],
        [order("west", true), order("east", false)],
    ] {
        let mut known = Evacuations::default();
        known.ordered("east", true, at(5));
        assert!(known.ordered_together(moved));
        assert_eq!(
            (known.version, &known.data_centres),
            (at(7), &set(&["west"]))
        );
        assert!(!known.ordered_together(moved));
    }
}
