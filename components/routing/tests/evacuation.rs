//! A box's view of evacuations never goes back.

use proptest::prelude::*;
use routing::Evacuations;

fn set(names: &[&str]) -> std::collections::BTreeSet<Box<str>> {
    names.iter().map(|name| (*name).into()).collect()
}

#[test]
fn an_order_holds_until_it_is_taken_back() {
    let mut known = Evacuations::default();
    assert!(known.ordered("east", true, 5));
    assert!(!known.ordered("east", true, 6));
    assert!(known.ordered("east", false, 9));
    assert_eq!(known.data_centres, set(&[]));
}

#[test]
fn an_older_word_changes_nothing() {
    let mut known = Evacuations::default();
    known.ordered("east", true, 5);
    assert!(!known.ordered("east", false, 4));
    assert!(!known.read(set(&[]), 4));
    let older = Evacuations {
        revision: 4,
        data_centres: set(&["west"]),
    };
    assert!(!known.adopt(&older));
    assert_eq!(known.data_centres, set(&["east"]));
}

#[test]
fn a_whole_list_says_what_was_taken_back_unseen() {
    let mut known = Evacuations::default();
    known.ordered("east", true, 5);
    assert!(known.read(set(&["west"]), 20));
    assert!(
        !known.ordered("east", true, 12),
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
            truth.ordered(names[usize::from(*name)], *holds, at as u64 + 1);
            history.push(truth.clone());
        }
        let mut boxes = vec![Evacuations::default(); 4];
        for (at, upto) in seen {
            let read = &history[upto % history.len()];
            boxes[at].read(read.data_centres.clone(), read.revision);
        }
        for (from, to) in told {
            let word = boxes[from].clone();
            boxes[to].adopt(&word);
        }
        boxes[0].read(truth.data_centres.clone(), truth.revision);
        for to in 1..4 {
            let word = boxes[0].clone();
            boxes[to].adopt(&word);
            prop_assert_eq!(&boxes[to].data_centres, &truth.data_centres);
        }
    }
}
