use super::*;

fn seen(values: &[f64]) -> Speed {
    let mut speed = Speed::default();
    for value in values {
        speed.seen(*value, 0);
    }
    speed
}

#[test]
fn is_not_changed_by_a_disturbance() {
    let speed = seen(&[1.6, 1.6, 4.0, 1.6, 4.0, 1.6]);
    assert_eq!(speed.relative(&Usual::default(), 0), 1.6);
}

#[test]
fn is_the_usual_where_nothing_is_known_or_the_difference_is_small() {
    assert_eq!(Speed::default().relative(&Usual::default(), 0), 1.0);
    assert_eq!(seen(&[1.1, 0.95, 1.05]).relative(&Usual::default(), 0), 1.0);
}

#[test]
fn believes_an_engine_at_first_and_its_events_later() {
    let mut speed = Speed::default();
    speed.said(0.5, 0);
    assert_eq!(speed.relative(&Usual::default(), 0), 0.5);
    for _ in 0..TRUSTED {
        speed.seen(1.6, 0);
    }
    assert_eq!(speed.relative(&Usual::default(), 0), 1.6);
}

#[test]
fn fades_where_nothing_is_heard_of_an_engine() {
    let speed = seen(&[2.0; 6]);
    assert_eq!(speed.relative(&Usual::default(), HALF_LIFE_MS as u64), 1.5);
    assert_eq!(speed.relative(&Usual::default(), 600_000), 1.0);
}

#[test]
fn holds_an_engine_against_the_word_of_the_others_and_not_against_a_hundred() {
    let all = |percent: f64| {
        let mut speed = Speed::default();
        speed.said(percent / 100.0, 0);
        speed
    };
    let pool = [all(160.0), all(160.0), all(320.0)];
    let usual = Usual::of(pool.iter());
    assert_eq!(pool[0].relative(&usual, 0), 1.0);
    assert_eq!(pool[2].relative(&usual, 0), 2.0);
}

#[test]
fn takes_an_engine_of_which_nothing_is_known_for_one_of_the_slower_ones() {
    let pool = [0.6, 1.0, 1.0, 1.6].map(|speed| seen(&[speed; 6]));
    let usual = Usual::of(pool.iter());
    assert_eq!(Speed::default().relative(&usual, 0), 1.6);
    let alike = [0.95, 1.0, 1.05, 1.1].map(|speed| seen(&[speed; 6]));
    let usual = Usual::of(alike.iter());
    assert_eq!(Speed::default().relative(&usual, 0), 1.0);
}
