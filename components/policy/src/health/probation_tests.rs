use super::*;

fn failed_once() -> Probation {
    let mut trial = Probation::default();
    trial.record_failure(1_000);
    trial
}

#[test]
fn an_engine_that_failed_takes_nothing_until_it_has_answered() {
    let mut trial = failed_once();
    assert!(trial.is_on(1_000) && trial.needs_probe(1_000));
    assert!(trial.is_on(1_000 + TRIAL_MS + 1));
    trial.record_probe_answer(1_100);
    assert!(trial.is_on(1_000 + TRIAL_MS - 1));
    assert!(!trial.is_on(1_000 + TRIAL_MS));
}

#[test]
fn an_engine_that_never_answers_is_tried_again_in_the_end() {
    let trial = failed_once();
    assert!(trial.is_on(1_000 + TRIAL_MS + UNANSWERED_MS - 1));
    assert!(!trial.is_on(1_000 + TRIAL_MS + UNANSWERED_MS));
}

#[test]
fn each_further_failure_takes_longer_and_those_of_one_moment_count_once() {
    let mut trial = failed_once();
    trial.record_failure(1_010);
    trial.record_probe_answer(1_020);
    assert!(!trial.is_on(1_010 + TRIAL_MS));
    trial.record_failure(2_000);
    trial.record_probe_answer(2_000 + TRIAL_MS);
    assert!(trial.is_on(2_000 + TRIAL_MS));
    assert!(!trial.is_on(2_000 + 2 * TRIAL_MS));
}

#[test]
fn an_answer_long_before_the_end_of_a_trial_says_nothing() {
    let mut trial = failed_once();
    trial.record_failure(2_000);
    trial.record_failure(3_000);
    trial.record_probe_answer(3_010);
    assert!(trial.is_on(3_000 + 4 * TRIAL_MS));
    assert!(trial.needs_probe(3_000 + 4 * TRIAL_MS));
}

#[test]
fn an_event_made_after_the_first_failure_ends_the_trial() {
    let mut trial = failed_once();
    trial.record_event(false, 1_000 + UNDER_WAY_MS);
    assert!(trial.is_on(1_250));
    trial.record_event(false, 1_000 + UNDER_WAY_MS + 1);
    assert!(!trial.is_on(1_250));
}

#[test]
fn an_engine_that_fails_again_soon_serves_its_time_whatever_it_makes() {
    let mut trial = failed_once();
    trial.record_event(false, 1_300);
    trial.record_failure(3_000);
    trial.record_event(false, 3_300);
    assert!(trial.is_on(3_000 + 2 * TRIAL_MS - 1));
}

#[test]
fn failures_of_long_ago_are_forgotten() {
    let mut trial = failed_once();
    let later = 1_000 + FORGET_MS + 1;
    trial.record_failure(later);
    trial.record_probe_answer(later);
    assert!(!trial.is_on(later + TRIAL_MS));
}

#[test]
fn an_engine_that_is_silent_to_one_caller_and_begins_for_others_is_not_on_trial() {
    let mut trial = Probation::default();
    trial.record_event(true, 1_000);
    trial.record_silence(2_000);
    assert!(!trial.is_on(2_000));
}

#[test]
fn an_engine_that_is_silent_to_all_is_on_trial() {
    let mut trial = Probation::default();
    trial.record_silence(1_000);
    assert!(trial.is_on(1_000));
    let mut trial = Probation::default();
    trial.record_event(true, 1_000);
    trial.record_silence(1_000 + ALIVE_MS);
    assert!(trial.is_on(1_000 + ALIVE_MS));
}

#[test]
fn an_engine_that_runs_what_it_has_and_begins_nothing_is_on_trial() {
    let mut trial = Probation::default();
    trial.record_event(true, 1_000);
    trial.record_event(false, 1_000 + BEGINS_MS);
    trial.record_silence(1_000 + BEGINS_MS);
    assert!(trial.is_on(1_000 + BEGINS_MS));
}
