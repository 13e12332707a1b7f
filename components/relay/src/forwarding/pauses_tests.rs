use super::*;

#[test]
fn a_pause_is_reported_with_its_cause() {
    let mut pauses = Pauses::new();
    assert_eq!(pauses.record_events(100), None);
    assert_eq!(pauses.record_events(140), Some((40, PauseCause::Engine)));
    pauses.set_next_cause(PauseCause::Move);
    assert_eq!(pauses.record_events(240), Some((100, PauseCause::Move)));
    assert_eq!(pauses.record_events(250), Some((10, PauseCause::Engine)));
    assert_eq!(
        (pauses.longest_ms(), pauses.longest_cause()),
        (100, PauseCause::Move)
    );
}

#[test]
fn a_cause_set_before_the_first_event_applies_to_the_pause_after_it() {
    let mut pauses = Pauses::new();
    pauses.set_next_cause(PauseCause::Caller);
    assert_eq!(pauses.record_events(100), None);
    assert_eq!(pauses.record_events(130), Some((30, PauseCause::Caller)));
}
