//! Requests that wait for a permit, by account.

use crate::demand::Demand;
use crate::fairness::tree::{FairTree, Share};
use prelude::{AccountId, PermitId};
use std::collections::{HashMap, HashSet, VecDeque};

/// Urgent requests granted in a row while others wait.
const URGENT_IN_A_ROW: u32 = 4;

/// A wait that callers notice: a small part of any goal for a first token.
const LONG_WAIT_MS: u64 = 60;

#[derive(Clone, Debug)]
struct Line {
    share: Share,
    urgent: VecDeque<Demand>,
    plain: VecDeque<Demand>,
}

impl Line {
    fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.plain.is_empty()
    }

    fn len(&self) -> usize {
        self.urgent.len() + self.plain.len()
    }
}

/// The order in which places are served: those that go later are last, then by service, by time of coming,
/// and by account, so that the order never hangs on chance.
type Rank = (bool, bool, [f64; 3], u64, AccountId);

/// When it is a request's turn: those of accounts that flood last, the urgent first, then those whose callers leave first.
type Turn = (bool, bool, u64);

fn turn_of(demand: &Demand, floods: bool) -> Turn {
    (floods, !demand.is_urgent(), demand.leaves_ms)
}

/// Which line a candidate stands in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Place {
    account: AccountId,
    urgent: bool,
}

