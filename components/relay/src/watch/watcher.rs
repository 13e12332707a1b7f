//! Follows the platform's store, where it is this box's turn: the operators' declarations and the targets.
//! What is learnt is told to the other boxes at once.

use crate::membership::gossip::{
    broadcast_declarations, broadcast_digest, broadcast_target_changes,
};
use crate::state::Relay;
use crate::watch::backoff::Backoff;
use crate::watch::election::{
    CONFIRM_EACH, Following, TURN_CHECK, View, is_relieved, must_watch, pause_before_trying, rank,
};
use crate::watch::entries::{Listing, listing, listing_of};
use crate::watch::era::EraSource;
use crate::watch::target_snapshot::{self, TargetSnapshot};
use crate::watch::targets::Change;
use peers::{TargetChanges, TargetList};
use platform::{CONFIG_KEY, FleetWatch, OPERATOR_PREFIX, TARGET_PREFIX, evacuated_data_centre};
use prelude::Version;
use routing::Evacuations;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use store::{StoreError, Versioned, WatchEvent, WatchStream};
use tokio::time::sleep;

/// Pause between two answers of the watch on targets, so that changes at one time cost one call.
const TARGETS_PACE: Duration = Duration::from_millis(30);
/// The same for the second box that follows them, while the first is heard, which tells all boxes at once. An answer is a
/// call, whoever gets it.
const STANDBY_PACE: Duration = Duration::from_millis(1_000);
/// The first is heard while it has said that it follows the store within this time; it says so every 0.4 s.
const STANDS_BY_MS: u64 = 900;
/// The pause for declarations: a storm of changes travels as one in this time, which each box learns of well
/// within the users' bound of some seconds.
const DECLARATIONS_PACE: Duration = Duration::from_millis(250);

/// Changes that a list read anew showed are told to all boxes, up to so many: where all ask for them instead, they ask the
/// few that watch, at once. A list of which more is new is that of a box that knew little.
const TOLD_MAX: usize = 1_024;

/// A view that was not confirmed for this long was cut off by trouble of the store.
const AWAY_MS: u64 = 1_000;
/// After the store has come back, entries that lapsed meanwhile have this long to be written again. The users name
/// about two seconds; what is still missing then is gone.
const MISSING_MS: u64 = 2_000;
/// How often entries that are missing are looked over.
const MISSING_LOOK_EACH: Duration = Duration::from_millis(100);

/// Follows a view for as long as the box lives, while it must.
pub(crate) async fn follow(relay: Rc<Relay>, view: View) {
    let mut backoff = Backoff::new();
    relay.wait_for_seeds().await;
    learn(&relay, view).await;
    loop {
        if !must_watch(&relay, view) {
            sleep(TURN_CHECK).await;
            continue;
        }
        let ended = tokio::select! {
            ended = follow_once(&relay, view, &mut backoff) => ended,
            () = relay.store_doubted.notified() =>
                Err(StoreError::NotDone("the store is in doubt".into())),
        };
        if let Err(error) = ended {
            if view == View::Targets {
                relay.targets_doubted.set(true);
            }
            metrics::counter!("shuntpier_store_failures", "of" => view.name()).increment(1);
            slog::info!(relay.log, "store not followed"; "view" => view.name(), "error" => %error);
            pause_before_trying(&relay, backoff.next()).await;
        }
    }
}

/// Reads a view that no seed told, as it was up to some seconds ago: that costs a tenth, and whoever follows the store
/// tells what is newer within a second.
async fn learn(relay: &Rc<Relay>, view: View) {
    let mut backoff = Backoff::new();
    while !relay.knows(view) {
        let listed = tokio::select! {
            listed = read_stale(relay, view) => listed,
            // What the store still has to say would be read for nothing.
            () = relay.wait_until_known(view) => return,
        };
        match listed {
            Ok(Some((items, version))) => {
                metrics::counter!("shuntpier_store_calls", "of" => view.name()).increment(1);
                // A peer that told it meanwhile knew better.
                if !relay.knows(view) {
                    take_list(relay, view, &items, version);
                }
                return;
            }
            Ok(None) => return,
            Err(error) => {
                slog::info!(relay.log, "store not read"; "view" => view.name(), "error" => %error);
                backoff.pause().await;
            }
        }
    }
}

/// Reads a view. Of a long list of targets the snapshot is taken in instead, and none is left to be: it is looked for first,
/// as a page of the list takes more than the whole snapshot.
async fn read_stale(
    relay: &Rc<Relay>,
    view: View,
) -> Result<Option<(Vec<Versioned>, Version)>, StoreError> {
    if view == View::Targets
        && let Some(snapshot) = target_snapshot::read(relay).await?
    {
        // A peer that told the list meanwhile knew better.
        if !relay.knows(view) {
            take_snapshot(relay, snapshot);
        }
        return Ok(None);
    }
    relay.store.list_stale(prefix_of(view)).await.map(Some)
}

