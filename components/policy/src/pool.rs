//! The dispatcher of one pool: who goes first, where, and who must be refused. It is soft state. When
//! it is wrong, or when two boxes each believe that they dispatch, an engine preempts; nothing is lost
//! or doubled.

use crate::demand::{Adopted, Demand, Submitted, Verdict};
use crate::fairness::{FairTree, Share};
use crate::forecast::Forecast;
use crate::kind::{PolicyKind, PoolSettings};
use crate::ledger::{
    EngineInfo, EngineLedger, EngineReport, EngineState, Stream, StreamKey, Streams,
};
use crate::length::{End, LengthClass, LengthModel};
use crate::pace::GrantPace;
use crate::prefixes::PrefixIndex;
use crate::queue::Queue;
use crate::view::{EngineView, PoolView};
use prelude::{BoxId, PermitId, Refusal, RefusalReason, TargetId};
use std::collections::{HashMap, HashSet, VecDeque};

/// Candidates that are tried in one run when the first does not fit.
const CANDIDATES: usize = 6;
/// Window over which grants are counted.
const GRANT_WINDOW_MS: u64 = 5000;
/// How often waiting requests are looked over for passed deadlines.
const EXPIRY_CHECK_MS: u64 = 20;
/// How often the ledger's own past is noted.
const REMEMBER_MS: u64 = 25;
/// A box that says nothing for this long holds no permits any more.
const SILENT_BOX_MS: u64 = 10_000;
/// Preemptions of one report that raise the margin.
const PREEMPTIONS_COUNTED: u64 = 2;
/// Least time after which a refused caller is told to come back.
const RETRY_AFTER_MIN_MS: u64 = 100;
/// Pace of a stream before any was measured, in tokens per millisecond.
const PACE_INITIAL: f64 = 0.03;
/// Weight of one measured pace.
const PACE_WEIGHT: f64 = 0.02;

/// The dispatcher's state for one pool.
#[derive(Clone, Debug)]
pub struct Pool {
    pub(crate) settings: PoolSettings,
    pub(crate) engines: Vec<EngineLedger>,
    pub(crate) streams: Streams,
    pub(crate) by_permit: HashMap<PermitId, StreamKey>,
    pub(crate) queue: Queue,
    tree: FairTree,
    pub(crate) lengths: LengthModel,
    pub(crate) prefixes: PrefixIndex,
    margin: f64,
    margin_ms: u64,
    pub(crate) tokens_per_ms: f64,
    grants: VecDeque<u64>,
    pace: GrantPace,
    /// When the first request came; grants wait for engines' reports from then on, but not for ever.
    pub(crate) began_ms: Option<u64>,
    expiry_ms: u64,
    remembered_ms: u64,
    heard_ms: HashMap<BoxId, u64>,
}

