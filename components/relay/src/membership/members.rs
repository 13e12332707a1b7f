//! Which boxes there are, from their keys in the store and from their own word, and which of them holds a
//! role. A lapsed key is no proof of death, and a live key no proof of life: a box that does not answer is
//! passed over for a while.

use crate::membership::ranking::Ranking;
use peers::FleetCard;
use policy::rendezvous_owner;
use prelude::{BoxId, DataCentreId};
use rand::seq::SliceRandom;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

/// A box that did not answer holds no role for this long; twice as long with each further failure.
const SUSPICION_MS: u64 = 1_000;
const SUSPICION_MAX_MS: u64 = 16_000;
/// A box whose key is gone and that says nothing is forgotten after this time.
pub(super) const SILENCE_TIMEOUT_MS: u64 = 10_000;
/// The life in a box's key, which may have been written by another one.
pub(crate) const INCARNATION_UNKNOWN: u32 = 0;
/// How long the platform may still send channels to a box that stops: it asks each second, and believes the second
/// answer.
const PLATFORM_REMOVAL_MS: u64 = 2_000;
/// How often the keys of all boxes are read where they are few.
pub(crate) const LIST_INTERVAL_MS: u64 = 30_000;
/// As many boxes read as often as that; more share it.
const FULL_RATE_READERS: usize = 64;
const INTERVAL_FACTOR_MAX: usize = 16;
/// The number of boxes among which the budget is shared falls only after this time.
const PEAK_COUNT_KEPT_MS: u64 = 15_000;

#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) card: FleetCard,
    pub(super) keyed: bool,
    pub(super) last_seen_ms: u64,
    pub(super) suspected_until_ms: u64,
    pub(super) failures: u32,
    /// Since when it is known to stop by plan.
    pub(super) stopping_since_ms: Option<u64>,
}

impl Member {
    /// Whether it may hold a role, as far as it is known.
    pub(super) fn is_eligible(&self, now_ms: u64) -> bool {
        let known = self.keyed || self.last_seen_ms + SILENCE_TIMEOUT_MS > now_ms;
        !self.card.leaving && self.suspected_until_ms <= now_ms && known
    }
}

/// The boxes of a fleet.
#[derive(Clone, Debug)]
pub(crate) struct Members {
    pub(super) own_id: BoxId,
    pub(super) own_link_mbps: u32,
    pub(super) others: HashMap<BoxId, Member>,
    peak_count: usize,
    peak_count_ms: u64,
    store_follower_ms: u64,
    contact_ms: u64,
    /// Boxes that were looked at to rank them, each time counted.
    pub(super) ranking_checks: Cell<u64>,
    /// Who holds which role, and whether this box may: worked out where it is asked, and kept until a box changes.
    pub(super) rankings: RefCell<HashMap<(u64, bool), Ranking>>,
}

/// What a card changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemberUpdate {
    /// It was known.
    Unchanged,
    /// It was known, and holds roles again or no more.
    RolesChanged,
    /// The box is new, or has a new life or address.
    New,
}

fn is_same_incarnation(known: &FleetCard, card: &FleetCard) -> bool {
    let lives = [known.life, card.life];
    let is_told = !lives.contains(&INCARNATION_UNKNOWN);
    known.address == card.address && (!is_told || known.life == card.life)
}

impl Members {
    pub(crate) fn new(own_id: BoxId, own_link_mbps: u32) -> Self {
        Self {
            own_id,
            own_link_mbps,
            others: HashMap::new(),
            peak_count: 1,
            peak_count_ms: 0,
            store_follower_ms: 0,
            contact_ms: 0,
            ranking_checks: Cell::default(),
            rankings: RefCell::default(),
        }
    }

    /// Sets the bandwidth of this box's own link.
    pub(crate) fn set_link(&mut self, link_mbps: u32) {
        self.own_link_mbps = link_mbps;
        self.invalidate_rankings();
    }

    /// Takes the card of a box in, from its key or from its own word.
    pub(crate) fn upsert(&mut self, card: FleetCard, keyed: bool, now_ms: u64) -> MemberUpdate {
        if card.id == self.own_id {
            return MemberUpdate::Unchanged;
        }
        let known = self.others.get(&card.id);
        let same = known.is_some_and(|known| is_same_incarnation(&known.card, &card));
        let before = known.map(|known| (known.card.life, known.card.leaving));
        let was_eligible = known.map(|known| (known.is_eligible(now_ms), known.card.link_mbps));
        let member = self.others.entry(card.id).or_insert_with(|| Member {
            card: card.clone(),
            keyed,
            last_seen_ms: now_ms,
            suspected_until_ms: 0,
            failures: 0,
            stopping_since_ms: None,
        });
        let changes_roles =
            member.suspected_until_ms > now_ms || card.leaving != member.card.leaving;
        let stops = card.leaving.then_some(now_ms);
        member.stopping_since_ms = match same {
            true => member.stopping_since_ms.or(stops),
            false => stops,
        };
        member.card = card;
        if let Some((life, leaving)) = before.filter(|_| same)
            && member.card.life == INCARNATION_UNKNOWN
        {
            member.card.life = life;
            member.card.leaving |= leaving;
        }
        member.keyed |= keyed;
        if !keyed {
            self.contact_ms = now_ms;
        }
        if !keyed || !same {
            member.last_seen_ms = now_ms;
            member.suspected_until_ms = 0;
            member.failures = 0;
        }
        let is_eligible = Some((member.is_eligible(now_ms), member.card.link_mbps));
        if was_eligible != is_eligible {
            self.invalidate_rankings();
        }
        self.update_peak_count(now_ms);
        match same {
            true if changes_roles && !keyed => MemberUpdate::RolesChanged,
            true => MemberUpdate::Unchanged,
            false => MemberUpdate::New,
        }
    }

