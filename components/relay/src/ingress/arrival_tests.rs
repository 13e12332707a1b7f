use super::*;

// Guards against a relayed request that is served beyond its deadline by a box that has just started.
#[test]
fn a_relayed_request_keeps_its_deadline_on_a_box_that_has_just_started() {
    let arrival = Arrival::new(50, 3_000);
    assert_eq!(arrival.plus_ms(4_000), 1_050);
    assert_eq!(arrival.plus_ms(2_000), 0);
    assert_eq!(arrival.elapsed_ms(60), 3_010);
}

#[test]
fn a_request_that_came_from_its_caller_arrived_when_it_was_received() {
    let arrival = Arrival::new(5_000, 0);
    assert_eq!(arrival.elapsed_ms(5_300), 300);
    assert_eq!(arrival.plus_ms(400), 5_400);
}

#[test]
fn any_time_of_a_relaying_box_is_taken() {
    let arrival = Arrival::new(50, u64::MAX);
    assert_eq!(arrival.plus_ms(4_000), 0);
    assert!(arrival.elapsed_ms(60) > 1_000_000);
}
