//! The dispatcher of one pool: who goes first, where, and who must be refused. It is soft state. When
//! it is wrong, or when two boxes each believe that they dispatch, an engine preempts; nothing is lost
//! or doubled.

use crate::admission::forecast::{AdmissionForecast, MemoryNeed};
use crate::admission::grant_rate::GrantRate;
use crate::admission::queue::Queue;
use crate::demand::{Demand, RANKS, Submitted, Verdict};
use crate::fairness::recent_usage::ObservedBoxes;
use crate::fairness::tree::FairTree;
use crate::fairness::usage::Usage;
use crate::kind::{PolicyKind, PoolSettings};
use crate::pace::model::PaceModel;
use crate::placement::engine_set::EngineSet;
use crate::placement::forecast::Forecast;
use crate::placement::ledger::{EngineLedger, Stream, StreamKey, Streams};
use crate::placement::length::{End, LengthModel};
use crate::placement::prefixes::PrefixIndex;
use crate::placement::reading::ReadingRate;
use prelude::{BoxId, PermitId, TargetId};
use std::collections::{HashMap, HashSet, VecDeque};

/// Candidates that are tried in one run when the first does not fit.
const CANDIDATES: usize = 6;
/// Window over which grants are counted.
pub(crate) const GRANT_WINDOW_MS: u64 = 5000;
/// How often the ledgers note their memory in use, to be compared with engines' reports.
const REMEMBER_MS: u64 = 25;
/// Pace of a stream before any was measured, in tokens per millisecond.
const PACE_INITIAL: f64 = 0.03;

/// The dispatcher's state for one pool.
#[derive(Clone, Debug)]
pub struct Pool {
    pub(crate) settings: PoolSettings,
    pub(crate) engines: EngineSet,
    /// Engines that name a rate limit.
    pub(crate) rate_limited: HashSet<TargetId>,
    pub(crate) streams: Streams,
    pub(crate) by_permit: HashMap<PermitId, StreamKey>,
    pub(crate) queue: Queue,
    pub(crate) outlook: AdmissionForecast,
    pub(crate) tree: FairTree,
    pub(crate) lengths: LengthModel,
    pub(crate) prefixes: PrefixIndex,
    pub(crate) margin: f64,
    margin_ms: u64,
    pub(crate) tokens_per_ms: f64,
    pub(crate) reading_rate: ReadingRate,
    pub(crate) pace_model: PaceModel,
    /// The latest time that it was given: it reads no clock.
    pub(crate) now_ms: u64,
    pub(crate) grants: VecDeque<u64>,
    pub(crate) pace: GrantRate,
    /// The pace of grants by rank.
    pub(crate) paces: [GrantRate; RANKS],
    /// When the first request came; grants wait for engines' reports from then on, but not for ever.
    pub(crate) began_ms: Option<u64>,
    pub(crate) expiry_ms: u64,
    remembered_ms: u64,
    pub(crate) heard_ms: HashMap<BoxId, u64>,
    /// Streams of each box that hold a permit.
    pub(crate) streams_by_box: HashMap<BoxId, usize>,
    /// The boxes whose recent use it charged itself, and since when.
    pub(crate) known: ObservedBoxes,
    pub(crate) usage: Usage,
}

