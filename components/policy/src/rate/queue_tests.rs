use super::*;
use std::collections::BTreeMap;

fn ask(id: u64, account: u64, rank: u8, deadline_ms: u64) -> RateGrantRequest {
    RateGrantRequest {
        id,
        account: AccountId(account),
        weight: 1.0,
        rank,
        deadline_ms,
        is_last_try: true,
    }
}

/// Plays asks, each with the time at which it comes, and says when each was granted.
fn play(asks: &[(u64, RateGrantRequest)], rate_per_s: f64, for_ms: u64) -> BTreeMap<u64, u64> {
    let mut queue = RateQueue::new(0);
    let mut granted = BTreeMap::new();
    for now_ms in 0..for_ms {
        let come = asks.iter().filter(|(at_ms, _)| *at_ms == now_ms);
        for (_, ask) in come {
            if queue.submit(*ask, rate_per_s, now_ms) == Some(RateVerdict::Granted) {
                granted.insert(ask.id, now_ms);
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
fn grants_no_more_than_the_rate_and_uses_it() {
    let asks: Vec<_> = (0..400)
        .map(|at| (at * 20, ask(at, at % 7, 1, at * 20 + 300)))
        .collect();
    let granted = play(&asks, 3.0, 8_000);
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
fn an_account_that_sends_much_gets_its_share() {
    let flood = (0..600).map(|at| (at * 10, ask(at, 1, 1, at * 10 + 600)));
    let small = (0..20).map(|at| (at * 300, ask(1_000 + at, 2, 1, at * 300 + 600)));
    let asks: Vec<_> = flood.chain(small).collect();
    let granted = play(&asks, 5.0, 6_000);
    let of_small = granted.keys().filter(|id| **id >= 1_000).count();
    assert!(of_small >= 13, "{of_small} of 20");
    assert!(granted.len() - of_small >= 10, "{}", granted.len());
}

#[test]
fn a_flood_whose_calls_ran_out_of_time_pays_nothing_for_them() {
    let flood = (0..100).map(|at| (at * 10, ask(at, 1, 1, at * 10 + 300)));
    let later = (0..20).map(|at| (3_000 + at * 200, ask(2_000 + at, 1, 1, 3_400 + at * 200)));
    let other = (0..20).map(|at| (3_000 + at * 200, ask(3_000 + at, 2, 1, 3_400 + at * 200)));
    let asks: Vec<_> = flood.chain(later).chain(other).collect();
    let granted = play(&asks, 4.0, 7_500);
    let count = |from: u64| {
        granted
            .keys()
            .filter(|id| (from..from + 1_000).contains(id))
            .count()
    };
    assert!(count(2_000).abs_diff(count(3_000)) <= 2, "{granted:?}");
}

#[test]
fn the_more_urgent_goes_first_and_the_others_do_not_starve() {
    let urgent = (0..300).map(|at| (at * 20, ask(at, 1, 0, at * 20 + 500)));
    let other = (0..10).map(|at| (at * 500, ask(5_000 + at, 2, 5, at * 500 + 5_000)));
    let asks: Vec<_> = urgent.chain(other).collect();
    let granted = play(&asks, 10.0, 6_000);
    let of_other = granted.keys().filter(|id| **id >= 5_000).count();
    assert!((2..=7).contains(&of_other), "{of_other}");
}

#[test]
fn what_cannot_be_granted_in_time_is_denied_at_once() {
    let mut queue = RateQueue::new(0);
    assert_eq!(queue.submit(ask(1, 1, 1, 2_000), 1.0, 0), None);
    let denied = queue.submit(ask(2, 1, 1, 1_500), 1.0, 0);
    let Some(RateVerdict::Denied { retry_after_ms }) = denied else {
        panic!("{denied:?}");
    };
    assert!((2_000..2_300).contains(&retry_after_ms), "{retry_after_ms}");
}

#[test]
fn callers_that_are_sent_away_come_back_one_after_another() {
    let mut queue = RateQueue::new(0);
    let mut denied = |id| match queue.submit(ask(id, id, 1, 0), 2.0, 0) {
        Some(RateVerdict::Denied { retry_after_ms }) => retry_after_ms,
        other => panic!("{other:?}"),
    };
    let times: Vec<u64> = (0..40).map(&mut denied).collect();
    assert!(
        times.windows(2).take(15).all(|two| two[1] == two[0] + 500),
        "{times:?}"
    );
    assert!(times.iter().all(|ms| *ms <= COME_BACK_MAX_MS));
}

#[test]
fn a_grant_whose_call_was_not_sent_goes_to_the_next() {
    let mut queue = RateQueue::new(0);
    assert_eq!(
        queue.submit(ask(1, 1, 1, 5_000), 1.0, 1_100),
        Some(RateVerdict::Granted)
    );
    assert_eq!(queue.submit(ask(2, 1, 1, 5_000), 1.0, 1_100), None);
    queue.refund();
    assert_eq!(queue.run(1.0, 1_101), vec![(2, RateVerdict::Granted)]);
}
