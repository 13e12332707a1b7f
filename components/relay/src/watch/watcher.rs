//! Watches the declarations and targets in the platform's store while this box is elected, and broadcasts changes to
//! the other boxes.

use crate::membership::clocks::NotBefore;
use crate::membership::gossip::{
    broadcast_declarations, broadcast_digest, broadcast_target_changes,
};
use crate::state::Relay;
use crate::watch::backoff::Backoff;
use crate::watch::election::{
    CONFIRM_INTERVAL, ELECTION_CHECK_INTERVAL, FollowGuard, View, can_step_down, must_watch,
    pause_before_retry, rank,
};
use crate::watch::entries::{ListingUpdate, parse_entry, parse_event};
use crate::watch::era::EraSource;
use crate::watch::target_snapshot::{self, TargetSnapshot};
use crate::watch::targets::Change;
use peers::{TargetChanges, TargetList};
use platform::{CONFIG_KEY, FleetWatch, OPERATOR_PREFIX, TARGET_PREFIX, evacuated_data_centre};
use prelude::Version;
use routing::EvacuationOrder;
use std::collections::{BTreeMap, BTreeSet};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use store::{StoreError, Versioned, WatchEvent, WatchStream};
use tokio::time::sleep;

/// Pause between two polls of the watch on targets, so that concurrent changes cost one call.
const TARGETS_POLL_PAUSE: Duration = Duration::from_millis(30);
/// The pause of the second watching box while the first one, which broadcasts all changes, is alive. Each answer of
/// the watch is a billed call.
const STANDBY_POLL_PAUSE: Duration = Duration::from_millis(1_000);
/// The first box counts as alive if it has announced its watch within this time; it does so every 0.4 s.
const STANDBY_TIMEOUT_MS: u64 = 900;
/// The pause for declarations. A burst of changes is sent as one, and each box learns of it well within the users'
/// bound of some seconds.
const DECLARATIONS_POLL_PAUSE: Duration = Duration::from_millis(250);

/// Maximum number of changes of a list that are broadcast. If all boxes requested them instead, they would query the
/// few watching boxes at once. A box with more changes had an almost empty list.
const BROADCAST_CHANGES_MAX: usize = 1_024;

/// A view that was not confirmed for this long, although this box called the store, was cut off by an outage of it.
const OUTAGE_MIN_MS: u64 = 1_000;
/// The same for a box that did not call the store meanwhile. It may be the watching boxes that were cut off, for a shorter time.
const UNSEEN_OUTAGE_MIN_MS: u64 = 3_000;
/// Grace period, after the store has recovered, in which lapsed entries can be written again. The users specify about
/// two seconds; entries missing after that are removed.
const MISSING_GRACE_MS: u64 = 2_000;
/// How often missing entries are checked.
const MISSING_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Watches a view for the lifetime of the box, whenever this box must.
pub(crate) async fn follow(relay: Rc<Relay>, view: View) {
    let mut backoff = Backoff::new();
    relay.wait_for_seeds().await;
    read_initial(&relay, view).await;
    loop {
        if !must_watch(&relay, view) {
            sleep(ELECTION_CHECK_INTERVAL).await;
            continue;
        }
        let result = tokio::select! {
            result = follow_once(&relay, view, &mut backoff) => result,
            () = relay.store_suspected.notified() =>
                Err(StoreError::NotDone("the store is in doubt".into())),
        };
        if let Err(error) = result {
            relay.store_failed_ms.set(Some(relay.now_ms()));
            if view == View::Targets {
                relay.targets_suspected.set(true);
            }
            metrics::counter!("shuntpier_store_failures", "of" => view.name()).increment(1);
            slog::info!(relay.log, "store watch failed"; "view" => view.name(), "error" => %error);
            pause_before_retry(&relay, backoff.next_pause()).await;
        }
    }
}

