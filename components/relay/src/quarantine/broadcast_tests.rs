use super::*;
use policy::Quarantine;
use prelude::{PartKey, RunId, TargetId};
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

/// The time of the crash, on the clock of the box that judges.
const CRASHED_MS: u64 = 1_000;
/// When the report of an answer elsewhere comes, and how long ago the answer was when the report was sent.
const REPORTED_MS: u64 = 1_120;
const AGE_MS: u32 = 100;

/// The cases are the longest time that the report was in transit, who acquits, and whether the crash counts afterwards.
#[rstest]
#[case::answer_certainly_after_the_crash(10, AcquittedBy::Answer, false)]
#[case::answer_perhaps_before_the_crash(30, AcquittedBy::Answer, true)]
#[case::operator(30, AcquittedBy::Operator, false)]
fn a_crash_is_cleared_by_an_answer_that_came_after_it(
    #[case] transit_max_ms: u64,
    #[case] by: AcquittedBy,
    #[case] counts: bool,
) {
    let suspect = Suspect::Part(PartKey { engines: 1, id: 2 });
    let mut quarantine = Quarantine::default();
    let crash = TargetEnd {
        suspect,
        target: TargetId(1),
        runs: vec![RunId(1)],
        ran_ms: 10,
        age_ms: 0,
    };
    quarantine.record_crashes(&[crash], CRASHED_MS);
    let acquittal = Acquittal {
        suspect,
        by,
        age_ms: AGE_MS,
    };
    quarantine.apply_acquittal(&oldest_possible(acquittal, transit_max_ms), REPORTED_MS);
    let counted = quarantine.crashes_of(suspect, REPORTED_MS);
    assert_eq!(!counted.is_empty(), counts);
}
