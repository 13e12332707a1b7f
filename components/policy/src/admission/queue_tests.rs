use super::*;
use crate::admission::test_demands::demand;
use rstest::rstest;

/// Returns the serials in the order of grants, all at `now_ms`.
fn granted(queue: &mut Queue, now_ms: u64) -> Vec<u64> {
    let tree = FairTree::default();
    let mut serials = Vec::new();
    while let Some(queue_key) = queue.next(&tree, &HashSet::new(), now_ms) {
        serials.push(queue.pop(queue_key, now_ms).unwrap().permit.serial);
    }
    serials
}

#[test]
fn serves_ten_ranks_by_urgency() {
    let mut queue = Queue::default();
    for rank in [3, 9, 0, 7, 1, 5, 2, 8, 4, 6] {
        queue.push(
            demand(u64::from(rank), u64::from(rank) % 3, rank),
            5_000,
            MemoryNeed::default(),
        );
    }
    assert_eq!(granted(&mut queue, 0), [0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
}

#[test]
fn an_unknown_rank_is_the_least_urgent() {
    let mut queue = Queue::default();
    queue.push(demand(1, 1, 200), 5_000, MemoryNeed::default());
    queue.push(demand(2, 1, 8), 5_000, MemoryNeed::default());
    assert_eq!(granted(&mut queue, 0), [2, 1]);
}

#[test]
fn serves_the_earliest_start_limit_first_within_a_rank() {
    let mut queue = Queue::default();
    for (serial, start_by_ms) in [(1, 3_900), (2, 1_400), (3, 2_000)] {
        queue.push(demand(serial, 1, 4), start_by_ms, MemoryNeed::default());
    }
    assert_eq!(granted(&mut queue, 0), [2, 3, 1]);
}

#[test]
fn an_early_retry_is_served_after_requests_that_waited() {
    let mut queue = Queue::default();
    // Refused and retried at once: the goal starts anew, so its latest start is after that of the
    // waiting ones.
    queue.push(demand(1, 1, 0), 1_300, MemoryNeed::default());
    queue.push(demand(2, 1, 0), 1_100, MemoryNeed::default());
    queue.push(demand(3, 1, 0), 1_200, MemoryNeed::default());
    assert_eq!(granted(&mut queue, 0), [2, 3, 1]);
}

#[rstest]
#[case::has_time(5_000, 20)]
#[case::would_miss_its_goal(150, 9)]
fn promotes_a_less_urgent_request_only_if_it_would_miss_its_goal(
    #[case] start_by_ms: u64,
    #[case] position: usize,
) {
    let mut queue = Queue::default();
    queue.push(demand(99, 2, 9), start_by_ms, MemoryNeed::default());
    for serial in 0..20 {
        queue.push(demand(serial, 1, 0), 5_000, MemoryNeed::default());
    }
    let order = granted(&mut queue, 100);
    assert_eq!(
        order.iter().position(|serial| *serial == 99),
        Some(position)
    );
}

#[test]
fn promotes_at_most_one_grant_in_ten() {
    let mut queue = Queue::default();
    for serial in 0..100 {
        queue.push(demand(serial, 1, 0), 5_000, MemoryNeed::default());
        queue.push(demand(1_000 + serial, 2, 3), 0, MemoryNeed::default());
    }
    let first = granted(&mut queue, 100);
    let less_urgent = first[..100].iter().filter(|serial| **serial >= 1_000);
    assert_eq!(less_urgent.count(), 10);
}

#[test]
fn does_not_promote_within_the_most_urgent_rank() {
    let mut queue = Queue::default();
    let mut tree = FairTree::default();
    let (served, other) = (demand(1, 1, 0), demand(2, 2, 0));
    for share in [&served.share, &other.share] {
        tree.add_waiting(share);
    }
    tree.charge(&served.share, 1_000.0);
    queue.push(served, 0, MemoryNeed::default());
    queue.push(other, 5_000, MemoryNeed::default());
    queue.grants_since_promotion = 100;
    let queue_key = queue.next(&tree, &HashSet::new(), 100).unwrap();
    assert_eq!(queue.front(queue_key).unwrap().permit.serial, 2);
}

#[test]
fn removed_requests_leave_consistent_counts() {
    let mut queue = Queue::default();
    for serial in 0..4 {
        queue.push(
            demand(serial, serial % 2, (serial / 2) as u8),
            5_000,
            MemoryNeed::default(),
        );
    }
    assert!(queue.contains(demand(3, 1, 1).permit));
    assert!(queue.remove(demand(3, 1, 1).permit).is_some());
    assert_eq!((queue.len(), queue.len_of_account(AccountId(1))), (3, 1));
    assert_eq!(queue.in_order(&FairTree::default()).len(), 3);
    assert_eq!(queue.ranks()[..3], [true, true, false]);
    assert_eq!(queue.weight_part(&demand(9, 0, 0).share), 0.5);
}
