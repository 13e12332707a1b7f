use super::*;
use proptest::prelude::*;

fn word(limit_per_s: Option<f64>, earliest_ms: u64, latest_ms: u64) -> RateObservation {
    RateObservation {
        limit_per_s,
        earliest_ms,
        latest_ms,
    }
}

fn known(words: &[RateObservation]) -> AnnouncedRate {
    let mut rate = AnnouncedRate::default();
    for word in words {
        rate.observe(*word, word.latest_ms);
    }
    rate
}

#[test]
fn a_word_that_was_made_before_the_last_one_changes_nothing() {
    let rate = known(&[word(Some(3.0), 100, 150), word(Some(9.0), 40, 90)]);
    assert_eq!(rate.rate_per_s(200), Some(3.0));
    let ended = known(&[
        word(Some(3.0), 100, 150),
        word(None, 200, 250),
        word(Some(3.0), 90, 140),
    ]);
    assert!(!ended.is_limited());
}

#[test]
fn of_two_words_made_at_one_time_the_lower_limit_counts() {
    for words in [
        [word(Some(3.0), 100, 200), word(Some(9.0), 150, 250)],
        [word(Some(9.0), 150, 250), word(Some(3.0), 100, 200)],
        [word(Some(3.0), 100, 200), word(None, 150, 250)],
    ] {
        assert_eq!(known(&words).rate_per_s(300), Some(3.0));
    }
}

#[test]
fn an_answer_to_a_request_sent_after_the_last_word_ends_the_limit() {
    let rate = known(&[word(Some(3.0), 100, 200), word(None, 201, 260)]);
    assert!(!rate.is_limited());
    assert_eq!(rate.rate_per_s(260 + RAMP_MS), None);
}

#[test]
fn the_rate_rises_by_steps_once_a_limit_has_ended() {
    let rate = known(&[word(Some(2.0), 0, 10), word(None, 20, 100)]);
    let rates = [100, 350, 600, 1_100, 2_099].map(|now_ms| rate.rate_per_s(now_ms).unwrap());
    assert_eq!(&rates[..4], &[2.0, 4.0, 8.0, 32.0]);
    assert!(rates[4] < 600.0);
    assert_eq!(rate.rate_per_s(2_100), None);
}

#[test]
fn a_target_that_takes_nothing_is_still_asked_now_and_then() {
    let rate = known(&[word(Some(0.0), 0, 10)]);
    assert_eq!(rate.rate_per_s(50), Some(RATE_MIN_PER_S));
}

#[test]
fn a_target_that_never_named_a_limit_has_none() {
    let rate = known(&[word(None, 0, 10)]);
    assert_eq!((rate.is_limited(), rate.rate_per_s(20)), (false, None));
}

proptest! {
    /// Words of a target that changes its limit now and then, heard in any order: what is known at the end is its last
    /// limit, or a lower one that was made within the same span.
    #[test]
    fn no_order_in_which_words_come_leaves_a_higher_limit_than_the_last(
        limits in prop::collection::vec((prop::option::of(1u32..50), 1u64..400, 0u64..300), 1..12),
        order in any::<prop::sample::Index>(), seed in any::<u64>(),
    ) {
        let mut at_ms = 1_000;
        let mut words = Vec::new();
        for (limit, apart_ms, span_ms) in &limits {
            at_ms += apart_ms;
            let from_ms = at_ms - span_ms / 2;
            words.push((at_ms, word(limit.map(f64::from), from_ms, at_ms + span_ms / 2)));
        }
        let (_, last) = *words.last().unwrap();
        let mut heard = words.clone();
        let turns = order.index(heard.len());
        heard.rotate_left(turns);
        if seed % 2 == 0 {
            heard.reverse();
        }
        let mut rate = AnnouncedRate::default();
        for (_, word) in &heard {
            rate.observe(*word, 10_000);
        }
        let found = rate.effective().and_then(|word| word.limit_per_s);
        let overlaps = |word: &RateObservation| last.earliest_ms <= word.latest_ms;
        let lowest = words.iter().map(|(_, word)| *word).filter(overlaps);
        let lowest = lowest.map(|word| word.limit()).fold(f64::INFINITY, f64::min);
        let found = found.unwrap_or(f64::INFINITY);
        prop_assert!(found <= last.limit() && found >= lowest.min(last.limit()));
    }
}
