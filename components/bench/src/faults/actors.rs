//! Callers and operators, who know nothing of the faults.

use super::history::{AcceptedChange, CallRecord, ChatRecord, RegisterStep};
use super::run::World;
use prelude::unix_ms;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use store::{ApplyError, ApplyOutcome, Etcd, HistoryEntry, apply_branch, read_branches};
use trial::{CallOutcome, Caller, ChatSpec};

/// Requests of a call with one key: the first, and those through other boxes that follow or run beside.
const CALL_TRIES: usize = 3;
const CALL_PAUSE: Duration = Duration::from_millis(30);
const ACCOUNT: &str = "visitor";
const OPERATOR_PAUSE: Duration = Duration::from_millis(80);
/// Longest wait of an operator until a change is in force at all boxes.
const EVERYWHERE_LIMIT: Duration = Duration::from_secs(10);

/// Asks for one answer after the other until the load ends.
pub async fn chats(world: Arc<World>, number: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(world.seed ^ ((number as u64) << 40));
    let caller = Caller::new();
    for serial in 0.. {
        if world.load_is_over() {
            return;
        }
        let marker = format!("chat-{}-{number}-{serial}", world.seed);
        let output_tokens = rng.random_range(3..60);
        let spec = ChatSpec {
            model: "assistant".into(),
            key: ACCOUNT.into(),
            marker: marker.clone(),
            prompt_tokens: rng.random_range(5..100),
            output_tokens: Some(output_tokens),
            ..ChatSpec::default()
        };
        let start: usize = rng.random_range(0..1000);
        let result = caller
            .chat_via(|link| world.balance(start + link), &spec)
            .await;
        world.record_chat(ChatRecord {
            marker,
            output_tokens: u64::from(output_tokens),
            result,
        });
    }
}

/// Makes one call after the other, each through several boxes with the same key.
pub async fn calls(world: Arc<World>, number: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(world.seed ^ ((number as u64) << 20) ^ 7);
    let caller = Caller::new();
    for serial in 0.. {
        if world.load_is_over() {
            return;
        }
        let key = format!("key-{}-{number}-{serial}", world.seed);
        let body = format!("body-{number}-{serial}-{}", rng.random_range(0..1_000_000));
        let beside: bool = rng.random_bool(0.3);
        let start: usize = rng.random_range(0..1000);
        if beside {
            let both = (0..2).map(|at| one_call(&world, &caller, start + at, &key, &body));
            futures::future::join_all(both).await;
        }
        for at in 0..CALL_TRIES {
            let outcome = one_call(&world, &caller, start + 2 + at, &key, &body).await;
            if matches!(outcome, CallOutcome::Done(_) | CallOutcome::Unknown(_)) && at > 0 {
                break;
            }
            tokio::time::sleep(CALL_PAUSE).await;
        }
    }
}

async fn one_call(
    world: &World,
    caller: &Caller,
    start: usize,
    key: &str,
    body: &str,
) -> CallOutcome {
    let at = world.balance(start);
    let reply = caller.call(at, "redemption", ACCOUNT, key, body).await;
    world.record_call(CallRecord {
        key: key.into(),
        body: body.into(),
        at,
        outcome: reply.outcome.clone(),
    });
    reply.outcome
}

/// Changes the settings again and again, in a race with the other operator.
pub async fn operator(world: Arc<World>, number: usize) {
    let Ok(store) = Etcd::new(&[world.trial_store().url()]) else {
        return;
    };
    let partner = world.partner();
    for serial in 0.. {
        if world.load_is_over() {
            return;
        }
        tokio::time::sleep(OPERATOR_PAUSE).await;
        let Some(revision) = read(&world, &store, number).await else {
            continue;
        };
        let entry = HistoryEntry {
            id: format!("change-{number}-{serial:06}"),
            author: format!("operator-{number}"),
            at_unix_ms: unix_ms(),
            replaced_revision: revision,
            text: world.branch_text(1.0 + f64::from(serial) / 1000.0),
        };
        let called = world.next_order();
        let outcome = apply_branch(&store, partner, revision, &entry).await;
        let step = |accepted| RegisterStep {
            process: number,
            expected: revision,
            accepted,
            read: None,
            called,
            returned: world.next_order(),
        };
        match outcome {
            Ok(ApplyOutcome::Accepted { revision }) => {
                world.record_step(step(Some(revision)));
                let world = world.clone();
                tokio::spawn(async move { wait_everywhere(&world, revision).await });
            }
            Ok(ApplyOutcome::Conflict { .. }) => world.record_step(step(None)),
            Err(ApplyError::NotChanged(_)) => {}
            Err(ApplyError::Unclear(_)) => world.register_in_doubt.store(true, Ordering::Relaxed),
        }
    }
}

async fn read(world: &World, store: &Etcd, number: usize) -> Option<u64> {
    let called = world.next_order();
    let (branches, _) = read_branches(store).await.ok()?;
    let revision = branches.first()?.revision;
    world.record_step(RegisterStep {
        process: number,
        expected: 0,
        accepted: None,
        read: Some(revision),
        called,
        returned: world.next_order(),
    });
    Some(revision)
}

async fn wait_everywhere(world: &World, revision: u64) {
    let began = Instant::now();
    let mut everywhere_ms = None;
    while began.elapsed() < EVERYWHERE_LIMIT && everywhere_ms.is_none() {
        let held = world.newest_seen();
        if held.iter().all(|held| *held >= revision) {
            everywhere_ms = Some(began.elapsed().as_millis() as u64);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    world.record_change(AcceptedChange {
        revision,
        everywhere_ms,
    });
}
