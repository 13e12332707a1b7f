use super::*;

fn value(revision: u64, weight: u32) -> SettingsValue {
    SettingsValue {
        partner: "p".into(),
        revision,
        text: format!("partner: p\nweight: {weight}\n"),
    }
}

#[test]
fn never_reverts() {
    let mut in_force = InForce::default();
    assert_eq!(in_force.offer(&value(5, 1)), Offered::InForce);
    assert_eq!(in_force.offer(&value(4, 2)), Offered::Old);
    assert_eq!(in_force.resolve().revisions["p"], 5);
}

#[test]
fn keeps_the_last_good_value() {
    let mut in_force = InForce::default();
    in_force.offer(&value(5, 1));
    let mut wrong = value(6, 1);
    wrong.text = "partner: [".into();
    assert!(matches!(in_force.offer(&wrong), Offered::Wrong(_)));
    assert_eq!(in_force.resolve().revisions["p"], 5);
}

#[test]
fn refuses_a_branch_of_another_partner() {
    let mut in_force = InForce::default();
    let mut foreign = value(1, 1);
    foreign.partner = "q".into();
    assert!(matches!(in_force.offer(&foreign), Offered::Wrong(_)));
}

#[test]
fn gives_what_the_other_lacks() {
    let mut in_force = InForce::default();
    in_force.offer(&value(5, 1));
    assert_eq!(in_force.newer_than(&[("p".into(), 4)]).len(), 1);
    assert!(in_force.newer_than(&[("p".into(), 5)]).is_empty());
}
