//! Requests that wait for a permit, in one sub-queue per account and rank.
//!
//! More urgent ranks are served first. A request that is about to miss its goal is promoted ahead
//! of more urgent ranks, at most once in [`GRANTS_PER_PROMOTION`] grants: urgent callers wait for
//! one grant in ten more, and less urgent ones are not starved. Requests of flooding accounts are
//! served after all others. Within a rank the account with the least service is served first.
//! Within an account requests are ordered by when their callers leave, then by their latest start:
//! a caller that retries after a refusal has the least time left, and a second refusal is mostly
//! final.

use crate::admission::forecast::{MemoryNeed, QueueAhead};
use crate::admission::prefill_simulation::PrefillSimulation;
use crate::demand::{Demand, RANK_COUNT};
use crate::fairness::tree::{FairTree, Share};
use prelude::{AccountId, PermitId};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Grants per promotion of a less urgent request that would miss its goal. The other nine of ten go
/// to more urgent requests.
const GRANTS_PER_PROMOTION: u32 = 10;
/// A request whose latest start is within this time is about to miss its goal. Covers a few
/// scheduling passes and the way to the engine.
const DUE_WITHIN_MS: u64 = 100;
/// A wait that callers notice; small against any first-token goal.
const LONG_WAIT_MS: u64 = 60;

/// Identifies a sub-queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct QueueKey {
    account: AccountId,
    rank: u8,
}

impl QueueKey {
    fn of(demand: &Demand) -> Self {
        Self {
            account: demand.share.account,
            rank: demand.clamped_rank(),
        }
    }
}

/// A queued request.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    /// The request.
    pub demand: Demand,
    /// Latest time at which its prefill must start.
    start_by_ms: u64,
    /// Expected memory use.
    pub need: MemoryNeed,
    /// Whether it was admitted before, mostly by another dispatcher. It is then not refused by a
    /// forecast.
    pub is_readmitted: bool,
}

impl WaitingRequest {
    /// Sort key within its sub-queue.
    fn key(&self) -> (u64, u64, u64) {
        let demand = &self.demand;
        (
            demand.caller_deadline_ms,
            self.start_by_ms,
            demand.arrived_ms,
        )
    }
}

/// Sort key of sub-queues: non-flooding accounts first, then promoted requests, rank, service by
/// level, latest start, and account as a deterministic tie-breaker.
type ServiceOrder = (bool, bool, u8, [f64; 3], u64, AccountId);

