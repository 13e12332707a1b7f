//! The box list, from box keys in the store and from gossip, and which box holds a role. An expired key does not prove that a
//! box is dead, nor a valid key that it is alive: a box that does not answer is suspected for a while and holds no role.

use crate::membership::ranking::Ranking;
use peers::FleetCard;
use policy::rendezvous_owner;
use prelude::{BoxId, DataCentreId};
use rand::seq::SliceRandom;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// How long a box must have left calls without an answer, after its last contact, to be suspected, in ms. A box that is
/// not scheduled for a moment answers the next call.
const MIN_SILENCE_MS: u64 = 240;
/// How long a box that did not answer is suspected and holds no role, in ms; doubled with each further failure.
const SUSPICION_MS: u64 = 1_000;
const SUSPICION_MAX_MS: u64 = 16_000;
/// A box without a key that was not in contact for this long is removed from the list, in ms.
pub(super) const SILENCE_TIMEOUT_MS: u64 = 10_000;
/// Placeholder for the incarnation in the card of a box's key, since a previous incarnation may have written the key.
pub(crate) const INCARNATION_UNKNOWN: u32 = 0;
/// How long the platform may still route connections to a box that is stopping: it polls readiness every second, and acts on the
/// second negative answer.
const PLATFORM_REMOVAL_MS: u64 = 2_000;
/// Interval at which each box reads all box keys in a small fleet.
pub(crate) const LIST_INTERVAL_MS: u64 = 30_000;
/// Up to this many boxes poll the store at full rate; larger fleets poll proportionally less often.
const FULL_RATE_READERS: usize = 64;
const INTERVAL_FACTOR_MAX: usize = 16;
/// How long the largest number of boxes is remembered for shared budgets, in ms.
const PEAK_COUNT_KEPT_MS: u64 = 15_000;

#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) card: FleetCard,
    pub(super) keyed: bool,
    pub(super) last_seen_ms: u64,
    pub(super) suspected_until_ms: u64,
    pub(super) failures: u32,
    /// Since when the box has left calls without an answer, in ms; none since its last contact.
    pub(super) unanswered_since_ms: Option<u64>,
    /// Since when the box is known to be stopping gracefully, in ms.
    pub(super) stopping_since_ms: Option<u64>,
}

impl Member {
    /// Whether the box may hold a role: not stopping, not suspected, and with a key or recent contact.
    pub(super) fn is_eligible(&self, now_ms: u64) -> bool {
        let known = self.keyed || self.last_seen_ms + SILENCE_TIMEOUT_MS > now_ms;
        !self.card.leaving && self.suspected_until_ms <= now_ms && known
    }
}

/// The boxes of the fleet, as this box knows them.
#[derive(Clone, Debug)]
pub(crate) struct Members {
    pub(super) own_id: BoxId,
    pub(super) own_link_mbps: u32,
    pub(super) others: HashMap<BoxId, Member>,
    peak_count: usize,
    peak_count_ms: u64,
    store_follower_ms: u64,
    contact_ms: u64,
    /// Total number of boxes examined for rankings.
    pub(super) ranking_checks: Cell<u64>,
    /// Rankings by role and by whether this box is leaving: computed on demand, and cached until the box list changes.
    pub(super) rankings: RefCell<HashMap<(u64, bool), Ranking>>,
}

/// Effect of a card or a contact on the box list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemberUpdate {
    /// The box was known, and holds the same roles.
    Unchanged,
    /// The box was known, and regained or lost its roles.
    RolesChanged,
    /// The box is new, or has a new incarnation or address.
    New,
}

