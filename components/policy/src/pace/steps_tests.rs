use super::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn load(streams: u32, prefill_share: f64) -> Load {
    Load {
        streams: f64::from(streams),
        prefill_share,
    }
}

fn trained(observations: u32) -> StepModel {
    let mut model = StepModel::default();
    for index in 0..observations {
        let load = load(index % 7, f64::from(index % 5) / 4.0);
        model.observe(load, 28.0 + 0.5 * load.streams + 32.0 * load.prefill_share);
    }
    model
}

#[test]
fn separates_the_effects_of_prefill_and_streams() {
    let model = trained(100);
    assert!((model.event_ms(load(0, 0.0)).unwrap() - 28.0).abs() < 1.0);
    assert!((model.event_ms(load(6, 1.0)).unwrap() - 63.0).abs() < 1.0);
}

#[test]
fn predicts_nothing_without_observations() {
    assert_eq!(StepModel::default().event_ms(load(1, 0.0)), None);
}

#[test]
fn is_not_changed_by_disturbed_events() {
    let mut model = trained(100);
    for _ in 0..50 {
        model.observe(load(3, 0.0), 120.0);
    }
    assert!((model.event_ms(load(3, 0.0)).unwrap() - 29.5).abs() < 1.0);
}

#[test]
fn stays_finite_under_constant_load() {
    let mut model = trained(100);
    for _ in 0..20_000 {
        model.observe(load(2, 0.0), 30.0);
    }
    assert!((model.event_ms(load(2, 0.0)).unwrap() - 30.0).abs() < 1.0);
    assert!(model.event_ms(load(6, 1.0)).unwrap().is_finite());
}

#[test]
fn stays_accurate_over_hours_of_observations() {
    let mut model = StepModel::default();
    let mut state = 1_u64;
    let mut next = |below: u64| {
        // Knuth's linear congruential generator.
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % below
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

/// Observes a pool whose engines have nearly the same number of streams all the time: 28 ms an event, half a millisecond a
/// stream and 32 ms for prefill, with up to a fifth of noise. One observation in `disturbed` is three times as slow.
fn trained_with_similar_loads(seed: u64, disturbed: u64) -> StepModel {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut model = StepModel::default();
    for index in 0..20_000 {
        let load = load(random.random_range(4..7), random.random_range(0.0..1.0));
        let event_ms = 28.0 + 0.5 * load.streams + 32.0 * load.prefill_share;
        let slowdown = if random.random_range(0..disturbed) == 0 {
            3.0
        } else {
            1.0
        };
        model.observe(load, event_ms * slowdown * random.random_range(0.8..1.2));
        if model.is_trained() {
            let predicted_ms = model.event_ms(load).unwrap();
            let ratio = predicted_ms / event_ms;
            assert!(
                (0.5..2.0).contains(&ratio),
                "{index}: {predicted_ms} {event_ms}"
            );
        }
    }
    model
}

#[test]
fn stays_close_to_the_observations_if_loads_are_similar() {
    for seed in 0..20 {
        let model = trained_with_similar_loads(seed, 10);
        let idle_ms = model.event_ms(load(0, 0.0)).unwrap();
        assert!((5.0..80.0).contains(&idle_ms), "{idle_ms}");
    }
}

#[test]
fn follows_a_lasting_slowdown_of_all_events() {
    let mut model = trained(100);
    for index in 0..400 {
        let load = load(index % 7, 0.0);
        model.observe(load, 3.0 * (28.0 + 0.5 * load.streams));
    }
    let event_ms = model.event_ms(load(3, 0.0)).unwrap();
    assert!((event_ms / 88.5 - 1.0).abs() < 0.1, "{event_ms}");
}
