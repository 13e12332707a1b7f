use super::*;

#[test]
fn the_same_bytes_are_told_once_and_others_again() {
    let mut refused = RefusedEntries::default();
    assert!(refused.record_refusal("servers/a", b"x"));
    assert!(!refused.record_refusal("servers/a", b"x"));
    assert!(refused.record_refusal("servers/b", b"x"));
    assert!(refused.record_refusal("servers/a", b"y"));
    refused.clear("servers/a");
    assert!(refused.record_refusal("servers/a", b"y"));
}

#[test]
fn it_stays_small_whatever_is_written() {
    let mut refused = RefusedEntries::default();
    for at in 0..5_000 {
        assert!(refused.record_refusal(&at.to_string(), b"x"));
    }
    assert!(refused.0.len() <= KEYS_MAX);
}
