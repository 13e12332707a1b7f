//! The dispatcher of a pool of engines, on the box that has the role: a [`policy::Pool`] and the requests that wait
//! for its verdict. It is soft state: after a takeover the other boxes report what runs where.

use crate::dispatch::takeover::ReportWait;
use crate::state::Relay;
use peers::{AcquireRequest, AdoptedStream, OpenStreams, PermitReply, UpdateReply, UpdateRequest};
use policy::{
    Demand, LengthClass, Pool, PoolSettings, PrefillPolicy, RunningStream, StreamEnd,
    SubmitOutcome, TransferSlots, Verdict, WaitingPolicy,
};
use prelude::{
    BoxId, DataCentreId, PermitId, PoolId, Refusal, RefusalReason, TargetId, TargetIncarnation,
    TargetKey,
};
use settings::{FleetFile, Mechanism};
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout_at};

/// How often a waiting call makes the pool schedule again.
const DECISION_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum prompt tokens in the prefill queue of one engine. A longer queue delays the tokens of all streams that run
/// there.
const PREFILL_TOKENS_MAX: u32 = 7_000;
/// Memory that is kept free, in standard deviations of the memory forecast. Constant, as boxes are not notified of
/// preemptions, so that nothing would raise a margin that decays.
const MARGIN_DEVIATIONS: f64 = 1.25;
/// Preference for an engine in the data centre of the caller's box, in tokens of memory, as traffic between data centres
/// is paid for.
const NEAR_TOKENS: u32 = 1_500;
/// How often engines in a temporary state (cold, on probation, ejected) are checked.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two log lines on the measurements behind refusals.
const FORECAST_LOG_INTERVAL_MS: u64 = 1_000;
/// How long a permit is kept for a box whose call had ended when it was granted. The box calls again within a round trip
/// or after a timeout.
const CLAIM_TIMEOUT_MS: u64 = 400;
/// Retry delay of a refusal if the wait is unknown.
const RETRY_AFTER_MS: u64 = 500;

/// A pool, and the requests that wait for its verdict.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    pub(crate) pool: Pool,
    pub(super) waiting: HashMap<PermitId, WaitingRequest>,
    /// Permits that were granted between two calls of their box, by the time at which they are released if they are not
    /// claimed.
    unclaimed: VecDeque<(u64, PermitId)>,
    /// Limits transfers to one at a time per link; none if the mechanism is off.
    pub(super) transfer_slots: Option<TransferSlots>,
    /// Nothing is granted before this time.
    pub(super) grants_from_ms: u64,
    /// The reports that a takeover waits for.
    pub(super) report_wait: ReportWait,
    /// When this box last announced itself as the dispatcher.
    pub(super) announced_ms: u64,
    /// When this box began to dispatch the pool.
    pub(super) began_ms: u64,
    /// When the measurements behind a refusal were last logged.
    forecast_logged_ms: Option<u64>,
    log: slog::Logger,
}

/// A request that waits for a verdict.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub(super) verdict_sender: oneshot::Sender<Verdict>,
    rank: u8,
    /// When its caller arrived, on the clock of this box.
    arrived_ms: u64,
}

fn pool_settings(file: &FleetFile) -> PoolSettings {
    let on = |mechanism, value| if file.has(mechanism) { value } else { 0 };
    let defaults = PoolSettings::default();
    let margin = |deviations| match file.has(Mechanism::Margin) {
        true => deviations,
        false => 0.0,
    };
    PoolSettings {
        waiting: match file.has(Mechanism::WaitForecast) {
            true => WaitingPolicy::FirstToken,
            false => WaitingPolicy::Pace,
        },
        ranks: file.has(Mechanism::RankOrder),
        prefill: match file.has(Mechanism::ReadingForecast) {
            true => PrefillPolicy::FirstToken,
            false => PrefillPolicy::Bound,
        },
        prefill_tokens: match file.has(Mechanism::ReadingBound) {
            true => PREFILL_TOKENS_MAX,
            false => u32::MAX,
        },
        near_tokens: on(Mechanism::NearEngines, NEAR_TOKENS),
        near_copy_tokens: on(Mechanism::NearCopies, defaults.near_copy_tokens),
        learns_pace: file.has(Mechanism::Pace),
        long_pause_ms: on(Mechanism::PausePlacement, defaults.long_pause_ms),
        forecast: file.has(Mechanism::Forecast),
        learns_lengths: file.has(Mechanism::Lengths),
        fair: file.has(Mechanism::Fairness),
        margin_max: margin(defaults.margin_max),
        margin_initial: margin(MARGIN_DEVIATIONS),
        margin_min: margin(MARGIN_DEVIATIONS),
        first_report_ms: 0,
        ..defaults
    }
}

