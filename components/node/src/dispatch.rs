//! The dispatcher of a pool as an actor. It exists on the box that rendezvous hashing picks, and comes
//! into being with the first request for a permit.

mod engine_words;

use crate::poller::{Polled, poll_engine};
use crate::shared::{Shared, lock};
use engines::LoadReport;
use peers::{AcquireRequest, AdoptedStream, EndedStream, PermitReply, UpdateReply, UpdateRequest};
use policy::{
    Demand, EngineInfo, LengthClass, Pool, PoolSettings, PoolView, RunningStream, Share, StreamEnd,
    SubmitOutcome, Verdict,
};
use prelude::{BoxId, DataCentreId, PermitId, PoolId, Refusal, RefusalReason, TargetId};
use settings::Resolved;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use xtra::prelude::{Context, Handler, Mailbox};
use xtra::{Actor, Address};

/// How often time-driven decisions are made.
const TICK: Duration = Duration::from_millis(10);
/// The same while the pool is not in use.
const IDLE_TICK: Duration = Duration::from_millis(250);
/// A dispatcher without requests or streams for this long asks engines no more.
const IDLE_MS: u64 = 5_000;
/// Reports in a row with another number of streams after which a box is asked for all of them.
const MISMATCHES_MAX: u32 = 5;

/// The dispatcher's state, and who waits for its word.
pub(crate) struct PoolActor {
    shared: Arc<Shared>,
    id: PoolId,
    pool: Pool,
    waiters: HashMap<PermitId, oneshot::Sender<PermitReply>>,
    /// Words that nobody was there to hear.
    decided: HashMap<PermitId, PermitReply>,
    mismatches: HashMap<BoxId, u32>,
    used_ms: u64,
    polled_ms: u64,
}

impl Actor for PoolActor {
    type Stop = ();

    async fn stopped(self) {}
}

/// A word now, or later.
pub(crate) enum Word {
    Now(PermitReply),
    Later(oneshot::Receiver<PermitReply>, u32),
}

pub(crate) struct Acquire(pub AcquireRequest, pub Vec<EndedStream>);
pub(crate) struct Update(pub UpdateRequest);
pub(crate) struct Adopt(pub BoxId, pub Vec<AdoptedStream>);
pub(crate) struct Withdraw(pub PermitId);
pub(crate) struct View;
struct Tick;
struct Loaded(TargetId, LoadReport);
struct CacheEvents(TargetId, Vec<engines::CacheEvent>);
struct Refresh;

/// The address of a pool's dispatcher here, started where it does not run yet.
pub(crate) fn dispatcher(shared: &Arc<Shared>, id: PoolId) -> Address<PoolActor> {
    let mut pools = lock(&shared.pools);
    if let Some(address) = pools.get(&id) {
        return address.clone();
    }
    let settings = pool_settings(&shared.settings(), id);
    let mut actor = PoolActor {
        shared: shared.clone(),
        id,
        pool: Pool::new(settings),
        waiters: HashMap::new(),
        decided: HashMap::new(),
        mismatches: HashMap::new(),
        used_ms: shared.now_ms(),
        polled_ms: 0,
    };
    actor.refresh();
    let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
    tokio::spawn(drive(shared.clone(), address.clone()));
    pools.insert(id, address.clone());
    address
}

/// Sends ticks, and word of changes, until the box closes.
async fn drive(shared: Arc<Shared>, address: Address<PoolActor>) {
    let mut changes = shared.changes.subscribe();
    let mut pause = TICK;
    loop {
        let sent = tokio::select! {
            () = shared.closed.cancelled() => return,
            () = tokio::time::sleep(pause) => address.send(Tick).await.map(|busy| {
                pause = if busy { TICK } else { IDLE_TICK };
            }),
            changed = changes.changed() => match changed {
                Ok(()) => address.send(Refresh).await,
                Err(_) => return,
            },
        };
        if sent.is_err() {
            return;
        }
    }
}

