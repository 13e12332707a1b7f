use super::*;
use crate::admission::memory_forecast::HORIZON_COUNT;
use crate::admission::test_demands::demand;

const HORIZON_MS: [f64; HORIZON_COUNT] = [100.0; HORIZON_COUNT];

fn need(tokens: f64) -> MemoryNeed {
    MemoryNeed {
        peak_tokens: tokens,
        time_averaged_tokens: [tokens; HORIZON_COUNT],
        ..MemoryNeed::default()
    }
}

/// Records one request of `rank` every 10 ms for 3 s.
fn steady_arrivals(rank: u8) -> Arrivals {
    let mut arrivals = Arrivals::default();
    for serial in 0..300 {
        arrivals.record(&demand(serial, 1, rank), &need(500.0), serial * 10);
    }
    arrivals
}

#[test]
fn expects_arrivals_at_their_recent_rate() {
    let arrivals = steady_arrivals(1);
    let per_ms = arrivals.urgent_requests_per_ms(2, 3_000);
    assert!((0.08..0.11).contains(&per_ms), "{per_ms}");
    let prompt_tokens = arrivals.urgent_prompt_tokens_per_ms(2, 3_000);
    assert!((80.0..110.0).contains(&prompt_tokens), "{prompt_tokens}");
    // Ten requests arrive within 100 ms, with 500 tokens each.
    let taken = arrivals.urgent_tokens_by_horizon(2, |at| HORIZON_MS[at], 3_000)[4];
    assert!((4_000.0..5_500.0).contains(&taken), "{taken}");
    assert!((arrivals.mean_peak_tokens(3_000) - 500.0).abs() < 1.0);
}

#[test]
fn counts_only_more_urgent_arrivals() {
    let arrivals = steady_arrivals(2);
    assert_eq!(arrivals.urgent_requests_per_ms(2, 3_000), 0.0);
    assert!(arrivals.urgent_requests_per_ms(9, 3_000) > 0.0);
}

#[test]
fn a_burst_fades_within_seconds() {
    let arrivals = steady_arrivals(0);
    let left =
        arrivals.urgent_requests_per_ms(1, 7_000) / arrivals.urgent_requests_per_ms(1, 3_000);
    assert!(left < 0.1, "{left}");
}
