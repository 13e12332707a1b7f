//! Generations: a permit, one engine, and events passed on as they come. A generation whose engine leaves
//! goes on at another (see [`crate::migration::migrator`]).

use crate::buffered::BufferReservation;
use crate::dispatch::dispatcher::refusal;
use crate::dispatch::permits::{Permit, PermitDemand};
use crate::forwarding::admission::SendKind;
use crate::forwarding::offer::NO_MEMORY;
use crate::forwarding::outcome::TargetOutcome;
use crate::forwarding::send::{Message, NotRun, Opened, Tried, UNREPEATABLE_REST_MS};
use crate::forwarding::stream::StreamForwarder;
use crate::ingress::accept::{After, count, write_reply};
use crate::ingress::request::{Incoming, LocalReply, Reply, Way};
use crate::ingress::stopping::refusal_of_stopping;
use crate::membership::gossip::broadcast_digest;
use crate::quarantine::broken_runs::RunFailure;
use crate::state::Relay;
use crate::watch::targets::{Target, TargetSlot};
use http1::Channel;
use peers::EngineFault;
use platform::{
    Continuation, ForwardOptions, PRIORITY_MAX, forwarded_request_head, forwarded_response_head,
};
use prelude::{Avoided, Refusal, RefusalReason, TargetId};
use settings::Mechanism;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Engines that one generation is offered to, those that refuse it counted.
const OFFERS_MAX: usize = 3;
/// What the way of a first token takes, from its engine to the caller, and of a request to its engine: so much earlier it
/// is due at the engine.
const WAY_MS: u64 = 40;
/// A caller's guess is rounded to this many steps for each doubling.
const GUESS_STEPS: f64 = 2.0;
/// The longest guess that is told from longer ones, in such steps.
const GUESS_STEP_MOST: u8 = 31;
/// Ranks that are told apart; less urgent ones count as the last.
const RANKS: u8 = 7;
/// An engine that has not begun to answer after this time is doubted: three times what half of them take.
const SILENT_START_LIMIT: Duration = Duration::from_millis(1_500);
/// The kind of generations without a guess; their ranks count down from here.
const KIND_UNKNOWN: u8 = 255;

/// Serves a generation.
pub(crate) async fn generate(
    relay: &Rc<Relay>,
    caller: &mut Channel,
    incoming: &Incoming,
    way: &Way,
) -> After {
    if let Some(own) = refusal_of_stopping(relay, incoming, way) {
        return not_begun(relay, caller, incoming, way, own).await;
    }
    let service = &way.service().name;
    relay.with_retry_window(service, |window, now_ms| window.record_request(now_ms));
    let started = tokio::select! {
        started = start(relay, incoming, way) => started,
        () = caller.gone() => {
            slog::info!(relay.log, "caller left before its answer"; "id" => incoming.id(),
                "after_ms" => relay.now_ms() - incoming.came_ms);
            metrics::counter!("shuntpier_callers_left").increment(1);
            return After::Drop;
        }
    };
    match started {
        Started::LocalReply(own) => not_begun(relay, caller, incoming, way, own).await,
        Started::Opened(opened, permit) if opened.head.status == 200 && opened.is_vouched() => {
            let forwarder = StreamForwarder::new(relay, incoming, way, permit);
            forwarder.run(caller, *opened).await
        }
        Started::Opened(opened, _) => pass_on(relay, caller, incoming, way, *opened).await,
    }
}

async fn not_begun(
    relay: &Rc<Relay>,
    caller: &mut Channel,
    incoming: &Incoming,
    way: &Way,
    own: LocalReply,
) -> After {
    let own = relay.caller_reply(own);
    slog::info!(relay.log, "generation not begun"; "id" => incoming.id(), "request" => %incoming.key,
        "account" => way.account_name(), "rank" => way.rank(),
        "status" => own.status(), "why" => own.why(), "retry_after_ms" => own.retry_after_ms(),
        "after_ms" => relay.now_ms() - incoming.came_ms);
    count(own.status(), "own");
    let reply = Reply::own(own, incoming.facts.request_id.as_deref());
    write_reply(relay, caller, incoming.id(), reply, false).await
}

