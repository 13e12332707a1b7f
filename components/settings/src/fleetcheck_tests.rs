use super::*;
use crate::field::LiveSettings;

#[test]
fn takes_the_example_of_a_fleet_box() {
    let text = include_str!("../../../examples/fleet-box.yaml");
    assert!(check_fleet_file("fleet-box.yaml", text).is_none());
    assert!(FleetFile::read(text).is_ok());
}

#[test]
fn names_every_mistake_of_a_fleet_box() {
    let text = "box: {name: a, data_centre: d, callers_address: \"127.0.0.1:1\", \
        readiness_address: \"127.0.0.1:1\", peers_address: \"127.0.0.1:2\"}\n\
        store: {address: \"127.0.0.1:3\"}\npromises: {resend_share: 2, resend_window_s: 0}\n\
        peer_keys: [k]\n";
    let mistakes = check_fleet_file("f", text).unwrap();
    assert_eq!(mistakes.mistakes.len(), 3);
    let read = FleetFile::read(text).unwrap_err();
    let lines: Vec<usize> = read.iter().map(|mistake| mistake.line).collect();
    assert_eq!(lines, [1, 3, 3]);
    let unknown = check_fleet_file("f", &text.replace("peer_keys", "peers_keys")).unwrap();
    assert!(
        unknown
            .mistakes
            .iter()
            .any(|m| m.message.contains("peers_keys"))
    );
}
