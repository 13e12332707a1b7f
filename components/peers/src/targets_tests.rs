use super::*;
use std::pin::pin;
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;

fn entry(at: u64, born_ms: Option<u64>) -> TargetEntry {
    TargetEntry {
        instance: format!("i-{at:08x}").into(),
        born_ms,
        service: "model".into(),
        address: ([10, 0, 0, at as u8], 8080).into(),
        data_centre: "east".into(),
        slots: 24,
        phase: TargetPhase::Ready,
        cold_left_ms: 0,
        version: Version::new(3, 100_000 + at),
    }
}

fn bytes(born_ms: Option<u64>) -> usize {
    let entries: Vec<TargetEntry> = (0..100).map(|at| entry(at, born_ms)).collect();
    let mut format = pin!(Bincode::<TargetList, TargetList>::default());
    let list = TargetList::new(&entries);
    let packed = format.as_mut().serialize(&list).unwrap().len();
    packed / entries.len()
}

#[test]
fn a_birth_takes_ten_bytes_in_a_list_and_none_takes_one() {
    let (without, with) = (bytes(None), bytes(Some(1_790_000_000_000)));
    println!("{without} bytes a target without a birth, {with} with one");
    assert!(without <= 36, "{without}");
    assert!(with <= without + 9, "{with}");
}

#[test]
fn a_list_brings_lives_as_they_are() {
    let entries = vec![entry(1, Some(7)), entry(1, None), entry(2, Some(0))];
    assert_eq!(TargetList::new(&entries).entries(), entries);
}

#[test]
fn what_a_list_takes_on_the_wire_is_known_without_making_it() {
    for born_ms in [None, Some(1_790_000_000_000)] {
        let entries: Vec<TargetEntry> = (0..100).map(|at| entry(at, born_ms)).collect();
        let told = TargetList::new(&entries).wire_bytes() / entries.len();
        let is = bytes(born_ms);
        assert!(is.abs_diff(told) * 5 <= is, "{told} of {is}");
    }
}
