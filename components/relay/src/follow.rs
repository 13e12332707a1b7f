//! Follows the platform's store: the operators' declarations on every box, the targets on the box whose
//! turn it is. The others learn of targets from that box, and look themselves when it says nothing.

use crate::backoff::Backoff;
use crate::news::{spread, tell_current};
use crate::state::Relay;
use platform::{CONFIG_KEY, OPERATOR_PREFIX, TARGET_PREFIX, decode_target};
use prelude::BoxId;
use routing::TargetEntry;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use store::{KeyValue, StoreError, Versioned, WatchEvent, WatchStream};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

/// Pause between two answers of the watch on targets, so that changes at one time cost one call.
const TARGETS_PACE: Duration = Duration::from_millis(30);
/// The same on a box that has just started and may take itself for the only one: when all start at once, all
/// watch until they have met.
const STARTING_PACE: Duration = Duration::from_millis(400);
const STARTING_MS: u64 = 4_000;
/// A store that answered nothing for this long may be gone: boxes renew their leases more often.
const STORE_QUIET_MS: u64 = 2_500;
/// A box whose view of targets was not confirmed for this long looks itself.
const TARGETS_QUIET_MS: u64 = 900;
/// Each further box in rank leaves it this much longer to those before it.
const TARGETS_TURN_MS: u64 = 300;
/// How often a box that does not watch looks whether it must.
const TURN_CHECK: Duration = Duration::from_millis(100);
/// How often the box that watches says that nothing has changed.
const CONFIRM_EACH: Duration = Duration::from_millis(400);

/// Follows the declarations for as long as the box lives.
pub(crate) async fn follow_declarations(relay: Rc<Relay>) {
    let mut backoff = Backoff::new();
    loop {
        let error = tokio::select! {
            error = follow_declarations_once(&relay, &mut backoff) => error,
            () = relay.store_doubted.notified() => StoreError::NotDone("the store is in doubt".into()),
        };
        metrics::counter!("shuntpier_store_failures", "of" => "declarations").increment(1);
        slog::info!(relay.log, "declarations not followed"; "error" => %error);
        backoff.pause().await;
    }
}

async fn follow_declarations_once(relay: &Rc<Relay>, backoff: &mut Backoff) -> StoreError {
    match read_declarations(relay).await {
        Ok(revision) => {
            backoff.reset();
            watch_declarations(relay, revision).await
        }
        Err(error) => error,
    }
}

async fn read_declarations(relay: &Rc<Relay>) -> Result<u64, StoreError> {
    let (items, revision) = relay.store.list(OPERATOR_PREFIX).await?;
    metrics::counter!("shuntpier_store_calls", "of" => "declarations").increment(1);
    for item in items {
        if item.key == CONFIG_KEY {
            relay.declare(item.value, "store");
        }
    }
    Ok(revision)
}

async fn watch_declarations(relay: &Rc<Relay>, revision: u64) -> StoreError {
    let mut watch = match relay.store.watch(OPERATOR_PREFIX, revision + 1).await {
        Ok(watch) => watch,
        Err(error) => return error,
    };
    loop {
        let events = match watch.next().await {
            Ok(events) => events,
            Err(error) => return error,
        };
        metrics::counter!("shuntpier_store_calls", "of" => "declarations").increment(1);
        for event in events {
            if let (CONFIG_KEY, Some(text)) = (event.key.as_str(), event.value) {
                relay.declare(text, "store");
            }
        }
    }
}

/// The role of following targets, for rendezvous hashing.
pub(crate) fn targets_role() -> u64 {
    xxh3_64(b"targets")
}

/// This box's place among those that may follow targets; none where it stops.
fn rank(relay: &Relay) -> Option<usize> {
    let members = relay.members.borrow();
    let ranks = members.ranked(targets_role(), relay.is_stopping(), relay.now_ms());
    ranks.iter().position(|id: &BoxId| *id == relay.id)
}

/// How long this box leaves it to others to say that the view of targets is current.
fn quiet_limit_ms(relay: &Relay) -> u64 {
    let others = relay.members.borrow().others().len();
    match rank(relay) {
        Some(0) => 0,
        Some(rank) => TARGETS_QUIET_MS + TARGETS_TURN_MS * rank as u64,
        None => TARGETS_QUIET_MS + TARGETS_TURN_MS * others as u64,
    }
}

/// Whether it is this box's turn to follow targets, or nobody else seems to.
pub(crate) fn watches_targets(relay: &Relay) -> bool {
    let confirmed_ms = relay.targets.borrow().confirmed_ms;
    let Some(confirmed_ms) = confirmed_ms else {
        return true;
    };
    let limit_ms = quiet_limit_ms(relay);
    limit_ms == 0 || confirmed_ms + limit_ms < relay.now_ms()
}

