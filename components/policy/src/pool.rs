//! The dispatcher of one pool: it orders queued requests, places them on engines and refuses those
//! that cannot be served in time. Its state is soft: if it is wrong, or if two boxes both dispatch,
//! an engine preempts requests, but none is lost or duplicated.

use crate::admission::forecast::{AdmissionForecast, MemoryNeed};
use crate::admission::grant_rate::GrantRate;
use crate::admission::queue::Queue;
use crate::demand::{Demand, RANK_COUNT, SubmitOutcome, Verdict};
use crate::fairness::recent_usage::ObservedBoxes;
use crate::fairness::tree::FairTree;
use crate::fairness::usage::Usage;
use crate::pace::model::PaceModel;
use crate::placement::engine_set::EngineSet;
use crate::placement::forecast::Forecast;
use crate::placement::ledger::{EngineLedger, Stream, StreamKey, Streams};
use crate::placement::length::{LengthModel, StreamEnd};
use crate::placement::prefill::PrefillRate;
use crate::placement::prefixes::PrefixIndex;
use crate::settings::{PolicyKind, PoolSettings};
use prelude::{BoxId, PermitId, TargetId};
use std::collections::{HashMap, HashSet, VecDeque};

/// Queues that one scheduling pass tries while requests do not fit.
const QUEUES_TRIED_MAX: usize = 6;
/// Window over which grants are counted.
pub(crate) const GRANT_WINDOW_MS: u64 = 5000;
/// How often each ledger records its memory use, to be compared with delayed engine reports.
const OWN_TOKENS_INTERVAL_MS: u64 = 25;
/// Initial pace of a stream, in tokens per millisecond.
const PACE_INITIAL_TOKENS_PER_MS: f64 = 0.03;

