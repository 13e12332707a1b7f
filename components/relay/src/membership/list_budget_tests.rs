use super::*;

/// How many lists of `bytes` bytes a box sends in ten seconds when asked every millisecond.
fn lists_sent(bytes: usize, link_mbps: f64) -> usize {
    let mut budget = ListBudget::default();
    let free = (0..10_000).filter(|now_ms| {
        let is_free = budget.is_free(*now_ms);
        if is_free {
            budget.record(bytes, link_mbps, *now_ms);
        }
        is_free
    });
    free.count()
}

#[test]
fn lists_use_half_of_the_link_under_any_number_of_requests() {
    // Lists of 1,000, 10,000 and 20,000 targets take 45 KB, 450 KB and 900 KB.
    for (bytes, link_mbps) in [
        (45_000, 20.0),
        (450_000, 20.0),
        (900_000, 20.0),
        (900_000, 200.0),
    ] {
        let sent_bytes = lists_sent(bytes, link_mbps) * bytes;
        let link_bytes = link_mbps * 125_000.0 * 10.0;
        let share = sent_bytes as f64 / link_bytes;
        assert!(
            (0.4..=0.55).contains(&share),
            "{bytes} {link_mbps}: {share}"
        );
    }
}

#[test]
fn unused_budget_allows_a_list() {
    assert!(ListBudget::default().is_free(0));
}
