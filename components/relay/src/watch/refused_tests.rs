use super::*;

#[test]
fn an_unusable_value_is_reported_once_and_a_changed_one_again() {
    let mut refused = RefusedEntries::default();
    assert!(refused.record_refusal("servers/a", b"x"));
    assert!(!refused.record_refusal("servers/a", b"x"));
    assert!(refused.record_refusal("servers/b", b"x"));
    assert!(refused.record_refusal("servers/a", b"y"));
    refused.clear("servers/a");
    assert!(refused.record_refusal("servers/a", b"y"));
}

#[test]
fn memory_is_bounded_for_any_number_of_keys() {
    let mut refused = RefusedEntries::default();
    for at in 0..5_000 {
        assert!(refused.record_refusal(&at.to_string(), b"x"));
    }
    assert!(refused.0.len() <= KEYS_MAX);
}