fn is_same_incarnation(known: &FleetCard, card: &FleetCard) -> bool {
    let incarnations = [known.life, card.life];
    let are_known = !incarnations.contains(&INCARNATION_UNKNOWN);
    known.address == card.address && (!are_known || known.life == card.life)
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

    /// Adds or updates a box by its card, from its key in the store (`keyed`) or from gossip.
    pub(crate) fn upsert(&mut self, card: FleetCard, keyed: bool, now_ms: u64) -> MemberUpdate {
        if card.id == self.own_id {
            return MemberUpdate::Unchanged;
        }
        let known = self.others.get(&card.id);
        let same_incarnation = known.is_some_and(|known| is_same_incarnation(&known.card, &card));
        let before = known.map(|known| (known.card.life, known.card.leaving));
        let was_eligible = known.map(|known| (known.is_eligible(now_ms), known.card.link_mbps));
        let member = self.others.entry(card.id).or_insert_with(|| Member {
            card: card.clone(),
            keyed,
            last_seen_ms: now_ms,
            suspected_until_ms: 0,
            failures: 0,
            unanswered_since_ms: None,
            stopping_since_ms: None,
        });
        let changes_roles =
            member.suspected_until_ms > now_ms || card.leaving != member.card.leaving;
        let stopping_since = card.leaving.then_some(now_ms);
        member.stopping_since_ms = match same_incarnation {
            true => member.stopping_since_ms.or(stopping_since),
            false => stopping_since,
        };
        member.card = card;
        if let Some((incarnation, leaving)) = before.filter(|_| same_incarnation)
            && member.card.life == INCARNATION_UNKNOWN
        {
            member.card.life = incarnation;
            member.card.leaving |= leaving;
        }
        member.keyed |= keyed;
        if !keyed {
            self.contact_ms = now_ms;
        }
        if !keyed || !same_incarnation {
            member.last_seen_ms = now_ms;
            member.suspected_until_ms = 0;
            member.failures = 0;
            member.unanswered_since_ms = None;
        }
        let is_eligible = Some((member.is_eligible(now_ms), member.card.link_mbps));
        if was_eligible != is_eligible {
            self.invalidate_rankings();
        }
        self.update_peak_count(now_ms);
        match same_incarnation {
            true if changes_roles && !keyed => MemberUpdate::RolesChanged,
            true => MemberUpdate::Unchanged,
            false => MemberUpdate::New,
        }
    }

    /// Sets which boxes have a key in the store.
    pub(crate) fn set_keyed(&mut self, ids: &[BoxId]) {
        let ids: HashSet<BoxId> = ids.iter().copied().collect();
        for (id, member) in &mut self.others {
            member.keyed = ids.contains(id);
        }
        self.invalidate_rankings();
    }

    /// Records that a box answered, which ends its suspicion. Returns whether it regained its roles.
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
        member.unanswered_since_ms = None;
        if !was_eligible {
            self.invalidate_rankings();
        }
        match changes_roles {
            true => MemberUpdate::RolesChanged,
            false => MemberUpdate::Unchanged,
        }
    }

    /// Records that a box did not answer a call in time; the answer was due `late_ms` ago. Suspects the box if it has been
    /// silent for `MIN_SILENCE_MS`. Returns whether it is suspected.
    pub(crate) fn record_timeout(&mut self, id: BoxId, late_ms: u64, now_ms: u64) -> bool {
        let Some(member) = self.others.get_mut(&id) else {
            return false;
        };
        let due_ms = now_ms.saturating_sub(late_ms);
        let since_ms = *member.unanswered_since_ms.get_or_insert(due_ms);
        let is_silent = since_ms + MIN_SILENCE_MS <= now_ms;
        if is_silent {
            self.record_failure(id, now_ms);
        }
        is_silent
    }

    /// Records that a box cannot be reached or has been silent, and suspects it for a while.
    pub(crate) fn record_failure(&mut self, id: BoxId, now_ms: u64) {
        if let Some(member) = self.others.get_mut(&id) {
            let suspicion_ms = (SUSPICION_MS << member.failures.min(8)).min(SUSPICION_MAX_MS);
            member.failures += 1;
            member.suspected_until_ms = now_ms + suspicion_ms;
            self.invalidate_rankings();
        }
    }

    /// Removes boxes that have no key and were not in contact for `SILENCE_TIMEOUT_MS`. Returns them.
    pub(crate) fn expire_silent(&mut self, now_ms: u64) -> Vec<BoxId> {
        let is_silent =
            |member: &Member| !member.keyed && member.last_seen_ms + SILENCE_TIMEOUT_MS < now_ms;
        let gone = self.others.iter().filter(|(_, member)| is_silent(member));
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

    /// All other known boxes, sorted.
    pub(crate) fn others(&self) -> Vec<BoxId> {
        let mut ids: Vec<BoxId> = self.others.keys().copied().collect();
        ids.sort();
        ids
    }

    /// The other boxes of a data centre, sorted.
    pub(crate) fn others_in(&self, data_centre: &str) -> Vec<BoxId> {
        let is_near = |member: &&Member| &*member.card.data_centre == data_centre;
        let near = self.others.values().filter(is_near);
        let mut ids: Vec<BoxId> = near.map(|member| member.card.id).collect();
        ids.sort();
        ids
    }

    /// All other boxes, grouped by data centre. In each data centre the boxes that answer and have the widest links come first,
    /// since they forward broadcasts.
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
        let data_centre_of = |member: &Member| DataCentreId::from_name(&member.card.data_centre);
        members
            .into_iter()
            .map(|member| (member.card.id, data_centre_of(member)))
            .collect()
    }

    /// The cards of up to `max_cards` other boxes: half of them with the widest links, which tend to hold roles, the rest random.
    pub(crate) fn cards(&self, max_cards: usize) -> Vec<FleetCard> {
        let mut cards: Vec<&FleetCard> = self.others.values().map(|member| &member.card).collect();
        if cards.len() > max_cards {
            cards.sort_by_key(|card| Reverse(card.link_mbps));
            cards[max_cards / 2..].shuffle(&mut rand::rng());
            cards.truncate(max_cards);
        }
        cards.into_iter().cloned().collect()
    }

    /// Records how many other boxes a peer knows; this box may not have met all of them yet.
    pub(crate) fn record_reported_count(&mut self, others: u32, now_ms: u64) {
        let count = others as usize + 1;
        if count >= self.peak_count {
            self.peak_count = count;
            self.peak_count_ms = now_ms;
        }
    }

    /// The boxes that may serve requests of this box's callers: id, address for callers, and whether they are in the given data
    /// centre.
    pub(crate) fn relay_candidates(
        &self,
        data_centre: &str,
        now_ms: u64,
    ) -> Vec<(BoxId, SocketAddr, bool)> {
        let eligible = self.others.values().filter(|one| one.is_eligible(now_ms));
        let candidate = |member: &Member| {
            let card = &member.card;
            Some((
                card.id,
                card.callers_address?,
                &*card.data_centre == data_centre,
            ))
        };
        eligible.filter_map(candidate).collect()
    }

    /// The other boxes that are eligible for roles.
    pub(crate) fn eligible_others(&self, now_ms: u64) -> impl Iterator<Item = &FleetCard> {
        let eligible = move |member: &&Member| member.is_eligible(now_ms);
        self.others
            .values()
            .filter(eligible)
            .map(|member| &member.card)
    }

    /// The card of one box.
    pub(crate) fn card(&self, id: BoxId) -> Option<&FleetCard> {
        self.others.get(&id).map(|member| &member.card)
    }

    /// The box that holds a role: the rendezvous owner among the eligible boxes of a data centre, or among all eligible boxes if it
    /// has none. This box takes part if `own_data_centre` is given. None if no box is eligible.
    pub(crate) fn role_holder_near(
        &self,
        role: u64,
        data_centre: DataCentreId,
        own_data_centre: Option<DataCentreId>,
        now_ms: u64,
    ) -> Option<BoxId> {
        let others = self
            .others
            .values()
            .filter(|member| member.is_eligible(now_ms));
        let data_centre_of = |member: &Member| DataCentreId::from_name(&member.card.data_centre);
        let others = others.map(|member| (member.card.id, data_centre_of(member)));
        let eligible = others.chain(own_data_centre.map(|data_centre| (self.own_id, data_centre)));
        let near = eligible.clone().filter(|(_, other)| *other == data_centre);
        let near = rendezvous_owner(role, near.map(|(id, _)| id));
        near.or_else(|| rendezvous_owner(role, eligible.map(|(id, _)| id)))
    }

    /// Number of boxes that are eligible for roles, including this one.
    pub(crate) fn eligible_count(&self, now_ms: u64) -> usize {
        let others = self.others.values();
        others.filter(|member| member.is_eligible(now_ms)).count() + 1
    }

    /// Total number of boxes examined for rankings, as a measure of their cost.
    #[cfg(test)]
    pub(crate) fn ranking_checks(&self) -> u64 {
        self.ranking_checks.get()
    }

    /// Records gossip from a box that follows the store.
    pub(crate) fn record_store_follower(&mut self, now_ms: u64) {
        self.store_follower_ms = now_ms;
    }

    /// Time of the last gossip from a box that follows the store, in ms.
    pub(crate) fn store_follower_seen_ms(&self) -> u64 {
        self.store_follower_ms
    }

    /// Time at which a box last answered or called this one, in ms; none if the box is not known.
    pub(crate) fn last_seen_ms(&self, id: BoxId) -> Option<u64> {
        self.others.get(&id).map(|member| member.last_seen_ms)
    }

    /// Time at which any box last answered or called this one, in ms.
    pub(crate) fn last_contact_ms(&self) -> u64 {
        self.contact_ms
    }

    /// Probability that a caller which this box turns away, and which reconnects at once, reaches a box that is not stopping. The
    /// platform still routes connections to a stopping box until it has polled it twice, and to all boxes that listen if fewer than
    /// half are not stopping.
    pub(crate) fn reconnect_chance(&self, now_ms: u64) -> f64 {
        let is_alive =
            |member: &&Member| member.keyed || member.last_seen_ms + SILENCE_TIMEOUT_MS > now_ms;
        let staying = self.others.values().filter(is_alive);
        let staying = staying
            .filter(|member| member.stopping_since_ms.is_none())
            .count();
        let all_routed = staying * 2 < self.others.len() + 1;
        let is_routed = |member: &&Member| {
            let since_ms = member.stopping_since_ms;
            since_ms.is_some_and(|since_ms| all_routed || since_ms + PLATFORM_REMOVAL_MS > now_ms)
        };
        let stopping = self.others.values().filter(is_routed).count();
        match staying + stopping {
            0 => 0.0,
            candidates => staying as f64 / candidates as f64,
        }
    }

    /// Time at which the first of the stopping other boxes began to stop, in ms.
    pub(crate) fn first_stop_ms(&self) -> Option<u64> {
        let stopping_since = self.others.values().map(|member| member.stopping_since_ms);
        stopping_since.flatten().min()
    }

    /// Whether to read all box keys again, `read_ms_ago` ms after the last read. The interval is short while a peer knows of more
    /// boxes than this one. Otherwise it grows with the number of boxes, so that the reads of all boxes don't grow quadratically.
    pub(crate) fn is_list_due(&self, read_ms_ago: u64) -> bool {
        let has_unmet_boxes = self.others.len() + 1 < self.peak_count;
        let factor = match has_unmet_boxes {
            true => 1,
            false => self.interval_factor(),
        };
        read_ms_ago >= LIST_INTERVAL_MS * factor
    }

    /// Factor by which each box lengthens the intervals of its periodic store calls compared with a small fleet. It depends on
    /// `peak_box_count`, and so includes boxes reported by peers.
    pub(crate) fn interval_factor(&self) -> u64 {
        (self.peak_box_count() / FULL_RATE_READERS).clamp(1, INTERVAL_FACTOR_MAX) as u64
    }

    /// Largest recent number of boxes, by which shared budgets are divided. Includes boxes that only peers know.
    pub(crate) fn peak_box_count(&self) -> usize {
        self.peak_count.max(self.others.len() + 1)
    }

    /// A copy without cached rankings.
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
