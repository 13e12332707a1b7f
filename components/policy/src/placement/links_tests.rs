use super::*;
use prelude::BoxId;

const LINK: TargetId = TargetId(1);
const TO: TargetId = TargetId(2);

fn permit(serial: u64) -> PermitId {
    PermitId {
        entry: BoxId(1),
        life: 0,
        serial,
    }
}

#[test]
fn gives_one_turn_at_a_time_to_the_smallest() {
    let mut turns = Turns::default();
    assert!(turns.ask(LINK, permit(1), 3000, 0));
    turns.begin(LINK, permit(1), TO, 0);
    assert!(!turns.ask(LINK, permit(2), 5000, 1));
    assert!(!turns.ask(LINK, permit(3), 4000, 1));
    turns.end(LINK, permit(1));
    assert!(!turns.ask(LINK, permit(2), 5000, 2));
    assert!(turns.ask(LINK, permit(3), 4000, 2));
}

#[test]
fn takes_a_turn_back_from_one_that_is_gone() {
    let mut turns = Turns::default();
    turns.begin(LINK, permit(1), TO, 0);
    assert_eq!(turns.arriving(10), [TO]);
    assert!(!turns.ask(LINK, permit(2), 10, 1_000));
    assert!(turns.ask(LINK, permit(2), 10, 1_600));
    assert!(turns.arriving(1_600).is_empty());
}

#[test]
fn does_not_wait_for_one_that_asks_no_more() {
    let mut turns = Turns::default();
    turns.begin(LINK, permit(1), TO, 0);
    assert!(!turns.ask(LINK, permit(2), 10, 1));
    turns.end(LINK, permit(1));
    assert!(!turns.ask(LINK, permit(3), 20, 100));
    assert!(turns.ask(LINK, permit(3), 20, 600));
}