fn pool_from_settings(file: &FleetFile) -> Pool {
    let mut pool = Pool::new(pool_settings(file));
    pool.set_caps(file.accounts.caps().collect());
    pool
}

impl Dispatcher {
    fn new(file: &FleetFile, log: slog::Logger, now_ms: u64) -> Self {
        Self {
            pool: pool_from_settings(file),
            waiting: HashMap::new(),
            unclaimed: VecDeque::new(),
            transfer_slots: file.has(Mechanism::Turns).then(TransferSlots::default),
            grants_from_ms: 0,
            report_wait: ReportWait::default(),
            announced_ms: 0,
            began_ms: now_ms,
            forecast_logged_ms: None,
            log,
        }
    }

    /// Applies changed settings.
    pub(crate) fn reconfigure(&mut self, file: &FleetFile) {
        self.pool.set_settings(pool_settings(file));
        self.pool.set_caps(file.accounts.caps().collect());
        let has_turns = file.has(Mechanism::Turns);
        self.transfer_slots = has_turns.then(|| self.transfer_slots.take().unwrap_or_default());
    }

    pub(crate) fn decide(&mut self, now_ms: u64) {
        if self.holds_grants(now_ms) {
            return;
        }
        self.release_unclaimed(now_ms);
        for (permit, verdict) in self.pool.schedule(now_ms) {
            let Some(waiting) = self.waiting.remove(&permit) else {
                continue;
            };
            if let Verdict::Granted { target } = verdict {
                slog::info!(self.log, "permit granted"; "entry" => permit.entry.0,
                    "permit" => permit.serial, "rank" => waiting.rank, "engine" => target.0,
                    "waited_ms" => now_ms.saturating_sub(waiting.arrived_ms),
                    "waiting" => self.waiting.len());
            }
            if let Verdict::Refused(refusal) = verdict {
                self.log_forecast(refusal, waiting.rank, now_ms);
            }
            let is_granted = matches!(verdict, Verdict::Granted { .. });
            if waiting.verdict_sender.send(verdict).is_err() && is_granted {
                // A release now would cost the request its place: its box is between two calls.
                self.unclaimed
                    .push_back((now_ms + CLAIM_TIMEOUT_MS, permit));
            }
        }
    }

    /// Returns the engine of a permit that was granted before, and marks it as claimed.
    fn claim(&mut self, permit: PermitId) -> Option<TargetId> {
        let target = self.pool.target_of(permit)?;
        self.unclaimed.retain(|(_, unclaimed)| *unclaimed != permit);
        Some(target)
    }

    /// Releases the permits that their boxes have not claimed in time.
    fn release_unclaimed(&mut self, now_ms: u64) {
        while let Some((_, permit)) = self
            .unclaimed
            .pop_front_if(|(until_ms, _)| *until_ms <= now_ms)
        {
            slog::info!(self.log, "permit not claimed"; "entry" => permit.entry.0, "permit" => permit.serial);
            self.pool.release(permit, 0, StreamEnd::Censored);
        }
    }

    /// Logs the measurements behind a refusal by forecast, once in [`FORECAST_LOG_INTERVAL_MS`] at most.
    fn log_forecast(&mut self, refusal: Refusal, rank: u8, now_ms: u64) {
        let is_recent = |logged_ms| now_ms < logged_ms + FORECAST_LOG_INTERVAL_MS;
        if refusal.reason != RefusalReason::Crowded
            || self.forecast_logged_ms.is_some_and(is_recent)
        {
            return;
        }
        self.forecast_logged_ms = Some(now_ms);
        let inputs = self.pool.forecast_inputs(rank);
        slog::info!(self.log, "refusing by forecast"; "rank" => rank, "waiting" => self.waiting.len(),
            "prefill_tokens_per_ms" => format_args!("{:.2}", inputs.prefill_tokens_per_ms),
            "prefill_observations" => inputs.prefill_observations,
            "ms_per_grant" => inputs.ms_per_grant.map(f64::round),
            "dispatching_ms" => now_ms.saturating_sub(self.began_ms));
    }
}

pub(crate) fn granted(target: TargetId) -> PermitReply {
    PermitReply::Granted {
        target: TargetKey {
            id: target,
            incarnation: TargetIncarnation::default(),
        },
    }
}

