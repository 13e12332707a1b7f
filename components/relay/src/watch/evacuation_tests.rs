use super::*;
use prelude::Version;

fn changed(begun: &[&str], ended: &[&str]) -> EvacuationDiff {
    let owned = |names: &[&str]| names.iter().map(|name| (*name).into()).collect();
    EvacuationDiff {
        begun: owned(begun),
        ended: owned(ended),
    }
}

#[test]
fn returns_begun_and_ended_evacuations() {
    let mut evacuation = Evacuation::default();
    let begun = evacuation.update(7, |known| known.ordered("east", true, Version::new(0, 3)));
    assert_eq!(begun, Some(changed(&["east"], &[])));
    assert_eq!(
        evacuation.update(8, |known| known.ordered("east", true, Version::new(0, 4))),
        None
    );
    let both = evacuation.update(9, |known| {
        known.read(["west".into()].into(), Version::new(0, 5))
    });
    assert_eq!(both, Some(changed(&["west"], &["east"])));
}

#[test]
fn a_continuing_evacuation_keeps_its_start_time() {
    let mut evacuation = Evacuation::default();
    evacuation.update(7, |known| known.ordered("east", true, Version::new(0, 3)));
    evacuation.update(99, |known| known.ordered("west", true, Version::new(0, 4)));
    assert_eq!(evacuation.evacuated["east"].since_ms, 7);
}
