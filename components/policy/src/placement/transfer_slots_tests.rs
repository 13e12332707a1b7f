use super::*;
use prelude::BoxId;

const LINK: TargetId = TargetId(1);
const TO: TargetId = TargetId(2);

fn permit(serial: u64) -> PermitId {
    PermitId {
        entry: BoxId(1),
        life: 0,
        serial,
    }
}

#[test]
fn grants_one_slot_at_a_time_to_the_smallest_copy() {
    let mut slots = TransferSlots::default();
    assert!(slots.try_acquire(LINK, permit(1), 3000, 0));
    slots.start_transfer(LINK, permit(1), TO, 0);
    assert!(!slots.try_acquire(LINK, permit(2), 5000, 1));
    assert!(!slots.try_acquire(LINK, permit(3), 4000, 1));
    slots.release(LINK, permit(1));
    assert!(!slots.try_acquire(LINK, permit(2), 5000, 2));
    assert!(slots.try_acquire(LINK, permit(3), 4000, 2));
}

#[test]
fn expires_the_slot_of_a_lost_holder() {
    let mut slots = TransferSlots::default();
    slots.start_transfer(LINK, permit(1), TO, 0);
    assert_eq!(slots.inbound_targets(10), [TO]);
    assert!(!slots.try_acquire(LINK, permit(2), 10, 1_000));
    assert!(slots.try_acquire(LINK, permit(2), 10, 1_600));
    assert!(slots.inbound_targets(1_600).is_empty());
}

#[test]
fn drops_a_waiter_that_stops_asking() {
    let mut slots = TransferSlots::default();
    slots.start_transfer(LINK, permit(1), TO, 0);
    assert!(!slots.try_acquire(LINK, permit(2), 10, 1));
    slots.release(LINK, permit(1));
    assert!(!slots.try_acquire(LINK, permit(3), 20, 100));
    assert!(slots.try_acquire(LINK, permit(3), 20, 600));
}
