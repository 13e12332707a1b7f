use super::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use std::collections::HashMap;

/// The largest number of queries that one box receives when all boxes start together.
fn max_queries_per_box(boxes: u32) -> usize {
    let all: Vec<BoxId> = (0..boxes).map(BoxId).collect();
    let mut random = StdRng::seed_from_u64(1);
    let mut queries: HashMap<BoxId, usize> = HashMap::new();
    for _ in &all {
        // A box may choose itself here, which does not change the distribution.
        for id in choose_peers(&all, &mut random) {
            *queries.entry(id).or_default() += 1;
        }
    }
    queries.values().copied().max().unwrap_or_default()
}

#[rstest]
#[case(100)]
#[case(1_000)]
#[case(10_000)]
fn boxes_that_start_together_spread_their_queries(#[case] boxes: u32) {
    assert!(max_queries_per_box(boxes) <= 5 * QUERIED_PEERS_MAX);
}

#[test]
fn a_box_queries_distinct_peers_and_all_of_them_in_a_small_fleet() {
    let others: Vec<BoxId> = (0..50).map(BoxId).collect();
    let mut random = StdRng::seed_from_u64(1);
    let chosen: BTreeSet<BoxId> = choose_peers(&others, &mut random).into_iter().collect();
    assert_eq!(chosen.len(), QUERIED_PEERS_MAX);
    assert_eq!(choose_peers(&others[..2], &mut random).len(), 2);
}