pub(crate) fn pool_settings(resolved: &Resolved, id: PoolId) -> PoolSettings {
    let model = resolved.models.get(&id.model);
    model.map(|model| model.pool.clone()).unwrap_or_default()
}

impl PoolActor {
    fn refresh(&mut self) {
        let resolved = self.shared.settings();
        self.pool.set_settings(pool_settings(&resolved, self.id));
        let capped = resolved.accounts.values();
        let capped = capped.filter_map(|account| Some((account.id, account.cap_share?)));
        self.pool.set_caps(capped.collect());
        let engines = resolved.engines_of(self.id);
        let infos: Vec<EngineInfo> = engines
            .iter()
            .map(|engine| EngineInfo {
                id: engine.id,
                capacity_tokens: engine.kv_capacity_tokens,
                data_centre: DataCentreId::default(),
                cold_rate_per_s: None,
            })
            .collect();
        self.pool.set_engines(&infos);
        let states = crate::poller::engine_states(&self.shared, self.id);
        for (target, state) in states {
            self.pool.set_state(target, state);
        }
    }

    fn demand(&self, request: &AcquireRequest, now_ms: u64) -> Demand {
        let account = self.shared.account(request.account);
        let share = account.map_or(
            Share {
                account: request.account,
                partner_weight: 1.0,
                owner_weight: 1.0,
                account_weight: 1.0,
                ..Share::default()
            },
            |account| Share {
                partner: account.partner,
                owner: account.owner,
                account: account.id,
                partner_weight: account.partner_weight,
                owner_weight: account.owner_weight,
                account_weight: account.weight,
            },
        );
        Demand {
            permit: request.permit,
            share,
            class: LengthClass {
                account: request.account,
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
            preferred_data_centre: None,
        }
    }

    fn end_streams(&mut self, entry: BoxId, life: u32, ended: &[EndedStream]) {
        for stream in ended {
            let permit = PermitId {
                entry,
                life,
                serial: stream.serial,
            };
            let end = match stream.finished {
                true => StreamEnd::Finished,
                false => StreamEnd::Censored,
            };
            self.pool.release(permit, stream.tokens, end);
            self.decided.remove(&permit);
        }
    }

    /// Decides what can be decided, and tells those who wait.
    fn run(&mut self, now_ms: u64) {
        let began = std::time::Instant::now();
        let verdicts = self.pool.schedule(now_ms);
        if !verdicts.is_empty() {
            let ns = began.elapsed().as_nanos() as f64 / verdicts.len() as f64;
            metrics::histogram!("shuntpier_decision_ns").record(ns);
            crate::poller::DECISIONS.record(ns as u64);
        }
        for (permit, verdict) in verdicts {
            let reply = match verdict {
                Verdict::Granted { target } => PermitReply::Granted {
                    target: lock(&self.shared.targets).key(target),
                },
                Verdict::Refused(refusal) => PermitReply::Refused(refusal),
            };
            let waiter = self.waiters.remove(&permit);
            let heard = waiter.is_some_and(|waiter| waiter.send(reply).is_ok());
            if !heard {
                self.decided.insert(permit, reply);
            }
        }
    }

    fn poll(&mut self, address: Address<Self>, now_ms: u64) {
        self.polled_ms = now_ms;
        for engine in self.shared.settings().engines_of(self.id) {
            let (shared, address) = (self.shared.clone(), address.clone());
            let (id, at) = (engine.id, engine.address);
            let after = self.pool.last_cache_event_seq(id);
            tokio::spawn(async move {
                if let Polled::Answered(report) = poll_engine(&shared, id, at).await {
                    let _ = address.send(Loaded(id, report)).await;
                }
                if let Ok(events) = shared.engines.cache_events(at, after).await
                    && !events.is_empty()
                {
                    let _ = address.send(CacheEvents(id, events)).await;
                }
            });
        }
    }
}

impl Handler<Acquire> for PoolActor {
    type Return = Word;