/// Reads a view that no seed provided, allowing data that is some seconds stale. That costs a tenth of a current
/// read, and the watching boxes send newer changes within a second.
async fn read_initial(relay: &Rc<Relay>, view: View) {
    let mut backoff = Backoff::new();
    while !relay.knows(view) {
        let listed = tokio::select! {
            listed = read_stale(relay, view) => listed,
            // A peer has sent the view, so the rest of the answer is not needed.
            () = relay.wait_until_known(view) => return,
        };
        match listed {
            Ok(Some((items, version))) => {
                metrics::counter!("shuntpier_store_calls", "of" => view.name()).increment(1);
                // A view that a peer sent in the meantime is newer.
                if !relay.knows(view) {
                    apply_list(relay, view, &items, version);
                }
                return;
            }
            Ok(None) => return,
            Err(error) => {
                slog::info!(relay.log, "store read failed"; "view" => view.name(), "error" => %error);
                backoff.pause().await;
            }
        }
    }
}

/// Reads a possibly stale view. If there is a snapshot of a long list of targets, applies that and returns `None`.
/// The snapshot is read first, as one page of the list takes more than the whole snapshot.
async fn read_stale(
    relay: &Rc<Relay>,
    view: View,
) -> Result<Option<(Vec<Versioned>, Version)>, StoreError> {
    if view == View::Targets
        && let Some(snapshot) = target_snapshot::read(relay).await?
    {
        // A list that a peer sent in the meantime is newer.
        if !relay.knows(view) {
            apply_snapshot(relay, snapshot);
        }
        return Ok(None);
    }
    relay.store.list_stale(prefix_of(view)).await.map(Some)
}

fn apply_snapshot(relay: &Rc<Relay>, snapshot: TargetSnapshot) {
    let version = snapshot.version;
    slog::info!(relay.log, "snapshot of targets read"; "version" => %version,
        "targets" => snapshot.entries.len());
    relay.observe_era(version.era(), EraSource::Store);
    let now_ms = relay.now_ms();
    let mut targets = relay.targets.borrow_mut();
    let changes = targets.replace(snapshot.entries, version, None, now_ms);
    drop(targets);
    relay.handle_target_changes(&changes, "snapshot");
}

/// Reads a view, then watches it until other boxes take over.
async fn follow_once(
    relay: &Rc<Relay>,
    view: View,
    backoff: &mut Backoff,
) -> Result<(), StoreError> {
    let was_known = relay.confirmed(view).is_some();
    let version = read_current(relay, view).await?;
    backoff.reset();
    if !was_known {
        // A box that has just started first learns its rank.
        return Ok(());
    }
    slog::info!(relay.log, "store followed by this box"; "view" => view.name(),
        "rank" => rank(relay), "version" => %version);
    let _guard = FollowGuard::begin(relay, view);
    let watch = relay.store.watch_after(prefix_of(view), version);
    watch_view(relay, view, watch).await
}

fn prefix_of(view: View) -> &'static str {
    match view {
        View::Declarations => OPERATOR_PREFIX,
        View::Targets => TARGET_PREFIX,
    }
}

async fn watch_view(
    relay: &Rc<Relay>,
    view: View,
    mut watch: FleetWatch,
) -> Result<(), StoreError> {
    let started_ms = relay.now_ms();
    loop {
        let polled_ms = relay.now_ms();
        let events = {
            let mut answer = pin!(watch.next());
            loop {
                tokio::select! {
                    events = &mut answer => break events?,
                    () = sleep(CONFIRM_INTERVAL) => {}
                }
                if can_step_down(relay, started_ms) {
                    return Ok(());
                }
            }
        };
        metrics::counter!("shuntpier_store_calls", "of" => view.name()).increment(1);
        match view {
            View::Declarations => apply_declaration_events(relay, events),
            View::Targets => apply_target_events(relay, events, watch.version()),
        }
        relay.confirm_from_store(view, polled_ms);
        sleep(poll_pause(relay, view)).await;
    }
}

/// The pause before the watch is polled again.
fn poll_pause(relay: &Relay, view: View) -> Duration {
    let last_seen_ms = relay.members.borrow().store_follower_seen_ms();
    let is_second = rank(relay) != Some(0) && last_seen_ms + STANDBY_TIMEOUT_MS > relay.now_ms();
    match view {
        View::Declarations => DECLARATIONS_POLL_PAUSE,
        View::Targets if is_second => STANDBY_POLL_PAUSE,
        View::Targets => TARGETS_POLL_PAUSE,
    }
}

