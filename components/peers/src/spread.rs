//! Ways to spread a notice over all boxes: to whom a box passes it on. Compared by measurement in
//! `docs/design/spread.md`.

use prelude::BoxId;
use rand::Rng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

/// A way to spread a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Topology {
    /// The origin tells everyone.
    FanOut,
    /// A tree with four children to each box, rooted at the origin.
    Tree,
    /// Each box that hears it first tells three drawn at random.
    Gossip,
    /// Each box that hears it first tells its neighbours in the binomial graph, at distances of plus
    /// and minus each power of two (Angskun, Bosilca and Dongarra, 2007; Bouteiller et al., "Plan B",
    /// EuroMPI 2015).
    BinomialGraph,
}

const TREE_CHILDREN: usize = 4;
const GOSSIP_PEERS: usize = 3;

/// To whom `own` passes on a notice that `origin` began. `members` is sorted and holds both.
pub fn next_hops(
    topology: Topology,
    members: &[BoxId],
    origin: BoxId,
    own: BoxId,
    rng: &mut impl Rng,
) -> Vec<BoxId> {
    let count = members.len();
    let place = |id: BoxId| members.iter().position(|member| *member == id);
    let (Some(root), Some(at)) = (place(origin), place(own)) else {
        return Vec::new();
    };
    let others = || {
        members
            .iter()
            .copied()
            .filter(|id| *id != own && *id != origin)
    };
    match topology {
        Topology::FanOut if own == origin => others().collect(),
        Topology::FanOut => Vec::new(),
        Topology::Tree => {
            let rank = (at + count - root) % count;
            let first = rank * TREE_CHILDREN + 1;
            let children = first..(first + TREE_CHILDREN).min(count);
            children
                .map(|child| members[(child + root) % count])
                .collect()
        }
        Topology::Gossip => {
            let others: Vec<BoxId> = others().collect();
            others.choose_multiple(rng, GOSSIP_PEERS).copied().collect()
        }
        Topology::BinomialGraph => {
            let mut hops = Vec::new();
            let mut distance = 1;
            while distance < count {
                for to in [(at + distance) % count, (at + count - distance) % count] {
                    let neighbour = members[to];
                    if neighbour != own && neighbour != origin && !hops.contains(&neighbour) {
                        hops.push(neighbour);
                    }
                }
                distance *= 2;
            }
            hops
        }
    }
}

#[cfg(test)]
#[path = "spread_tests.rs"]
mod tests;
