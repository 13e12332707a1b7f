//! Requests that wait for a permit, by account and rank.
//!
//! The more urgent rank goes first. A request that would miss its goal goes next although more urgent ones wait, at most
//! once in [`GRANTS_PER_TURN`] grants: a more urgent caller waits for one grant in ten more, and a less urgent one is not
//! left out for ever. Requests of an account that floods go behind all others. Within a rank the account that was served
//! least goes first. Within an account the request whose caller leaves first goes first, then the one that has to begin first: a
//! caller that came back after a refusal has the least time left, and a second refusal is mostly final.

use crate::admission::forward::ForwardRun;
use crate::admission::outlook::{Before, Need};
use crate::demand::{Demand, RANK_COUNT};
use crate::fairness::tree::{FairTree, Share};
use prelude::{AccountId, PermitId};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Of so many grants one may go to a less urgent request that would miss its goal. More urgent ones then get nine of ten.
const GRANTS_PER_TURN: u32 = 10;
/// A request that must begin within this time would miss its goal: some looks at the queue, and the way to the engine.
const DUE_AHEAD_MS: u64 = 100;
/// A wait that callers notice: a small part of any goal for a first token.
const LONG_WAIT_MS: u64 = 60;

/// A line of the queue: the requests of one account and rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Place {
    account: AccountId,
    rank: u8,
}

impl Place {
    fn of(demand: &Demand) -> Self {
        Self {
            account: demand.share.account,
            rank: demand.clamped_rank(),
        }
    }
}

/// A request that waits.
#[derive(Clone, Debug)]
struct Waiting {
    demand: Demand,
    /// When it must begin to be read at the latest.
    begins_by_ms: u64,
    /// The memory that it needs.
    need: Need,
}

impl Waiting {
    /// Its order among those of its account and rank.
    fn key(&self) -> (u64, u64, u64) {
        let demand = &self.demand;
        (
            demand.caller_deadline_ms,
            self.begins_by_ms,
            demand.arrived_ms,
        )
    }
}

/// The order in which places are served: those of accounts that flood last, those that get a turn first, then by rank, by
/// service, by when they must begin, and by account, so that the order never hangs on chance.
type Order = (bool, bool, u8, [f64; 3], u64, AccountId);

