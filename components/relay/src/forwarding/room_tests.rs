use super::*;

#[test]
fn a_call_waits_as_long_as_its_answer_can_be_in_time() {
    assert_eq!(wait_until_ms(300, Some(60.0), 1_000), 1_180);
    assert_eq!(wait_until_ms(300, None, 1_000), 1_150);
}

#[test]
fn a_call_that_cannot_be_in_time_does_not_wait() {
    assert_eq!(wait_until_ms(100, Some(60.0), 1_000), 1_000);
}