    async fn handle(&mut self, message: Acquire, _: &mut Context<Self>) -> Word {
        let now_ms = self.shared.now_ms();
        self.used_ms = now_ms;
        let permit = message.0.permit;
        self.end_streams(permit.entry, permit.life, &message.1);
        if let Some(reply) = self.decided.remove(&permit) {
            return Word::Now(reply);
        }
        let demand = self.demand(&message.0, now_ms);
        let place = match self.pool.submit(demand, now_ms) {
            SubmitOutcome::Refused(refusal) => return Word::Now(PermitReply::Refused(refusal)),
            SubmitOutcome::Queued { position } => position,
        };
        let (reply, decided) = oneshot::channel();
        self.waiters.insert(permit, reply);
        self.run(now_ms);
        Word::Later(decided, place)
    }
}

impl Handler<Update> for PoolActor {
    type Return = UpdateReply;

    async fn handle(&mut self, message: Update, _: &mut Context<Self>) -> UpdateReply {
        let now_ms = self.shared.now_ms();
        self.used_ms = now_ms;
        let update = message.0;
        let mut resync = false;
        let permit_of = |serial| PermitId {
            entry: update.from,
            life: update.life,
            serial,
        };
        for stream in &update.progress {
            let permit = permit_of(stream.serial);
            resync |= !self.pool.record_progress(permit, stream.tokens, now_ms);
        }
        self.end_streams(update.from, update.life, &update.ended);
        let known = self.pool.streams_of(update.from);
        let mismatches = self.mismatches.entry(update.from).or_default();
        *mismatches = match known == update.open_streams as usize {
            true => 0,
            false => *mismatches + 1,
        };
        if *mismatches >= MISMATCHES_MAX {
            *mismatches = 0;
            resync = true;
        }
        self.run(now_ms);
        UpdateReply { resync }
    }
}

impl Handler<Adopt> for PoolActor {
    type Return = ();

    async fn handle(&mut self, message: Adopt, _: &mut Context<Self>) {
        let now_ms = self.shared.now_ms();
        self.used_ms = now_ms;
        let Adopt(from, streams) = message;
        let permits: HashSet<PermitId> = streams.iter().map(|s| s.request.permit).collect();
        self.pool.reconcile_permits(from, &permits, now_ms);
        for stream in streams {
            let adopted = RunningStream {
                demand: self.demand(&stream.request, now_ms),
                target: stream.target,
                generated_tokens: stream.tokens,
            };
            self.pool.adopt(adopted, now_ms);
        }
        self.run(now_ms);
    }
}

impl Handler<Withdraw> for PoolActor {
    type Return = ();

    async fn handle(&mut self, message: Withdraw, _: &mut Context<Self>) {
        self.pool.withdraw(message.0);
        self.waiters.remove(&message.0);
        self.decided.remove(&message.0);
    }
}

impl Handler<View> for PoolActor {
    type Return = PoolView;

    async fn handle(&mut self, _: View, _: &mut Context<Self>) -> PoolView {
        self.pool.view(self.shared.now_ms())
    }
}

/// Asks the dispatcher here for a permit, waiting for its word for `wait`.
pub(crate) async fn acquire_here(
    shared: &Arc<Shared>,
    request: AcquireRequest,
    wait: Duration,
    ended: Vec<EndedStream>,
) -> PermitReply {
    let address = dispatcher(shared, request.pool);
    let stopped = PermitReply::Refused(Refusal {
        reason: RefusalReason::Stopping,
        retry_after_ms: Some(0),
    });
    match address.send(Acquire(request, ended)).await {
        Err(_) => stopped,
        Ok(Word::Now(reply)) => reply,
        Ok(Word::Later(decided, place)) => match tokio::time::timeout(wait, decided).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => PermitReply::Waiting { place },
        },
    }
}