impl Relay {
    pub(crate) fn with_dispatcher<T>(
        &self,
        pool: PoolId,
        act: impl FnOnce(&mut Dispatcher, u64) -> T,
    ) -> T {
        if !self.dispatchers.borrow().contains_key(&pool) {
            let dispatcher = Dispatcher::new(&self.settings(), self.log.clone(), self.now_ms());
            self.dispatchers.borrow_mut().insert(pool, dispatcher);
            slog::info!(self.log, "dispatching"; "pool" => %pool.model);
            self.sync_dispatchers();
            self.begin_dispatching(pool);
        }
        let now_ms = self.now_ms();
        let mut dispatchers = self.dispatchers.borrow_mut();
        match dispatchers.get_mut(&pool) {
            Some(dispatcher) => act(dispatcher, now_ms),
            None => unreachable!("the dispatcher was just inserted"),
        }
    }

    pub(crate) fn data_centre_of(&self, id: BoxId) -> DataCentreId {
        if id == self.id {
            return self.data_centre;
        }
        let members = self.members.borrow();
        let card = members.card(id);
        card.map_or(DataCentreId::default(), |card| {
            DataCentreId::from_name(&card.data_centre)
        })
    }

    fn demand(&self, request: &AcquireRequest, now_ms: u64) -> Demand {
        Demand {
            permit: request.permit,
            share: self.share_of(request.account),
            class: LengthClass {
                account: prelude::AccountId::default(),
                kind: request.kind,
            },
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
            rank: request.rank,
            pause_goal_ms: request.pause_goal_ms,
            arrived_ms: now_ms.saturating_sub(u64::from(request.waited_ms)),
            deadline_ms: now_ms + u64::from(request.wait_left_ms),
            caller_deadline_ms: now_ms + u64::from(request.caller_left_ms),
            prefix: request.prefix,
            oracle_tokens: request.told_tokens,
            avoid: request.avoid,
            preferred_data_centre: Some(self.data_centre_of(request.permit.entry)),
        }
    }

    /// Decides on a request for a permit that was received at `received_ms`, waiting for up to `wait_ms`. The place in the
    /// queue is computed from the time of receipt. With a clock read later under load, the place would shift with each retry.
    pub(crate) async fn acquire_local(
        &self,
        request: AcquireRequest,
        received_ms: u64,
        wait_ms: u32,
    ) -> PermitReply {
        let demand = self.demand(&request, received_ms);
        let (verdict_sender, mut verdict_receiver) = oneshot::channel();
        let immediate = self.with_dispatcher(request.pool, |dispatcher, now_ms| {
            if let Some(target) = dispatcher.claim(request.permit) {
                return Some(granted(target));
            }
            let waiting = WaitingRequest {
                verdict_sender,
                rank: demand.rank,
                arrived_ms: demand.arrived_ms,
            };
            dispatcher.waiting.insert(request.permit, waiting);
            // A call with a wait time follows an earlier one that was answered with `Waiting`.
            let outcome = match wait_ms > 0 {
                true => dispatcher.pool.resubmit(demand.clone(), now_ms),
                false => dispatcher.pool.submit(demand.clone(), now_ms),
            };
            match outcome {
                SubmitOutcome::Refused(refusal) => {
                    dispatcher.waiting.remove(&request.permit);
                    dispatcher.log_forecast(refusal, demand.rank, now_ms);
                    Some(dispatcher.refusal_reply(refusal, &demand))
                }
                SubmitOutcome::Queued { .. } => {
                    dispatcher.decide(now_ms);
                    None
                }
            }
        });
        if let Some(reply) = immediate {
            return reply;
        }
        let until = Instant::now() + Duration::from_millis(u64::from(wait_ms));
        loop {
            if let Ok(verdict) = verdict_receiver.try_recv() {
                return self.verdict_reply(verdict, &demand, request.pool);
            }
            if Instant::now() >= until {
                return PermitReply::Waiting { place: 0 };
            }
            let next_decision = until.min(Instant::now() + DECISION_INTERVAL);
            if let Ok(Ok(verdict)) = timeout_at(next_decision, &mut verdict_receiver).await {
                return self.verdict_reply(verdict, &demand, request.pool);
            }
            self.with_dispatcher(request.pool, Dispatcher::decide);
        }
    }

    /// Withdraws a request for a permit, or releases the permit.
    pub(crate) fn withdraw_local(&self, pool: PoolId, permit: PermitId) {
        self.with_dispatcher(pool, |dispatcher, now_ms| {
            dispatcher.waiting.remove(&permit);
            dispatcher.pool.withdraw(permit);
            dispatcher.decide(now_ms);
        });
    }

