//! Which boxes there are: the lagging box list, joined with what is seen of each box.

use peers::BoxCard;
use prelude::{BoxId, BoxIncarnation, DataCentreId};
use std::collections::HashMap;
use std::net::SocketAddr;
use store::{ListedBox, ListedState};

/// How long a box that gave no answer is left out of the roles.
const SUSPECT_MS: u64 = 2_000;
/// How long a box stays known that is neither listed nor heard of.
const FORGET_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug)]
struct Member {
    card: BoxCard,
    listed: Option<ListedState>,
    heard_ms: u64,
    suspect_until_ms: u64,
}

/// One box, as others are told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Known {
    pub id: BoxId,
    pub address: SocketAddr,
    pub leaving: bool,
    pub suspect: bool,
}

/// All boxes that one box knows of.
#[derive(Debug)]
pub(crate) struct Members {
    own: BoxCard,
    others: HashMap<BoxId, Member>,
}

impl Members {
    pub fn new(own: BoxCard) -> Self {
        Self {
            own,
            others: HashMap::new(),
        }
    }

    pub fn own(&self) -> BoxCard {
        self.own
    }

    pub fn set_leaving(&mut self) {
        self.own.leaving = true;
    }

    /// Takes the box list in. Returns the boxes that are known no more.
    pub fn listed(&mut self, boxes: &[ListedBox], now_ms: u64) -> Vec<BoxId> {
        for member in self.others.values_mut() {
            member.listed = None;
        }
        for listed in boxes.iter().filter(|listed| listed.id != self.own.id) {
            let member = self.others.entry(listed.id).or_insert_with(|| Member {
                card: unheard_card(listed),
                listed: None,
                heard_ms: now_ms,
                suspect_until_ms: 0,
            });
            member.listed = Some(listed.state);
            if member.card.life == BoxIncarnation(0) {
                member.card.address = listed.address;
            }
        }
        let keep =
            |member: &Member| member.listed.is_some() || member.heard_ms + FORGET_MS > now_ms;
        let gone = self.others.iter().filter(|(_, member)| !keep(member));
        let gone: Vec<BoxId> = gone.map(|(id, _)| *id).collect();
        self.others.retain(|_, member| keep(member));
        gone
    }

    /// Takes a box's word of itself in. True where it says something new: a new life, or that it
    /// leaves. The word of an earlier life counts for nothing.
    pub fn heard(&mut self, card: BoxCard, now_ms: u64) -> bool {
        if card.id == self.own.id {
            return false;
        }
        let Some(member) = self.others.get_mut(&card.id) else {
            let member = Member {
                card,
                listed: None,
                heard_ms: now_ms,
                suspect_until_ms: 0,
            };
            self.others.insert(card.id, member);
            return true;
        };
        if card.life < member.card.life {
            return false;
        }
        member.heard_ms = now_ms;
        member.suspect_until_ms = 0;
        let new_life = card.life > member.card.life;
        let leaves = card.leaving && !member.card.leaving;
        if new_life || leaves {
            member.card = card;
        }
        new_life || leaves
    }

    /// Notes that a box gave no answer.
    pub fn suspect(&mut self, id: BoxId, now_ms: u64) {
        if let Some(member) = self.others.get_mut(&id) {
            member.suspect_until_ms = now_ms + SUSPECT_MS;
        }
    }

    /// Boxes that may hold roles, sorted; this box among them unless it leaves.
    pub fn usable(&self, now_ms: u64) -> Vec<BoxId> {
        let others = self
            .others
            .values()
            .filter(|member| is_usable(member, now_ms));
        let mut ids: Vec<BoxId> = others.map(|member| member.card.id).collect();
        if !self.own.leaving {
            ids.push(self.own.id);
        }
        ids.sort_unstable();
        ids
    }

    /// The same, of one data centre.
    pub fn usable_in(&self, data_centre: DataCentreId, now_ms: u64) -> Vec<BoxId> {
        let place = |id: BoxId| match id == self.own.id {
            true => Some(self.own.data_centre),
            false => self.others.get(&id).map(|member| member.card.data_centre),
        };
        let usable = self.usable(now_ms);
        usable
            .into_iter()
            .filter(|id| place(*id) == Some(data_centre))
            .collect()
    }

    /// The data centres in which there are boxes, sorted.
    pub fn data_centres(&self) -> Vec<DataCentreId> {
        let others = self.others.values().map(|member| member.card.data_centre);
        let mut all: Vec<DataCentreId> = others.collect();
        all.push(self.own.data_centre);
        all.sort_unstable();
        all.dedup();
        all
    }

    /// All boxes that are known, this one left out.
    pub fn known(&self, now_ms: u64) -> Vec<Known> {
        let known = self.others.values().map(|member| Known {
            id: member.card.id,
            address: member.card.address,
            leaving: is_leaving(member),
            suspect: member.suspect_until_ms > now_ms,
        });
        let mut known: Vec<Known> = known.collect();
        known.sort_unstable_by_key(|member| member.id);
        known
    }

    /// The life in which a box was last heard of.
    pub fn life_of(&self, id: BoxId) -> Option<BoxIncarnation> {
        self.others.get(&id).map(|member| member.card.life)
    }
}

fn is_leaving(member: &Member) -> bool {
    member.card.leaving || member.listed == Some(ListedState::Leaving)
}

fn is_usable(member: &Member, now_ms: u64) -> bool {
    !is_leaving(member) && member.suspect_until_ms <= now_ms
}

fn unheard_card(listed: &ListedBox) -> BoxCard {
    BoxCard {
        id: listed.id,
        life: BoxIncarnation(0),
        address: listed.address,
        data_centre: listed.data_centre,
        leaving: false,
    }
}

#[cfg(test)]
#[path = "members_tests.rs"]
mod tests;
