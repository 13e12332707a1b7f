use super::*;

fn feel(speed: f64, prefill_share: f64) -> Feel {
    Feel {
        event_ms: 30.0 * speed,
        beside_ms: 62.0 * speed,
        disturbance: Some(Disturbance {
            share: 0.15,
            strength: 2.5,
            spell_ms: 600.0,
        }),
        prefill_share,
        reading_ms: 400.0,
    }
}

#[test]
fn foresees_long_pauses_only_where_reading_and_a_disturbance_meet_at_a_slow_engine() {
    assert!(feel(1.6, 0.5).long_pause(180.0, 4_000.0) > 0.5);
    assert_eq!(feel(1.6, 0.0).long_pause(180.0, 4_000.0), 0.0);
    assert_eq!(feel(1.0, 0.5).long_pause(180.0, 4_000.0), 0.0);
    assert_eq!(feel(0.6, 1.0).long_pause(180.0, 60_000.0), 0.0);
}

#[test]
fn grows_with_the_time_that_a_stream_lasts() {
    let slow = feel(1.6, 0.4);
    assert!(slow.long_pause(180.0, 100.0) < 0.15);
    assert!(slow.long_pause(180.0, 8_000.0) > 0.6);
}

#[test]
fn counts_a_prompt_that_is_read_beside_streams_at_their_limit() {
    assert!(feel(1.6, 0.0).long_pause_beside(180.0, 600.0) > 0.2);
    assert_eq!(feel(0.6, 0.0).long_pause_beside(180.0, 600.0), 0.0);
}

#[test]
fn foretells_a_longest_pause() {
    assert_eq!(feel(1.0, 0.0).foretold_ms(100.0), 30.0);
    assert_eq!(feel(1.0, 0.9).foretold_ms(20_000.0), 155.0);
}