/// Passes an answer on that is no stream.
async fn pass_on(
    relay: &Rc<Relay>,
    caller: &mut Channel,
    incoming: &Incoming,
    way: &Way,
    mut opened: Opened,
) -> After {
    let status = opened.head.status;
    let vouched = opened.is_vouched() && status != 200;
    let mut held = BufferReservation::new(&relay.memory, Some(way.account_id()));
    let due_ms = incoming.due_ms(way.route());
    let left = Duration::from_millis(due_ms.saturating_sub(relay.now_ms()));
    let whole = timeout(left, opened.read_whole(&mut held)).await;
    let reply = match whole {
        Ok(Ok(body)) if vouched => {
            let head = forwarded_response_head(&opened.head);
            opened.finish(relay);
            Reply {
                status,
                head,
                body,
                own: None,
                held: Some(Rc::new(held)),
            }
        }
        whole => {
            let own = match whole {
                Err(_) if held.is_blocked() => {
                    metrics::counter!("shuntpier_answers_without_memory").increment(1);
                    LocalReply::MayHaveRun(NO_MEMORY)
                }
                Err(_) => LocalReply::TimeOver,
                Ok(Err(why)) => LocalReply::MayHaveRun(why),
                Ok(Ok(_)) => LocalReply::MayHaveRun("the answer is not the target's own"),
            };
            Reply::own(own, incoming.facts.request_id.as_deref())
        }
    };
    slog::info!(relay.log, "generation failed"; "id" => incoming.id(), "status" => status,
        "vouched" => vouched, "after_ms" => relay.now_ms() - incoming.came_ms);
    count(status, "generation");
    write_reply(relay, caller, incoming.id(), reply, false).await
}

enum Started {
    Opened(Box<Opened>, Permit),
    LocalReply(LocalReply),
}

fn not_run(refusal: Refusal) -> LocalReply {
    LocalReply::NotRun {
        why: refusal.reason.as_str(),
        retry_after_ms: refusal.retry_after_ms.unwrap_or(1_000),
    }
}

/// Which generations have answers of like length: those of like rank and guess.
fn kind_of(guess_tokens: Option<u32>, rank: u8) -> u8 {
    let Some(guess) = guess_tokens else {
        return KIND_UNKNOWN - rank.min(RANKS);
    };
    let step = (f64::from(guess.max(1)).log2() * GUESS_STEPS) as u8;
    step.min(GUESS_STEP_MOST) * RANKS + rank.min(RANKS - 1)
}

/// Gets a permit and has an engine begin.
async fn start(relay: &Rc<Relay>, incoming: &Incoming, way: &Way) -> Started {
    let route = way.route();
    let generation = incoming.facts.generation.clone().unwrap_or_default();
    let told_guess = generation
        .guess_tokens
        .filter(|_| relay.settings().has(Mechanism::Guesses));
    let due_ms = incoming.due_ms(route);
    let goal_ms = route.answer_goal_ms;
    let wait_ms = match relay.settings().has(Mechanism::WaitForecast) {
        true => goal_ms.saturating_sub(WAY_MS),
        false => relay.completion.borrow().max_wait_ms(goal_ms),
    };
    let wait_until_ms = incoming.came_ms + wait_ms;
    let mut failed: Option<TargetId> = None;
    let mut last = refusal(RefusalReason::Crowded);
    let mut arrived = false;
    for _ in 0..OFFERS_MAX {
        let now_ms = relay.now_ms();
        let service = &way.service().name;
        if let Some(retry_after_ms) = relay.all_back_off_ms(service, wait_until_ms) {
            last.retry_after_ms = Some(retry_after_ms);
            break;
        }
        let want = PermitDemand {
            id: incoming.id(),
            service: &way.service().name,
            account: way.account_id(),
            kind: kind_of(told_guess, way.rank()),
            prompt_tokens: generation.prompt_tokens,
            max_tokens: generation.most_tokens,
            rank: way.rank(),
            arrived_ms: incoming.came_ms,
            pause_goal_ms: route.pause_goal_ms,
            wait_deadline_ms: wait_until_ms.min(due_ms),
            caller_deadline_ms: due_ms,
            avoid: relay.avoided(service, failed),
        };
        if arrived && !relay.try_take_retry(&way.service().name) {
            return Started::LocalReply(not_run(refusal(RefusalReason::RetryBudgetSpent)));
        }
        let asked_ms = now_ms;
        let permit = match relay.acquire(&want).await {
            Ok(permit) => permit,
            Err(refusal) => return Started::LocalReply(not_run(refusal)),
        };
        let until = Instant::now() + Duration::from_millis(due_ms.saturating_sub(now_ms));
        let slot = permit.slot;
        if !relay.takes_work(slot) {
            // The dispatcher has not heard yet that it leaves.
            failed = relay.id_of(slot);
            broadcast_digest(relay);
            continue;
        }
        if let Some(own) = relay.withheld_reply(incoming) {
            // It became known while it waited for its permit.
            return Started::LocalReply(own);
        }
        let granted_ms = relay.now_ms();
        let trying = send(relay, incoming, way, slot, None, SendKind::Generation);
        let watched = with_doubt(relay, &permit, SILENT_START_LIMIT, trying);
        let Ok(tried) = timeout_at(until, watched).await else {
            relay.record_broken_run(incoming.key, slot, granted_ms, RunFailure::Silent);
            return Started::LocalReply(LocalReply::TimeOver);
        };
        relay.record_outcome(slot, outcome_of(&tried));
        if outcome_of(&tried) == TargetOutcome::Failed {
            relay.notify_engine_failed(permit.pool, slot, EngineFault::Broke);
        }
        match tried {
            Tried::Answered(opened) => {
                slog::info!(relay.log, "generation begun"; "id" => incoming.id(), "request" => %incoming.key,
                    "account" => way.account_name(), "rank" => way.rank(),
                    "engine" => relay.name_of(slot), "permit" => permit.serial,
                    "prompt_tokens" => generation.prompt_tokens,
                    "most_tokens" => generation.most_tokens, "guess" => generation.guess_tokens,
                    "version" => way.declared.table.version,
                    "permit_ms" => granted_ms - asked_ms, "engine_ms" => relay.now_ms() - granted_ms,
                    "came_ms" => incoming.came_ms, "after_ms" => relay.now_ms() - incoming.came_ms);
                return Started::Opened(opened, permit);
            }
            Tried::MayHaveRun(why) => {
                relay.record_broken_run(
                    incoming.key,
                    slot,
                    granted_ms,
                    RunFailure::ConnectionClosed,
                );
                return Started::LocalReply(LocalReply::MayHaveRun(why));
            }
            Tried::NotRun(why) => {
                failed = relay.id_of(slot);
                arrived |= why.arrived();
                slog::info!(relay.log, "engine did not take it"; "id" => incoming.id(),
                    "engine" => relay.name_of(slot), "why" => ?why);
                if let NotRun::Refused { retry_after_ms } = why {
                    last.retry_after_ms = retry_after_ms.or(last.retry_after_ms);
                }
            }
        }
    }
    Started::LocalReply(not_run(last))
}

