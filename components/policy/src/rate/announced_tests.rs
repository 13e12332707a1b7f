use super::*;
use proptest::prelude::*;

fn observation(limit_per_s: Option<f64>, earliest_ms: i64, latest_ms: i64) -> RateObservation {
    RateObservation {
        limit_per_s,
        earliest_ms,
        latest_ms,
    }
}

fn after(observations: &[RateObservation]) -> AnnouncedRate {
    let mut rate = AnnouncedRate::default();
    for observation in observations {
        rate.observe(*observation, observation.latest_ms.cast_unsigned());
    }
    rate
}

#[test]
fn an_observation_older_than_the_newest_is_ignored() {
    let rate = after(&[
        observation(Some(3.0), 100, 150),
        observation(Some(9.0), 40, 90),
    ]);
    assert_eq!(rate.rate_per_s(200), Some(3.0));
    let ended = after(&[
        observation(Some(3.0), 100, 150),
        observation(None, 200, 250),
        observation(Some(3.0), 90, 140),
    ]);
    assert!(!ended.is_limited());
}

#[test]
fn of_two_overlapping_observations_the_lower_limit_is_in_effect() {
    for observations in [
        [
            observation(Some(3.0), 100, 200),
            observation(Some(9.0), 150, 250),
        ],
        [
            observation(Some(9.0), 150, 250),
            observation(Some(3.0), 100, 200),
        ],
        [
            observation(Some(3.0), 100, 200),
            observation(None, 150, 250),
        ],
    ] {
        assert_eq!(after(&observations).rate_per_s(300), Some(3.0));
    }
}

#[test]
fn an_answer_without_a_limit_to_a_later_request_ends_the_limit() {
    let rate = after(&[
        observation(Some(3.0), 100, 200),
        observation(None, 201, 260),
    ]);
    assert!(!rate.is_limited());
    assert_eq!(rate.rate_per_s(260 + RAMP_MS), None);
}

#[test]
fn the_rate_ramps_up_after_a_limit_has_ended() {
    let rate = after(&[observation(Some(2.0), 0, 10), observation(None, 20, 100)]);
    let rates = [100, 350, 600, 1_100, 2_099].map(|now_ms| rate.rate_per_s(now_ms).unwrap());
    assert_eq!(&rates[..4], &[2.0, 4.0, 8.0, 32.0]);
    assert!(rates[4] < 600.0);
    assert_eq!(rate.rate_per_s(2_100), None);
}

#[test]
fn a_limit_of_zero_still_allows_the_minimum_rate() {
    let rate = after(&[observation(Some(0.0), 0, 10)]);
    assert_eq!(rate.rate_per_s(50), Some(RATE_MIN_PER_S));
}

#[test]
fn a_target_that_announces_no_limit_has_none() {
    let rate = after(&[observation(None, 0, 10)]);
    assert_eq!((rate.is_limited(), rate.rate_per_s(20)), (false, None));
}

proptest! {
    /// A target changes its limit several times, and its observations arrive in any order. The limit in effect at the end must be
    /// the newest one, or a lower one whose time range overlaps with it.
    #[test]
    fn the_limit_in_effect_never_exceeds_the_newest_whatever_the_order(
        limits in prop::collection::vec((prop::option::of(1u32..50), 1i64..400, 0i64..300), 1..12),
        first_ms in -3_000i64..1_000,
        order in any::<prop::sample::Index>(), seed in any::<u64>(),
    ) {
        let mut at_ms = first_ms;
        let mut observations = Vec::new();
        for (limit, interval_ms, span_ms) in &limits {
            at_ms += interval_ms;
            let from_ms = at_ms - span_ms / 2;
            observations.push((at_ms, observation(limit.map(f64::from), from_ms, at_ms + span_ms / 2)));
        }
        let (_, last) = *observations.last().unwrap();
        let mut received = observations.clone();
        let rotation = order.index(received.len());
        received.rotate_left(rotation);
        if seed % 2 == 0 {
            received.reverse();
        }
        let mut rate = AnnouncedRate::default();
        for (_, observation) in &received {
            rate.observe(*observation, 10_000);
        }
        let effective = rate.effective().and_then(|observation| observation.limit_per_s);
        let overlaps = |observation: &RateObservation| last.earliest_ms <= observation.latest_ms;
        let lowest = observations.iter().map(|(_, observation)| *observation).filter(overlaps);
        let lowest = lowest.map(|observation| observation.limit()).fold(f64::INFINITY, f64::min);
        let effective = effective.unwrap_or(f64::INFINITY);
        prop_assert!(effective <= last.limit() && effective >= lowest.min(last.limit()));
    }
}