/// All requests that wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    lines: BTreeMap<Place, VecDeque<Waiting>>,
    len: usize,
    grants_since_turn: u32,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.len
    }

    /// For each rank, whether a request of it waits.
    pub fn ranks(&self) -> [bool; RANK_COUNT] {
        let mut ranks = [false; RANK_COUNT];
        for place in self.lines.keys() {
            ranks[usize::from(place.rank)] = true;
        }
        ranks
    }

    /// How many requests wait that are as urgent as a rank, or more.
    pub fn len_up_to(&self, rank: u8) -> usize {
        let urgent = self.lines.iter().filter(|(at, _)| at.rank <= rank);
        urgent.map(|(_, line)| line.len()).sum()
    }

    /// How many requests of an account wait.
    pub fn len_of(&self, account: AccountId) -> usize {
        let of_account = self.lines.iter().filter(|(at, _)| at.account == account);
        of_account.map(|(_, line)| line.len()).sum()
    }

    /// The account's part of the weights of all accounts that wait, were it to wait too.
    pub fn weight_part(&self, share: &Share) -> f64 {
        let weight =
            |share: &Share| share.partner_weight * share.owner_weight * share.account_weight;
        let mut others = 0.0;
        let mut last = None;
        for (place, line) in &self.lines {
            let is_counted = last == Some(place.account) || place.account == share.account;
            last = Some(place.account);
            if let Some(front) = line.front().filter(|_| !is_counted) {
                others += weight(&front.demand.share);
            }
        }
        weight(share) / (weight(share) + others)
    }

    /// Adds a request, whose prompt must begin to be read by `begins_by_ms`, to its line: by when callers leave, then by when
    /// they must begin, then by when they came, as boxes ask a new dispatcher in any order.
    pub fn push(&mut self, demand: Demand, begins_by_ms: u64, need: Need) {
        let line = self.lines.entry(Place::of(&demand)).or_default();
        let waiting = Waiting {
            demand,
            begins_by_ms,
            need,
        };
        let key = waiting.key();
        let at = line.partition_point(|other| other.key() <= key);
        line.insert(at, waiting);
        self.len += 1;
    }

    /// The next place to serve that is not among `passed`.
    pub fn next(&self, tree: &FairTree, passed: &HashSet<Place>, now_ms: u64) -> Option<Place> {
        let mut best: Option<(Order, Place)> = None;
        for (place, line) in &self.lines {
            let Some(front) = line.front().filter(|_| !passed.contains(place)) else {
                continue;
            };
            let share = &front.demand.share;
            let floods = tree.floods(share);
            if tree.is_capped(share, front.demand.prompt_tokens)
                || (floods && tree.is_nearly_full())
            {
                continue;
            }
            let has_turn = self.has_turn(*place, front, now_ms);
            let service = tree.rank(share);
            let order: Order = (
                floods,
                !has_turn,
                place.rank,
                service,
                front.begins_by_ms,
                place.account,
            );
            if best.as_ref().is_none_or(|(other, _)| order < *other) {
                best = Some((order, *place));
            }
        }
        best.map(|(_, place)| place)
    }

    /// Whether a request goes before those that are more urgent.
    fn has_turn(&self, place: Place, front: &Waiting, now_ms: u64) -> bool {
        let is_due = front.begins_by_ms <= now_ms + DUE_AHEAD_MS;
        is_due && self.grants_since_turn + 1 >= GRANTS_PER_TURN && self.is_behind(place.rank)
    }

    /// Whether a place leaves room to a more urgent one that fits nowhere yet: it takes no hole that would become large
    /// enough. Not where it would miss its own goal.
    pub fn gives_way(&self, place: Place, to: Option<Place>, now_ms: u64) -> bool {
        let front = self.lines.get(&place).and_then(VecDeque::front);
        let is_due = front.is_some_and(|front| front.begins_by_ms <= now_ms + DUE_AHEAD_MS);
        !is_due && to.is_some_and(|to| to.rank < place.rank)
    }

    fn is_behind(&self, rank: u8) -> bool {
        self.lines.keys().any(|place| place.rank < rank)
    }

    /// Whether a request of an account that does not flood has waited for long.
    pub fn others_wait(&self, tree: &FairTree, now_ms: u64) -> bool {
        self.lines.values().any(|line| {
            let front = line.front().map(|waiting| &waiting.demand);
            let long = front.filter(|demand| demand.arrived_ms + LONG_WAIT_MS <= now_ms);
            long.is_some_and(|demand| !tree.floods(&demand.share))
        })
    }

    pub fn front(&self, place: Place) -> Option<&Demand> {
        Some(&self.lines.get(&place)?.front()?.demand)
    }

    /// All requests that wait, in the order in which they are about to be served, with the memory that each needs.
    pub fn in_order(&self, tree: &FairTree) -> Vec<(&Demand, &Need)> {
        let mut waiting: Vec<(bool, &Waiting)> = Vec::with_capacity(self.len);
        for line in self.lines.values() {
            let floods = line.front().is_some_and(|w| tree.floods(&w.demand.share));
            waiting.extend(line.iter().map(|waiting| (floods, waiting)));
        }
        waiting.sort_by_key(|(floods, waiting)| {
            let demand = &waiting.demand;
            (*floods, demand.clamped_rank(), waiting.key(), demand.permit)
        });
        let parts = waiting
            .into_iter()
            .map(|(_, waiting)| (&waiting.demand, &waiting.need));
        parts.collect()
    }

    /// What goes before a request that is to be read by a time; its prompts are read in the run.
    pub fn before(
        &self,
        demand: &Demand,
        begins_by_ms: u64,
        tree: &FairTree,
        run: &mut ForwardRun,
    ) -> Before {
        let rank = demand.clamped_rank();
        let mut before = Before::default();
        for other in self.ahead(demand, begins_by_ms, tree) {
            before.add(&other.demand, &other.need, rank);
            run.read(other.demand.prompt_tokens);
        }
        before
    }

    /// The requests that go before one that is to be read by a time.
    pub fn requests_before<'a>(
        &'a self,
        demand: &'a Demand,
        begins_by_ms: u64,
        tree: &'a FairTree,
    ) -> impl Iterator<Item = &'a Demand> {
        let ahead = self.ahead(demand, begins_by_ms, tree);
        ahead.map(|waiting| &waiting.demand)
    }

    fn ahead<'a>(
        &'a self,
        demand: &'a Demand,
        begins_by_ms: u64,
        tree: &'a FairTree,
    ) -> impl Iterator<Item = &'a Waiting> {
        let turn = (tree.floods(&demand.share), demand.clamped_rank());
        let key = (demand.caller_deadline_ms, begins_by_ms, demand.arrived_ms);
        let lines = self.lines.iter().filter_map(move |(place, line)| {
            let floods = tree.floods(&line.front()?.demand.share);
            let other = (floods, place.rank);
            (other <= turn).then_some((other < turn, line))
        });
        lines.flat_map(move |(all, line)| {
            line.iter()
                .take_while(move |other| all || other.key() <= key)
        })
    }

    /// How many requests of a place have waited since `since_ms` or longer, counted up to `most`.
    pub fn count_since(&self, place: Place, since_ms: u64, most: usize) -> usize {
        let line = self.lines.get(&place).into_iter().flatten().take(most);
        line.filter(|waiting| waiting.demand.arrived_ms <= since_ms)
            .count()
    }

    /// Takes the first request of a place for a grant.
    pub fn pop(&mut self, place: Place, now_ms: u64) -> Option<Demand> {
        let front = self.lines.get(&place)?.front()?;
        let has_turn = self.has_turn(place, front, now_ms);
        let line = self.lines.get_mut(&place)?;
        let waiting = line.pop_front()?;
        if line.is_empty() {
            self.lines.remove(&place);
        }
        self.len -= 1;
        self.grants_since_turn = match has_turn {
            true => 0,
            false => self.grants_since_turn.saturating_add(1),
        };
        Some(waiting.demand)
    }

    /// Takes out every request for which `leaves` holds.
    pub fn take_if(&mut self, leaves: impl Fn(&Demand) -> bool) -> Vec<Demand> {
        let mut taken = Vec::new();
        for line in self.lines.values_mut() {
            if !line.iter().any(|waiting| leaves(&waiting.demand)) {
                continue;
            }
            let whole = std::mem::take(line).into_iter();
            let (out, stay): (VecDeque<_>, VecDeque<_>) =
                whole.partition(|waiting| leaves(&waiting.demand));
            *line = stay;
            taken.extend(out.into_iter().map(|waiting| waiting.demand));
        }
        self.lines.retain(|_, line| !line.is_empty());
        // In an order that does not hang on chance.
        taken.sort_by_key(|demand| (demand.arrived_ms, demand.permit));
        self.len -= taken.len();
        taken
    }

    /// Takes out one request.
    pub fn remove(&mut self, permit: PermitId) -> Option<Demand> {
        self.take_if(|demand| demand.permit == permit).pop()
    }

    pub fn contains(&self, permit: PermitId) -> bool {
        let mut waiting = self.lines.values().flatten();
        waiting.any(|waiting| waiting.demand.permit == permit)
    }
}

#[cfg(test)]
#[path = "queue_tests.rs"]
mod tests;
