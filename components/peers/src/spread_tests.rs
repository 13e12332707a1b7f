use super::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::collections::HashSet;

/// How many of `count` boxes hear a notice when `dead` of them pass nothing on.
fn heard(topology: Topology, count: u32, dead: &HashSet<BoxId>) -> usize {
    let members: Vec<BoxId> = (0..count).map(BoxId).collect();
    let origin = BoxId(count / 3);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut heard = HashSet::from([origin]);
    let mut pending = vec![origin];
    while let Some(own) = pending.pop() {
        for to in next_hops(topology, &members, origin, own, &mut rng) {
            if !dead.contains(&to) && heard.insert(to) {
                pending.push(to);
            }
        }
    }
    heard.len()
}

#[rstest]
#[case(Topology::FanOut)]
#[case(Topology::Tree)]
#[case(Topology::BinomialGraph)]
fn reaches_every_box(#[case] topology: Topology) {
    for count in [2, 3, 8, 61, 128] {
        assert_eq!(heard(topology, count, &HashSet::new()), count as usize);
    }
}

#[rstest]
#[case(Topology::FanOut)]
#[case(Topology::BinomialGraph)]
fn reaches_every_live_box_past_dead_ones(#[case] topology: Topology) {
    let dead: HashSet<BoxId> = [1, 2, 17, 40, 41, 50, 66, 70, 88, 99].map(BoxId).into();
    assert_eq!(heard(topology, 100, &dead), 90);
}
