use super::*;

fn load(streams: u32, reading_share: f64) -> Load {
    Load {
        streams: f64::from(streams),
        reading_share,
    }
}

fn taught(rounds: u32) -> StepModel {
    let mut model = StepModel::default();
    for at in 0..rounds {
        let load = load(at % 7, f64::from(at % 5) / 4.0);
        model.observe(load, 28.0 + 0.5 * load.streams + 32.0 * load.reading_share);
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