fn take_snapshot(relay: &Rc<Relay>, snapshot: TargetSnapshot) {
    let version = snapshot.version;
    slog::info!(relay.log, "snapshot of targets read"; "version" => %version,
        "targets" => snapshot.entries.len());
    relay.see_era(version.era(), EraSource::Store);
    let now_ms = relay.now_ms();
    let mut targets = relay.targets.borrow_mut();
    let changes = targets.replace(snapshot.entries, version, None, now_ms);
    drop(targets);
    relay.took_changes(&changes, "snapshot");
}

/// Reads a view, then watches it until it is other boxes' turn.
async fn follow_once(
    relay: &Rc<Relay>,
    view: View,
    backoff: &mut Backoff,
) -> Result<(), StoreError> {
    let was_known = relay.confirmed_ms(view).is_some();
    let version = read(relay, view).await?;
    backoff.reset();
    if !was_known {
        // A box that has just started learns first whose turn it is.
        return Ok(());
    }
    slog::info!(relay.log, "store followed by this box"; "view" => view.name(),
        "rank" => rank(relay), "version" => %version);
    let _following = Following::begin(relay, view);
    let watch = relay.store.watch_after(prefix_of(view), version);
    keep_watching(relay, view, watch).await
}

fn prefix_of(view: View) -> &'static str {
    match view {
        View::Declarations => OPERATOR_PREFIX,
        View::Targets => TARGET_PREFIX,
    }
}

async fn keep_watching(
    relay: &Rc<Relay>,
    view: View,
    mut watch: FleetWatch,
) -> Result<(), StoreError> {
    let began_ms = relay.now_ms();
    loop {
        let events = {
            let mut answer = pin!(watch.next());
            loop {
                tokio::select! {
                    events = &mut answer => break events?,
                    () = sleep(CONFIRM_EACH) => {}
                }
                if is_relieved(relay, began_ms) {
                    return Ok(());
                }
            }
        };
        metrics::counter!("shuntpier_store_calls", "of" => view.name()).increment(1);
        match view {
            View::Declarations => take_declared(relay, events),
            View::Targets => take_targets(relay, events, watch.version()),
        }
        relay.confirm(view);
        sleep(pace(relay, view)).await;
    }
}

/// The pause before the next answer of a watch is asked for.
fn pace(relay: &Relay, view: View) -> Duration {
    let heard_ms = relay.members.borrow().store_follower_seen_ms();
    let is_second = rank(relay) != Some(0) && heard_ms + STANDS_BY_MS > relay.now_ms();
    match view {
        View::Declarations => DECLARATIONS_PACE,
        View::Targets if is_second => STANDBY_PACE,
        View::Targets => TARGETS_PACE,
    }
}

/// Says to all boxes, while this one asks engines instead of the store, that it does.
pub(crate) async fn run_asking(relay: Rc<Relay>) {
    loop {
        sleep(CONFIRM_EACH).await;
        if relay.asking.get() && !relay.following.get().any() {
            broadcast_digest(&relay);
        }
    }
}

/// Reads a view as it is now, and says at which version.
async fn read(relay: &Rc<Relay>, view: View) -> Result<Version, StoreError> {
    let (items, version) = relay.store.list_with_version(prefix_of(view)).await?;
    note_return(relay);
    metrics::counter!("shuntpier_store_calls", "of" => view.name()).increment(1);
    let taken = take_list(relay, view, &items, version);
    relay.confirm(view);
    match taken {
        Taken::Nothing => {}
        Taken::Table => broadcast_declarations(relay),
        Taken::Targets(Some(told)) => broadcast_target_changes(relay, told),
        // Its version is in what this box says next; whoever lacks something asks for it.
        Taken::Targets(None) => broadcast_digest(relay),
    }
    Ok(version)
}

/// What a view that was read told that was new.
enum Taken {
    Nothing,
    Table,
    /// What to tell the others; none where that is more than is told.
    Targets(Option<TargetChanges>),
}

/// Takes a view in as it was read.
fn take_list(relay: &Rc<Relay>, view: View, items: &[Versioned], version: Version) -> Taken {
    relay.see_era(version.era(), EraSource::Store);
    match view {
        View::Declarations => {
            read_evacuations(relay, items, version);
            let config = items.iter().find(|item| item.key == CONFIG_KEY);
            match config.is_some_and(|item| relay.declare(&item.value, "store")) {
                true => Taken::Table,
                false => Taken::Nothing,
            }
        }
        View::Targets => read_targets(relay, items, version),
    }
}

/// Notes that the store answers again after trouble.
fn note_return(relay: &Relay) {
    let now_ms = relay.now_ms();
    let confirmed_ms = relay.confirmed_ms(View::Targets);
    let was_away = confirmed_ms.is_some_and(|confirmed_ms| confirmed_ms + AWAY_MS < now_ms);
    if was_away {
        relay.store_back_ms.set(Some(now_ms));
    }
}

