use super::*;
use std::collections::BTreeMap;

fn request(id: u64, account: u64, rank: u8, deadline_ms: u64) -> RateGrantRequest {
    RateGrantRequest {
        id,
        account: AccountId(account),
        weight: 1.0,
        rank,
        deadline_ms,
        is_last_try: true,
    }
}

/// Simulates requests with their arrival times, and returns the time of each grant by id.
fn simulate(
    requests: &[(u64, RateGrantRequest)],
    rate_per_s: f64,
    for_ms: u64,
) -> BTreeMap<u64, u64> {
    let mut queue = RateQueue::new(0);
    let mut granted = BTreeMap::new();
    for now_ms in 0..for_ms {
        let arriving = requests.iter().filter(|(at_ms, _)| *at_ms == now_ms);
        for (_, request) in arriving {
            if queue.submit(*request, rate_per_s, now_ms) == Some(RateVerdict::Granted) {
                granted.insert(request.id, now_ms);
            }
        }
        for (id, verdict) in queue.run(rate_per_s, now_ms) {
            if verdict == RateVerdict::Granted {
                granted.insert(id, now_ms);
            }
        }
    }
    granted
}

#[test]
fn grants_the_full_rate_and_no_more() {
    let requests: Vec<_> = (0..400)
        .map(|at| (at * 20, request(at, at % 7, 1, at * 20 + 300)))
        .collect();
    let granted = simulate(&requests, 3.0, 8_000);
    let times: Vec<u64> = granted.values().copied().collect();
    for from_ms in (0..4_000).step_by(50) {
        let within = times
            .iter()
            .filter(|at| (from_ms..from_ms + 4_000).contains(*at));
        let count = within.count();
        assert!((10..=13).contains(&count), "{count} from {from_ms} ms on");
    }
}

#[test]
fn a_flooding_account_gets_only_its_fair_share() {
    let flood = (0..600).map(|at| (at * 10, request(at, 1, 1, at * 10 + 600)));
    let small = (0..20).map(|at| (at * 300, request(1_000 + at, 2, 1, at * 300 + 600)));
    let requests: Vec<_> = flood.chain(small).collect();
    let granted = simulate(&requests, 5.0, 6_000);
    let small_granted = granted.keys().filter(|id| **id >= 1_000).count();
    assert!(small_granted >= 13, "{small_granted} of 20");
    assert!(granted.len() - small_granted >= 10, "{}", granted.len());
}

#[test]
fn expired_calls_do_not_count_against_their_account() {
    let flood = (0..100).map(|at| (at * 10, request(at, 1, 1, at * 10 + 300)));
    let later = (0..20).map(|at| {
        (
            3_000 + at * 200,
            request(2_000 + at, 1, 1, 3_400 + at * 200),
        )
    });
    let other = (0..20).map(|at| {
        (
            3_000 + at * 200,
            request(3_000 + at, 2, 1, 3_400 + at * 200),
        )
    });
    let requests: Vec<_> = flood.chain(later).chain(other).collect();
    let granted = simulate(&requests, 4.0, 7_500);
    let count = |from: u64| {
        granted
            .keys()
            .filter(|id| (from..from + 1_000).contains(id))
            .count()
    };
    assert!(count(2_000).abs_diff(count(3_000)) <= 2, "{granted:?}");
}

#[test]
fn urgent_calls_go_first_without_starving_others() {
    let urgent = (0..300).map(|at| (at * 20, request(at, 1, 0, at * 20 + 500)));
    let other = (0..10).map(|at| (at * 500, request(5_000 + at, 2, 5, at * 500 + 5_000)));
    let requests: Vec<_> = urgent.chain(other).collect();
    let granted = simulate(&requests, 10.0, 6_000);
    let other_granted = granted.keys().filter(|id| **id >= 5_000).count();
    assert!((2..=7).contains(&other_granted), "{other_granted}");
}

#[test]
fn a_call_that_would_miss_its_deadline_is_denied_at_once() {
    let mut queue = RateQueue::new(0);
    assert_eq!(queue.submit(request(1, 1, 1, 2_000), 1.0, 0), None);
    let denied = queue.submit(request(2, 1, 1, 1_500), 1.0, 0);
    let Some(RateVerdict::Denied { retry_after_ms }) = denied else {
        panic!("{denied:?}");
    };
    assert!((2_000..2_300).contains(&retry_after_ms), "{retry_after_ms}");
}

#[test]
fn rejected_callers_get_successive_retry_times() {
    let mut queue = RateQueue::new(0);
    let mut denied = |id| match queue.submit(request(id, id, 1, 0), 2.0, 0) {
        Some(RateVerdict::Denied { retry_after_ms }) => retry_after_ms,
        other => panic!("{other:?}"),
    };
    let times: Vec<u64> = (0..40).map(&mut denied).collect();
    assert!(
        times
            .windows(2)
            .take(15)
            .all(|pair| pair[1] == pair[0] + 500),
        "{times:?}"
    );
    assert!(times.iter().all(|ms| *ms <= RETRY_AFTER_MAX_MS));
}

#[test]
fn a_refunded_token_goes_to_the_next_call() {
    let mut queue = RateQueue::new(0);
    assert_eq!(
        queue.submit(request(1, 1, 1, 5_000), 1.0, 1_100),
        Some(RateVerdict::Granted)
    );
    assert_eq!(queue.submit(request(2, 1, 1, 5_000), 1.0, 1_100), None);
    queue.refund();
    assert_eq!(queue.run(1.0, 1_101), vec![(2, RateVerdict::Granted)]);
}
