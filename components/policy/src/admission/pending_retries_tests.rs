use super::*;
use crate::admission::memory_forecast::HORIZONS;
use crate::admission::prefill_simulation::PrefillEngine;
use crate::admission::test_demands::demand;

fn need() -> MemoryNeed {
    MemoryNeed {
        peak_tokens: 100.0,
        held: [100.0; HORIZONS],
        ..MemoryNeed::default()
    }
}

fn one_engine() -> PrefillSimulation {
    PrefillSimulation::new(&[PrefillEngine {
        left_ms: 0.0,
        tokens_per_ms: 10.0,
    }])
}

#[test]
fn callers_who_come_back_are_counted_until_then() {
    let mut returning = PendingRetries::default();
    for (serial, rank, back_ms) in [(1, 0, 500), (2, 3, 500), (3, 5, 500), (4, 0, 200)] {
        returning.told(&demand(serial, 1, rank), &need(), false, back_ms);
    }
    let (mut before, mut run) = (QueueAhead::default(), one_engine());
    returning.add_to(&mut before, &mut run, (false, 3), 300);
    assert_eq!(before.held[0], 200.0);
    assert_eq!(run.first_token_ms(0), Some(200.0));
    assert_eq!(returning.callers.len(), 3);
}

#[test]
fn refused_callers_of_an_account_that_floods_put_no_other_back() {
    let mut returning = PendingRetries::default();
    for serial in 0..5 {
        returning.told(&demand(serial, 1, 0), &need(), true, 500);
    }
    let (mut before, mut run) = (QueueAhead::default(), one_engine());
    returning.add_to(&mut before, &mut run, (false, 9), 300);
    assert_eq!(before.held[0], 0.0);
    returning.add_to(&mut before, &mut run, (true, 0), 300);
    assert_eq!(before.held[0], 500.0);
}

#[test]
fn a_flood_of_refusals_takes_bounded_memory() {
    let mut returning = PendingRetries::default();
    for serial in 0..3_000 {
        returning.told(&demand(serial, 1, 0), &need(), false, u64::MAX);
    }
    assert_eq!(returning.callers.len(), KEPT_MOST);
}
