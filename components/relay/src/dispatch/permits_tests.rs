use super::*;
use crate::ingress::arrival::Arrival;
use prelude::Avoided;

#[test]
fn retried_request_keeps_its_callers_arrival_time() {
    let demand = PermitDemand {
        id: "r-1",
        service: "model",
        account: prelude::AccountId::default(),
        kind: 0,
        prompt_tokens: 10,
        max_tokens: 10,
        rank: 0,
        arrival: Arrival::new(1_000, 0),
        pause_goal_ms: None,
        wait_deadline_ms: 2_000,
        caller_deadline_ms: 6_100,
        avoid: Avoided::default(),
    };
    let first = demand.request(PermitId::default(), 1_100);
    assert_eq!((first.waited_ms, first.wait_left_ms), (100, 900));
    let again = demand.request(PermitId::default(), 1_400);
    assert_eq!((again.waited_ms, again.wait_left_ms), (400, 600));
    assert_eq!(again.caller_left_ms, 4_700);
    assert_eq!(demand.request(PermitId::default(), 3_100).wait_left_ms, 1);
}
