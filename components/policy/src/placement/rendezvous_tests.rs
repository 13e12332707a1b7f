use super::*;

#[test]
fn removing_a_box_moves_only_its_own_roles() {
    let all: Vec<BoxId> = (1..=8).map(BoxId).collect();
    let fewer: Vec<BoxId> = all.iter().copied().filter(|id| id.0 != 3).collect();
    for role in 0..200 {
        let before = rendezvous_owner(role, all.clone()).unwrap();
        let after = rendezvous_owner(role, fewer.clone()).unwrap();
        assert!(before == after || before == BoxId(3));
    }
}

#[test]
fn the_owner_is_first_in_the_order() {
    let all: Vec<BoxId> = (1..=8).map(BoxId).collect();
    assert_eq!(
        rendezvous_order(7, all.clone()).first().copied(),
        rendezvous_owner(7, all)
    );
}