/// Announces to all boxes, while this box polls engines instead of the store, that it does so.
pub(crate) async fn run_poll_announcements(relay: Rc<Relay>) {
    loop {
        sleep(CONFIRM_INTERVAL).await;
        if relay.polls_all_engines.get() && !relay.following.get().any() {
            broadcast_digest(&relay);
        }
    }
}

/// Reads the current view and returns its version.
async fn read_current(relay: &Rc<Relay>, view: View) -> Result<Version, StoreError> {
    let sent_ms = relay.now_ms();
    let (items, version) = relay.store.list_with_version(prefix_of(view)).await?;
    record_store_recovery(relay);
    metrics::counter!("shuntpier_store_calls", "of" => view.name()).increment(1);
    let change = apply_list(relay, view, &items, version);
    relay.confirm_from_store(view, sent_ms);
    match change {
        ViewChange::Nothing => {}
        ViewChange::Table => broadcast_declarations(relay),
        ViewChange::Targets(Some(update)) => broadcast_target_changes(relay, update),
        // The announcement contains the version; boxes with missing changes request them.
        ViewChange::Targets(None) => broadcast_digest(relay),
    }
    Ok(version)
}

/// What changed with a view that was read.
enum ViewChange {
    Nothing,
    Table,
    /// Changes to broadcast; `None` if there are too many.
    Targets(Option<TargetChanges>),
}

/// Applies a view that was read.
fn apply_list(relay: &Rc<Relay>, view: View, items: &[Versioned], version: Version) -> ViewChange {
    relay.observe_era(version.era(), EraSource::Store);
    match view {
        View::Declarations => {
            apply_evacuations(relay, items, version);
            let config = items.iter().find(|item| item.key == CONFIG_KEY);
            match config.is_some_and(|item| relay.apply_declarations(&item.value, "store")) {
                true => ViewChange::Table,
                false => ViewChange::Nothing,
            }
        }
        View::Targets => apply_target_list(relay, items, version),
    }
}

/// Records that the store answers again after an outage.
fn record_store_recovery(relay: &Relay) {
    let now_ms = relay.now_ms();
    let Some(confirmed) = relay.confirmed(View::Targets) else {
        return;
    };
    if had_outage(confirmed, relay.store_failed_ms.get(), now_ms) {
        relay.store_recovered_ms.set(Some(now_ms));
    }
}

/// Whether the store was away since `confirmed`, as far as this box can tell: `failed_ms` is when its last call failed.
fn had_outage(confirmed: NotBefore, failed_ms: Option<u64>, now_ms: u64) -> bool {
    let has_failed = failed_ms.is_some_and(|failed_ms| NotBefore::at(failed_ms) >= confirmed);
    let min_ms = match has_failed {
        true => OUTAGE_MIN_MS,
        false => UNSEEN_OUTAGE_MIN_MS,
    };
    confirmed.is_older_than(min_ms, now_ms)
}

/// End of the grace period for missing entries; `None` if the store had no recent outage.
fn missing_until_ms(relay: &Relay) -> Option<u64> {
    let until_ms = relay.store_recovered_ms.get()? + MISSING_GRACE_MS;
    (relay.now_ms() < until_ms).then_some(until_ms)
}

/// Removes targets whose entries are missing after the grace period, for the lifetime of the box.
pub(crate) async fn run_missing_expiry(relay: Rc<Relay>) {
    loop {
        sleep(MISSING_CHECK_INTERVAL).await;
        let gone = relay.targets.borrow_mut().expired_missing(relay.now_ms());
        if !gone.is_empty() {
            let gone = gone.into_iter();
            let listings =
                gone.map(|(instance, version)| ListingUpdate::Unlisted(instance, version));
            apply_listing_updates(&relay, listings.collect(), None);
        }
    }
}

