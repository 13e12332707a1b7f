use super::*;

const SIZES: Sizes = Sizes {
    boxes: 3,
    targets: 3,
    engines: 3,
    span_ms: 8_000,
    has_partitions: true,
    has_fatal_part: true,
    has_refusals: true,
    has_lost_orders: true,
    has_doubtful_refusals: true,
    has_stale_views: true,
};

#[test]
fn a_seed_has_the_same_plan_each_time_and_another_seed_another() {
    assert_eq!(plan(7, SIZES), plan(7, SIZES));
    assert_ne!(plan(7, SIZES), plan(8, SIZES));
}

#[test]
fn every_kind_of_trouble_comes_within_some_seeds() {
    let steps: Vec<Timed> = (0..40).flat_map(|seed| plan(seed, SIZES)).collect();
    let kinds: std::collections::HashSet<_> = steps
        .iter()
        .map(|timed| std::mem::discriminant(&timed.step))
        .collect();
    assert_eq!(kinds.len(), 26);
}
