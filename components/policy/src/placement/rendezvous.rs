//! Rendezvous hashing (Thaler and Ravishankar, 1998): all boxes that see the same members choose
//! the same one for a role, and removing a member moves only its own roles.

use prelude::BoxId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

fn score(role: u64, member: BoxId) -> u64 {
    xxh3_64_with_seed(&member.0.to_le_bytes(), role)
}

/// The member that owns `role`; `None` without members.
pub fn rendezvous_owner(role: u64, members: impl IntoIterator<Item = BoxId>) -> Option<BoxId> {
    members
        .into_iter()
        .max_by_key(|member| (score(role, *member), *member))
}

/// All members in the order in which they would own `role`.
pub fn rendezvous_order(role: u64, members: impl IntoIterator<Item = BoxId>) -> Vec<BoxId> {
    let mut members: Vec<BoxId> = members.into_iter().collect();
    members.sort_by_key(|member| std::cmp::Reverse((score(role, *member), *member)));
    members
}

#[cfg(test)]
#[path = "rendezvous_tests.rs"]
mod tests;