    /// Keeps the keys of just these boxes.
    pub(crate) fn set_keyed(&mut self, ids: &[BoxId]) {
        let ids: HashSet<BoxId> = ids.iter().copied().collect();
        for (id, member) in &mut self.others {
            member.keyed = ids.contains(id);
        }
        self.invalidate_rankings();
    }

    /// Notes that a box answered. Says whether it holds roles again.
    pub(crate) fn record_contact(&mut self, id: BoxId, now_ms: u64) -> MemberUpdate {
        self.contact_ms = now_ms;
        let Some(member) = self.others.get_mut(&id) else {
            return MemberUpdate::Unchanged;
        };
        let changes_roles = member.suspected_until_ms > now_ms;
        let was_eligible = member.is_eligible(now_ms);
        member.last_seen_ms = now_ms;
        member.suspected_until_ms = 0;
        member.failures = 0;
        if !was_eligible {
            self.invalidate_rankings();
        }
        match changes_roles {
            true => MemberUpdate::RolesChanged,
            false => MemberUpdate::Unchanged,
        }
    }

    /// Notes that a box did not answer.
    pub(crate) fn record_failure(&mut self, id: BoxId, now_ms: u64) {
        if let Some(member) = self.others.get_mut(&id) {
            let suspicion_ms = (SUSPICION_MS << member.failures.min(8)).min(SUSPICION_MAX_MS);
            member.failures += 1;
            member.suspected_until_ms = now_ms + suspicion_ms;
            self.invalidate_rankings();
        }
    }

    /// Forgets boxes that have neither a key nor a word. Says which.
    pub(crate) fn expire_silent(&mut self, now_ms: u64) -> Vec<BoxId> {
        let silent =
            |member: &Member| !member.keyed && member.last_seen_ms + SILENCE_TIMEOUT_MS < now_ms;
        let gone = self.others.iter().filter(|(_, member)| silent(member));
        let gone: Vec<BoxId> = gone.map(|(id, _)| *id).collect();
        for id in &gone {
            self.others.remove(id);
        }
        if !gone.is_empty() {
            self.invalidate_rankings();
        }
        self.update_peak_count(now_ms);
        gone
    }

    /// All other boxes that are known.
    pub(crate) fn others(&self) -> Vec<BoxId> {
        let mut ids: Vec<BoxId> = self.others.keys().copied().collect();
        ids.sort();
        ids
    }

    /// The other boxes of a data centre.
    pub(crate) fn others_in(&self, data_centre: &str) -> Vec<BoxId> {
        let there = |member: &&Member| &*member.card.data_centre == data_centre;
        let near = self.others.values().filter(there);
        let mut ids: Vec<BoxId> = near.map(|member| member.card.id).collect();
        ids.sort();
        ids
    }

    /// All other boxes with their data centres, those of one together, and in each first those that answer and have
    /// the widest links: they pass on what they are told.
    pub(crate) fn broadcast_order(&self, now_ms: u64) -> Vec<(BoxId, DataCentreId)> {
        let mut members: Vec<&Member> = self.others.values().collect();
        members.sort_by_key(|member| {
            let card = &member.card;
            let is_suspected = member.suspected_until_ms > now_ms;
            (
                &card.data_centre,
                is_suspected,
                Reverse(card.link_mbps),
                card.id,
            )
        });
        let place = |member: &Member| DataCentreId::from_name(&member.card.data_centre);
        members
            .into_iter()
            .map(|member| (member.card.id, place(member)))
            .collect()
    }

    /// The cards of other boxes, `most` of them: half of these with the widest links, who hold roles, the others drawn.
    pub(crate) fn cards(&self, most: usize) -> Vec<FleetCard> {
        let mut cards: Vec<&FleetCard> = self.others.values().map(|member| &member.card).collect();
        if cards.len() > most {
            cards.sort_by_key(|card| Reverse(card.link_mbps));
            cards[most / 2..].shuffle(&mut rand::rng());
            cards.truncate(most);
        }
        cards.into_iter().cloned().collect()
    }

    /// Notes how many others another box knows: this one may not have met them all yet.
    pub(crate) fn record_reported_count(&mut self, others: u32, now_ms: u64) {
        let count = others as usize + 1;
        if count >= self.peak_count {
            self.peak_count = count;
            self.peak_count_ms = now_ms;
        }
    }

