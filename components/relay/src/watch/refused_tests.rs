use super::*;

#[test]
fn the_same_bytes_are_told_once_and_others_again() {
    let mut refused = RefusedEntries::default();
    assert!(refused.refused("servers/a", b"x"));
    assert!(!refused.refused("servers/a", b"x"));
    assert!(refused.refused("servers/b", b"x"));
    assert!(refused.refused("servers/a", b"y"));
    refused.passed("servers/a");
    assert!(refused.refused("servers/a", b"y"));
}

#[test]
fn it_stays_small_whatever_is_written() {
    let mut refused = RefusedEntries::default();
    for at in 0..5_000 {
        assert!(refused.refused(&at.to_string(), b"x"));
    }
    assert!(refused.0.len() <= KEYS_MAX);
}
