use super::*;

fn failed_once() -> Trial {
    let mut trial = Trial::default();
    trial.failed(1_000);
    trial
}

#[test]
fn an_engine_that_failed_takes_nothing_until_it_has_answered() {
    let mut trial = failed_once();
    assert!(trial.is_on(1_000) && trial.is_open(1_000));
    assert!(trial.is_on(1_000 + TRIAL_MS + 1));
    trial.answered();
    assert!(trial.is_on(1_000 + TRIAL_MS - 1));
    assert!(!trial.is_on(1_000 + TRIAL_MS));
}

#[test]
fn an_engine_that_never_answers_is_tried_again_in_the_end() {
    let trial = failed_once();
    assert!(!trial.is_on(1_000 + TRIAL_MS + UNANSWERED_MS));
}

#[test]
fn each_further_failure_takes_longer_and_those_of_one_moment_count_once() {
    let mut trial = failed_once();
    trial.failed(1_010);
    trial.answered();
    assert!(!trial.is_on(1_010 + TRIAL_MS));
    trial.failed(2_000);
    trial.answered();
    assert!(trial.is_on(2_000 + TRIAL_MS));
    assert!(!trial.is_on(2_000 + 2 * TRIAL_MS));
}

#[test]
fn an_event_made_after_the_failure_ends_the_trial() {
    let mut trial = failed_once();
    trial.made_event(1_000 + UNDER_WAY_MS);
    assert!(trial.is_on(1_250));
    trial.made_event(1_000 + UNDER_WAY_MS + 1);
    assert!(!trial.is_on(1_250));
}