impl Pool {
    /// An empty pool.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            margin: settings.margin_initial,
            engines: EngineSet::default(),
            rate_limited: HashSet::new(),
            streams: Streams::with_key(),
            by_permit: HashMap::new(),
            queue: Queue::default(),
            tree: fair_tree(&settings),
            outlook: AdmissionForecast::default(),
            lengths: LengthModel::default(),
            prefixes: PrefixIndex::default(),
            margin_ms: 0,
            tokens_per_ms: PACE_INITIAL,
            reading_rate: ReadingRate::default(),
            pace_model: PaceModel::default(),
            now_ms: 0,
            grants: VecDeque::new(),
            pace: GrantRate::default(),
            paces: [GrantRate::default(); RANKS],
            began_ms: None,
            expiry_ms: 0,
            remembered_ms: 0,
            heard_ms: HashMap::new(),
            streams_by_box: HashMap::new(),
            known: ObservedBoxes::default(),
            usage: Usage::default(),
            settings,
        }
    }

    /// Takes a request in, or refuses it at once where its wait would pass its deadline.
    pub fn submit(&mut self, demand: Demand, now_ms: u64) -> Submitted {
        self.take_in(demand, false, now_ms)
    }

    /// Takes a request in that was let wait before, by another dispatcher or until its permit found nobody: it is not judged
    /// anew by one that knows less of lengths and pace. It waits until it is granted, or until its time is over.
    pub fn submit_again(&mut self, demand: Demand, now_ms: u64) -> Submitted {
        self.take_in(demand, true, now_ms)
    }

    fn take_in(&mut self, mut demand: Demand, was_let_wait: bool, now_ms: u64) -> Submitted {
        self.now_ms = self.now_ms.max(now_ms);
        self.heard_ms.insert(demand.permit.entry, now_ms);
        self.known.record_contact(demand.permit.entry, now_ms);
        self.tree.advance(now_ms);
        if self.by_permit.contains_key(&demand.permit) || self.queue.contains(demand.permit) {
            return Submitted::Waits { place: 0 };
        }
        if !self.settings.ranks {
            demand.rank = demand.rank.min(1);
        }
        self.tree
            .record_arrival(&demand.share, demand.prompt_tokens);
        let forecast = demand_forecast(&self.lengths, &demand, self.settings.policy);
        let need = MemoryNeed::of(&forecast);
        let refusal = self.refusal(&demand, &need, now_ms);
        if let Some(refusal) = refusal.filter(|_| !was_let_wait) {
            if !self.tree.is_flooding(&demand.share) {
                self.tree.record_non_flooding_wait(now_ms);
            }
            self.usage.record_refusal(&demand);
            return Submitted::Refused(refusal);
        }
        let place = self.queue.len() as u32;
        // Before it counts as waiting: the time before it came says nothing of the pace.
        self.pass(now_ms);
        self.tree.add_waiting(&demand.share);
        let begins_by_ms = self.start_by_ms(&demand);
        self.queue.push(demand, begins_by_ms, need);
        Submitted::Waits { place }
    }

    /// Takes back a request that waits, or releases its permit where it was granted meanwhile.
    pub fn withdraw(&mut self, permit: PermitId) {
        if let Some(demand) = self.queue.remove(permit) {
            self.outlook.errors.forget(permit);
            self.tree.remove_waiting(&demand.share);
        } else {
            self.release(permit, 0, End::Censored);
        }
    }

    /// Grants what fits and refuses what waited too long.
    pub fn run(&mut self, now_ms: u64) -> Vec<(PermitId, Verdict)> {
        self.now_ms = self.now_ms.max(now_ms);
        self.tree.advance(now_ms);
        self.pace.advance(self.queue.len() > 0, now_ms);
        self.pass(now_ms);
        let mut verdicts = self.expire(now_ms);
        self.keep_past(now_ms);
        self.decay_margin(now_ms);
        if self.queue.has_long_non_flooding_wait(&self.tree, now_ms) {
            self.tree.record_non_flooding_wait(now_ms);
        }
        let mut passed = HashSet::new();
        let mut waits = None;
        let mut reserved = Vec::new();
        while passed.len() < CANDIDATES {
            let Some(place) = self.queue.next(&self.tree, &passed, now_ms) else {
                break;
            };
            let gives_way = self.settings.protection && self.queue.yields_to(place, waits, now_ms);
            if gives_way || !self.leaves_prefill_reserve(place, now_ms) {
                // Accounts that flood come last, so that all that follow flood as well.
                if self.has_dominant_demand(place) {
                    break;
                }
                passed.insert(place);
                continue;
            }
            let choice = self.choose(place, now_ms, &reserved);
            let Some(target) = choice.fits else {
                self.reserve(place, &choice.nearest, &mut reserved, now_ms);
                waits.get_or_insert(place);
                passed.insert(place);
                continue;
            };
            let Some(demand) = self.queue.pop(place, now_ms) else {
                break;
            };
            verdicts.push((demand.permit, Verdict::Granted { target }));
            self.grant(demand, target, now_ms);
        }
        verdicts
    }

    /// Notes whether requests of each rank wait.
    fn pass(&mut self, now_ms: u64) {
        let waits = self.queue.ranks();
        for (pace, waits) in self.paces.iter_mut().zip(waits) {
            pace.advance(waits, now_ms);
        }
    }

    pub(crate) fn engine_mut(&mut self, target: TargetId) -> Option<&mut EngineLedger> {
        self.engines.get_mut(target)
    }

    /// How many engines were looked at since the pool began, each time counted: what decisions cost grows with it.
    pub fn engines_looked_at(&self) -> u64 {
        self.engines.looks()
    }

    pub(crate) fn margin_in_use(&self) -> f64 {
        match self.settings.policy {
            PolicyKind::Oracle => 0.0,
            _ => self.margin,
        }
    }

    fn grant(&mut self, demand: Demand, target: TargetId, now_ms: u64) {
        self.pace.record_grant();
        self.paces[usize::from(demand.rank_in_use())].record_grant();
        self.grants.push_back(now_ms);
        while self
            .grants
            .front()
            .is_some_and(|at_ms| at_ms + GRANT_WINDOW_MS < now_ms)
        {
            self.grants.pop_front();
        }
        self.tree.add_running(&demand.share);
        self.tree.remove_waiting(&demand.share);
        self.usage.record_grant(&demand);
        let read_ms = f64::from(demand.prompt_tokens) / self.reading_rate.tokens_per_ms();
        self.tree.charge(&demand.share, read_ms);
        if let Some((prefix, _)) = demand.prefix {
            self.prefixes.note(target, prefix, now_ms);
        }
        if let Some(ledger) = self.engine_mut(target) {
            ledger.placed(now_ms);
        }
        self.place(demand, target, 0, now_ms);
    }

    pub(crate) fn place(
        &mut self,
        demand: Demand,
        target: TargetId,
        generated_tokens: u32,
        now_ms: u64,
    ) {
        let forecast = demand_forecast(&self.lengths, &demand, self.settings.policy);
        let stream = Stream {
            permit: demand.permit,
            share: demand.share,
            class: demand.class,
            target,
            prompt_tokens: demand.prompt_tokens,
            generated_tokens,
            progress_ms: now_ms,
            max_tokens: demand.max_tokens,
            told_tokens: told(&demand, self.settings.policy),
            pause_goal_ms: demand.pause_goal_ms,
            longest_ms: 0,
            expected_tokens: self.expected_tokens(&demand) as f32,
            foretold_ms: self.predicted_pause_ms(&demand, target, now_ms),
        };
        let (permit, prompt_tokens) = (stream.permit, stream.prompt_tokens);
        let held_tokens = f64::from(prompt_tokens + generated_tokens);
        self.tree.adjust_tokens_in_use(&stream.share, held_tokens);
        self.outlook.memory.record_placement(&forecast);
        *self.streams_by_box.entry(permit.entry).or_default() += 1;
        let key = self.streams.insert(stream);
        self.by_permit.insert(permit, key);
        let placed = self.engines.add_stream(target, key, &forecast, now_ms);
        if let Some(ledger) = placed.filter(|_| generated_tokens == 0) {
            ledger.reading.sent(key, prompt_tokens, now_ms);
            ledger.spans.set_prefilling(true, now_ms);
        }
    }

    fn keep_past(&mut self, now_ms: u64) {
        if now_ms < self.remembered_ms + REMEMBER_MS {
            return;
        }
        self.remembered_ms = now_ms;
        // An engine that runs nothing has noted that it holds nothing.
        for slot in self.engines.busy() {
            if let Some(ledger) = self.engines.at_mut(slot) {
                let own = ledger.own_tokens(&self.streams, self.tokens_per_ms, now_ms);
                ledger.remember(own, now_ms);
            }
        }
    }

    fn decay_margin(&mut self, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.margin_ms) as f64 / 1000.0;
        self.margin_ms = now_ms;
        let less = self.settings.margin_decay_per_s * elapsed_s;
        self.margin = (self.margin - less).max(self.settings.margin_min);
    }
}

fn fair_tree(settings: &PoolSettings) -> FairTree {
    let mut tree = FairTree::default();
    tree.set_enabled(settings.fair);
    tree
}

fn told(demand: &Demand, policy: PolicyKind) -> Option<u32> {
    demand.told_tokens.filter(|_| policy == PolicyKind::Oracle)
}

pub(crate) fn demand_forecast(
    lengths: &LengthModel,
    demand: &Demand,
    policy: PolicyKind,
) -> Forecast {
    let told = told(demand, policy);
    let mut forecast = Forecast::default();
    forecast.add(f64::from(demand.prompt_tokens), |more| {
        if more >= f64::from(demand.max_tokens) {
            return 0.0;
        }
        match told {
            Some(told) => f64::from(u8::from(more < f64::from(told))),
            None => lengths.survival(demand.class, 0.0, more),
        }
    });
    forecast
}

#[cfg(test)]
#[path = "pool_size_tests.rs"]
mod size_tests;
#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