impl Pool {
    /// An empty pool.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            margin: settings.margin_initial,
            settings,
            engines: Vec::new(),
            streams: Streams::with_key(),
            by_permit: HashMap::new(),
            queue: Queue::default(),
            tree: FairTree::default(),
            lengths: LengthModel::default(),
            prefixes: PrefixIndex::default(),
            margin_ms: 0,
            tokens_per_ms: PACE_INITIAL,
            grants: VecDeque::new(),
            pace: GrantPace::default(),
            began_ms: None,
            expiry_ms: 0,
            remembered_ms: 0,
            heard_ms: HashMap::new(),
        }
    }

    /// Changes the settings; the margin stays within the new bounds.
    pub fn set_settings(&mut self, settings: PoolSettings) {
        self.margin = self.margin.clamp(settings.margin_min, settings.margin_max);
        self.settings = settings;
    }

    /// Sets which engines there are. Ledgers of engines that stay are kept.
    pub fn set_engines(&mut self, engines: &[EngineInfo]) {
        for info in engines {
            match self.engine_mut(info.id) {
                Some(ledger) => ledger.info = *info,
                None => self.engines.push(EngineLedger::new(*info)),
            }
        }
        let stays = |ledger: &EngineLedger| engines.iter().any(|info| info.id == ledger.info.id);
        let gone = self.engines.iter().filter(|ledger| !stays(ledger));
        let gone: Vec<TargetId> = gone.map(|ledger| ledger.info.id).collect();
        for target in gone {
            self.set_state(target, EngineState::Gone);
            self.prefixes.forget(target);
        }
        self.engines.retain(|ledger| stays(ledger));
    }

    /// Sets whether an engine takes new work. The streams of an engine that is gone lose their
    /// permits.
    pub fn set_state(&mut self, target: TargetId, state: EngineState) {
        let Some(ledger) = self.engine_mut(target) else {
            return;
        };
        ledger.state = state;
        if state != EngineState::Gone {
            return;
        }
        ledger.report = None;
        ledger.foreign_tokens = 0.0;
        let lost: Vec<StreamKey> = ledger.streams.clone();
        for key in lost {
            if let Some(stream) = self.streams.get(key) {
                let (permit, tokens) = (stream.permit, stream.generated_tokens);
                self.release(permit, tokens, End::Censored);
            }
        }
    }

    /// Takes a request in, or refuses it at once where its wait would pass its deadline.
    pub fn submit(&mut self, demand: Demand, now_ms: u64) -> Submitted {
        self.heard_ms.insert(demand.permit.entry, now_ms);
        if self.by_permit.contains_key(&demand.permit) || self.queue.contains(demand.permit) {
            return Submitted::Waits { place: 0 };
        }
        if let Some(refusal) = self.refusal(&demand, now_ms) {
            return Submitted::Refused(refusal);
        }
        let place = self.queue.len() as u32;
        self.tree.waits(&demand.share);
        self.queue.push(demand);
        Submitted::Waits { place }
    }

    /// Takes back a request that waits, or releases its permit where it was granted meanwhile.
    pub fn withdraw(&mut self, permit: PermitId) {
        if let Some(demand) = self.queue.remove(permit) {
            self.tree.leaves(&demand.share);
        } else {
            self.release(permit, 0, End::Censored);
        }
    }

    /// Grants what fits and refuses what waited too long.
    pub fn run(&mut self, now_ms: u64) -> Vec<(PermitId, Verdict)> {
        self.pace.pass(self.queue.len() > 0, now_ms);
        let mut verdicts = self.expire(now_ms);
        self.keep_past(now_ms);
        self.decay_margin(now_ms);
        let mut passed = HashSet::new();
        let mut reserved = Vec::new();
        while passed.len() < CANDIDATES {
            let Some(place) = self.queue.next(&self.tree, &passed) else {
                break;
            };
            let choice = self.choose(place, now_ms, &reserved);
            let Some(target) = choice.fits else {
                self.reserve(place, &choice.nearest, &mut reserved, now_ms);
                passed.insert(place);
                continue;
            };
            let Some(demand) = self.queue.pop(place) else {
                break;
            };
            verdicts.push((demand.permit, Verdict::Granted { target }));
            self.grant(demand, target, now_ms);
        }
        verdicts
    }

    /// Notes how far a stream has come. False where its permit is not known here.
    pub fn progress(&mut self, permit: PermitId, tokens: u32, now_ms: u64) -> bool {
        self.heard_ms.insert(permit.entry, now_ms);
        let Some(stream) = self
            .by_permit
            .get(&permit)
            .and_then(|key| self.streams.get_mut(*key))
        else {
            return false;
        };
        let before = stream.generated_tokens;
        if tokens <= before {
            return true;
        }
        let elapsed_ms = now_ms.saturating_sub(stream.progress_ms);
        stream.generated_tokens = tokens;
        stream.progress_ms = now_ms;
        let (share, class) = (stream.share, stream.class);
        if before > 0 && elapsed_ms > 0 {
            let pace = f64::from(tokens - before) / elapsed_ms as f64;
            self.tokens_per_ms += PACE_WEIGHT * (pace - self.tokens_per_ms);
        }
        self.learn(class, before, tokens, None);
        self.charge_output(&share, tokens - before);
        true
    }

    /// Ends a stream and frees what it held.
    pub fn release(&mut self, permit: PermitId, tokens: u32, end: End) {
        let Some(key) = self.by_permit.remove(&permit) else {
            return;
        };
        let Some(stream) = self.streams.remove(key) else {
            return;
        };
        if let Some(ledger) = self.engine_mut(stream.target) {
            ledger.remove(key);
        }
        let before = stream.generated_tokens;
        let tokens = tokens.max(before);
        self.learn(stream.class, before, tokens, Some(end));
        self.charge_output(&stream.share, tokens - before);
        self.tree.ends(&stream.share);
    }

    fn learn(&mut self, class: LengthClass, before: u32, tokens: u32, end: Option<End>) {
        if !self.settings.learns_lengths {
            return;
        }
        self.lengths.grew(class, before, tokens);
        if let Some(end) = end {
            self.lengths.ended(class, tokens, end);
        }
    }

    fn charge_output(&mut self, share: &Share, tokens: u32) {
        if self.settings.fair {
            self.tree.charge_output(share, tokens);
        }
    }

    /// Takes over a stream that another dispatcher, or none, had placed.
    pub fn adopt(&mut self, adopted: Adopted, now_ms: u64) {
        let permit = adopted.demand.permit;
        self.heard_ms.insert(permit.entry, now_ms);
        if self.by_permit.contains_key(&permit) {
            self.progress(permit, adopted.generated_tokens, now_ms);
            return;
        }
        if let Some(waiting) = self.queue.remove(permit) {
            self.tree.leaves(&waiting.share);
        }
        self.tree.runs(&adopted.demand.share);
        let generated_tokens = adopted.generated_tokens;
        self.place(adopted.demand, adopted.target, generated_tokens, now_ms);
    }

    /// Drops the permits of a box that are not among those it says it has.
    pub fn keep_only(&mut self, entry: BoxId, permits: &HashSet<PermitId>) {
        let of_box = self
            .streams
            .values()
            .filter(|stream| stream.entry() == entry);
        let extra = of_box.filter(|stream| !permits.contains(&stream.permit));
        let extra: Vec<(PermitId, u32)> = extra
            .map(|stream| (stream.permit, stream.generated_tokens))
            .collect();
        for (permit, tokens) in extra {
            self.release(permit, tokens, End::Censored);
        }
    }

    /// The engine of a permit that is held.
    pub fn target_of(&self, permit: PermitId) -> Option<TargetId> {
        let key = self.by_permit.get(&permit)?;
        self.streams.get(*key).map(|stream| stream.target)
    }

    /// Streams of a box that hold a permit.
    pub fn streams_of(&self, entry: BoxId) -> usize {
        self.streams
            .values()
            .filter(|stream| stream.entry() == entry)
            .count()
    }

    /// Takes an engine's report in.
    pub fn report(&mut self, target: TargetId, report: EngineReport, now_ms: u64) {
        let lag_ms = self.settings.report_lag_ms;
        let Some(ledger) = self.engine_mut(target) else {
            return;
        };
        let preemptions = ledger.reported(report, lag_ms, now_ms);
        // Many at once have one cause, such as an engine that was filled twice; the margin is for the
        // forecast's own errors.
        let counted = preemptions.min(PREEMPTIONS_COUNTED);
        let raise = self.settings.margin_step * counted as f64;
        self.margin = (self.margin + raise).min(self.settings.margin_max);
    }

    /// Takes an event of an engine's prefix cache in.
    pub fn cache_event(
        &mut self,
        target: TargetId,
        seq: u64,
        prefix: u64,
        stored: bool,
        now_ms: u64,
    ) {
        self.prefixes.event(target, seq, prefix, stored, now_ms);
    }

    /// The last cache event seen of an engine.
    pub fn last_cache_event(&self, target: TargetId) -> u64 {
        self.prefixes.last_seq(target)
    }

    /// Drops the permits of boxes that have said nothing for long.
    pub fn forget_silent(&mut self, now_ms: u64) {
        let silent = |heard_ms: &u64| heard_ms + SILENT_BOX_MS < now_ms;
        let boxes: HashSet<BoxId> = self
            .heard_ms
            .iter()
            .filter(|(_, heard_ms)| silent(heard_ms))
            .map(|(id, _)| *id)
            .collect();
        if boxes.is_empty() {
            return;
        }
        let lost = self
            .streams
            .values()
            .filter(|stream| boxes.contains(&stream.entry()));
        let lost: Vec<(PermitId, u32)> = lost
            .map(|stream| (stream.permit, stream.generated_tokens))
            .collect();
        for (permit, tokens) in lost {
            self.release(permit, tokens, End::Censored);
        }
        for demand in self
            .queue
            .take_if(|demand| boxes.contains(&demand.permit.entry))
        {
            self.tree.leaves(&demand.share);
        }
        self.heard_ms.retain(|id, _| !boxes.contains(id));
    }

    /// The pool as operators see it.
    pub fn view(&self, now_ms: u64) -> PoolView {
        let engines = self
            .engines
            .iter()
            .map(|ledger| self.engine_view(ledger, now_ms));
        PoolView {
            waiting: self.queue.len() as u32,
            margin: self.margin,
            grants_per_s: self.grants.len() as f64 * 1000.0 / GRANT_WINDOW_MS as f64,
            engines: engines.collect(),
        }
    }

    fn engine_view(&self, ledger: &EngineLedger, now_ms: u64) -> EngineView {
        let report = ledger.report.map(|(report, _)| report).unwrap_or_default();
        let capacity = ledger.info.capacity_tokens as f64;
        let own = ledger.own_tokens(&self.streams, self.tokens_per_ms, now_ms);
        EngineView {
            target: ledger.info.id,
            takes_work: ledger.state == EngineState::Live,
            capacity_tokens: ledger.info.capacity_tokens,
            streams: ledger.streams.len() as u32,
            ledger_tokens: own as u64,
            reported_tokens: (report.memory_share * capacity) as u64,
            foreign_tokens: ledger.foreign_tokens as u64,
            reported_waiting: report.waiting,
            reported_running: report.running,
            preemptions: ledger.preemptions_seen,
        }
    }

    pub(crate) fn engine_mut(&mut self, target: TargetId) -> Option<&mut EngineLedger> {
        self.engines
            .iter_mut()
            .find(|ledger| ledger.info.id == target)
    }

    /// Why a request that just came must be refused, if it must.
    fn refusal(&self, demand: &Demand, now_ms: u64) -> Option<Refusal> {
        let live = self
            .engines
            .iter()
            .filter(|ledger| ledger.state == EngineState::Live);
        let largest = live.map(|ledger| ledger.info.capacity_tokens).max();
        let Some(largest) = largest else {
            return Some(Refusal {
                reason: RefusalReason::NoTarget,
                retry_after_ms: Some(1000),
            });
        };
        if u64::from(demand.prompt_tokens) >= largest {
            return Some(Refusal {
                reason: RefusalReason::TooLarge,
                retry_after_ms: None,
            });
        }
        let wait_ms = self.expected_wait_ms(demand)?;
        let left_ms = demand.deadline_ms.saturating_sub(now_ms);
        (wait_ms > left_ms).then(|| Refusal {
            reason: RefusalReason::Crowded,
            retry_after_ms: Some((wait_ms - left_ms).max(RETRY_AFTER_MIN_MS)),
        })
    }

    /// How long a new request would wait, from the pace of grants; none where none is known.
    fn expected_wait_ms(&self, demand: &Demand) -> Option<u64> {
        if self.queue.len() == 0 {
            return Some(0);
        }
        let ms_per_grant = self.pace.ms_per_grant()?;
        let part = self.queue.weight_part(&demand.share);
        let own_ahead = self.queue.len_of(demand.share.account) as f64 / part;
        let ahead = own_ahead.min(self.queue.len() as f64);
        Some((ahead * ms_per_grant) as u64)
    }

    pub(crate) fn margin_in_use(&self) -> f64 {
        match self.settings.policy {
            PolicyKind::Oracle => 0.0,
            _ => self.margin,
        }
    }

    fn grant(&mut self, demand: Demand, target: TargetId, now_ms: u64) {
        self.pace.granted();
        self.grants.push_back(now_ms);
        while self
            .grants
            .front()
            .is_some_and(|at_ms| at_ms + GRANT_WINDOW_MS < now_ms)
        {
            self.grants.pop_front();
        }
        self.tree.runs(&demand.share);
        self.tree.leaves(&demand.share);
        if self.settings.fair {
            self.tree.charge_prompt(&demand.share, demand.prompt_tokens);
        }
        if let Some((prefix, _)) = demand.prefix {
            self.prefixes.note(target, prefix, now_ms);
        }
        self.place(demand, target, 0, now_ms);
    }

    fn place(&mut self, demand: Demand, target: TargetId, generated_tokens: u32, now_ms: u64) {
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
        };
        let permit = stream.permit;
        let key = self.streams.insert(stream);
        self.by_permit.insert(permit, key);
        if let Some(ledger) = self.engine_mut(target) {
            ledger.add(key, &forecast);
        }
    }

    fn expire(&mut self, now_ms: u64) -> Vec<(PermitId, Verdict)> {
        if now_ms < self.expiry_ms {
            return Vec::new();
        }
        self.expiry_ms = now_ms + EXPIRY_CHECK_MS;
        let expired = self.queue.take_if(|demand| demand.deadline_ms <= now_ms);
        let mut verdicts = Vec::with_capacity(expired.len());
        for demand in expired {
            self.tree.leaves(&demand.share);
            let wait_ms = self.expected_wait_ms(&demand).unwrap_or(0);
            let refusal = Refusal {
                reason: RefusalReason::DeadlinePassed,
                retry_after_ms: Some(wait_ms.max(RETRY_AFTER_MIN_MS)),
            };
            verdicts.push((demand.permit, Verdict::Refused(refusal)));
        }
        verdicts
    }

    fn keep_past(&mut self, now_ms: u64) {
        if now_ms < self.remembered_ms + REMEMBER_MS {
            return;
        }
        self.remembered_ms = now_ms;
        for ledger in &mut self.engines {
            let own = ledger.own_tokens(&self.streams, self.tokens_per_ms, now_ms);
            ledger.remember(own, now_ms);
        }
    }

    fn decay_margin(&mut self, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.margin_ms) as f64 / 1000.0;
        self.margin_ms = now_ms;
        let less = self.settings.margin_decay_per_s * elapsed_s;
        self.margin = (self.margin - less).max(self.settings.margin_min);
    }
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
#[path = "pool_tests.rs"]
mod tests;
