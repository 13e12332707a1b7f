use super::*;

/// How many lists of so many bytes a box hands out in ten seconds in which it is asked each millisecond.
fn handed_out(bytes: usize, link_mbps: f64) -> usize {
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
fn lists_take_half_of_the_link_however_many_ask() {
    // 45 KB, 450 KB and 900 KB are lists of 1,000, 10,000 and 20,000 targets.
    for (bytes, link_mbps) in [
        (45_000, 20.0),
        (450_000, 20.0),
        (900_000, 20.0),
        (900_000, 200.0),
    ] {
        let taken_bytes = handed_out(bytes, link_mbps) * bytes;
        let link_bytes = link_mbps * 125_000.0 * 10.0;
        let share = taken_bytes as f64 / link_bytes;
        assert!(
            (0.4..=0.55).contains(&share),
            "{bytes} {link_mbps}: {share}"
        );
    }
}

#[test]
fn a_box_that_was_asked_for_nothing_hands_one_out() {
    assert!(ListBudget::default().is_free(0));
}
