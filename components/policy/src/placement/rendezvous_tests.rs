use super::*;

#[test]
fn moves_only_the_roles_of_the_box_that_went() {
    let all: Vec<BoxId> = (1..=8).map(BoxId).collect();
    let fewer: Vec<BoxId> = all.iter().copied().filter(|id| id.0 != 3).collect();
    for role in 0..200 {
        let before = winner(role, all.clone()).unwrap();
        let after = winner(role, fewer.clone()).unwrap();
        assert!(before == after || before == BoxId(3));
    }
}

#[test]
fn ranks_the_winner_first() {
    let all: Vec<BoxId> = (1..=8).map(BoxId).collect();
    assert_eq!(ranked(7, all.clone()).first().copied(), winner(7, all));
}
