use super::*;

#[test]
fn a_pause_is_told_with_where_it_passed() {
    let mut pauses = Pauses::new();
    assert_eq!(pauses.event(100), None);
    assert_eq!(pauses.event(140), Some((40, PauseIn::Engine)));
    pauses.passes_in(PauseIn::Move);
    assert_eq!(pauses.event(240), Some((100, PauseIn::Move)));
    assert_eq!(pauses.event(250), Some((10, PauseIn::Engine)));
    assert_eq!(
        (pauses.longest_ms(), pauses.longest_in()),
        (100, PauseIn::Move)
    );
}

#[test]
fn what_is_said_before_the_first_event_is_said_of_the_pause_after_it() {
    let mut pauses = Pauses::new();
    pauses.passes_in(PauseIn::Caller);
    assert_eq!(pauses.event(100), None);
    assert_eq!(pauses.event(130), Some((30, PauseIn::Caller)));
}