    /// Applies a report of progress and ends. The reply asks for a resync if the report does not match what is known here.
    pub(crate) fn update_local(&self, request: &UpdateRequest) -> UpdateReply {
        let permit = |serial| PermitId {
            entry: request.from,
            life: request.life,
            serial,
        };
        self.with_dispatcher(request.pool, |dispatcher, now_ms| {
            let pool = &mut dispatcher.pool;
            let mut known = true;
            for progress in &request.progress {
                let permit = permit(progress.serial);
                self.record_gaps(pool, permit, &progress.gaps, now_ms);
                let is_first = pool.awaits_first_token(permit) && progress.tokens > 0;
                known &= pool.record_progress(permit, progress.tokens, now_ms);
                self.record_engine_event(pool.target_of(permit), is_first, now_ms);
            }
            for ended in &request.ended {
                let end = match ended.finished {
                    true => StreamEnd::Finished,
                    false => StreamEnd::Censored,
                };
                self.record_gaps(pool, permit(ended.serial), &ended.gaps, now_ms);
                self.record_pause(pool, permit(ended.serial), now_ms);
                if ended.tokens > 0 {
                    let (target, is_first) = (
                        pool.target_of(permit(ended.serial)),
                        pool.awaits_first_token(permit(ended.serial)),
                    );
                    self.record_engine_event(target, is_first, now_ms);
                }
                pool.release(permit(ended.serial), ended.tokens, end);
            }
            pool.expire_silent_boxes(now_ms);
            let resync = !known || pool.streams_of(request.from) != request.open_streams as usize;
            dispatcher.decide(now_ms);
            UpdateReply { resync }
        })
    }

    /// Adopts the open generations of a box. Returns true if that box may have used another dispatcher, so that this box has
    /// to announce itself again.
    pub(crate) fn adopt_local(&self, from: BoxId, pool: PoolId, open: &OpenStreams) -> bool {
        let now_ms = self.now_ms();
        let used = self.recent_usage(&open.used);
        let demands: Vec<(Demand, &AdoptedStream)> = open
            .streams
            .iter()
            .map(|stream| (self.demand(&stream.request, now_ms), stream))
            .collect();
        self.with_dispatcher(pool, |dispatcher, now_ms| {
            let kept: HashSet<PermitId> = demands.iter().map(|(d, _)| d.permit).collect();
            let had_other_dispatcher = dispatcher.pool.adopt_usage(from, &used, now_ms);
            let must_announce = had_other_dispatcher && dispatcher.record_other_dispatcher(now_ms);
            slog::info!(dispatcher.log, "open generations adopted"; "box" => from.0,
                "generations" => demands.len(), "accounts" => used.len(),
                "is_new" => had_other_dispatcher, "after_ms" => now_ms.saturating_sub(dispatcher.began_ms),
                "queued" => dispatcher.waiting.len());
            dispatcher
                .unclaimed
                .retain(|(_, permit)| !kept.contains(permit));
            dispatcher.pool.reconcile_permits(from, &kept, now_ms);
            let generations = demands.len();
            for (demand, stream) in demands {
                let adopted = RunningStream {
                    demand,
                    target: stream.target,
                    generated_tokens: stream.tokens,
                };
                dispatcher.pool.adopt(adopted, now_ms);
            }
            dispatcher.record_report(from, generations, now_ms);
            dispatcher.decide(now_ms);
            must_announce
        })
    }

    /// Updates engines whose temporary state (cold, on probation, ejected) has ended, and exports gauges.
    pub(crate) async fn run_dispatchers(&self) {
        loop {
            sleep(SYNC_INTERVAL).await;
            let changed = self.targets.borrow_mut().take_transient(self.now_ms());
            self.sync_engines(&changed);
            self.export_share_gauges();
            self.export_forecast_gauges();
        }
    }

    /// Exports the forecast corrections, of at most ten ranks, and the number of engines that decisions checked.
    fn export_forecast_gauges(&self) {
        for dispatcher in self.dispatchers.borrow().values() {
            metrics::gauge!("shuntpier_engines_looked_at")
                .set(dispatcher.pool.engines_checked() as f64);
            for (rank, correction) in dispatcher.pool.forecast_corrections() {
                let rank = rank.to_string();
                metrics::gauge!("shuntpier_forecast_correction", "rank" => rank).set(correction);
            }
        }
    }
}

/// Returns a refusal made without a dispatcher's verdict.
pub(crate) fn refusal(reason: RefusalReason) -> Refusal {
    Refusal {
        reason,
        retry_after_ms: Some(RETRY_AFTER_MS),
    }
}

#[cfg(test)]
#[path = "dispatcher_tests.rs"]
mod tests;