/// Waits for an engine. One that says nothing for `limit` is told to the dispatcher, once.
async fn with_doubt<T>(
    relay: &Rc<Relay>,
    permit: &Permit,
    limit: Duration,
    waiting: impl Future<Output = T>,
) -> T {
    let mut waiting = pin!(waiting);
    tokio::select! {
        biased;
        done = &mut waiting => return done,
        () = sleep(limit) => {
            relay.notify_engine_failed(permit.pool, permit.slot, EngineFault::Silent);
        }
    }
    waiting.await
}

/// What a try says of its engine.
pub(crate) fn outcome_of(tried: &Tried) -> TargetOutcome {
    match tried {
        // Whoever fails at once is the emptiest, and would draw all that comes.
        Tried::Answered(opened) if opened.head.status >= 500 => TargetOutcome::Failed,
        Tried::Answered(_) => TargetOutcome::Well,
        Tried::NotRun(why) => TargetOutcome::from(*why),
        Tried::MayHaveRun(_) => TargetOutcome::Failed,
    }
}

impl Relay {
    /// The engines of a service that a generation is not to be placed on: one that failed it, and those that asked this box
    /// for a pause.
    fn avoided(&self, service: &str, failed: Option<TargetId>) -> Avoided {
        let backing_off = self
            .targets
            .borrow_mut()
            .backing_off(service, self.now_ms());
        let backing_off = backing_off.into_iter().map(|(id, _)| id);
        failed.into_iter().chain(backing_off).collect()
    }

    /// Where all engines of a service that take work asked this box for pauses which last beyond a time: when the first is over,
    /// from now.
    fn all_back_off_ms(&self, service: &str, until_ms: u64) -> Option<u64> {
        let now_ms = self.now_ms();
        let mut targets = self.targets.borrow_mut();
        let backing_off = targets.backing_off(service, now_ms);
        if backing_off.is_empty() {
            return None;
        }
        let mut ready = targets.of_service(service);
        let takes = |target: &Target| {
            targets.takes_work(target) && target.backoff.remaining_ms(now_ms).is_none()
        };
        if ready.any(|(_, target)| takes(target)) {
            return None;
        }
        let first_ms = backing_off.into_iter().map(|(_, left_ms)| left_ms).min();
        first_ms.filter(|left_ms| now_ms + left_ms > until_ms)
    }
}

/// Sends a generation to an engine, from its start or where it goes on.
pub(crate) async fn send(
    relay: &Rc<Relay>,
    incoming: &Incoming,
    way: &Way,
    slot: TargetSlot,
    continuation: Option<&Continuation>,
    kind: SendKind,
) -> Tried {
    let admission = match relay.admit(slot, kind).await {
        Ok(admission) => admission,
        Err(why) => return Tried::NotRun(why),
    };
    let Some(instance) = relay.instance_of(slot) else {
        return Tried::NotRun(NotRun::Unreachable);
    };
    let forwarding = ForwardOptions {
        instance: &instance,
        account: way.account_name(),
        left_ms: incoming.left_ms(way.route(), relay.now_ms()),
        priority: Some(way.rank().min(PRIORITY_MAX)),
        copy_to: None,
        continuation,
    };
    let head = forwarded_request_head(&incoming.head, incoming.body.len(), &forwarding);
    let message = Message {
        request_id: incoming.id(),
        head: &head,
        body: &incoming.body,
        bodiless: false,
        rested_most_ms: UNREPEATABLE_REST_MS,
    };
    relay.try_at(&admission, message).await
}
