use super::*;

fn failed_once() -> Probation {
    let mut probation = Probation::default();
    probation.record_failure(1_000);
    probation
}

#[test]
fn a_failed_engine_stays_on_probation_until_it_answers_a_probe() {
    let mut probation = failed_once();
    assert!(probation.is_on(1_000) && probation.needs_probe(1_000));
    assert!(probation.is_on(1_000 + PROBATION_MS + 1));
    probation.record_probe_answer(1_100);
    assert!(probation.is_on(1_000 + PROBATION_MS - 1));
    assert!(!probation.is_on(1_000 + PROBATION_MS));
}

#[test]
fn an_engine_that_answers_no_probe_leaves_probation_after_the_extra_time() {
    let probation = failed_once();
    assert!(probation.is_on(1_000 + PROBATION_MS + UNPROBED_EXTRA_MS - 1));
    assert!(!probation.is_on(1_000 + PROBATION_MS + UNPROBED_EXTRA_MS));
}

#[test]
fn probation_doubles_with_each_failure_and_counts_concurrent_failures_once() {
    let mut probation = failed_once();
    probation.record_failure(1_010);
    probation.record_probe_answer(1_020);
    assert!(!probation.is_on(1_010 + PROBATION_MS));
    probation.record_failure(2_000);
    probation.record_probe_answer(2_000 + PROBATION_MS);
    assert!(probation.is_on(2_000 + PROBATION_MS));
    assert!(!probation.is_on(2_000 + 2 * PROBATION_MS));
}

#[test]
fn a_probe_answer_long_before_the_end_of_probation_is_ignored() {
    let mut probation = failed_once();
    probation.record_failure(2_000);
    probation.record_failure(3_000);
    probation.record_probe_answer(3_010);
    assert!(probation.is_on(3_000 + 4 * PROBATION_MS));
    assert!(probation.needs_probe(3_000 + 4 * PROBATION_MS));
}

#[test]
fn an_event_after_a_single_failure_ends_probation() {
    let mut probation = failed_once();
    probation.record_event(false, 1_000 + IN_FLIGHT_MS);
    assert!(probation.is_on(1_250));
    probation.record_event(false, 1_000 + IN_FLIGHT_MS + 1);
    assert!(!probation.is_on(1_250));
}

#[test]
fn events_do_not_end_probation_after_repeated_failures() {
    let mut probation = failed_once();
    probation.record_event(false, 1_300);
    probation.record_failure(3_000);
    probation.record_event(false, 3_300);
    assert!(probation.is_on(3_000 + 2 * PROBATION_MS - 1));
}

#[test]
fn old_failures_do_not_lengthen_probation() {
    let mut probation = failed_once();
    let later = 1_000 + FAILURE_MEMORY_MS + 1;
    probation.record_failure(later);
    probation.record_probe_answer(later);
    assert!(!probation.is_on(later + PROBATION_MS));
}

#[test]
fn silence_to_one_caller_is_no_failure_if_others_get_first_events() {
    let mut probation = Probation::default();
    probation.record_event(true, 1_000);
    probation.record_silence(2_000);
    assert!(!probation.is_on(2_000));
}

#[test]
fn an_engine_silent_to_all_callers_is_on_probation() {
    let mut probation = Probation::default();
    probation.record_silence(1_000);
    assert!(probation.is_on(1_000));
    let mut probation = Probation::default();
    probation.record_event(true, 1_000);
    probation.record_silence(1_000 + EVENT_WINDOW_MS);
    assert!(probation.is_on(1_000 + EVENT_WINDOW_MS));
}

#[test]
fn an_engine_that_starts_no_new_generations_is_on_probation() {
    let mut probation = Probation::default();
    probation.record_event(true, 1_000);
    probation.record_event(false, 1_000 + FIRST_EVENT_WINDOW_MS);
    probation.record_silence(1_000 + FIRST_EVENT_WINDOW_MS);
    assert!(probation.is_on(1_000 + FIRST_EVENT_WINDOW_MS));
}
