//! Follows the platform: the box list, and the settings in the key-value service. Two boxes of each
//! data centre hold a watch; the others learn from them, so watches grow with data centres.

use crate::shared::{Shared, lock};
use crate::spread::{exchange_with, spread_settings};
use peers::SettingsValue;
use policy::rendezvous_order;
use rand::Rng;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use store::{
    BoxListClient, BranchText, Etcd, KeyValue, ListedState, SETTINGS_PREFIX, StoreError,
    WatchEvent, WatchStream, branch_partner, read_branches,
};
use xxhash_rust::xxh3::xxh3_64;

/// Boxes of a data centre that watch.
const WATCHERS: usize = 2;
/// How often a box looks whether it is to watch.
const ROLE_CHECK: Duration = Duration::from_millis(500);
/// Time that each watcher leaves to those before it in turn.
const SPREAD_TURN: Duration = Duration::from_millis(40);
const SPREAD_TURNS_MAX: usize = 20;
const RETRY_MIN_MS: u64 = 100;
const RETRY_MAX_MS: u64 = 2_000;
/// Peers that a box without settings asks at a time.
const PEERS_ASKED: usize = 3;

fn is_watcher(shared: &Shared) -> bool {
    let own = lock(&shared.members).own();
    let near = lock(&shared.members).usable_in(own.data_centre, shared.now_ms());
    let role = xxh3_64(&own.data_centre.0.to_le_bytes());
    rendezvous_order(role, near)
        .into_iter()
        .take(WATCHERS)
        .any(|id| id == own.id)
}

/// How long this box leaves it to the other watchers to tell of a change.
fn spread_delay(shared: &Shared) -> Duration {
    let now_ms = shared.now_ms();
    let members = lock(&shared.members);
    let own = members.own();
    let data_centres = members.data_centres();
    let centre = data_centres.iter().position(|id| *id == own.data_centre);
    let near = members.usable_in(own.data_centre, now_ms);
    let role = xxh3_64(&own.data_centre.0.to_le_bytes());
    let rank = rendezvous_order(role, near)
        .into_iter()
        .position(|id| id == own.id);
    let turn = rank.unwrap_or(0) * data_centres.len() + centre.unwrap_or(0);
    SPREAD_TURN * turn.min(SPREAD_TURNS_MAX) as u32
}

fn has_settings(shared: &Shared) -> bool {
    !lock(&shared.in_force).revisions().is_empty()
}

/// Follows the settings until the box closes.
pub(crate) async fn run_settings(shared: Arc<Shared>, store: Etcd) {
    let mut retry_ms = RETRY_MIN_MS;
    loop {
        let following = follow(&shared, &store);
        let ended = tokio::select! {
            () = shared.closed.cancelled() => return,
            ended = following => ended,
        };
        match ended {
            Ok(()) => retry_ms = RETRY_MIN_MS,
            Err(error) => {
                slog::info!(shared.log, "the key-value service gave no answer"; "error" => %error);
                metrics::counter!("shuntpier_store_failures_total").increment(1);
                retry_ms = (retry_ms * 2).min(RETRY_MAX_MS);
            }
        }
        if !has_settings(&shared) {
            ask_peers(&shared).await;
        }
        let pause_ms = rand::rng().random_range(retry_ms / 2..=retry_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Reads and watches for as long as this box is to watch.
async fn follow(shared: &Arc<Shared>, store: &Etcd) -> Result<(), StoreError> {
    if has_settings(shared) && !is_watcher(shared) {
        tokio::time::sleep(ROLE_CHECK).await;
        return Ok(());
    }
    let (branches, revision) = read_branches(store).await?;
    for branch in branches {
        spread_settings(shared, value_of(branch), spread_delay(shared));
    }
    if !is_watcher(shared) {
        return Ok(());
    }
    let mut watch = store.watch(SETTINGS_PREFIX, revision + 1).await?;
    let mut role_check = tokio::time::interval(ROLE_CHECK);
    loop {
        tokio::select! {
            events = watch.next() => {
                for event in events? {
                    take_event(shared, event);
                }
            }
            _ = role_check.tick() => {
                if !is_watcher(shared) {
                    return Ok(());
                }
            }
        }
    }
}

fn take_event(shared: &Arc<Shared>, event: WatchEvent) {
    let partner = branch_partner(&event.key).map(str::to_owned);
    let text = event.value.and_then(|value| String::from_utf8(value).ok());
    if let (Some(partner), Some(text)) = (partner, text) {
        let value = SettingsValue {
            partner,
            revision: event.revision,
            text,
        };
        spread_settings(shared, value, spread_delay(shared));
    }
}

fn value_of(branch: BranchText) -> SettingsValue {
    SettingsValue {
        partner: branch.partner,
        revision: branch.revision,
        text: branch.text,
    }
}

/// A box that starts while the service is down takes the settings from its peers.
async fn ask_peers(shared: &Arc<Shared>) {
    let known = lock(&shared.members).known(shared.now_ms());
    for member in known.iter().take(PEERS_ASKED) {
        exchange_with(shared, member.id).await;
    }
}

/// Follows the box list until the box closes.
pub(crate) async fn run_box_list(shared: Arc<Shared>, list: BoxListClient, interval: Duration) {
    let mut ticks = tokio::time::interval(interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            () = shared.closed.cancelled() => return,
            _ = ticks.tick() => {}
        }
        read_box_list(&shared, &list).await;
    }
}

/// Reads the box list once.
pub(crate) async fn read_box_list(shared: &Arc<Shared>, list: &BoxListClient) {
    let listing = match list.read().await {
        Ok(listing) => listing,
        Err(error) => {
            slog::info!(shared.log, "the box list gave no answer"; "error" => %error);
            return;
        }
    };
    let now_ms = shared.now_ms();
    let forgotten = lock(&shared.members).listed(&listing.boxes, now_ms);
    let known = lock(&shared.members).known(now_ms);
    for member in known {
        shared.peers.set_address(member.id, member.address);
    }
    for id in forgotten {
        shared.peers.forget(id);
    }
    let leaving = listing
        .targets
        .iter()
        .filter(|target| target.state == ListedState::Leaving);
    let leaving: HashSet<_> = leaving.map(|target| target.id).collect();
    if lock(&shared.targets).set_listed_leaving(leaving) {
        shared.changed();
    }
}