/// Follows targets for as long as the box lives, while it is its turn.
pub(crate) async fn follow_targets(relay: Rc<Relay>) {
    let mut backoff = Backoff::new();
    loop {
        if !watches_targets(&relay) {
            sleep(TURN_CHECK).await;
            continue;
        }
        if relay.targets.borrow().confirmed_ms.is_none() {
            if let Err(error) = read_targets(&relay).await {
                slog::info!(relay.log, "targets not read"; "error" => %error);
                backoff.pause().await;
            }
            continue;
        }
        slog::info!(relay.log, "targets followed by this box"; "rank" => rank(&relay),
            "confirmed_ms" => relay.targets.borrow().confirmed_ms, "now_ms" => relay.now_ms());
        let ended = tokio::select! {
            ended = follow_targets_once(&relay, &mut backoff) => ended,
            () = relay.store_doubted.notified() =>
                Err(StoreError::NotDone("the store is in doubt".into())),
        };
        if let Err(error) = ended {
            relay.targets_doubted.set(true);
            metrics::counter!("shuntpier_store_failures", "of" => "targets").increment(1);
            slog::info!(relay.log, "targets not followed"; "error" => %error);
            backoff.pause().await;
        }
    }
}

fn decoded(relay: &Relay, item: &Versioned) -> Option<TargetEntry> {
    match decode_target(&item.key, &item.value, item.revision) {
        Ok(entry) => Some(entry),
        Err(error) => {
            slog::warn!(relay.log, "entry of a target not used"; "key" => &item.key,
                "error" => %error);
            None
        }
    }
}

/// Reads all targets as they are now, and says at which revision.
async fn read_targets(relay: &Rc<Relay>) -> Result<u64, StoreError> {
    let (items, revision) = relay.store.list(TARGET_PREFIX).await?;
    metrics::counter!("shuntpier_store_calls", "of" => "targets").increment(1);
    let entries = items
        .iter()
        .filter_map(|item| decoded(relay, item))
        .collect();
    let now_ms = relay.now_ms();
    relay.store_answered_ms.set(now_ms);
    let changes = relay
        .targets
        .borrow_mut()
        .replace(entries, revision, now_ms);
    confirm(relay, revision);
    relay.took_changes(&changes, "store");
    Ok(revision)
}

/// Reads all targets, then watches them until it is another box's turn.
async fn follow_targets_once(relay: &Rc<Relay>, backoff: &mut Backoff) -> Result<(), StoreError> {
    let revision = read_targets(relay).await?;
    backoff.reset();
    spread(relay);
    let mut watch = relay.store.watch(TARGET_PREFIX, revision + 1).await?;
    let began_ms = relay.now_ms();
    loop {
        let events = {
            let mut answer = pin!(watch.next());
            loop {
                tokio::select! {
                    events = &mut answer => break events?,
                    () = sleep(CONFIRM_EACH) => {}
                }
                // An open watch on a store that answers says that nothing has changed.
                if relay.store_answered_ms.get() + STORE_QUIET_MS > relay.now_ms() {
                    confirm(relay, 0);
                    tell_current(relay);
                }
                if is_relieved(relay, began_ms) {
                    return Ok(());
                }
            }
        };
        metrics::counter!("shuntpier_store_calls", "of" => "targets").increment(1);
        relay.store_answered_ms.set(relay.now_ms());
        if take_events(relay, events, watch.revision()) {
            spread(relay);
        }
        let is_new = relay.now_ms() < STARTING_MS;
        sleep(if is_new { STARTING_PACE } else { TARGETS_PACE }).await;
    }
}

/// Whether a box that goes before this one follows targets again.
fn is_relieved(relay: &Relay, began_ms: u64) -> bool {
    let heard_ms = relay.members.borrow().heard_watcher_ms();
    quiet_limit_ms(relay) > 0 && heard_ms > began_ms + TARGETS_QUIET_MS
}

fn confirm(relay: &Relay, revision: u64) {
    let now_ms = relay.now_ms();
    let mut targets = relay.targets.borrow_mut();
    targets.current_to = targets.current_to.max(revision);
    targets.confirmed_ms = Some(now_ms);
    relay.targets_doubted.set(false);
}

fn take_events(relay: &Rc<Relay>, events: Vec<WatchEvent>, revision: u64) -> bool {
    let now_ms = relay.now_ms();
    let mut changes = Vec::new();
    for event in events {
        let key = event.key;
        let change = match event.value {
            Some(value) => {
                let item = Versioned {
                    key,
                    value,
                    revision: event.revision,
                };
                let entry = decoded(relay, &item);
                entry.and_then(|entry| relay.targets.borrow_mut().listed(entry, now_ms))
            }
            None => key.strip_prefix(TARGET_PREFIX).and_then(|instance| {
                let mut targets = relay.targets.borrow_mut();
                targets.unlisted(instance, event.revision)
            }),
        };
        changes.extend(change);
    }
    confirm(relay, revision);
    relay.took_changes(&changes, "store");
    !changes.is_empty()
}
