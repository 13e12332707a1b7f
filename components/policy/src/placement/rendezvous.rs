//! Rendezvous hashing (Thaler and Ravishankar, 1998): every box that sees the same members picks the
//! same one for a role, and a member that goes moves only its own roles.

use prelude::BoxId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

fn score(role: u64, member: BoxId) -> u64 {
    xxh3_64_with_seed(&member.0.to_le_bytes(), role)
}

/// The member that holds `role`; none where there are no members.
pub fn winner(role: u64, members: impl IntoIterator<Item = BoxId>) -> Option<BoxId> {
    members
        .into_iter()
        .max_by_key(|member| (score(role, *member), *member))
}

/// All members in the order in which they would hold `role`.
pub fn ranked(role: u64, members: impl IntoIterator<Item = BoxId>) -> Vec<BoxId> {
    let mut members: Vec<BoxId> = members.into_iter().collect();
    members.sort_by_key(|member| std::cmp::Reverse((score(role, *member), *member)));
    members
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn moves_only_the_roles_of_the_box_that_went() {
        let all: Vec<BoxId> = (1..=8).map(BoxId).collect();
        let fewer: Vec<BoxId> = all.iter().copied().filter(|id| id.0 != 3).collect();
        for role in 0..200 {
            let before = winner(role, all.clone()).unwrap();
            let after = winner(role, fewer.clone()).unwrap();
            assert!(before == after || before == BoxId(3));
        }
    }

    #[test]
    fn ranks_the_winner_first() {
        let all: Vec<BoxId> = (1..=8).map(BoxId).collect();
        assert_eq!(ranked(7, all.clone()).first().copied(), winner(7, all));
    }
}
