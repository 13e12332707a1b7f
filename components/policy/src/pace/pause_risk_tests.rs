use super::*;

fn timing(relative_pace: f64, prefill_share: f64) -> EventTiming {
    EventTiming {
        event_ms: 30.0 * relative_pace,
        prefill_event_ms: 62.0 * relative_pace,
        disturbance: Some(Disturbance {
            share: 0.15,
            slowdown: 2.5,
            duration_ms: 600.0,
        }),
        prefill_share,
        prefill_ms: 400.0,
    }
}

#[test]
fn predicts_long_pauses_only_if_a_prefill_and_a_disturbance_coincide_at_a_slow_engine() {
    assert!(timing(1.6, 0.5).long_pause_probability(180.0, 4_000.0) > 0.5);
    assert_eq!(timing(1.6, 0.0).long_pause_probability(180.0, 4_000.0), 0.0);
    assert_eq!(timing(1.0, 0.5).long_pause_probability(180.0, 4_000.0), 0.0);
    assert_eq!(
        timing(0.6, 1.0).long_pause_probability(180.0, 60_000.0),
        0.0
    );
}

#[test]
fn risk_grows_with_the_remaining_time_of_a_stream() {
    let slow = timing(1.6, 0.4);
    assert!(slow.long_pause_probability(180.0, 100.0) < 0.15);
    assert!(slow.long_pause_probability(180.0, 8_000.0) > 0.6);
}

#[test]
fn a_prefill_is_a_risk_for_concurrent_streams_that_are_close_to_their_goal() {
    assert!(timing(1.6, 0.0).long_pause_probability_during_prefill(180.0, 600.0) > 0.2);
    assert_eq!(
        timing(0.6, 0.0).long_pause_probability_during_prefill(180.0, 600.0),
        0.0
    );
}

#[test]
fn predicts_the_longest_pause_by_the_length_of_the_window() {
    assert_eq!(timing(1.0, 0.0).predicted_pause_ms(100.0), 30.0);
    assert_eq!(timing(1.0, 0.9).predicted_pause_ms(20_000.0), 155.0);
}