/// The sub-queues of all accounts and ranks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    subqueues: BTreeMap<QueueKey, VecDeque<WaitingRequest>>,
    len: usize,
    grants_since_promotion: u32,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns, for each rank, whether a request waits.
    pub fn ranks(&self) -> [bool; RANK_COUNT] {
        let mut ranks = [false; RANK_COUNT];
        for queue_key in self.subqueues.keys() {
            ranks[usize::from(queue_key.rank)] = true;
        }
        ranks
    }

    /// Returns the number of requests that wait at `rank` or at more urgent ranks.
    pub fn len_up_to_rank(&self, rank: u8) -> usize {
        let subqueues = self
            .subqueues
            .iter()
            .filter(|(queue_key, _)| queue_key.rank <= rank);
        subqueues.map(|(_, subqueue)| subqueue.len()).sum()
    }

    /// Returns the number of waiting requests of an account.
    pub fn len_of_account(&self, account: AccountId) -> usize {
        let subqueues = self
            .subqueues
            .iter()
            .filter(|(queue_key, _)| queue_key.account == account);
        subqueues.map(|(_, subqueue)| subqueue.len()).sum()
    }

    /// Returns the account's fraction of the weights of all waiting accounts, counting the account
    /// itself as waiting.
    pub fn weight_part(&self, share: &Share) -> f64 {
        let weight =
            |share: &Share| share.partner_weight * share.owner_weight * share.account_weight;
        let mut others = 0.0;
        let mut last_account = None;
        for (queue_key, subqueue) in &self.subqueues {
            let is_counted =
                last_account == Some(queue_key.account) || queue_key.account == share.account;
            last_account = Some(queue_key.account);
            if let Some(front) = subqueue.front().filter(|_| !is_counted) {
                others += weight(&front.demand.share);
            }
        }
        weight(share) / (weight(share) + others)
    }

    /// Inserts a request, whose prefill must start by `start_by_ms`, into its sub-queue. Sorts by
    /// when callers leave, latest start and arrival, as boxes send their requests to a new
    /// dispatcher in any order.
    pub fn push(&mut self, demand: Demand, start_by_ms: u64, need: MemoryNeed) {
        self.insert(WaitingRequest {
            demand,
            start_by_ms,
            need,
            is_readmitted: false,
        });
    }

    /// Inserts a request that was admitted before, as [`Self::push`] does.
    pub fn push_readmitted(&mut self, demand: Demand, start_by_ms: u64, need: MemoryNeed) {
        self.insert(WaitingRequest {
            demand,
            start_by_ms,
            need,
            is_readmitted: true,
        });
    }

    fn insert(&mut self, waiting: WaitingRequest) {
        let queue_key = QueueKey::of(&waiting.demand);
        let subqueue = self.subqueues.entry(queue_key).or_default();
        let key = waiting.key();
        let at = subqueue.partition_point(|other| other.key() <= key);
        subqueue.insert(at, waiting);
        self.len += 1;
    }

    /// Returns the next sub-queue to serve, except those in `skipped`.
    pub fn next(
        &self,
        tree: &FairTree,
        skipped: &HashSet<QueueKey>,
        now_ms: u64,
    ) -> Option<QueueKey> {
        let mut best: Option<(ServiceOrder, QueueKey)> = None;
        for (queue_key, subqueue) in &self.subqueues {
            let Some(front) = subqueue.front().filter(|_| !skipped.contains(queue_key)) else {
                continue;
            };
            let share = &front.demand.share;
            let is_flooding = tree.is_flooding(share);
            if tree.would_exceed_cap(share, front.demand.prompt_tokens)
                || (is_flooding && tree.is_headroom_reserved())
            {
                continue;
            }
            let is_promoted = self.is_promoted(*queue_key, front, now_ms);
            let service = tree.service_ms_by_level(share);
            let order: ServiceOrder = (
                is_flooding,
                !is_promoted,
                queue_key.rank,
                service,
                front.start_by_ms,
                queue_key.account,
            );
            if best.as_ref().is_none_or(|(other, _)| order < *other) {
                best = Some((order, *queue_key));
            }
        }
        best.map(|(_, queue_key)| queue_key)
    }

    /// Returns whether a request is served ahead of more urgent ranks.
    fn is_promoted(&self, queue_key: QueueKey, front: &WaitingRequest, now_ms: u64) -> bool {
        let is_due = front.start_by_ms <= now_ms + DUE_WITHIN_MS;
        is_due
            && self.grants_since_promotion + 1 >= GRANTS_PER_PROMOTION
            && self.has_more_urgent(queue_key.rank)
    }

    /// Returns whether a request leaves free memory to a more urgent one that fits on no engine
    /// yet, so that enough of it builds up. A request that would miss its own goal does not yield.
    pub fn yields_to(&self, queue_key: QueueKey, to: Option<QueueKey>, now_ms: u64) -> bool {
        let front = self.subqueues.get(&queue_key).and_then(VecDeque::front);
        let is_due = front.is_some_and(|front| front.start_by_ms <= now_ms + DUE_WITHIN_MS);
        !is_due && to.is_some_and(|to| to.rank < queue_key.rank)
    }

    fn has_more_urgent(&self, rank: u8) -> bool {
        self.subqueues.keys().any(|queue_key| queue_key.rank < rank)
    }

    /// Returns whether a request of a non-flooding account has waited for [`LONG_WAIT_MS`].
    pub fn has_long_non_flooding_wait(&self, tree: &FairTree, now_ms: u64) -> bool {
        self.subqueues.values().any(|subqueue| {
            let front = subqueue.front().map(|waiting| &waiting.demand);
            let waits_long = front.filter(|demand| demand.arrived_ms + LONG_WAIT_MS <= now_ms);
            waits_long.is_some_and(|demand| !tree.is_flooding(&demand.share))
        })
    }

    /// Returns whether a request is about to miss its goal.
    pub fn has_due(&self, now_ms: u64) -> bool {
        let mut waiting = self.subqueues.values().flatten();
        waiting.any(|waiting| waiting.start_by_ms <= now_ms + DUE_WITHIN_MS)
    }

    pub fn front(&self, queue_key: QueueKey) -> Option<&Demand> {
        Some(&self.subqueues.get(&queue_key)?.front()?.demand)
    }

    /// Returns all waiting requests in the order of service, with their memory needs.
    pub fn in_order(&self, tree: &FairTree) -> Vec<(&Demand, &MemoryNeed)> {
        let requests = self.waiting_in_order(tree).into_iter();
        requests
            .map(|waiting| (&waiting.demand, &waiting.need))
            .collect()
    }

    /// Returns all waiting requests in the order of service.
    pub fn waiting_in_order(&self, tree: &FairTree) -> Vec<&WaitingRequest> {
        let mut waiting: Vec<(bool, &WaitingRequest)> = Vec::with_capacity(self.len);
        for subqueue in self.subqueues.values() {
            let is_flooding = subqueue
                .front()
                .is_some_and(|w| tree.is_flooding(&w.demand.share));
            waiting.extend(subqueue.iter().map(|waiting| (is_flooding, waiting)));
        }
        waiting.sort_by_key(|(is_flooding, waiting)| {
            let demand = &waiting.demand;
            (
                *is_flooding,
                demand.clamped_rank(),
                waiting.key(),
                demand.permit,
            )
        });
        waiting.into_iter().map(|(_, waiting)| waiting).collect()
    }

    /// Sums up the requests served before `demand`, whose prefill must start by `start_by_ms`, and
    /// adds their prompts to `simulation`.
    pub fn queue_ahead(
        &self,
        demand: &Demand,
        start_by_ms: u64,
        tree: &FairTree,
        simulation: &mut PrefillSimulation,
    ) -> QueueAhead {
        let rank = demand.clamped_rank();
        let mut queue_ahead = QueueAhead::default();
        for other in self.waiting_ahead(demand, start_by_ms, tree) {
            queue_ahead.add_request(&other.demand, &other.need, rank);
            simulation.enqueue(other.demand.prompt_tokens);
        }
        queue_ahead
    }

    /// Returns the requests served before `demand`, whose prefill must start by `start_by_ms`.
    pub fn requests_ahead<'a>(
        &'a self,
        demand: &'a Demand,
        start_by_ms: u64,
        tree: &'a FairTree,
    ) -> impl Iterator<Item = &'a Demand> {
        let waiting = self.waiting_ahead(demand, start_by_ms, tree);
        waiting.map(|waiting| &waiting.demand)
    }

    fn waiting_ahead<'a>(
        &'a self,
        demand: &'a Demand,
        start_by_ms: u64,
        tree: &'a FairTree,
    ) -> impl Iterator<Item = &'a WaitingRequest> {
        let priority = (tree.is_flooding(&demand.share), demand.clamped_rank());
        let key = (demand.caller_deadline_ms, start_by_ms, demand.arrived_ms);
        let subqueues = self
            .subqueues
            .iter()
            .filter_map(move |(queue_key, subqueue)| {
                let is_flooding = tree.is_flooding(&subqueue.front()?.demand.share);
                let other = (is_flooding, queue_key.rank);
                (other <= priority).then_some((other < priority, subqueue))
            });
        subqueues.flat_map(move |(all, subqueue)| {
            subqueue
                .iter()
                .take_while(move |other| all || other.key() <= key)
        })
    }

    /// Counts the requests of a sub-queue that arrived at or before `since_ms`, up to `max_count`.
    pub fn count_since(&self, queue_key: QueueKey, since_ms: u64, max_count: usize) -> usize {
        let subqueue = self
            .subqueues
            .get(&queue_key)
            .into_iter()
            .flatten()
            .take(max_count);
        subqueue
            .filter(|waiting| waiting.demand.arrived_ms <= since_ms)
            .count()
    }

    /// Removes the first request of a sub-queue, which is granted.
    pub fn pop(&mut self, queue_key: QueueKey, now_ms: u64) -> Option<Demand> {
        let front = self.subqueues.get(&queue_key)?.front()?;
        let is_promoted = self.is_promoted(queue_key, front, now_ms);
        let subqueue = self.subqueues.get_mut(&queue_key)?;
        let waiting = subqueue.pop_front()?;
        if subqueue.is_empty() {
            self.subqueues.remove(&queue_key);
        }
        self.len -= 1;
        self.grants_since_promotion = match is_promoted {
            true => 0,
            false => self.grants_since_promotion.saturating_add(1),
        };
        Some(waiting.demand)
    }

    /// Removes and returns all requests that match `predicate`.
    pub fn remove_if(&mut self, predicate: impl Fn(&Demand) -> bool) -> Vec<Demand> {
        let mut removed = Vec::new();
        for subqueue in self.subqueues.values_mut() {
            if !subqueue.iter().any(|waiting| predicate(&waiting.demand)) {
                continue;
            }
            let drained = std::mem::take(subqueue).into_iter();
            let (matching, remaining): (VecDeque<_>, VecDeque<_>) =
                drained.partition(|waiting| predicate(&waiting.demand));
            *subqueue = remaining;
            removed.extend(matching.into_iter().map(|waiting| waiting.demand));
        }
        self.subqueues.retain(|_, subqueue| !subqueue.is_empty());
        // A deterministic order that does not depend on the sub-queues.
        removed.sort_by_key(|demand| (demand.arrived_ms, demand.permit));
        self.len -= removed.len();
        removed
    }

    pub fn remove(&mut self, permit: PermitId) -> Option<Demand> {
        self.remove_if(|demand| demand.permit == permit).pop()
    }

    pub fn contains(&self, permit: PermitId) -> bool {
        let mut waiting = self.subqueues.values().flatten();
        waiting.any(|waiting| waiting.demand.permit == permit)
    }
}

#[cfg(test)]
#[path = "queue_tests.rs"]
mod tests;
