use super::*;
use crate::admission::memory_forecast::HORIZON_COUNT;
use crate::admission::prefill_simulation::PrefillEngine;
use crate::admission::test_demands::demand;

fn need() -> MemoryNeed {
    MemoryNeed {
        peak_tokens: 100.0,
        time_averaged_tokens: [100.0; HORIZON_COUNT],
        ..MemoryNeed::default()
    }
}

fn one_engine() -> PrefillSimulation {
    PrefillSimulation::new(&[PrefillEngine {
        backlog_ms: 0.0,
        tokens_per_ms: 10.0,
    }])
}

#[test]
fn counts_pending_retries_until_their_time() {
    let mut retries = PendingRetries::default();
    for (serial, rank, retry_ms) in [(1, 0, 500), (2, 3, 500), (3, 5, 500), (4, 0, 200)] {
        retries.record(&demand(serial, 1, rank), &need(), false, retry_ms);
    }
    let (mut queue_ahead, mut simulation) = (QueueAhead::default(), one_engine());
    retries.add_to(&mut queue_ahead, &mut simulation, (false, 3), 300);
    assert_eq!(queue_ahead.time_averaged_tokens[0], 200.0);
    assert_eq!(simulation.first_token_ms(0), Some(200.0));
    assert_eq!(retries.pending.len(), 3);
}

#[test]
fn retries_of_flooding_accounts_delay_no_other_account() {
    let mut retries = PendingRetries::default();
    for serial in 0..5 {
        retries.record(&demand(serial, 1, 0), &need(), true, 500);
    }
    let (mut queue_ahead, mut simulation) = (QueueAhead::default(), one_engine());
    retries.add_to(&mut queue_ahead, &mut simulation, (false, 9), 300);
    assert_eq!(queue_ahead.time_averaged_tokens[0], 0.0);
    retries.add_to(&mut queue_ahead, &mut simulation, (true, 0), 300);
    assert_eq!(queue_ahead.time_averaged_tokens[0], 500.0);
}

#[test]
fn bounds_the_number_of_pending_retries() {
    let mut retries = PendingRetries::default();
    for serial in 0..3_000 {
        retries.record(&demand(serial, 1, 0), &need(), false, u64::MAX);
    }
    assert_eq!(retries.pending.len(), MAX_PENDING);
}