/// Until when entries that are missing may still come back; none where the store had no trouble lately.
fn missing_until_ms(relay: &Relay) -> Option<u64> {
    let until_ms = relay.store_back_ms.get()? + MISSING_MS;
    (relay.now_ms() < until_ms).then_some(until_ms)
}

/// Gives up targets whose entries are still missing after the store has come back, for as long as the box lives.
pub(crate) async fn run_missing(relay: Rc<Relay>) {
    loop {
        sleep(MISSING_LOOK_EACH).await;
        let gone = relay.targets.borrow_mut().still_missing(relay.now_ms());
        if !gone.is_empty() {
            let gone = gone.into_iter();
            let listings = gone.map(|(instance, version)| Listing::Unlisted(instance, version));
            take_listings(&relay, listings.collect(), None);
        }
    }
}

/// Takes in which data centres are evacuated, as the list of all that operators wrote says it.
fn read_evacuations(relay: &Rc<Relay>, items: &[Versioned], version: Version) {
    let named = items
        .iter()
        .filter_map(|item| evacuated_data_centre(&item.key))
        .map(Box::from)
        .collect();
    let may_be_copied = relay.is_settling();
    let changed = relay.change_evacuations("store", |known| match may_be_copied {
        // An order that the copy lacks may stand, and one that it has may have been taken back: more is withheld for now.
        true => known.join(&Evacuations::of_copy(named, version)),
        false => known.read(named, version),
    });
    if changed {
        broadcast_digest(relay);
    }
}

fn take_declared(relay: &Rc<Relay>, events: Vec<WatchEvent>) {
    for event in events {
        if let Some(name) = evacuated_data_centre(&event.key) {
            let (holds, version) = (event.value.is_some(), event.version());
            if relay.change_evacuations("store", |known| known.ordered(name, holds, version)) {
                broadcast_digest(relay);
            }
            continue;
        }
        if let (CONFIG_KEY, Some(text)) = (event.key.as_str(), event.value)
            && relay.declare(&text, "store")
        {
            broadcast_declarations(relay);
        }
    }
}

fn read_targets(relay: &Rc<Relay>, items: &[Versioned], version: Version) -> Taken {
    let now_ms = relay.now_ms();
    let missing_until_ms = missing_until_ms(relay);
    let mut changes = Vec::new();
    let mut entries = Vec::new();
    let mut targets = relay.targets.borrow_mut();
    let after = targets.changed_at;
    for item in items {
        match listing(relay, item) {
            Some(Listing::Listed(entry)) => entries.push(entry),
            Some(refused) => changes.extend(refused.take(&mut targets, missing_until_ms, now_ms)),
            None => {}
        }
    }
    changes.extend(targets.replace(entries, version, missing_until_ms, now_ms));
    targets.read_at(version, now_ms);
    let is_told = changes.len() <= TOLD_MAX;
    let told = is_told.then(|| targets.told_anew(&changes, after, now_ms));
    drop(targets);
    relay.took_changes(&changes, "store");
    match changes.is_empty() {
        true => Taken::Nothing,
        false => Taken::Targets(told),
    }
}

fn take_targets(relay: &Rc<Relay>, events: Vec<WatchEvent>, version: Version) {
    let listings: Vec<Listing> = events
        .into_iter()
        .filter_map(|event| listing_of(relay, event))
        .collect();
    take_listings(relay, listings, missing_until_ms(relay));
    let mut targets = relay.targets.borrow_mut();
    targets.current_to = targets.current_to.max(version);
}

/// Takes changes of the list in and tells them to all boxes.
fn take_listings(relay: &Rc<Relay>, listings: Vec<Listing>, missing_until_ms: Option<u64>) {
    let now_ms = relay.now_ms();
    let mut changes = Vec::new();
    let after = relay.targets.borrow().changed_at;
    let (mut listed, mut unlisted) = (Vec::new(), Vec::new());
    for listing in listings {
        let mut targets = relay.targets.borrow_mut();
        let Some(change) = listing.take(&mut targets, missing_until_ms, now_ms) else {
            continue;
        };
        changes.push(change);
        match (listing, change) {
            (Listing::Listed(entry), _) => listed.push(entry),
            (Listing::Unlisted(_, at) | Listing::Refused(_, _, at), Change::Went(slot)) => {
                unlisted.extend(targets.get(slot).map(|target| (target.entry.life(), at)));
            }
            _ => {}
        }
    }
    relay.took_changes(&changes, "store");
    if !changes.is_empty() {
        let told = TargetChanges {
            after,
            listed: TargetList::new(&listed),
            unlisted,
            root: None,
        };
        broadcast_target_changes(relay, told);
    }
}
