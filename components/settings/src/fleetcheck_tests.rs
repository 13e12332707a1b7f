use super::*;
use crate::field::LiveSettings;
use crate::fleetfile::FleetAccount;

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

#[test]
fn names_every_mistake_of_the_shares_of_accounts() {
    let text = include_str!("../../../examples/fleet-box.yaml");
    let with = |accounts: &str| format!("{text}\naccounts:\n{accounts}");
    let right = with(
        "  default_weight: 2\n  named:\n    - {name: a, weight: 0.5}\n    - {name: b, cap_share: 1}\n",
    );
    assert!(check_fleet_file("f", &right).is_none());
    let wrong = with(
        "  default_weight: 0\n  named:\n    - {name: a, weight: -1}\n    - {name: a, cap_share: 1.5}\n    \
        - {name: c, cap_share: 0}\n",
    );
    let mistakes = check_fleet_file("f", &wrong).unwrap();
    let messages: Vec<&str> = mistakes
        .mistakes
        .iter()
        .map(|m| m.message.as_str())
        .collect();
    let named = [
        "a weight of 0",
        "a weight of -1",
        "`a` is named twice",
        "a cap of 1.5",
        "a cap of 0",
    ];
    assert_eq!(messages.len(), named.len(), "{messages:?}");
    for (message, named) in messages.iter().zip(named) {
        assert!(message.contains(named), "{message}");
    }
    let first_line = text.lines().count() + 3;
    let lines: Vec<usize> = FleetFile::read(&wrong)
        .unwrap_err()
        .iter()
        .map(|m| m.line)
        .collect();
    assert_eq!(lines, [0, 2, 3, 3, 4].map(|after| first_line + after));
    let unknown = with("  named:\n    - {name: a, wieght: 1}\n");
    assert!(check_fleet_file("f", &unknown).is_some());
}

#[test]
fn an_account_that_is_not_named_has_the_usual_weight_and_no_cap() {
    let named = vec![FleetAccount {
        name: "a".into(),
        weight: Some(3.0),
        cap_share: Some(0.25),
    }];
    let accounts = FleetAccounts {
        default_weight: 2.0,
        named,
    };
    let id = prelude::AccountId::from_name;
    assert_eq!(accounts.weight_of(id("a")), 3.0);
    assert_eq!(accounts.weight_of(id("b")), 2.0);
    assert_eq!(accounts.caps().collect::<Vec<_>>(), [(id("a"), 0.25)]);
}

#[test]
fn names_every_mistake_of_the_limits() {
    let text = include_str!("../../../examples/fleet-box.yaml");
    let limits = "limits: {memory_mb: 0, held_share: 1.5, account_held_share: 0, \
        unread_limit_s: -1, target_request_mb: -2}";
    let before = text
        .lines()
        .find(|line| line.starts_with("limits:"))
        .unwrap();
    let mistakes = check_fleet_file("f", &text.replace(before, limits)).unwrap();
    let named = ["1.5", "share of 0", "0 MB", "-1 s", "-2 MB"];
    let messages: Vec<&str> = mistakes
        .mistakes
        .iter()
        .map(|m| m.message.as_str())
        .collect();
    assert_eq!(messages.len(), named.len(), "{messages:?}");
    for named in named {
        assert!(messages.iter().any(|m| m.contains(named)), "{messages:?}");
    }
}

#[test]
fn bounds_on_what_is_held_are_parts_of_the_memory() {
    let limits = FleetLimits {
        memory_mb: 100.0,
        held_share: 0.2,
        account_held_share: 0.5,
        target_request_mb: 3.0,
        ..FleetLimits::default()
    };
    assert_eq!(limits.held_bytes(), 20_000_000);
    assert_eq!(limits.account_held_bytes(), 10_000_000);
    assert_eq!(limits.target_request_bytes(), 3_000_000);
}

#[test]
fn a_limit_for_unread_answers_beyond_the_systems_own_is_a_mistake() {
    let text = include_str!("../../../examples/fleet-box.yaml");
    let before = text
        .lines()
        .find(|line| line.starts_with("limits:"))
        .unwrap();
    let mistakes = check_fleet_file("f", &text.replace(before, "limits: {unread_limit_s: 1e30}"));
    let mistakes = mistakes.unwrap().mistakes;
    assert!(mistakes.iter().any(|m| m.message.contains("at most 20")));
}
