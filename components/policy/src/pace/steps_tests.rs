use super::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn load(streams: u32, prefill_share: f64) -> Load {
    Load {
        streams: f64::from(streams),
        prefill_share,
    }
}

fn taught(rounds: u32) -> StepModel {
    let mut model = StepModel::default();
    for at in 0..rounds {
        let load = load(at % 7, f64::from(at % 5) / 4.0);
        model.observe(load, 28.0 + 0.5 * load.streams + 32.0 * load.prefill_share);
    }
    model
}

#[test]
fn tells_reading_and_streams_apart() {
    let model = taught(100);
    assert!((model.event_ms(load(0, 0.0)).unwrap() - 28.0).abs() < 1.0);
    assert!((model.event_ms(load(6, 1.0)).unwrap() - 63.0).abs() < 1.0);
}

#[test]
fn knows_nothing_before_it_saw_something() {
    assert_eq!(StepModel::default().event_ms(load(1, 0.0)), None);
}

#[test]
fn is_not_bent_by_events_that_were_disturbed() {
    let mut model = taught(100);
    for _ in 0..50 {
        model.observe(load(3, 0.0), 120.0);
    }
    assert!((model.event_ms(load(3, 0.0)).unwrap() - 29.5).abs() < 1.0);
}

#[test]
fn stays_finite_while_the_load_is_always_the_same() {
    let mut model = taught(100);
    for _ in 0..20_000 {
        model.observe(load(2, 0.0), 30.0);
    }
    assert!((model.event_ms(load(2, 0.0)).unwrap() - 30.0).abs() < 1.0);
    assert!(model.event_ms(load(6, 1.0)).unwrap().is_finite());
}

#[test]
fn what_was_learnt_holds_over_hours_of_observations() {
    let mut model = StepModel::default();
    let mut drawn = 1_u64;
    let mut next = |below: u64| {
        // Knuth's linear congruential generator.
        drawn = drawn
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (drawn >> 33) % below
    };
    for round in 0..200_000 {
        let load = Load {
            streams: 1.0 + next(8) as f64,
            prefill_share: next(5) as f64 / 4.0,
        };
        let noise = 0.9 + next(200) as f64 / 1_000.0;
        let true_ms = 24.0 + 0.8 * load.streams + 28.0 * load.prefill_share;
        model.observe(load, true_ms * noise);
        if round > 1_000 {
            let predicted_ms = model.event_ms(load).unwrap_or_default();
            let error = (predicted_ms / true_ms - 1.0).abs();
            assert!(error < 0.1, "{round}: {predicted_ms} for {true_ms}");
        }
    }
}

/// Tellings of a pool whose engines nearly always have the same streams: 28 ms by itself, half a millisecond a stream, 32 ms
/// of reading, up to a fifth off, and one in `disturbed` three times as slow.
fn told_of_like_loads(seed: u64, disturbed: u64) -> StepModel {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut model = StepModel::default();
    for at in 0..20_000 {
        let load = load(random.random_range(4..7), random.random_range(0.0..1.0));
        let event_ms = 28.0 + 0.5 * load.streams + 32.0 * load.prefill_share;
        let slower = if random.random_range(0..disturbed) == 0 {
            3.0
        } else {
            1.0
        };
        model.observe(load, event_ms * slower * random.random_range(0.8..1.2));
        if model.is_settled() {
            let now_ms = model.event_ms(load).unwrap();
            let off = now_ms / event_ms;
            assert!((0.5..2.0).contains(&off), "{at}: {now_ms} {event_ms}");
        }
    }
    model
}

#[test]
fn stays_near_what_is_seen_where_loads_are_alike() {
    for seed in 0..20 {
        let model = told_of_like_loads(seed, 10);
        let idle_ms = model.event_ms(load(0, 0.0)).unwrap();
        assert!((5.0..80.0).contains(&idle_ms), "{idle_ms}");
    }
}

#[test]
fn follows_events_that_all_take_longer_than_it_knew() {
    let mut model = taught(100);
    for at in 0..400 {
        let load = load(at % 7, 0.0);
        model.observe(load, 3.0 * (28.0 + 0.5 * load.streams));
    }
    let event_ms = model.event_ms(load(3, 0.0)).unwrap();
    assert!((event_ms / 88.5 - 1.0).abs() < 0.1, "{event_ms}");
}
