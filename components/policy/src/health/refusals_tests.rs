use super::*;

#[test]
fn a_target_that_refuses_connections_is_probed_less_and_less_often() {
    let mut refused = RefusedConnections::default();
    let mut probes = Vec::new();
    assert!(refused.record_refusal(1, 0));
    for now_ms in (0..10_000).step_by(10) {
        if !refused.due(now_ms).is_empty() {
            probes.push(now_ms);
            assert!(!refused.record_refusal(1, now_ms));
        }
    }
    assert_eq!(probes, [250, 750, 1_750, 3_750, 5_750, 7_750, 9_750]);
}

#[test]
fn concurrent_refusals_count_once() {
    let mut refused = RefusedConnections::default();
    (0..5).for_each(|_| {
        refused.record_refusal(1, 100);
    });
    assert_eq!(refused.due(350), [1]);
}

#[test]
fn a_target_that_accepts_a_connection_is_removed() {
    let mut refused = RefusedConnections::default();
    refused.record_refusal(1, 0);
    assert!(refused.remove(1));
    assert!(!refused.remove(1));
    assert!(refused.is_empty());
}

#[test]
fn a_target_that_refuses_connections_for_long_is_returned_once() {
    let mut refused = RefusedConnections::default();
    refused.record_refusal(1, 0);
    refused.record_refusal(2, 2_000);
    assert_eq!(refused.take_lasting(3_000, 2_900), []);
    assert_eq!(refused.take_lasting(3_000, 3_100), [(1, 3_100)]);
    assert_eq!(refused.take_lasting(3_000, 3_200), []);
    refused.remove(1);
    refused.record_refusal(1, 4_000);
    assert_eq!(refused.take_lasting(3_000, 7_000).len(), 2);
}
