use super::*;

fn card(id: u32, life: u64, leaving: bool) -> BoxCard {
    BoxCard {
        id: BoxId(id),
        life: BoxIncarnation(life),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: DataCentreId(1),
        leaving,
    }
}

#[test]
fn leaves_out_a_box_that_stops() {
    let mut members = Members::new(card(1, 1, false));
    members.heard(card(2, 1, false), 0);
    assert_eq!(members.usable(0), [BoxId(1), BoxId(2)]);
    assert!(members.heard(card(2, 1, true), 0));
    assert_eq!(members.usable(0), [BoxId(1)]);
}

#[test]
fn takes_a_new_life_for_a_new_box() {
    let mut members = Members::new(card(1, 1, false));
    members.heard(card(2, 1, true), 0);
    members.heard(card(2, 2, false), 0);
    assert!(!members.heard(card(2, 1, true), 0));
    assert_eq!(members.usable(0).len(), 2);
}

#[test]
fn takes_a_silent_box_back_after_a_while() {
    let mut members = Members::new(card(1, 1, false));
    members.heard(card(2, 1, false), 0);
    members.suspect(BoxId(2), 0);
    assert_eq!(members.usable(1).len(), 1);
    assert_eq!(members.usable(SUSPECT_MS).len(), 2);
}

#[test]
fn forgets_a_box_that_is_gone_from_the_list() {
    let mut members = Members::new(card(1, 1, false));
    members.heard(card(2, 1, false), 0);
    assert!(members.listed(&[], 1).is_empty());
    assert_eq!(members.listed(&[], FORGET_MS), [BoxId(2)]);
}