/// The dispatcher's state for one pool.
#[derive(Clone, Debug)]
pub struct Pool {
    pub(crate) settings: PoolSettings,
    pub(crate) engines: EngineSet,
    /// Engines that announce a rate limit.
    pub(crate) rate_limited: HashSet<TargetId>,
    pub(crate) streams: Streams,
    pub(crate) by_permit: HashMap<PermitId, StreamKey>,
    pub(crate) queue: Queue,
    pub(crate) admission_forecast: AdmissionForecast,
    pub(crate) tree: FairTree,
    pub(crate) lengths: LengthModel,
    pub(crate) prefixes: PrefixIndex,
    /// Current safety margin in standard deviations.
    pub(crate) margin: f64,
    margin_decayed_ms: u64,
    /// Moving average of the pace of a stream.
    pub(crate) tokens_per_ms: f64,
    pub(crate) prefill_rate: PrefillRate,
    pub(crate) pace_model: PaceModel,
    /// The latest time passed in by callers, as the pool reads no clock.
    pub(crate) now_ms: u64,
    pub(crate) recent_grants_ms: VecDeque<u64>,
    pub(crate) grant_rate: GrantRate,
    /// The grant rate of each rank.
    pub(crate) rank_grant_rates: [GrantRate; RANK_COUNT],
    /// When the first request arrived. Grants wait for the engines' first reports for a limited
    /// time after it.
    pub(crate) first_request_ms: Option<u64>,
    pub(crate) next_expiry_check_ms: u64,
    own_tokens_recorded_ms: u64,
    /// When each box last sent a request or a report.
    pub(crate) last_seen_ms: HashMap<BoxId, u64>,
    /// Number of streams with a permit, by box.
    pub(crate) streams_by_box: HashMap<BoxId, usize>,
    /// The boxes whose recent usage this dispatcher charged itself, and since when.
    pub(crate) observed_boxes: ObservedBoxes,
    /// Forecasts refuse no request before this time.
    pub(crate) forecasts_from_ms: u64,
    pub(crate) usage: Usage,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            margin: settings.margin_initial,
            engines: EngineSet::default(),
            rate_limited: HashSet::new(),
            streams: Streams::with_key(),
            by_permit: HashMap::new(),
            queue: Queue::default(),
            tree: new_fair_tree(&settings),
            admission_forecast: AdmissionForecast::default(),
            lengths: LengthModel::default(),
            prefixes: PrefixIndex::default(),
            margin_decayed_ms: 0,
            tokens_per_ms: PACE_INITIAL_TOKENS_PER_MS,
            prefill_rate: PrefillRate::default(),
            pace_model: PaceModel::default(),
            now_ms: 0,
            recent_grants_ms: VecDeque::new(),
            grant_rate: GrantRate::default(),
            rank_grant_rates: [GrantRate::default(); RANK_COUNT],
            first_request_ms: None,
            next_expiry_check_ms: 0,
            own_tokens_recorded_ms: 0,
            last_seen_ms: HashMap::new(),
            streams_by_box: HashMap::new(),
            observed_boxes: ObservedBoxes::default(),
            forecasts_from_ms: 0,
            usage: Usage::default(),
            settings,
        }
    }

    /// Queues a request, or refuses it if it would wait beyond its deadline.
    pub fn submit(&mut self, demand: Demand, now_ms: u64) -> SubmitOutcome {
        self.enqueue(demand, false, now_ms)
    }

    /// Queues a request that was queued before, at another dispatcher or until its grant did not
    /// reach its box. It is not refused now, as this dispatcher may know less about answer lengths
    /// and the grant rate: it waits until it is granted or expires.
    pub fn resubmit(&mut self, demand: Demand, now_ms: u64) -> SubmitOutcome {
        self.enqueue(demand, true, now_ms)
    }

    fn enqueue(
        &mut self,
        mut demand: Demand,
        was_queued_before: bool,
        now_ms: u64,
    ) -> SubmitOutcome {
        self.now_ms = self.now_ms.max(now_ms);
        self.last_seen_ms.insert(demand.permit.entry, now_ms);
        self.observed_boxes
            .record_contact(demand.permit.entry, now_ms);
        self.tree.advance(now_ms);
        if self.by_permit.contains_key(&demand.permit) || self.queue.contains(demand.permit) {
            return SubmitOutcome::Queued { position: 0 };
        }
        if !self.settings.ranks {
            demand.rank = demand.rank.min(1);
        }
        self.tree
            .record_arrival(&demand.share, demand.prompt_tokens);
        let forecast = demand_forecast(&self.lengths, &demand, self.settings.policy);
        let need = MemoryNeed::of(&forecast);
        let refusal = self.refusal(&demand, &need, now_ms);
        if let Some(refusal) = refusal.filter(|_| !was_queued_before) {
            if !self.tree.is_flooding(&demand.share) {
                self.tree.record_non_flooding_wait(now_ms);
            }
            self.usage.record_refusal(&demand);
            return SubmitOutcome::Refused(refusal);
        }
        let position = self.queue.len() as u32;
        // Records the time before this arrival first: without a queue it says nothing about the
        // grant rate.
        self.record_queued_ranks(now_ms);
        self.tree.add_waiting(&demand.share);
        let begins_by_ms = self.start_by_ms(&demand);
        match was_queued_before {
            true => self.queue.push_readmitted(demand, begins_by_ms, need),
            false => self.queue.push(demand, begins_by_ms, need),
        }
        SubmitOutcome::Queued { position }
    }

    /// Returns whether a queued request is about to miss its goal.
    pub fn has_due_request(&self, now_ms: u64) -> bool {
        self.queue.has_due(now_ms)
    }

    /// Removes a queued request, or releases its permit if it was granted meanwhile.
    pub fn withdraw(&mut self, permit: PermitId) {
        if let Some(demand) = self.queue.remove(permit) {
            self.admission_forecast.errors.forget(permit);
            self.tree.remove_waiting(&demand.share);
        } else {
            self.release(permit, 0, StreamEnd::Censored);
        }
    }

    /// Grants the requests that fit and refuses those that waited too long.
    pub fn schedule(&mut self, now_ms: u64) -> Vec<(PermitId, Verdict)> {
        self.now_ms = self.now_ms.max(now_ms);
        self.tree.advance(now_ms);
        self.grant_rate.advance(self.queue.len() > 0, now_ms);
        self.record_queued_ranks(now_ms);
        let mut verdicts = self.expire(now_ms);
        self.record_own_tokens(now_ms);
        self.decay_margin(now_ms);
        if self.queue.has_long_non_flooding_wait(&self.tree, now_ms) {
            self.tree.record_non_flooding_wait(now_ms);
        }
        let mut skipped = HashSet::new();
        let mut blocked = None;
        let mut reserved = Vec::new();
        while skipped.len() < QUEUES_TRIED_MAX {
            let Some(queue_key) = self.queue.next(&self.tree, &skipped, now_ms) else {
                break;
            };
            let yields =
                self.settings.protection && self.queue.yields_to(queue_key, blocked, now_ms);
            if yields || !self.leaves_prefill_reserve(queue_key, now_ms) {
                // Accounts that flood sort last, so all remaining queues belong to them as well.
                if self.has_dominant_demand(queue_key) {
                    break;
                }
                skipped.insert(queue_key);
                continue;
            }
            let choice = self.choose_engine(queue_key, now_ms, &reserved);
            let Some(target) = choice.best_engine else {
                self.reserve_engines(queue_key, &choice.nearest, &mut reserved, now_ms);
                blocked.get_or_insert(queue_key);
                skipped.insert(queue_key);
                continue;
            };
            let Some(demand) = self.queue.pop(queue_key, now_ms) else {
                break;
            };
            verdicts.push((demand.permit, Verdict::Granted { target }));
            self.grant(demand, target, now_ms);
        }
        verdicts
    }

    /// Records for each rank whether requests are queued.
    fn record_queued_ranks(&mut self, now_ms: u64) {
        let is_queued = self.queue.ranks();
        for (grant_rate, is_queued) in self.rank_grant_rates.iter_mut().zip(is_queued) {
            grant_rate.advance(is_queued, now_ms);
        }
    }

    pub(crate) fn engine_mut(&mut self, target: TargetId) -> Option<&mut EngineLedger> {
        self.engines.get_mut(target)
    }

    /// Number of engine lookups since the pool was created, a measure of the cost of its decisions.
    pub fn engines_checked(&self) -> u64 {
        self.engines.checks()
    }

    pub(crate) fn margin_in_use(&self) -> f64 {
        match self.settings.policy {
            PolicyKind::Oracle => 0.0,
            _ => self.margin,
        }
    }

    fn grant(&mut self, demand: Demand, target: TargetId, now_ms: u64) {
        self.grant_rate.record_grant();
        self.rank_grant_rates[usize::from(demand.clamped_rank())].record_grant();
        self.recent_grants_ms.push_back(now_ms);
        while self
            .recent_grants_ms
            .front()
            .is_some_and(|at_ms| at_ms + GRANT_WINDOW_MS < now_ms)
        {
            self.recent_grants_ms.pop_front();
        }
        self.tree.add_running(&demand.share);
        self.tree.remove_waiting(&demand.share);
        self.usage.record_grant(&demand);
        let prefill_ms = f64::from(demand.prompt_tokens) / self.prefill_rate.tokens_per_ms();
        self.tree.charge(&demand.share, prefill_ms);
        if let Some((prefix, _)) = demand.prefix {
            self.prefixes.record_prompt(target, prefix, now_ms);
        }
        if let Some(ledger) = self.engine_mut(target) {
            ledger.record_placement(now_ms);
        }
        self.place_stream(demand, target, 0, now_ms);
    }

    pub(crate) fn place_stream(
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
            oracle_tokens: oracle_tokens(&demand, self.settings.policy),
            pause_goal_ms: demand.pause_goal_ms,
            longest_pause_ms: 0,
            expected_tokens: self.expected_tokens(&demand) as f32,
            predicted_pause_ms: self.predicted_pause_ms(&demand, target, now_ms),
        };
        let (permit, prompt_tokens) = (stream.permit, stream.prompt_tokens);
        let used_tokens = f64::from(prompt_tokens + generated_tokens);
        self.tree.adjust_tokens_in_use(&stream.share, used_tokens);
        self.admission_forecast.memory.record_placement(&forecast);
        *self.streams_by_box.entry(permit.entry).or_default() += 1;
        let key = self.streams.insert(stream);
        self.by_permit.insert(permit, key);
        let placed = self.engines.add_stream(target, key, &forecast, now_ms);
        if let Some(ledger) = placed.filter(|_| generated_tokens == 0) {
            ledger.prefill.push(key, prompt_tokens, now_ms);
            ledger.prefill_spans.set_prefilling(true, now_ms);
        }
    }

    fn record_own_tokens(&mut self, now_ms: u64) {
        if now_ms < self.own_tokens_recorded_ms + OWN_TOKENS_INTERVAL_MS {
            return;
        }
        self.own_tokens_recorded_ms = now_ms;
        // Idle engines have already recorded that they use no memory.
        for slot in self.engines.busy() {
            if let Some(ledger) = self.engines.slot_mut(slot) {
                let own_tokens = ledger.own_tokens(&self.streams, self.tokens_per_ms, now_ms);
                ledger.record_own_tokens(own_tokens, now_ms);
            }
        }
    }

    fn decay_margin(&mut self, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.margin_decayed_ms) as f64 / 1000.0;
        self.margin_decayed_ms = now_ms;
        let decrease = self.settings.margin_decay_per_s * elapsed_s;
        self.margin = (self.margin - decrease).max(self.settings.margin_min);
    }
}

fn new_fair_tree(settings: &PoolSettings) -> FairTree {
    let mut tree = FairTree::default();
    tree.set_enabled(settings.fair);
    tree
}

fn oracle_tokens(demand: &Demand, policy: PolicyKind) -> Option<u32> {
    demand
        .oracle_tokens
        .filter(|_| policy == PolicyKind::Oracle)
}

pub(crate) fn demand_forecast(
    lengths: &LengthModel,
    demand: &Demand,
    policy: PolicyKind,
) -> Forecast {
    let oracle_tokens = oracle_tokens(demand, policy);
    let mut forecast = Forecast::default();
    forecast.add(f64::from(demand.prompt_tokens), |added| {
        if added >= f64::from(demand.max_tokens) {
            return 0.0;
        }
        match oracle_tokens {
            Some(oracle_tokens) => f64::from(u8::from(added < f64::from(oracle_tokens))),
            None => lengths.survival(demand.class, 0.0, added),
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
