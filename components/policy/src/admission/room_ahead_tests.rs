use super::*;
use crate::placement::ledger::{EngineInfo, Streams};
use crate::placement::length::LengthModel;
use crate::settings::PoolSettings;
use prelude::{DataCentreId, TargetId};

/// So much is free at first, and so much more at each point.
fn room(first_tokens: f64, more_tokens: f64) -> RoomAhead {
    let mut room = RoomAhead::default();
    for at in 0..HORIZONS {
        room.free_tokens[at] = first_tokens + more_tokens * at as f64;
        room.at_ms[at] = 100.0 * at as f64;
    }
    room
}

/// The same at any time.
fn need(tokens: f64) -> Need {
    Need {
        peak_tokens: tokens,
        mean: [tokens; HORIZONS],
        ..Need::default()
    }
}

#[test]
fn what_ends_soon_fits_though_what_runs_will_grow() {
    let room = room(1_000.0, -100.0);
    let short = Need {
        mean: [0.0; HORIZONS],
        ..need(900.0)
    };
    assert_eq!(room.free_in_ms(&short, |_| 0.0), 0.0);
    assert_eq!(room.free_in_ms(&need(900.0), |_| 0.0), 800.0);
}

#[test]
fn a_request_that_fits_now_waits_for_no_memory() {
    assert_eq!(room(1_000.0, 0.0).free_in_ms(&need(1_000.0), |_| 0.0), 0.0);
}

#[test]
fn a_request_waits_until_enough_came_free_beside_what_others_take() {
    let room = room(0.0, 1_000.0);
    assert_eq!(room.free_in_ms(&need(1_500.0), |_| 0.0), 150.0);
    assert_eq!(room.free_in_ms(&need(1_500.0), |_| 1_000.0), 250.0);
}

#[test]
fn what_never_comes_free_is_waited_for_until_the_last_point() {
    assert_eq!(room(0.0, 0.0).free_in_ms(&need(1.0), |_| 0.0), 800.0);
}

#[test]
fn what_was_placed_since_the_look_is_free_no_more() {
    let mut room = room(1_000.0, 0.0);
    let mut short = Forecast::default();
    short.add(600.0, |horizon| f64::from(u8::from(horizon < 40.0)));
    room.placed(&short);
    assert_eq!(room.free_at(0), 399.0);
    assert_eq!(room.free_at(HORIZONS - 1), 1_000.0);
    assert!(room.free_in_ms(&need(500.0), |_| 0.0) > 0.0);
}

#[test]
fn leftovers_of_engines_in_which_nothing_fits_are_no_room() {
    let engine = |id, capacity_tokens| {
        EngineLedger::new(EngineInfo {
            id: TargetId(id),
            capacity_tokens,
            data_centre: DataCentreId(0),
            cold_rate_per_s: None,
        })
    };
    let mut engines = [engine(1, 1_000), engine(2, 1_000), engine(3, 4_000)];
    let (streams, lengths) = (Streams::with_key(), LengthModel::default());
    let settings = PoolSettings {
        memory_share: 1.0,
        ..PoolSettings::default()
    };
    let view = ForecastContext {
        streams: &streams,
        lengths: &lengths,
        settings: &settings,
        tokens_per_ms: 0.1,
        margin: 1.0,
        now_ms: 0,
    };
    let mut room = RoomAhead::default();
    assert!(room.is_stale(0));
    room.look(engines.iter_mut(), &view, 2_000.0);
    assert_eq!(room.free_at(0), 4_000.0);
    assert!(!room.is_stale(10));
    assert!(room.is_stale(20));
}

#[test]
fn what_ends_soon_holds_little_on_the_mean() {
    let mut short = Forecast::default();
    short.add(1_000.0, |horizon| f64::from(u8::from(horizon < 10.0)));
    let mut long = Forecast::default();
    long.add(1_000.0, |_| 1.0);
    let (short, long) = (held_until(&short), held_until(&long));
    assert!(short[HORIZONS - 1] < 20.0, "{short:?}");
    assert!(long[HORIZONS - 1] > 2_000.0, "{long:?}");
    assert!((1_000.0..1_010.0).contains(&short[0]));
}
