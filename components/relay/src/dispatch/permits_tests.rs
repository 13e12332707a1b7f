use super::*;

#[test]
fn a_request_that_is_asked_again_keeps_its_callers_time_of_coming() {
    let request = AcquireRequest {
        pool: pool_of("model"),
        permit: PermitId::default(),
        account: prelude::AccountId::default(),
        kind: 0,
        prompt_tokens: 10,
        max_tokens: 10,
        rank: 0,
        waited_ms: 100,
        pause_goal_ms: None,
        wait_left_ms: 900,
        caller_left_ms: 5_000,
        prefix: None,
        told_tokens: None,
        avoid: None,
    };
    let again = asked_after(request, Duration::from_millis(300));
    assert_eq!((again.waited_ms, again.wait_left_ms), (400, 600));
    assert_eq!(again.caller_left_ms, 4_700);
    assert_eq!(asked_after(request, Duration::from_secs(2)).wait_left_ms, 1);
}