    /// The card of one box.
    pub(crate) fn card(&self, id: BoxId) -> Option<&FleetCard> {
        self.others.get(&id).map(|member| &member.card)
    }

    /// The box that holds a role among those of a data centre, or among all where none there can; this one counts with
    /// its own data centre `me`, if any. None where there is no box.
    pub(crate) fn role_holder_near(
        &self,
        role: u64,
        data_centre: DataCentreId,
        me: Option<DataCentreId>,
        now_ms: u64,
    ) -> Option<BoxId> {
        let others = self
            .others
            .values()
            .filter(|member| member.is_eligible(now_ms));
        let place = |member: &Member| DataCentreId::from_name(&member.card.data_centre);
        let others = others.map(|member| (member.card.id, place(member)));
        let able = others.chain(me.map(|place| (self.own_id, place)));
        let near = able.clone().filter(|(_, place)| *place == data_centre);
        let near = rendezvous_owner(role, near.map(|(id, _)| id));
        near.or_else(|| rendezvous_owner(role, able.map(|(id, _)| id)))
    }

    /// How many boxes can hold a role, this one counted.
    pub(crate) fn eligible_count(&self, now_ms: u64) -> usize {
        let others = self.others.values();
        others.filter(|member| member.is_eligible(now_ms)).count() + 1
    }

    /// How many boxes were looked at to rank them, each time counted: what asking who holds a role costs grows with it.
    #[cfg(test)]
    pub(crate) fn ranking_checks(&self) -> u64 {
        self.ranking_checks.get()
    }

    /// Notes that a box that follows the store said so.
    pub(crate) fn record_store_follower(&mut self, now_ms: u64) {
        self.store_follower_ms = now_ms;
    }

    /// When a box that follows the store last said so.
    pub(crate) fn store_follower_seen_ms(&self) -> u64 {
        self.store_follower_ms
    }

    /// When any box last answered or called this one.
    pub(crate) fn last_contact_ms(&self) -> u64 {
        self.contact_ms
    }

    /// How likely a caller that this box sends away, and that comes back at once, finds a box that does not stop,
    /// between 0 and 1. The platform still sends channels to boxes that stop until it has asked them twice, and to
    /// all that listen where fewer than half do not stop.
    pub(crate) fn reconnect_chance(&self, now_ms: u64) -> f64 {
        let lives =
            |member: &&Member| member.keyed || member.last_seen_ms + SILENCE_TIMEOUT_MS > now_ms;
        let up = self.others.values().filter(lives);
        let up = up
            .filter(|member| member.stopping_since_ms.is_none())
            .count();
        let all_in = up * 2 < self.others.len() + 1;
        let still_in = |member: &&Member| {
            let since_ms = member.stopping_since_ms;
            since_ms.is_some_and(|since_ms| all_in || since_ms + PLATFORM_REMOVAL_MS > now_ms)
        };
        let stopping = self.others.values().filter(still_in).count();
        match up + stopping {
            0 => 0.0,
            asked => up as f64 / asked as f64,
        }
    }

    /// Since when the first of the other boxes that stop does.
    pub(crate) fn first_stop_ms(&self) -> Option<u64> {
        let stops = self.others.values().map(|member| member.stopping_since_ms);
        stops.flatten().min()
    }

    /// Whether the keys of all boxes are to be read, where they were read so long ago: often while another box knows of more
    /// than this one, and otherwise the less often the more there are, so that what all read does not grow with their square.
    pub(crate) fn is_list_due(&self, read_ms_ago: u64) -> bool {
        let knows_less = self.others.len() + 1 < self.peak_count;
        let times = match knows_less {
            true => 1,
            false => self.interval_factor(),
        };
        read_ms_ago >= LIST_INTERVAL_MS * times
    }

    /// By how much less often than a few boxes each of so many asks the store for what all of them ask for. Boxes that others
    /// told of count, also those that this one has not met yet.
    pub(crate) fn interval_factor(&self) -> u64 {
        (self.peak_box_count() / FULL_RATE_READERS).clamp(1, INTERVAL_FACTOR_MAX) as u64
    }

    /// Among how many boxes a shared budget is divided: the most that there were lately.
    pub(crate) fn peak_box_count(&self) -> usize {
        self.peak_count.max(self.others.len() + 1)
    }

    /// The same boxes, with nothing worked out of them.
    #[cfg(test)]
    fn without_cache(&self) -> Self {
        Self {
            rankings: RefCell::default(),
            ..self.clone()
        }
    }

    fn update_peak_count(&mut self, now_ms: u64) {
        let count = self.others.len() + 1;
        if count >= self.peak_count || self.peak_count_ms + PEAK_COUNT_KEPT_MS < now_ms {
            self.peak_count = count;
            self.peak_count_ms = now_ms;
        }
    }
}

#[cfg(test)]
#[path = "members_tests.rs"]
mod tests;