/// All requests that wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    lines: HashMap<AccountId, Line>,
    len: usize,
    urgent_in_a_row: u32,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether any of a rank waits.
    pub fn has(&self, urgent: bool) -> bool {
        self.lines.values().any(|line| match urgent {
            true => !line.urgent.is_empty(),
            false => !line.plain.is_empty(),
        })
    }

    /// How many requests of an account wait.
    pub fn len_of(&self, account: AccountId) -> usize {
        self.lines.get(&account).map_or(0, Line::len)
    }

    /// The account's part of the weights of all accounts that wait, were it to wait too.
    pub fn weight_part(&self, share: &Share) -> f64 {
        let weight =
            |share: &Share| share.partner_weight * share.owner_weight * share.account_weight;
        let others = self
            .lines
            .iter()
            .filter(|(account, _)| **account != share.account);
        let others: f64 = others.map(|(_, line)| weight(&line.share)).sum();
        weight(share) / (weight(share) + others)
    }

    /// Takes a request in, before those of its account and rank whose callers leave later: who comes back after a refusal
    /// has the least time left.
    pub fn push(&mut self, demand: Demand) {
        let line = self
            .lines
            .entry(demand.share.account)
            .or_insert_with(|| Line {
                share: demand.share,
                urgent: VecDeque::new(),
                plain: VecDeque::new(),
            });
        line.share = demand.share;
        let waiting = match demand.is_urgent() {
            true => &mut line.urgent,
            false => &mut line.plain,
        };
        // A dispatcher that is new is asked in any order: the time of coming keeps the place in line.
        let place = (demand.leaves_ms, demand.since_ms);
        let at = waiting.partition_point(|other| (other.leaves_ms, other.since_ms) <= place);
        waiting.insert(at, demand);
        self.len += 1;
    }

    /// The next place to serve that is not among `passed`: urgent requests first, within bounds, then
    /// the account that was served least, then the request that came first.
    pub fn next(&self, tree: &FairTree, passed: &HashSet<Place>) -> Option<Place> {
        let bounded = self.urgent_in_a_row >= URGENT_IN_A_ROW;
        let mut best: Option<(Rank, Place)> = None;
        for (account, line) in &self.lines {
            let rank = tree.rank(&line.share);
            let floods = tree.floods(&line.share);
            for (urgent, waiting) in [(true, &line.urgent), (false, &line.plain)] {
                let place = Place {
                    account: *account,
                    urgent,
                };
                let Some(front) = waiting.front().filter(|_| !passed.contains(&place)) else {
                    continue;
                };
                if tree.is_capped(&line.share, front.prompt_tokens)
                    || (floods && tree.is_nearly_full())
                {
                    continue;
                }
                let rank: Rank = (floods, urgent == bounded, rank, front.since_ms, *account);
                if best.as_ref().is_none_or(|(other, _)| rank < *other) {
                    best = Some((rank, place));
                }
            }
        }
        best.map(|(_, place)| place)
    }

    /// Whether a request of an account that does not flood has waited for long.
    pub fn others_wait(&self, tree: &FairTree, now_ms: u64) -> bool {
        let is_long = |demand: &Demand| demand.since_ms + LONG_WAIT_MS <= now_ms;
        self.lines.values().any(|line| {
            let mut fronts = line.urgent.front().into_iter().chain(line.plain.front());
            fronts.any(is_long) && !tree.floods(&line.share)
        })
    }

    pub fn front(&self, place: Place) -> Option<&Demand> {
        let line = self.lines.get(&place.account)?;
        if place.urgent {
            line.urgent.front()
        } else {
            line.plain.front()
        }
    }

    /// All requests that wait, in the order in which they are about to be served.
    pub fn in_order(&self, tree: &FairTree) -> Vec<&Demand> {
        let in_turn = self.in_turn(tree);
        in_turn.into_iter().map(|(_, demand)| demand).collect()
    }

    /// The requests that are about to be served before one that comes now, in order.
    pub fn before(&self, demand: &Demand, tree: &FairTree) -> Vec<&Demand> {
        let turn = turn_of(demand, tree.floods(&demand.share));
        let in_turn = self.in_turn(tree).into_iter();
        let before = in_turn.take_while(|(other, _)| *other <= turn);
        before.map(|(_, demand)| demand).collect()
    }

    fn in_turn(&self, tree: &FairTree) -> Vec<(Turn, &Demand)> {
        let mut waiting = Vec::with_capacity(self.len);
        for line in self.lines.values() {
            let floods = tree.floods(&line.share);
            let own = line.urgent.iter().chain(&line.plain);
            waiting.extend(own.map(|demand| (turn_of(demand, floods), demand)));
        }
        waiting.sort_by_key(|(turn, demand)| (*turn, demand.permit));
        waiting
    }

    /// How many requests of a place have waited since `since_ms` or longer, counted up to `most`.
    pub fn count_since(&self, place: Place, since_ms: u64, most: usize) -> usize {
        let Some(line) = self.lines.get(&place.account) else {
            return 0;
        };
        let waiting = if place.urgent {
            &line.urgent
        } else {
            &line.plain
        };
        let late = waiting
            .iter()
            .take(most)
            .filter(|demand| demand.since_ms <= since_ms);
        late.count()
    }

    /// Takes the first request of a place for a grant.
    pub fn pop(&mut self, place: Place) -> Option<Demand> {
        let line = self.lines.get_mut(&place.account)?;
        let demand = if place.urgent {
            line.urgent.pop_front()
        } else {
            line.plain.pop_front()
        }?;
        if line.is_empty() {
            self.lines.remove(&place.account);
        }
        self.len -= 1;
        self.urgent_in_a_row = match place.urgent {
            true => self.urgent_in_a_row + 1,
            false => 0,
        };
        Some(demand)
    }

    /// Takes out every request for which `leaves` holds.
    pub fn take_if(&mut self, leaves: impl Fn(&Demand) -> bool) -> Vec<Demand> {
        let mut taken = Vec::new();
        for line in self.lines.values_mut() {
            for waiting in [&mut line.urgent, &mut line.plain] {
                if !waiting.iter().any(&leaves) {
                    continue;
                }
                let (out, stay): (VecDeque<_>, VecDeque<_>) =
                    std::mem::take(waiting).into_iter().partition(&leaves);
                *waiting = stay;
                taken.extend(out);
            }
        }
        self.lines.retain(|_, line| !line.is_empty());
        // In an order that does not hang on chance.
        taken.sort_by_key(|demand| (demand.since_ms, demand.permit));
        self.len -= taken.len();
        taken
    }

    /// Takes out one request.
    pub fn remove(&mut self, permit: PermitId) -> Option<Demand> {
        self.take_if(|demand| demand.permit == permit).pop()
    }

    pub fn contains(&self, permit: PermitId) -> bool {
        let in_line = |line: &Line| {
            let mut waiting = line.urgent.iter().chain(&line.plain);
            waiting.any(|demand| demand.permit == permit)
        };
        self.lines.values().any(in_line)
    }
}