/// Applies the evacuations in a complete list of the operators' declarations.
fn apply_evacuations(relay: &Rc<Relay>, items: &[Versioned], version: Version) {
    let listed: BTreeMap<Box<str>, Version> = items
        .iter()
        .filter_map(|item| Some((evacuated_data_centre(&item.key)?.into(), item.version())))
        .collect();
    let names: BTreeSet<Box<str>> = listed.keys().cloned().collect();
    let may_be_stale = relay.is_settling();
    let changed = relay.update_evacuations("store", |known| match may_be_stale {
        // The stale backup may be missing an order that is in force, or contain one that was withdrawn. Until the
        // store settles, data centres of either set get no work.
        true => known.join_list(listed, version),
        false => known.read(names.clone(), version),
    });
    relay.log_ignored_evacuations(&names, version);
    if changed {
        broadcast_digest(relay);
    }
}

fn apply_declaration_events(relay: &Rc<Relay>, events: Vec<WatchEvent>) {
    let orders = events.iter().filter_map(|event| {
        Some(EvacuationOrder {
            data_centre: evacuated_data_centre(&event.key)?,
            holds: event.value.is_some(),
            version: event.version(),
        })
    });
    if relay.update_evacuations("store", |known| known.ordered_together(orders)) {
        broadcast_digest(relay);
    }
    for event in events {
        if let (CONFIG_KEY, Some(text)) = (event.key.as_str(), event.value)
            && relay.apply_declarations(&text, "store")
        {
            broadcast_declarations(relay);
        }
    }
}

fn apply_target_list(relay: &Rc<Relay>, items: &[Versioned], version: Version) -> ViewChange {
    let now_ms = relay.now_ms();
    let missing_until_ms = missing_until_ms(relay);
    let mut changes = Vec::new();
    let mut entries = Vec::new();
    let mut targets = relay.targets.borrow_mut();
    let after = targets.changed_at;
    for item in items {
        match parse_entry(relay, item) {
            Some(ListingUpdate::Listed(entry)) => entries.push(entry),
            Some(refused) => changes.extend(refused.apply(&mut targets, missing_until_ms, now_ms)),
            None => {}
        }
    }
    changes.extend(targets.replace(entries, version, missing_until_ms, now_ms));
    targets.record_list_read(version, now_ms);
    let is_broadcast = changes.len() <= BROADCAST_CHANGES_MAX;
    let update = is_broadcast.then(|| targets.changes_since(&changes, after, now_ms));
    drop(targets);
    relay.handle_target_changes(&changes, "store");
    match changes.is_empty() {
        true => ViewChange::Nothing,
        false => ViewChange::Targets(update),
    }
}

fn apply_target_events(relay: &Rc<Relay>, events: Vec<WatchEvent>, version: Version) {
    let listings: Vec<ListingUpdate> = events
        .into_iter()
        .filter_map(|event| parse_event(relay, event))
        .collect();
    apply_listing_updates(relay, listings, missing_until_ms(relay));
    let mut targets = relay.targets.borrow_mut();
    targets.current_to = targets.current_to.max(version);
}

/// Applies updates of the list of targets and broadcasts the changes.
fn apply_listing_updates(
    relay: &Rc<Relay>,
    listings: Vec<ListingUpdate>,
    missing_until_ms: Option<u64>,
) {
    let now_ms = relay.now_ms();
    let mut changes = Vec::new();
    let after = relay.targets.borrow().changed_at;
    let (mut listed, mut unlisted) = (Vec::new(), Vec::new());
    for listing in listings {
        let mut targets = relay.targets.borrow_mut();
        let Some(change) = listing.apply(&mut targets, missing_until_ms, now_ms) else {
            continue;
        };
        changes.push(change);
        match (listing, change) {
            (ListingUpdate::Listed(entry), _) => listed.push(entry),
            (
                ListingUpdate::Unlisted(_, at) | ListingUpdate::Refused(_, _, at),
                Change::Removed(slot),
            ) => {
                unlisted.extend(targets.get(slot).map(|target| (target.entry.life(), at)));
            }
            _ => {}
        }
    }
    relay.handle_target_changes(&changes, "store");
    if !changes.is_empty() {
        let update = TargetChanges {
            after,
            listed: TargetList::new(&listed),
            unlisted,
            root: None,
        };
        broadcast_target_changes(relay, update);
    }
}
