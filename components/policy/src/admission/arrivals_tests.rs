use super::*;
use crate::admission::memory_forecast::HORIZONS;
use crate::admission::test_demands::demand;

const POINT_MS: [f64; HORIZONS] = [100.0; HORIZONS];

fn need(tokens: f64) -> MemoryNeed {
    MemoryNeed {
        peak_tokens: tokens,
        held: [tokens; HORIZONS],
        ..MemoryNeed::default()
    }
}

/// One request of a rank each 10 ms for 3 s.
fn steady(rank: u8) -> Arrivals {
    let mut coming = Arrivals::default();
    for serial in 0..300 {
        coming.came(&demand(serial, 1, rank), &need(500.0), serial * 10);
    }
    coming
}

#[test]
fn what_comes_is_expected_at_the_rate_at_which_it_came() {
    let coming = steady(1);
    let per_ms = coming.requests_before(2, 3_000);
    assert!((0.08..0.11).contains(&per_ms), "{per_ms}");
    let read = coming.prompt_tokens_before(2, 3_000);
    assert!((80.0..110.0).contains(&read), "{read}");
    // Ten requests within 100 ms, of 500 tokens each.
    let taken = coming.taken_before(2, |at| POINT_MS[at], 3_000)[4];
    assert!((4_000.0..5_500.0).contains(&taken), "{taken}");
    assert!((coming.usual_tokens(3_000) - 500.0).abs() < 1.0);
}

#[test]
fn only_what_is_more_urgent_goes_before() {
    let coming = steady(2);
    assert_eq!(coming.requests_before(2, 3_000), 0.0);
    assert!(coming.requests_before(9, 3_000) > 0.0);
}

#[test]
fn a_burst_is_forgotten_some_seconds_after_it() {
    let coming = steady(0);
    let left = coming.requests_before(1, 7_000) / coming.requests_before(1, 3_000);
    assert!(left < 0.1, "{left}");
}
