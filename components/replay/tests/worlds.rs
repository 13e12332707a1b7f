//! Small worlds drawn at random: whatever happens in them, every request comes to an end, and the same seed to the same one.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use replay::{Event, Happening, Load, Reclaims, play};

/// Worlds that are played.
const WORLDS: u32 = 400;

/// A small pool, its load between a third and three times what it takes.
fn small(engines: u32, memory_tokens: u32, times: f64) -> Load {
    let path = format!("{}/loads/calm-wave.yaml", env!("CARGO_MANIFEST_DIR"));
    let mut load = Load::read(&std::fs::read_to_string(path).unwrap()).unwrap();
    let share = f64::from(engines) / f64::from(load.engines) * times;
    load.kinds.iter_mut().for_each(|kind| kind.per_s *= share);
    load.engines = engines;
    load.engine.memory_tokens = memory_tokens;
    load.length_ms = 6_000;
    load.reclaims = None;
    load
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        (1.0..4.0f64).prop_map(|times| Happening::Burst { kind: None, times }),
        (1.0..4.0f64).prop_map(|times| Happening::LongPrompts { kind: None, times }),
        (1.0..4.0f64).prop_map(|times| Happening::LongAnswers { kind: None, times }),
        (0..3u32).prop_map(|data_centre| Happening::Evacuate { data_centre }),
        (0.0..1.0f64).prop_map(|share| Happening::Crash { share }),
        ((0.0..1.0f64), (1.0..10.0f64)).prop_map(|(share, times)| Happening::Slow { share, times }),
        (0.0..3.0f64).prop_map(|share| Happening::Flood { share }),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    (0..5_000u64, 200..4_000u64, happening()).prop_map(|(at_ms, for_ms, what)| Event {
        at_ms,
        for_ms,
        what,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: WORLDS,
        // The same worlds each time.
        rng_seed: RngSeed::Fixed(27),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_request_of_any_small_day_comes_to_an_end(
        engines in 1..8u32,
        memory_tokens in 7_000..30_000u32,
        times in 0.3..3.0f64,
        reclaimed in prop::option::of(0.1..0.6f64),
        events in prop::collection::vec(event(), 0..3),
        seed in 0..1_000u64,
    ) {
        let mut load = small(engines, memory_tokens, times);
        load.events = events;
        load.reclaims = reclaimed.map(|share| Reclaims {
            each_ms: 1_500,
            share,
            notice_ms: 800,
            back_ms: 1_200,
        });
        let day = play(&load, seed);
        for kind in &day.kinds {
            let ended = kind.in_time + kind.late + kind.refused + kind.lost;
            prop_assert_eq!(kind.unfinished, 0, "{}", kind.name);
            prop_assert_eq!(kind.asked, ended);
        }
        prop_assert!(day.early_refusals <= day.refusals);
        prop_assert_eq!(play(&load, seed).worth.to_bits(), day.worth.to_bits());
    }
}
